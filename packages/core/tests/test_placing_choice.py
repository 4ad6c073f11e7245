import pytest

from greengagepoint.placing import suspicion
from greengagepoint.placing.choice import (
    NoServerAvailable,
    Permissions,
    ServerCriteria,
    choose,
)
from greengagepoint.placing.ranking import RankCache
from greengagepoint.placing.tables import Server, ServerTable

NOW = 100.0
KEY = "/bays/\x0017"


def server(instance, *, region="attiki", zone="a", **fields):
    return Server(instance, "booking", "10.0.0.1:80", zone, region, 4, **fields)


def table_of(*servers):
    table = ServerTable()
    table.servers = {row.instance: row for row in servers}
    table.rebuild()
    return table


def chosen(
    table,
    *,
    key=KEY,
    regions=("attiki",),
    tried=(),
    warm=(),
    may_send=True,
    may_wait=False,
    may_move=False,
):
    tried = frozenset(table.servers[name].incarnation for name in tried)
    warm = tuple(table.servers[name].incarnation for name in warm)
    wanted = ServerCriteria("booking", regions, key, 0.4, 2.5, tried, warm)
    permissions = Permissions(lambda row: may_send, lambda: may_wait, lambda: may_move)
    found = choose(table, RankCache(), wanted, permissions, NOW)
    return found if isinstance(found, NoServerAvailable) else found.instance


def ranked(table):
    rows = RankCache().rank(table, "booking", "attiki", KEY)
    return [row.instance for row in rows]


def four_servers():
    return table_of(*(server(f"i-{number}") for number in range(4)))


def apply_load(table, instance, running, waiting=0):
    table.servers[instance].apply_report(running, waiting, NOW)


def test_a_key_goes_to_the_same_server_from_every_host():
    assert len({chosen(four_servers()) for _ in range(5)}) == 1
    assert chosen(four_servers()) == ranked(four_servers())[0]


@pytest.mark.parametrize(
    ("first", "second", "expected"),
    [
        ((0, 0), (0, 0), 0),
        ((4, 1), (0, 0), 0),
        ((4, 6), (0, 0), 1),
        ((4, 6), (2, 0), 1),
        ((4, 6), (3, 0), 1),
        ((4, 6), (4, 0), None),
    ],
    ids=[
        "idle",
        "short wait",
        "long wait",
        "second half busy",
        "second with a free slot",
        "second full",
    ],
)
def test_a_request_leaves_a_warm_server_only_for_a_second_one_with_free_slots(
    first, second, expected
):
    # The third and fourth servers are idle, but the key would evict theirs.
    table = four_servers()
    order = ranked(table)
    apply_load(table, order[0], *first)
    apply_load(table, order[1], *second)
    result = chosen(table)
    assert result == (order[expected] if expected is not None else result)
    assert isinstance(result, NoServerAvailable) == (expected is None)


@pytest.mark.parametrize(
    ("first", "second", "expected"),
    [
        ((0, 0), (0, 0), 0),
        ((4, 1), (0, 0), 1),
        ((4, 1), (4, 0), 1),
        ((4, 0), (4, 2), 0),
    ],
    ids=["both free", "first full", "both full", "second longer"],
)
def test_the_warm_server_with_the_shorter_wait_is_used(first, second, expected):
    table = four_servers()
    order = ranked(table)
    apply_load(table, order[0], *first)
    apply_load(table, order[1], *second)
    assert chosen(table, warm=tuple(order)) == order[expected]


@pytest.mark.parametrize(
    ("may_move", "running", "expected"), [(False, 0, 1), (True, 0, 0), (True, 3, 1)]
)
def test_a_key_moves_to_a_joined_server_only_with_permission_and_while_it_is_idle(
    may_move, running, expected
):
    # A server joins and ranks first for a key that is warm on another one. The key's
    # next caller would wait for a cold run, and so would the callers of all other keys
    # that rank the server first.
    table = four_servers()
    order = ranked(table)
    apply_load(table, order[0], running)
    assert chosen(table, warm=(order[1],), may_move=may_move) == order[expected]


@pytest.mark.parametrize("obstacle", ["tried", "suspected", "just started"])
def test_an_unranked_server_is_used_if_no_ranked_one_can_be(obstacle):
    table = four_servers()
    order = ranked(table)
    for instance in order:
        if obstacle == "suspected":
            suspicion.record_failure(table.servers[instance], NOW)
        if obstacle == "just started":
            table.servers[instance].cold_until = NOW + 3
    tried = order if obstacle == "tried" else ()
    result = chosen(table, tried=tried, may_send=False)
    assert result in set(table.servers) - set(order)


def test_if_all_servers_are_busy_the_caller_is_told_when_to_retry():
    table = four_servers()
    for row in table.servers.values():
        apply_load(table, row.instance, 4, 12)
    result = chosen(table)
    assert result.servers_known
    assert 0.3 <= result.retry_seconds < 2.0


@pytest.mark.parametrize(
    ("waiting", "served"), [(6, True), (10, True), (14, False), (40, False)]
)
def test_a_caller_waits_only_for_an_answer_before_the_deadline(waiting, served):
    table = four_servers()
    for row in table.servers.values():
        apply_load(table, row.instance, 4, waiting)
    result = chosen(table, may_wait=True)
    assert (result == ranked(table)[0]) == served


def test_no_server_is_chosen_if_there_is_none():
    assert chosen(table_of()) == NoServerAvailable(1.0, servers_known=False)


@pytest.mark.parametrize("how", ["leaving", "evacuated"])
def test_servers_that_leave_or_are_in_an_evacuated_zone_are_not_chosen(how):
    table = table_of(server("i-1", zone="a"), server("i-2", zone="b"))
    if how == "leaving":
        table.leaving.add(table.servers["i-1"].incarnation)
    else:
        table.evacuated_zones = frozenset({"a"})
    table.rebuild()
    assert all(chosen(table, key=f"k{number}") == "i-2" for number in range(20))


def test_a_failed_server_is_avoided_until_it_answers():
    table = four_servers()
    first, second = ranked(table)[:2]
    suspicion.record_failure(table.servers[first], NOW)
    assert chosen(table) == second
    suspicion.record_answer(table.servers[first], NOW)
    assert chosen(table) == first


def test_only_one_request_at_a_time_probes_a_failed_server():
    # A server is silent. Each time its pause ends, all requests of the next 0.6 s would
    # wait for it until their connections time out; one is enough to check it.
    row = server("i-1")
    suspicion.record_failure(row, NOW)
    after = NOW + suspicion.PAUSE_SECONDS
    assert row.suspect_until <= after
    suspicion.begin_probe(row, after)
    assert row.suspect_until == after + suspicion.PROBE_SECONDS
    suspicion.record_answer(row, after)
    suspicion.begin_probe(row, after)
    assert row.suspect_until == 0.0


def test_the_pause_of_a_failing_server_doubles_up_to_its_limit():
    row = server("i-1")
    pauses = []
    for _ in range(6):
        suspicion.record_failure(row, NOW)
        pauses.append(row.suspect_until - NOW)
    assert pauses == [0.5, 1.0, 2.0, 4.0, 4.0, 4.0]


def test_if_all_servers_are_suspected_one_is_still_chosen():
    table = four_servers()
    for row in table.servers.values():
        suspicion.record_failure(row, NOW)
    assert chosen(table) in table.servers


def test_a_retry_goes_to_another_server():
    table = four_servers()
    first, second = ranked(table)[:2]
    assert chosen(table, tried={first}) == second


def test_a_cold_server_is_used_only_with_permission():
    table = four_servers()
    first = ranked(table)[0]
    table.servers[first].cold_until = NOW + 3
    assert chosen(table, may_send=False) != first
    assert chosen(table, may_send=True) == first


def test_requests_without_a_key_go_to_the_least_loaded_server():
    table = four_servers()
    for number, running in enumerate((2, 1, 0, 2)):
        apply_load(table, f"i-{number}", running)
    assert chosen(table, key=None) == "i-2"


def test_requests_without_a_key_use_all_slots():
    # No server is warmer than another for them, so slots need not be reserved.
    table = four_servers()
    for number in range(4):
        apply_load(table, f"i-{number}", 4, number)
    assert chosen(table, key=None) == "i-0"


@pytest.mark.parametrize(
    ("age", "own", "expected"),
    [(0.0, 0, 8), (0.0, 2, 10), (1.0, 0, 4.46), (30.0, 0, 2.4), (30.0, 2, 5.6)],
    ids=["fresh", "fresh and own", "a second old", "old", "old, and own"],
)
def test_a_report_decays_to_the_typical_load(age, own, expected):
    # All 4 slots of the server are in use, one by each of 4 hosts.
    row = server("i-1", senders=4)
    row.apply_report(4, 4, NOW - age)
    row.in_flight = own
    assert row.occupancy(NOW) == pytest.approx(expected, abs=0.01)
