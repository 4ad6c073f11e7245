"""How long a server may be silent before that says something."""

import pytest

from greengagepoint.placing.server_silence import (
    AnswerTimes,
    may_still_end,
    silent_after,
)


def answers(*seconds, each=0.1):
    """Return answers that came one after the other, and when the last one did."""
    times, now = AnswerTimes(), 0.0
    for row in seconds:
        now += each
        times.take(row, now)
    return times, now


@pytest.mark.parametrize(
    ("left", "service", "expected"), [(1.2, 0.1, 0.6), (1.2, 0.3, 1.2)]
)
@pytest.mark.parametrize("heard", [[], [0.15] * 50], ids=["nothing yet", "many"])
def test_a_dead_server_is_told_by_half_of_the_time_or_four_runs(
    heard, left, service, expected
):
    times, now = answers(*heard, each=0.01)
    assert silent_after(left, service, times, 8, now) == pytest.approx(expected)


def test_a_server_that_is_seldom_heard_of_is_not_dead_within_a_cold_run():
    # A host of a large fleet has a request at a server once in ten seconds. One in
    # twenty runs is cold and takes 1.9 s in all. Given up after half of its 4 s, a cold
    # run that waited a little would be thrown away, and begun anew elsewhere.
    times, now = answers(*([0.5] * 19 + [1.9]) * 10)
    assert silent_after(4.0, 0.3, times, 100, now) > 2.5


def test_where_servers_are_often_heard_of_silence_is_soon_noticed():
    times, now = answers(*([0.5] * 19 + [1.9]) * 10)
    assert silent_after(4.0, 0.3, times, 5, now) == 2.0


def test_long_answers_are_forgotten():
    times, now = answers(5.0, *[0.5] * 500)
    assert times.longest < 0.7
    assert silent_after(0.6, 0.1, times, 1_000, now) < 1.1


def test_a_host_that_heard_nothing_for_long_does_not_take_it_for_silence():
    times, now = answers(*[0.5] * 50)
    assert times.mean_gap_seconds(8, now) < 2
    assert times.mean_gap_seconds(8, now + 60) > 1_000


@pytest.mark.parametrize(("left", "expected"), [(0.4, False), (0.7, True)])
def test_no_request_is_given_up_for_a_run_that_can_not_end(left, expected):
    times, _ = answers(*[0.5] * 50)
    assert may_still_end(left, times) is expected
