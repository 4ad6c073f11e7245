"""Compute when a rejected caller should try again."""

from typing import Final

RETRY_SECONDS_MIN: Final = 0.3
# A caller that is told to wait for longer would miss the end of a short overload.
RETRY_SECONDS_MAX: Final = 10.0


def retry_seconds(pressure: float, goal_seconds: float, probability: float) -> float:
    """Return the seconds until the requests ahead of a caller are probably served.

    The queue is served within ``pressure`` times the goal. A caller that is admitted
    with ``probability`` needs its reciprocal of tries on average.
    """
    if probability <= 0:
        return RETRY_SECONDS_MAX
    seconds = pressure * goal_seconds / probability
    return min(RETRY_SECONDS_MAX, max(RETRY_SECONDS_MIN, seconds))
