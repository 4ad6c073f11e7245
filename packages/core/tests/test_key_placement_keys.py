"""The usage of keys that hosts report, and the keys that a coordinator keeps."""

import pytest
from key_placement_model import REGION, SERVICE, add_server, create_table

from greengagepoint.key_placement.coordinator import KeyCoordinator
from greengagepoint.key_placement.following import AppliedWeights
from greengagepoint.key_placement.homes import HomeCount, ServiceUsage
from greengagepoint.key_placement.known_keys import KEEP_SECONDS, KEYS_MAX, KnownKeys
from greengagepoint.key_placement.messages import KeyUsageReport, KeyUsageRow
from greengagepoint.key_placement.usage import KEYS_MAX as USAGE_KEYS_MAX
from greengagepoint.key_placement.usage import REPORT_ROWS_MAX, KeyUsage
from greengagepoint.placing.ranking import RankCache
from greengagepoint.placing.tables import Server


def report(*rows):
    """Return a report with rows of a key and its runs, all warm."""
    found = [KeyUsageRow(SERVICE, key, runs, runs, 0) for key, runs in rows]
    return KeyUsageReport("h1", 1, REGION, 0, found)


def test_a_report_has_few_rows_and_the_rest_follows():
    usage = KeyUsage()
    for number in range(300):
        usage.note(REGION, SERVICE, f"k{number}", is_cold=number % 2 == 0)
    first, second = usage.take(REGION), usage.take(REGION)
    assert (len(first), len(second)) == (REPORT_ROWS_MAX, 300 - REPORT_ROWS_MAX)
    assert len({row.key for row in first + second}) == 300
    assert sum(row.cold_runs for row in first + second) == 150
    assert usage.take(REGION) == []


def test_unanswered_rows_are_reported_again_with_later_runs():
    usage = KeyUsage()
    usage.note(REGION, SERVICE, "k", is_cold=True)
    rows = usage.take(REGION)
    usage.note(REGION, SERVICE, "k", is_cold=False)
    usage.put_back(REGION, rows)
    assert usage.take(REGION) == [KeyUsageRow(SERVICE, "k", 2, 2, 1)]


def test_usage_is_bounded_while_no_coordinator_answers():
    # Callers choose cookies. Without a bound they could fill the host's memory.
    usage = KeyUsage()
    for number in range(USAGE_KEYS_MAX * 2):
        usage.note(REGION, SERVICE, f"k{number}", is_cold=False)
    usage.note(REGION, SERVICE, "k" * 65, is_cold=False)
    usage.note(REGION, SERVICE, "é" * 33, is_cold=False)
    assert len(usage.regions[REGION]) == USAGE_KEYS_MAX
    usage.put_back(REGION, [KeyUsageRow(SERVICE, "other", 1, 1, 0)])
    assert len(usage.regions[REGION]) == USAGE_KEYS_MAX


def test_a_coordinator_keeps_a_bounded_number_of_recent_keys():
    keys = KnownKeys()
    for number in range(KEYS_MAX + 100):
        keys.apply(report((f"k{number}", 1)), [SERVICE], 1.0)
    assert len(keys.rows) == KEYS_MAX
    assert (SERVICE, "k0") not in keys.rows
    keys.apply(report(("recent", 1)), [SERVICE], 20.0)
    keys.drop_expired(2.0 + KEEP_SECONDS)
    assert list(keys.rows) == [(SERVICE, "recent")]


@pytest.mark.parametrize("rate", [1, 4, 20])
def test_the_rate_of_a_key_is_that_of_its_requests(rate):
    keys = KnownKeys()
    for second in range(60):
        keys.apply(report(("k", rate)), [SERVICE], float(second))
    assert keys.rows[SERVICE, "k"].rate(59.5) == pytest.approx(rate, rel=0.1)


@pytest.mark.parametrize(
    ("homes", "age", "keys", "busy", "cold_share", "expected"),
    [
        (1, 100.0, 2.0, 0.6, 0.1, 2),
        (1, 100.0, 2.0, 0.4, 0.1, 1),
        (2, 100.0, 2.0, 0.4, 0.1, 2),
        (2, 100.0, 2.0, 0.1, 0.1, 1),
        # Servers may keep fewer keys warm than two homes for each key need.
        (1, 100.0, 5.0, 0.9, 0.0, 1),
        (2, 100.0, 5.0, 0.9, 0.0, 1),
        # They keep even fewer; but each key runs cold once at its second home.
        (2, 30.0, 2.0, 0.4, 0.4, 1),
        (2, 10.0, 2.0, 0.4, 0.4, 2),
    ],
)
def test_keys_have_two_homes_where_servers_are_busy_and_keep_them_warm(
    homes, age, keys, busy, cold_share, expected
):
    """Guards against queues beside idle servers, and against evictions."""
    count = HomeCount(homes, changed_at=100.0)
    usage = ServiceUsage(keys, busy, cold_share)
    assert count.update(usage, 100.0 + age) is (homes != expected)
    assert count.homes == expected


def test_servers_that_evicted_keys_are_not_tried_again_at_once():
    """Guards against cold runs each 20 s for good."""
    count = HomeCount(2, changed_at=0.0)
    assert count.update(ServiceUsage(2.0, 0.9, 0.5), 30.0)
    assert not count.update(ServiceUsage(2.0, 0.9, 0.0), 80.0)
    assert count.update(ServiceUsage(2.0, 0.9, 0.0), 91.0)


def balance(coordinator, table, seconds, keys=60, hot=1):
    """Report all keys each second, the first one ``hot`` times."""
    for second in range(seconds):
        rows = [(f"/p\0{number}", hot if number == 0 else 1) for number in range(keys)]
        coordinator.apply(report(*rows), table, float(second))
        for _ in coordinator.balance(table, second + 0.5):
            pass
    return coordinator.create_message("h1", 1)


def test_keys_with_two_homes_are_balanced_over_both():
    table, coordinator = create_table(20), KeyCoordinator(REGION)
    for second in range(12):
        rows = [(f"/p\0{number}", 2) for number in range(60)]
        coordinator.apply(report(*rows), table, float(second))
        for _ in coordinator.balance(table, second + 0.5):
            pass
    message = coordinator.create_message("h1", 1)
    assert message.homes == {SERVICE: 2}
    applied, ranks = AppliedWeights(), RankCache()
    applied.apply(REGION, message, table, 12.0)
    homes = [
        row.instance
        for number in range(60)
        for row in ranks.homes(table, SERVICE, REGION, f"/p\0{number}")
    ]
    assert len(homes) == 120
    assert max(map(homes.count, homes)) - min(map(homes.count, homes)) <= 6


@pytest.mark.parametrize("servers", [1, 2, 3])
def test_few_servers_are_balanced_without_error(servers):
    message = balance(KeyCoordinator(REGION), create_table(servers), 12)
    assert len(message.weights) <= servers


def test_servers_of_other_regions_and_without_members_are_left_alone():
    table = create_table(3)
    add_server(table, "far", "elsewhere")
    message = balance(KeyCoordinator(REGION), table, 12)
    assert "far" not in message.weights
    table.servers.clear()
    table.rebuild()
    assert balance(KeyCoordinator(REGION), table, 12).weights == {}


@pytest.mark.parametrize(("period", "early"), [(1, 5), (1.5, 5), (5, 15)])
def test_the_first_phase_lasts_three_rounds_of_reports(period, early):
    """Guards against limited moves in a large region before most keys are known."""
    coordinator = KeyCoordinator(REGION, period_seconds=period)
    table, now = create_table(6), 10.0
    shares = []
    while now < 10.0 + early + period:
        coordinator.apply(report(("/p\0k", 1)), table, now)
        shares.append((now - 10.0, coordinator._moves_share(now)))
        now += period
    assert all(share == 1.0 for age, share in shares if 1 <= age < early)
    assert all(share < 0.1 for age, share in shares if age >= early)
    known = KeyUsageReport("h1", 1, REGION, 1, [], "former", 1)
    coordinator.version = 1
    assert coordinator.lacks_weights(known, "h2", 1, 10.0 + early - 0.1)
    assert not coordinator.lacks_weights(known, "h2", 1, 10.0 + early)


def test_weights_of_a_round_that_fails_later_have_a_new_version(monkeypatch):
    """Guards against weights that hosts never get, as one service fails each round."""
    table, coordinator = create_table(6), KeyCoordinator(REGION)
    table.servers["z"] = Server("z", "zz", "z", "zone-a", REGION, 3)
    table.rebuild()
    balance_service = KeyCoordinator._balance_service

    def fail_for_last(self, service, *rest):
        if service == "zz":
            raise ValueError(service)
        return (yield from balance_service(self, service, *rest))

    monkeypatch.setattr(KeyCoordinator, "_balance_service", fail_for_last)
    keys = report(*((f"/p\0{number}", 1) for number in range(60)))
    coordinator.apply(keys, table, 0.0)
    coordinator.apply(keys, table, 1.0)
    with pytest.raises(ValueError, match="zz"):
        list(coordinator.balance(table, 1.5))
    assert coordinator.weights
    assert coordinator.version == 1
