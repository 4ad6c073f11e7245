from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengagepoint.balancing.choice import (
    choose,
    record_request_end,
    record_request_start,
)
from greengagepoint.balancing.reports import (
    InvalidLoadError,
    contradicts_local_state,
    parse_load,
    record_load_report,
)
from greengagepoint.balancing.rows import set_listed_leaving, sync_rows
from greengagepoint.balancing.system import ejected_max, run
from greengagepoint.balancing.tables import BackendTable, Load, Outcome
from greengagepoint.configuration import EMPTY
from greengagepoint.events import Event
from greengagepoint.records.schemas import BackendServer, Drain, DrainTarget, Site


def make_configuration(count=4, connections=400, drains=(), generation=1):
    servers = tuple(
        BackendServer(f"b{number}", "booking", f"b{number}:80", 10, connections)
        for number in range(count)
    )
    site = Site(name="s", region="r", zone="z", capacity=100, backend_servers=servers)
    return EMPTY._replace(
        generation=generation,
        sites={"s": site},
        drains={
            name: Drain(
                name=name,
                target_kind=DrainTarget.BACKEND_SERVER,
                target=name,
                start_at=start_at,
            )
            for name, start_at in drains
        },
    )


def make_table(**kwargs):
    table = BackendTable()
    sync_rows(table, make_configuration(**kwargs), 0.0, 0)
    return table, table.pools["booking", "s"].rows


def chosen_names(table, now=0.0, exclude=frozenset(), count=60):
    """Return the names chosen in ``count`` independent choices."""
    rows = [
        choose(table, "booking", "s", now, Random(seed), exclude)
        for seed in range(count)
    ]
    return {row.name for row in rows if row is not None}


def answer_requests(rows, count, latency=0.01):
    for row in rows:
        for _ in range(count):
            record_request_start(row, 0.0)
            record_request_end(row, Outcome.ANSWERED, latency, 0.0)


def leave_by_record(table, rows):
    sync_rows(
        table, make_configuration(drains=[("b0", "1970-01-01T00:00:00Z")]), 1.0, 0
    )


def leave_by_signal(table, rows):
    record_load_report(rows[0], Load(0, 10, 0, leaving=True), 1.0)


def leave_by_removal(table, rows):
    kept = make_configuration()
    site = kept.sites["s"]
    site = Site(
        name="s",
        region="r",
        zone="z",
        capacity=100,
        backend_servers=site.backend_servers[1:],
    )
    sync_rows(table, kept._replace(sites={"s": site}), 1.0, 0)


def leave_by_host_list(table, rows):
    set_listed_leaving(table, frozenset({"b0"}))


@pytest.mark.parametrize(
    "leave",
    [leave_by_record, leave_by_signal, leave_by_removal, leave_by_host_list],
)
def test_leaving_server_gets_no_new_requests(leave):
    """A backend server is marked as leaving while it serves a request.

    From the next choice on it gets no new requests, although it is the least busy.
    The request in flight continues; when it ends, the server is drained.
    """
    table, rows = make_table()
    leaving_server = rows[0]
    record_request_start(leaving_server, 0.0)
    for row in rows[1:]:
        for _ in range(5):
            record_request_start(row, 0.0)
    assert chosen_names(table) == {"b0"}
    leave(table, rows)
    assert chosen_names(table, 1.0) <= {"b1", "b2", "b3"}
    assert [item.event for item in run(table, 1.0)] == [Event.BACKEND_SERVER_LEAVING]
    record_request_end(leaving_server, Outcome.ANSWERED, 0.01, 2.0)
    assert Event.BACKEND_SERVER_DRAINED in [item.event for item in run(table, 2.0)]
    assert run(table, 2.5) == []


def test_outdated_load_endpoint_does_not_clear_the_leaving_signal():
    """A server signals leaving in an answer; its load endpoint reports otherwise.

    It gets no new requests until it has not repeated the signal for half a minute.
    """
    table, rows = make_table()
    leave_by_signal(table, rows)
    record_load_report(rows[0], Load(0, 10), 5.0)
    assert "b0" not in chosen_names(table, 5.0)
    record_load_report(rows[0], Load(0, 10), 32.0)
    assert "b0" in chosen_names(table, 32.0)


def test_planned_drain_begins_at_its_time():
    table, _rows = make_table()
    configuration = make_configuration(drains=[("b0", "1970-01-01T00:00:10Z")])
    sync_rows(table, configuration, 1.0, 9_999)
    assert "b0" in chosen_names(table, 1.0)
    sync_rows(table, configuration, 2.0, 10_000)
    assert "b0" not in chosen_names(table, 2.0)
    sync_rows(table, make_configuration(generation=3), 3.0, 10_000)
    assert "b0" in chosen_names(table, 3.0)


def test_choice_prefers_fewer_in_flight_then_warm_connections():
    table, rows = make_table(count=2)
    answer_requests(rows[:1], 1, 0.005)
    assert chosen_names(table) == {"b0"}
    record_request_start(rows[0], 0.0)
    record_request_start(rows[0], 0.0)
    assert chosen_names(table) == {"b1"}


def test_connection_limit_and_exclude_are_respected():
    table, rows = make_table(count=2, connections=1)
    record_request_start(rows[0], 0.0)
    assert chosen_names(table) == {"b1"}
    assert chosen_names(table, exclude=frozenset({"b1"})) == set()
    record_load_report(rows[1], Load(1, 10), 0.0)
    assert chosen_names(table) == set()
    assert choose(table, "records", "s", 0.0, Random(1)) is None


def test_new_server_gets_slow_start():
    """A cold server joins a pool whose servers have two requests in flight each.

    At first it is not chosen, although it is idle; after slow start it is the best
    choice.
    """
    table, _rows = make_table(count=3)
    sync_rows(table, make_configuration(count=4, generation=2), 100.0, 0)
    rows = table.pools["booking", "s"].rows
    for row in rows:
        row.warm_connections = 5
        if row.name != "b3":
            record_request_start(row, 100.0)
            record_request_start(row, 100.0)
    assert "b3" not in chosen_names(table, 100.0)
    assert chosen_names(table, 110.0) == {"b3"}


def test_failing_server_is_ejected_then_readmitted_with_slow_start():
    """A backend server refuses each request at once.

    Because it fails fast, it has few requests in flight and would attract all
    requests. After five failures it is no longer chosen, at the next tick it is
    ejected, and when the ejection ends it is readmitted with slow start.
    """
    table, rows = make_table()
    for _ in range(5):
        record_request_start(rows[0], 0.0)
        record_request_end(rows[0], Outcome.REFUSED, 0.0, 0.0)
    assert "b0" not in chosen_names(table)
    events = run(table, 0.0)
    assert [item.event for item in events] == [Event.BACKEND_SERVER_EJECTED]
    assert "b0" not in chosen_names(table, 4.9)
    events = run(table, 5.0)
    assert [item.event for item in events] == [Event.BACKEND_SERVER_READMITTED]
    assert rows[0].slow_start_from == 5.0


@pytest.mark.parametrize(("pause", "seconds"), [(0.0, 10.0), (301.0, 5.0)])
def test_ejection_lasts_longer_each_time_until_the_count_resets(pause, seconds):
    table, rows = make_table()

    def eject(now):
        for _ in range(5):
            record_request_start(rows[0], now)
            record_request_end(rows[0], Outcome.FAILED, 0.0, now)
        run(table, now)
        return rows[0].ejected_until

    readmitted_at = eject(0.0)
    run(table, readmitted_at)
    again_at = readmitted_at + pause
    assert eject(again_at) - again_at == seconds


def test_site_that_is_down_is_probed_once_a_second():
    """All servers of a site refuse requests, more than may be ejected.

    Requests get no server there and go to the next site at once. One request per
    second probes the site; when it succeeds, its server gets requests again.
    """
    table, rows = make_table()
    for row in rows:
        for _ in range(5):
            record_request_start(row, 0.0)
            record_request_end(row, Outcome.REFUSED, 0.0, 0.0)
    run(table, 0.0)
    probes = [choose(table, "booking", "s", 0.1, Random(1)) for _ in range(3)]
    assert [row is not None for row in probes] == [True, False, False]
    assert choose(table, "booking", "s", 1.0, Random(1)) is None
    probed_row = choose(table, "booking", "s", 1.2, Random(1))
    record_request_start(probed_row, 1.2)
    record_request_end(probed_row, Outcome.ANSWERED, 0.01, 1.3)
    assert chosen_names(table, 1.3) == {probed_row.name}


@given(st.integers(0, 30), st.data())
def test_ejection_is_bounded(count, data):
    table, rows = make_table(count=max(1, count))
    for row in rows:
        for _ in range(data.draw(st.integers(0, 8))):
            record_request_start(row, 0.0)
            record_request_end(row, Outcome.FAILED, 0.0, 0.0)
    for tick in range(5):
        run(table, float(tick))
        ejected = sum(row.ejected_until is not None for row in rows)
        assert ejected <= ejected_max(len(rows)) <= max(1, len(rows) // 3)
    assert choose(table, "booking", "s", 5.0, Random(1)) is not None


@pytest.mark.parametrize(
    ("load", "own", "slow", "expected"),
    [
        (Load(5, 10), 5, False, False),
        (Load(0, 10), 5, False, True),
        (Load(0, 10), 0, True, True),
        (Load(90, 10), 0, False, True),
        (Load(90, 10), 0, True, False),
    ],
)
def test_report_contradicts_local_state(load, own, slow, expected):
    _table, rows = make_table()
    answer_requests(rows, 16)
    answer_requests(rows[:1], 16, 0.2 if slow else 0.01)
    answer_requests(rows[1:], 16)
    for _ in range(own):
        record_request_start(rows[0], 0.0)
    assert contradicts_local_state(rows[0], load) is expected


def test_contradicting_reports_lose_trust():
    """A server always reports no load; this host alone has nine requests there.

    Its reports lose trust with each contradiction, and one event is emitted.
    """
    table, rows = make_table()
    for _ in range(9):
        record_request_start(rows[0], 0.0)
    for tick in range(3):
        record_load_report(rows[0], Load(0, 10), float(tick))
    assert rows[0].trust < 0.2
    assert [item.event for item in run(table, 3.0)] == [Event.LOAD_REPORT_DISTRUSTED]
    assert run(table, 4.0) == []


def test_report_weight_decays_and_late_report_is_ignored():
    """Two reports of a busy server arrive, the older one late.

    The new report moves requests to other servers and the late one is ignored. After
    several service times the report has no effect on the choice.
    """
    table, rows = make_table(count=2)
    answer_requests(rows, 1)
    record_load_report(rows[0], Load(8, 10), 10.0)
    assert chosen_names(table, 10.0) == {"b1"}
    record_load_report(rows[0], Load(0, 10), 10.0, age_seconds=3.0)
    assert rows[0].reported == Load(8, 10)
    assert chosen_names(table, 10.0) == {"b1"}
    assert chosen_names(table, 30.0) == {"b0", "b1"}


@pytest.mark.parametrize(
    "text",
    [
        "",
        "[]",
        '{"in_flight":-1,"slots":1}',
        '{"in_flight":"x","slots":1}',
        '{"slots":1}',
        '{"in_flight":1,"slots":9999999}',
        '{"in_flight":1,"slots":1,"x":"' + "a" * 600 + '"}',
        b"\xff\xfe",
    ],
)
def test_invalid_load_is_rejected(text):
    with pytest.raises(InvalidLoadError, match="the load report"):
        parse_load(text)


def test_valid_load_is_decoded():
    text = '{"in_flight":3,"slots":10,"queued":1,"leaving":true,"new":1}'
    assert parse_load(text) == Load(3, 10, 1, True)


@given(st.lists(st.sampled_from(list(Outcome)), max_size=40))
def test_counts_return_to_zero(outcomes):
    _table, rows = make_table(count=1)
    for _ in outcomes:
        record_request_start(rows[0], 0.0)
    for outcome in outcomes:
        record_request_end(rows[0], outcome, 0.01, 0.0)
    assert rows[0].in_flight == 0
    assert 0.0 <= rows[0].failure_rate <= 1.0
