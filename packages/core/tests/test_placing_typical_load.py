"""The estimated load of servers without a recent report."""

import pytest

from greengagepoint.placing.tables import Server
from greengagepoint.placing.typical_load import TypicalLoad


def typical(*busy):
    load = TypicalLoad()
    for part in busy:
        load.record_load(part)
    return load


@pytest.mark.parametrize(
    ("own", "senders", "least", "most"),
    [
        (0, 65, 3.5, 4.5),
        (1, 65, 3.5, 6.0),
        (0, 3, 0.0, 3.0),
        (4, 3, 4.0, 6.5),
        (2, 1, 0.0, 0.0),
    ],
    ids=[
        "many, none here",
        "many, one here",
        "few, none here",
        "few, many here",
        "alone",
    ],
)
def test_own_requests_count_more_if_few_hosts_send(own, senders, least, most):
    # Servers with 9 slots are half busy. One request of this host must not make a
    # server look as if 65 hosts had one there, or the next request would run cold.
    load = typical(*[0.5] * 20)
    assert least <= load.estimate_others(own, 9, senders) <= most


def test_peers_are_assumed_equal_before_any_report():
    assert TypicalLoad().estimate_others(2, 9, 4) == 6


def test_idle_servers_are_estimated_to_be_idle():
    assert typical(*[0.0] * 5).estimate_others(0, 9, 65) == 0


def test_long_queues_do_not_make_unknown_servers_look_full():
    # Most requests meet the few servers with queues. If unknown servers were assumed to
    # have such queues, callers would be rejected while slots are free.
    server = Server("i-1", "booking", "", "zone-a", "north", 9, senders=65)
    server.typical = typical(*[3.0] * 20)
    assert server.expected_wait(0.0) <= server.service_seconds / server.slots


def test_the_mean_follows_a_change_within_some_reports():
    load = typical(*[0.2] * 20, *[0.9] * 20)
    assert load.busy == pytest.approx(0.9, abs=0.15)


def test_a_server_with_few_measurements_counts_as_twice_as_slow():
    # Runs take 1.1 s. If a run is estimated at 0.3 s, a queue of 18 looks like 0.6 s
    # but takes 2.2 s.
    server = Server("i-1", "booking", "", "zone-a", "north", 9, senders=65)
    for _ in range(50):
        server.typical.record_run(1.1)
    assert server.run_seconds == pytest.approx(2.2, rel=0.1)
    for _ in range(100):
        server.record_service_time(0.9)
    assert server.run_seconds == pytest.approx(0.9, abs=0.05)


def test_cold_runs_do_not_make_servers_look_slow():
    # In an overload half of the runs are cold. If these made queues look longer, keys
    # would leave the servers that are warm for them, and more runs would be cold.
    load = TypicalLoad()
    for _ in range(200):
        load.record_run(0.2)
        load.record_run(0.8)
    assert load.cautious_run_seconds() < 0.5
