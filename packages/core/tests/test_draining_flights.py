"""What a drain's status says while requests end."""

import pytest

from greengagepoint.draining import flights
from greengagepoint.draining.flights import FlightTable, Progress

MEGABYTE = 1_000_000


def of(name):
    return lambda flight: flight.backend_server == name


def begin_pack(table, name, megabytes, now=0.0):
    flight = table.flights[flights.begin(table, "athina-1", name, "vault", now)]
    flight.length_bytes = megabytes * MEGABYTE
    return flight


def test_a_drain_of_packs_counts_the_others_on_the_link():
    """Two packs come over one link, one of them from the server that drains. The
    other ends first and leaves the link to it, so the drain takes less than at its
    present speed; and nothing is left when it has ended.
    """
    table = FlightTable()
    drained = begin_pack(table, "vault-1", 120)
    other = begin_pack(table, "vault-2", 60)
    for second in range(1, 3):
        drained.received_bytes += 10 * MEGABYTE
        other.received_bytes += 10 * MEGABYTE
        flights.run(table, second)
    found = flights.progress(table, of("vault-1"), 2.0)
    # 40 MB each at 10 MB/s, then the last 60 MB at 20 MB/s.
    assert found == Progress(1, pytest.approx(7.0))
    drained.received_bytes = drained.length_bytes
    assert flights.progress(table, of("vault-1"), 9.0).remaining_seconds == 0.0
    flights.end(table, 1, 9.0, answered=True)
    assert flights.progress(table, of("vault-1"), 9.0) == Progress(0, 0.0)


def test_small_requests_are_judged_by_those_that_ended():
    table = FlightTable()
    first = flights.begin(table, "athina-1", "desk-1", "desk", 0.0)
    assert flights.progress(table, of("desk-1"), 1.0) == Progress(1, None)
    for seconds in (1.0, 2.0, 3.0):
        number = flights.begin(table, "athina-1", "desk-2", "desk", 0.0)
        flights.end(table, number, seconds, answered=True)
        failed = flights.begin(table, "athina-1", "desk-2", "desk", 0.0)
        flights.end(table, failed, 50.0, answered=False)
    found = flights.progress(table, of("desk-1"), 1.5)
    assert found == Progress(1, pytest.approx(0.5, abs=0.01))
    flights.end(table, first, 1.5, answered=True)
    flights.end(table, first, 99.0, answered=True)
    assert max(table.samples["desk"]) == 3.0


def test_an_old_peak_of_the_link_fades():
    table = FlightTable()
    pack = begin_pack(table, "vault-1", 5000)
    for second in range(1, 700):
        pack.received_bytes += (20 if second < 10 else 2) * MEGABYTE
        flights.run(table, second)
    assert table.peaks["athina-1"].bytes_per_second == pytest.approx(2 * MEGABYTE)


def test_a_short_answer_is_no_pack():
    table = FlightTable()
    flight = begin_pack(table, "desk-1", 0)
    flight.length_bytes = 1000
    flights.run(table, 1.0)
    flights.end(table, 1, 2.0, answered=True)
    assert list(table.samples["vault"]) == [2.0]
