from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengagepoint.balancing.choice import choose, finished, started
from greengagepoint.balancing.reports import (
    InvalidLoadError,
    contradicts_local_state,
    parse_load,
    report,
)
from greengagepoint.balancing.rows import set_listed_leaving, sync_rows
from greengagepoint.balancing.system import ejected_max, run
from greengagepoint.balancing.tables import BackendTable, Load, Outcome
from greengagepoint.configuration import EMPTY
from greengagepoint.events import Event
from greengagepoint.records.schemas import BackendServer, Drain, DrainTarget, Site


def configured(count=4, connections=400, drains=(), generation=1):
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


def filled(**kwargs):
    table = BackendTable()
    sync_rows(table, configured(**kwargs), 0.0, 0)
    return table, table.pools["booking", "s"].rows


def chosen(table, now=0.0, exclude=frozenset(), count=60):
    """Return the names chosen by that many independent draws."""
    rows = [
        choose(table, "booking", "s", now, Random(seed), exclude)
        for seed in range(count)
    ]
    return {row.name for row in rows if row is not None}


def answer_all(rows, count, latency=0.01):
    for row in rows:
        for _ in range(count):
            started(row, 0.0)
            finished(row, Outcome.ANSWERED, latency, 0.0)


def leave_by_record(table, rows):
    sync_rows(table, configured(drains=[("b0", "1970-01-01T00:00:00Z")]), 1.0, 0)


def leave_by_signal(table, rows):
    report(rows[0], Load(0, 10, 0, leaving=True), 1.0)


def leave_by_removal(table, rows):
    kept = configured()
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
def test_leaving_server_gets_nothing_new(leave):
    """One source says that a backend server leaves while it serves a request.

    The next choice already passes it over, though it is the least busy; the
    request in flight goes on, and when it ends the server counts as drained.
    """
    table, rows = filled()
    leaver = rows[0]
    started(leaver, 0.0)
    for row in rows[1:]:
        for _ in range(5):
            started(row, 0.0)
    assert chosen(table) == {"b0"}
    leave(table, rows)
    assert chosen(table, 1.0) <= {"b1", "b2", "b3"}
    assert [found.event for found in run(table, 1.0)] == [Event.BACKEND_SERVER_LEAVING]
    finished(leaver, Outcome.ANSWERED, 0.01, 2.0)
    assert Event.BACKEND_SERVER_DRAINED in [found.event for found in run(table, 2.0)]
    assert run(table, 2.5) == []


def test_lagging_endpoint_does_not_bring_a_leaving_server_back():
    """A server says in an answer that it leaves; its load endpoint still denies it.

    It gets nothing new; only half a minute without its word brings it back.
    """
    table, rows = filled()
    leave_by_signal(table, rows)
    report(rows[0], Load(0, 10), 5.0)
    assert "b0" not in chosen(table, 5.0)
    report(rows[0], Load(0, 10), 32.0)
    assert "b0" in chosen(table, 32.0)


def test_planned_drain_begins_at_its_time():
    table, _rows = filled()
    configuration = configured(drains=[("b0", "1970-01-01T00:00:10Z")])
    sync_rows(table, configuration, 1.0, 9_999)
    assert "b0" in chosen(table, 1.0)
    sync_rows(table, configuration, 2.0, 10_000)
    assert "b0" not in chosen(table, 2.0)
    sync_rows(table, configured(generation=3), 3.0, 10_000)
    assert "b0" in chosen(table, 3.0)


def test_choice_prefers_fewer_in_flight_then_warm_connections():
    table, rows = filled(count=2)
    answer_all(rows[:1], 1, 0.005)
    assert chosen(table) == {"b0"}
    started(rows[0], 0.0)
    started(rows[0], 0.0)
    assert chosen(table) == {"b1"}


def test_connections_bound_holds_and_exclude_is_kept():
    table, rows = filled(count=2, connections=1)
    started(rows[0], 0.0)
    assert chosen(table) == {"b1"}
    assert chosen(table, exclude=frozenset({"b1"})) == set()
    report(rows[1], Load(1, 10), 0.0)
    assert chosen(table) == set()
    assert choose(table, "records", "s", 0.0, Random(1)) is None


def test_new_server_starts_slowly():
    """A cold server joins a pool; each sibling has two requests in flight.

    At first it gets next to nothing, though it is idle; after slow start it is
    the best choice.
    """
    table, _rows = filled(count=3)
    sync_rows(table, configured(count=4, generation=2), 100.0, 0)
    rows = table.pools["booking", "s"].rows
    for row in rows:
        row.warm_connections = 5
        if row.name != "b3":
            started(row, 100.0)
            started(row, 100.0)
    assert "b3" not in chosen(table, 100.0)
    assert chosen(table, 110.0) == {"b3"}


def test_failing_server_is_ejected_then_readmitted_slowly():
    """A backend server refuses each request at once.

    Being fast to fail it has few in flight and would draw all requests; after
    five failures it is passed over, at the next tick ejected, and when its time
    is over it comes back with slow start.
    """
    table, rows = filled()
    for _ in range(5):
        started(rows[0], 0.0)
        finished(rows[0], Outcome.REFUSED, 0.0, 0.0)
    assert "b0" not in chosen(table)
    events = run(table, 0.0)
    assert [found.event for found in events] == [Event.BACKEND_SERVER_EJECTED]
    assert "b0" not in chosen(table, 4.9)
    events = run(table, 5.0)
    assert [found.event for found in events] == [Event.BACKEND_SERVER_READMITTED]
    assert rows[0].slow_start_from == 5.0


@pytest.mark.parametrize(("pause", "seconds"), [(0.0, 10.0), (301.0, 5.0)])
def test_ejection_lasts_longer_each_time_until_forgotten(pause, seconds):
    table, rows = filled()

    def eject(now):
        for _ in range(5):
            started(rows[0], now)
            finished(rows[0], Outcome.FAILED, 0.0, now)
        run(table, now)
        return rows[0].ejected_until

    readmitted_at = eject(0.0)
    run(table, readmitted_at)
    again_at = readmitted_at + pause
    assert eject(again_at) - again_at == seconds


def test_site_that_is_down_is_probed_once_a_second():
    """All servers of a site refuse, more than may be ejected.

    Requests find no server there and go on to the next site at once; one a second
    tries, and when it is answered the site takes requests again.
    """
    table, rows = filled()
    for row in rows:
        for _ in range(5):
            started(row, 0.0)
            finished(row, Outcome.REFUSED, 0.0, 0.0)
    run(table, 0.0)
    tries = [choose(table, "booking", "s", 0.1, Random(1)) for _ in range(3)]
    assert [row is not None for row in tries] == [True, False, False]
    assert choose(table, "booking", "s", 1.0, Random(1)) is None
    probed = choose(table, "booking", "s", 1.2, Random(1))
    started(probed, 1.2)
    finished(probed, Outcome.ANSWERED, 0.01, 1.3)
    assert chosen(table, 1.3) == {probed.name}


@given(st.integers(0, 30), st.data())
def test_ejection_is_bounded(count, data):
    table, rows = filled(count=max(1, count))
    for row in rows:
        for _ in range(data.draw(st.integers(0, 8))):
            started(row, 0.0)
            finished(row, Outcome.FAILED, 0.0, 0.0)
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
def test_report_contradicts(load, own, slow, expected):
    _table, rows = filled()
    answer_all(rows, 16)
    answer_all(rows[:1], 16, 0.2 if slow else 0.01)
    answer_all(rows[1:], 16)
    for _ in range(own):
        started(rows[0], 0.0)
    assert contradicts_local_state(rows[0], load) is expected


def test_lying_report_loses_its_weight():
    """A server always reports itself idle; this host alone has nine there.

    Its reports lose trust at each contradiction and an event tells it once.
    """
    table, rows = filled()
    for _ in range(9):
        started(rows[0], 0.0)
    for tick in range(3):
        report(rows[0], Load(0, 10), float(tick))
    assert rows[0].trust < 0.2
    assert [found.event for found in run(table, 3.0)] == [Event.LOAD_REPORT_DISTRUSTED]
    assert run(table, 4.0) == []


def test_report_ages_and_late_one_is_ignored():
    """Two hosts share reports of one busy server; one arrives late.

    A fresh report sends requests elsewhere; the late one changes nothing; a report
    as old as several requests counts no longer.
    """
    table, rows = filled(count=2)
    answer_all(rows, 1)
    report(rows[0], Load(8, 10), 10.0)
    assert chosen(table, 10.0) == {"b1"}
    report(rows[0], Load(0, 10), 10.0, age_seconds=3.0)
    assert rows[0].reported == Load(8, 10)
    assert chosen(table, 10.0) == {"b1"}
    assert chosen(table, 30.0) == {"b0", "b1"}


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
def test_invalid_load_is_refused(text):
    with pytest.raises(InvalidLoadError, match="the load report"):
        parse_load(text)


def test_valid_load_is_decoded():
    text = '{"in_flight":3,"slots":10,"queued":1,"leaving":true,"new":1}'
    assert parse_load(text) == Load(3, 10, 1, True)


@given(st.lists(st.sampled_from(list(Outcome)), max_size=40))
def test_counts_return_to_zero(outcomes):
    _table, rows = filled(count=1)
    for _ in outcomes:
        started(rows[0], 0.0)
    for outcome in outcomes:
        finished(rows[0], outcome, 0.01, 0.0)
    assert rows[0].in_flight == 0
    assert 0.0 <= rows[0].failure_rate <= 1.0
