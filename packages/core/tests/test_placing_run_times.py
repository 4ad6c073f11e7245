"""Learning warm and cold run times from runs with wrong labels."""

import random

import pytest

from greengagepoint.placing.run_times import (
    KEPT_SECONDS,
    ROUTES_MAX,
    RunTimes,
    WaitFactor,
)

GOAL = 0.72


def learn(rng, runs, *, warm, cold, evicted, warm_by_peers=0.5, believed=0.9):
    """Record runs whose labels are wrong at the given shares."""
    times = RunTimes()
    for _ in range(runs):
        believed_warm = rng.random() < believed
        wrong = rng.random() < (evicted if believed_warm else warm_by_peers)
        is_warm = believed_warm != wrong
        seconds = (warm if is_warm else cold) * rng.uniform(0.8, 1.2)
        times.record("s", "/", GOAL, seconds, 0.0, believed_warm=believed_warm)
    return times.estimate("s", "/", GOAL)


@pytest.mark.parametrize("evicted", [0.0, 0.12, 0.25, 0.4])
@pytest.mark.parametrize(("warm", "cold"), [(0.225, 0.75), (0.1, 0.33), (0.5, 1.6)])
def test_wrong_labels_do_not_spoil_the_run_times(warm, cold, evicted):
    # Servers evict keys that a host thinks are warm, up to four in ten when they hold
    # too many. A warm time that followed these would double every queue.
    estimate = learn(random.Random(1), 600, warm=warm, cold=cold, evicted=evicted)
    assert estimate.warm == pytest.approx(warm, rel=0.2)
    assert estimate.cold == pytest.approx(cold, rel=0.25)
    share = evicted * 0.9 + 0.5 * 0.1
    mean = share * cold + (1 - share) * warm
    assert estimate.mean == pytest.approx(mean, rel=0.3)


def test_one_cold_run_changes_the_mean_little():
    times = RunTimes()
    for _ in range(200):
        times.record("s", "/", GOAL, 0.2, 0.0, believed_warm=True)
    before = times.estimate("s", "/", GOAL).mean
    times.record("s", "/", GOAL, 0.7, 0.0, believed_warm=True)
    after = times.estimate("s", "/", GOAL).mean
    assert before < after < 1.12 * before


def test_shares_of_the_goal_are_used_before_the_first_run():
    estimate = RunTimes().estimate("s", "/", 1.0)
    assert (estimate.warm, estimate.cold, estimate.mean) == (0.33, 1.0, 0.33)


def test_run_times_of_removed_routes_are_dropped():
    # Operators add and remove thousands of routes; their rows would fill the memory.
    times = RunTimes()
    for number in range(ROUTES_MAX + 5):
        times.record("s", f"/{number}", GOAL, 0.2, 0.0, believed_warm=True)
    assert len(times.routes) == ROUTES_MAX
    times.record("t", "/", GOAL, 0.2, KEPT_SECONDS, believed_warm=True)
    times.evict(KEPT_SECONDS + 1)
    assert list(times.routes) == [("t", "/")]
    assert list(times.means) == ["t"]


def test_waits_are_corrected_in_both_directions():
    # Under overload a host that believed the reported queues would send to full
    # servers; after it, callers would be refused though servers are free.
    times = RunTimes()
    times.record("s", "/", GOAL, 0.2, 0.0, believed_warm=True)
    before = times.estimate("s", "/", GOAL).mean
    for _ in range(15):
        times.record_wait("s", was_longer=True)
    assert times.estimate("s", "/", GOAL).mean > 3 * before
    for _ in range(100):
        times.record_wait("s", was_longer=True)
    assert times.estimate("s", "/", GOAL).mean == pytest.approx(6 * before)
    for _ in range(60):
        times.record_wait("s", was_longer=False)
    assert times.estimate("s", "/", GOAL).mean == pytest.approx(0.7 * before)


@pytest.mark.parametrize("true_factor", [1.0, 2.0, 4.0])
def test_the_correction_settles_at_the_waits_that_callers_have(true_factor):
    # Waits vary from request to request. A correction that swung between its bounds
    # would send all callers to full servers and then none to idle ones.
    times = RunTimes()
    rng = random.Random(1)
    factors = []
    for _ in range(600):
        times.record_wait(
            "s",
            was_longer=true_factor * rng.lognormvariate(0, 0.7)
            > times.wait_factors.setdefault("s", WaitFactor()).factor,
        )
        factors.append(times.wait_factors["s"].factor)
    settled = sorted(factors[60:])
    assert settled[len(settled) // 2] == pytest.approx(true_factor, rel=0.15)
    assert settled[len(settled) // 10] > 0.6 * true_factor
    assert settled[-len(settled) // 10] < 1.6 * true_factor
