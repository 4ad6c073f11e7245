"""How long a server may be silent before it is assumed to be dead."""

import pytest

from greengagepoint.placing.server_silence import (
    AnswerTimes,
    can_answer_in_time,
    silence_timeout,
)


def answers(*seconds, each=0.1):
    """Return the times of successive answers and the time of the last one."""
    times, now = AnswerTimes(), 0.0
    for row in seconds:
        now += each
        times.record_time(row, now)
    return times, now


@pytest.mark.parametrize(
    ("left", "service", "expected"), [(1.2, 0.1, 0.6), (1.2, 0.3, 1.2)]
)
@pytest.mark.parametrize(
    "recorded", [[], [0.15] * 50], ids=["no answers", "many answers"]
)
def test_a_server_is_dead_after_half_of_the_time_or_four_runs(
    recorded, left, service, expected
):
    times, now = answers(*recorded, each=0.01)
    assert silence_timeout(left, service, times, 8, now) == pytest.approx(expected)


def test_a_server_that_seldom_answers_is_not_dead_within_a_cold_run():
    # A host of a large fleet sends to each server once in ten seconds. One in twenty
    # runs is cold and takes 1.9 s in all. If a request were abandoned after half of its
    # 4 s, a cold run that waited briefly would be wasted and repeated elsewhere.
    times, now = answers(*([0.5] * 19 + [1.9]) * 10)
    assert silence_timeout(4.0, 0.3, times, 100, now) > 2.5


def test_silence_is_noticed_early_if_servers_answer_often():
    times, now = answers(*([0.5] * 19 + [1.9]) * 10)
    assert silence_timeout(4.0, 0.3, times, 5, now) == 2.0


def test_the_longest_answer_time_decays():
    times, now = answers(5.0, *[0.5] * 500)
    assert times.longest < 0.7
    assert silence_timeout(0.6, 0.1, times, 1_000, now) < 1.1


def test_a_host_without_recent_answers_does_not_infer_silence():
    times, now = answers(*[0.5] * 50)
    assert times.mean_gap_seconds(8, now) < 2
    assert times.mean_gap_seconds(8, now + 60) > 1_000


@pytest.mark.parametrize(("left", "expected"), [(0.4, False), (0.7, True)])
def test_no_request_is_abandoned_for_a_run_that_cannot_end_in_time(left, expected):
    times, _ = answers(*[0.5] * 50)
    assert can_answer_in_time(left, times) is expected
