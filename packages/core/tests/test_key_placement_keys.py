"""The usage of keys that hosts report, and the keys that a coordinator keeps."""

import pytest
from key_placement_model import REGION, SERVICE, add_server, create_table

from greengagepoint.key_placement.coordinator import KeyCoordinator
from greengagepoint.key_placement.copies import (
    COPIES_MAX,
    ServiceLoad,
    choose_copies,
)
from greengagepoint.key_placement.known_keys import KEEP_SECONDS, KEYS_MAX, KnownKeys
from greengagepoint.key_placement.messages import KeyUsageReport, KeyUsageRow
from greengagepoint.key_placement.usage import KEYS_MAX as USAGE_KEYS_MAX
from greengagepoint.key_placement.usage import REPORT_ROWS_MAX, KeyUsage


def report(*rows):
    """Return a report with rows of a key and its runs, all warm."""
    found = [KeyUsageRow(SERVICE, key, runs, 0) for key, runs in rows]
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
    assert usage.take(REGION) == [KeyUsageRow(SERVICE, "k", 2, 1)]


def test_usage_is_bounded_while_no_coordinator_answers():
    # Callers choose cookies. Without a bound they could fill the host's memory.
    usage = KeyUsage()
    for number in range(USAGE_KEYS_MAX * 2):
        usage.note(REGION, SERVICE, f"k{number}", is_cold=False)
    usage.note(REGION, SERVICE, "k" * 65, is_cold=False)
    usage.note(REGION, SERVICE, "é" * 33, is_cold=False)
    assert len(usage.regions[REGION]) == USAGE_KEYS_MAX
    usage.put_back(REGION, [KeyUsageRow(SERVICE, "other", 1, 0)])
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
    ("rate", "cold_share", "is_present", "expected"),
    [
        (8.0, 0.1, False, True),
        (7.0, 0.1, False, False),
        (7.0, 0.1, True, True),
        (5.0, 0.1, True, False),
        (8.0, 0.25, False, False),
        (8.0, 0.25, True, True),
        (8.0, 0.4, True, False),
    ],
)
def test_a_key_gets_a_second_home_if_it_fills_half_of_a_server(
    rate, cold_share, is_present, expected
):
    # A run takes 0.2 s, and a server has 3 slots: 7.5 requests per second fill half.
    present = frozenset({"hot"} if is_present else ())
    load = ServiceLoad(0.2, 3.0, cold_share)
    found = choose_copies({"hot": rate, "usual": 0.4}, load, present)
    assert found == ({"hot"} if expected else frozenset())


def test_the_number_of_second_homes_is_limited():
    rates = {f"k{number:03}": 10.0 + number for number in range(100)}
    found = choose_copies(rates, ServiceLoad(0.2, 3.0, 0.0), frozenset())
    assert found == {f"k{number:03}" for number in range(100 - COPIES_MAX, 100)}


def balance(coordinator, table, seconds, keys=60, hot=1):
    """Report all keys each second, the first one ``hot`` times."""
    for second in range(seconds):
        rows = [(f"/p\0{number}", hot if number == 0 else 1) for number in range(keys)]
        coordinator.apply(report(*rows), table, float(second))
        for _ in coordinator.balance(table, second + 0.5):
            pass
    return coordinator.create_message("h1", 1)


def test_a_hot_key_gets_a_second_home_with_half_of_its_load():
    table = create_table(6)
    message = balance(KeyCoordinator(REGION), table, 12, hot=20)
    assert message.copied_keys == {SERVICE: ["/p\0" + "0"]}


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
