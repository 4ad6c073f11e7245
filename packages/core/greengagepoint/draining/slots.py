"""Estimate when the last of some small requests ends that each hold a slot."""

from bisect import bisect_right
from collections.abc import Sequence
from heapq import heapify, heapreplace
from typing import Final

CONFIDENCE: Final = 0.5
SEARCH_STEPS: Final = 24


def plain_seconds(elapsed: Sequence[float], mean: float) -> float:
    """Return the longest rest if each request took the mean time."""
    return max((max(0.0, mean - row) for row in elapsed), default=0.0)


def shared_seconds(elapsed: Sequence[float], mean: float) -> float:
    """Return the end if all shared the slots' total speed to the last request.

    The paper's estimate for this case. A slot that has become free does not make
    the other requests faster, so its first assumption does not hold here.
    """
    if not elapsed:
        return 0.0
    return sum(max(0.0, mean - row) for row in elapsed) / len(elapsed)


def remaining_seconds(elapsed: Sequence[float], samples: Sequence[float]) -> float:
    """Return when the last request has ended with even odds.

    ``elapsed`` is how long each has run, ``samples`` are times that ended requests
    took, in seconds. Each request's odds come from those samples that took longer
    than it has run so far; all must have ended, so the odds multiply.
    """
    if not elapsed or not samples:
        return 0.0
    ordered = sorted(samples)
    low, high = 0.0, ordered[-1]
    for _ in range(SEARCH_STEPS):
        middle = (low + high) / 2
        if _all_ended(elapsed, ordered, middle) < CONFIDENCE:
            low = middle
        else:
            high = middle
    return high


def queued_seconds(
    elapsed: Sequence[float], waiting: int, samples: Sequence[float]
) -> float:
    """Return when the last ends if others wait for the slots of those running.

    The queue is played through with expected times, as in section 2.3 of Luo,
    Naughton and Yu, "Multi-query SQL Progress Indicators"; from the moment it is
    empty the odds decide, as above.
    """
    if not waiting or not elapsed or not samples:
        return remaining_seconds(elapsed, samples)
    mean = sum(samples) / len(samples)
    ordered = sorted(samples)
    ends = [_expected_rest(row, ordered) for row in elapsed]
    heapify(ends)
    empty_at = 0.0
    for _ in range(waiting):
        empty_at = heapreplace(ends, ends[0] + mean)
    started = [max(0.0, mean - (end - empty_at)) for end in ends]
    return empty_at + remaining_seconds(started, samples)


def _expected_rest(elapsed: float, ordered: list[float]) -> float:
    """Return the mean rest of those samples that took longer than a request has."""
    longer = ordered[bisect_right(ordered, elapsed) :]
    return sum(longer) / len(longer) - elapsed if longer else 0.0


def _all_ended(elapsed: Sequence[float], ordered: list[float], after: float) -> float:
    """Return the probability that every request ends within some seconds."""
    probability = 1.0
    for row in elapsed:
        running = len(ordered) - bisect_right(ordered, row)
        if not running:
            continue
        later = len(ordered) - bisect_right(ordered, row + after)
        probability *= 1 - later / running
        if probability < CONFIDENCE:
            return probability
    return probability
