"""Compare answers in time, late answers and rejections of several policies."""

import pytest
from placing_fleet import (
    Workload,
    choose_assuming_equal_peers,
    choose_by_key,
    choose_less_loaded_of_two,
    choose_next_in_rank,
    choose_with_spilling,
    simulate,
)

from greengagepoint.placing.allowance import create_wait_allowance

# 8 servers with 9 slots each run 500 requests per second if all runs are warm, 150 if
# none is.
LOW, BUSY, NEAR_LIMIT, OVERLOAD = 120, 300, 420, 600


@pytest.mark.parametrize(
    ("rate", "in_time"),
    [(LOW, 0.97), (BUSY, 0.97), (NEAR_LIMIT, 0.95), (OVERLOAD, 0.75)],
)
def test_most_callers_are_answered_in_time(rate, in_time):
    outcome = simulate(choose_by_key, rate=rate)
    served = outcome.in_time / outcome.total
    assert served >= in_time, outcome


@pytest.mark.parametrize("rate", [LOW, BUSY, NEAR_LIMIT, OVERLOAD])
@pytest.mark.parametrize("other", [choose_less_loaded_of_two, choose_next_in_rank])
def test_other_policies_do_not_answer_more_in_time(other, rate):
    # Guards against queues that keep growing: hosts send requests on to servers that
    # are cold for the key, and each cold run takes as long as three warm ones. The
    # queues grow further and stay when the load falls again.
    ours = simulate(choose_by_key, rate=rate)
    theirs = simulate(other, rate=rate)
    assert ours.in_time >= 0.97 * theirs.in_time, (ours, theirs)


def test_overload_is_rejected_on_arrival_and_few_answers_are_late():
    # At 1.2 times the capacity of warm servers, some callers cannot be served. If hosts
    # filled the queues up to the servers' limit, all answers would be late. With the
    # wait limit the excess is rejected on arrival, and servers shed almost nothing.
    ours = simulate(choose_by_key, rate=OVERLOAD)
    baseline = simulate(choose_next_in_rank, rate=OVERLOAD)
    assert ours.in_time > 2 * baseline.in_time, (ours, baseline)
    assert ours.late < 0.25 * ours.total, ours
    assert ours.shed < 0.01 * ours.total, ours


def test_callers_may_wait_in_a_burst_but_few_in_a_lasting_overload():
    # Servers are cold for two seconds after a start, and callers get late answers or
    # rejections meanwhile. Callers that may wait are served, but if all of them waited
    # in a lasting overload, no answer would be in time.
    burst = create_wait_allowance()
    assert sum(burst.withdraw() for _ in range(50)) == 50
    lasting = create_wait_allowance()
    waited = 0
    for _ in range(2_000):
        lasting.deposit()
        waited += lasting.withdraw()
    assert 0.08 <= waited / 2_000 <= 0.12


# A region has 2 of 8 servers left: 18 slots that run 125 requests per second if warm.
LEFT, LOST, RATE = 2, 0.75, 240


def test_callers_of_a_region_that_lost_its_servers_are_served_in_another():
    # Three quarters of a region's servers are drained. Without spilling, half of its
    # callers are rejected repeatedly while the servers of the next region are idle.
    # Served there, they pay one more round trip.
    alone = simulate(choose_by_key, rate=RATE, servers=LEFT)
    ours = simulate(
        choose_with_spilling,
        rate=RATE,
        servers=LEFT,
        remote=6,
        remote_busy=0.3,
        lost=LOST,
    )
    assert alone.rejected > 0.3 * alone.total, alone
    assert ours.rejected < 0.2 * alone.rejected, (ours, alone)
    assert ours.in_time > 1.5 * alone.in_time, (ours, alone)


def test_a_full_region_accepts_no_keys_of_another():
    # All regions are near their limit. Spilled keys run cold, for as long as three warm
    # runs, so they would fill the other regions too, and all callers would be late.
    alone = simulate(choose_by_key, rate=RATE, servers=LEFT)
    ours = simulate(
        choose_with_spilling,
        rate=RATE,
        servers=LEFT,
        remote=6,
        remote_busy=0.95,
        lost=LOST,
    )
    assert ours.in_time == pytest.approx(alone.in_time, rel=0.1)
    assert ours.late <= 1.1 * alone.late, (ours, alone)


# 87 hosts share 30 servers and use 0.67 of their slots if all runs are warm. Each host
# sends to each server once in six seconds, and a cold run takes four times as long as a
# warm one.
LARGE = {
    "rate": 430,
    "seconds": 22.0,
    "measured_from": 14.0,
    "hosts": 87,
    "servers": 30,
    "keys": 466,
    "workload": Workload(1.0, 6.0, 1.58, 0.42, 24),
}


def test_many_hosts_that_seldom_send_to_a_server_keep_its_keys_warm():
    # A host has one request at a server and has had no report from it for seconds. If
    # it assumes that every peer has one there too, it considers the server full and
    # sends the next request to one that is cold for the key. The cold runs fill slots,
    # and queues grow until most callers are late while a third of the slots is free.
    ours = simulate(choose_by_key, **LARGE)
    baseline = simulate(choose_assuming_equal_peers, **LARGE)
    assert ours.in_time >= 0.9 * ours.total, (ours, baseline)
    assert ours.late < 0.6 * baseline.late, (ours, baseline)
    assert ours.rejected <= baseline.rejected, (ours, baseline)


def test_many_hosts_near_the_limit_do_not_run_everything_cold():
    # As above with 0.86 of the slots in use: cold runs cause more cold runs until
    # almost no answer is in time.
    near_limit = {**LARGE, "servers": 23}
    ours = simulate(choose_by_key, **near_limit)
    baseline = simulate(choose_assuming_equal_peers, **near_limit)
    assert ours.in_time > 0.5 * ours.total, (ours, baseline)
    assert ours.in_time > 2 * baseline.in_time, (ours, baseline)


# 65 hosts share 117 servers and use half of their slots if all runs are warm. Each
# server caches 9 keys and is assigned 4 on average; some are assigned 10.
HALF_BUSY = {
    "rate": 480,
    "seconds": 26.0,
    "measured_from": 18.0,
    "hosts": 65,
    "servers": 117,
    "keys": 433,
    "workload": Workload(2.5, 20.0, 4.37, 1.1, 9),
}


@pytest.mark.parametrize(
    ("load", "in_time"), [(LARGE, 0.97), (HALF_BUSY, 0.97)], ids=["87", "65"]
)
def test_hosts_that_share_reports_of_full_servers_avoid_them(load, in_time):
    # A few servers have more keys than others and are full, while others are half busy.
    # No host notices in time, as its own last request there was many seconds ago. With
    # reports from peers within one to two seconds, it sends to the second server of a
    # key, and few callers wait.
    ours = simulate(choose_by_key, report_seconds=1.2, **load)
    alone = simulate(choose_by_key, **load)
    assert ours.in_time >= in_time * ours.total, (ours, alone)
    assert ours.late < 0.5 * alone.late, (ours, alone)
    assert ours.rejected + ours.shed <= 0.002 * ours.total, (ours, alone)
