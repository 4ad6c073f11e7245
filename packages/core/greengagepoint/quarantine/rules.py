"""Decide from ends of servers how long a request is refused."""

from collections.abc import Iterable
from typing import Final, NamedTuple

# After so many ends without an answer in between a request is refused.
ENDS_MAX: Final = 3
# From so many on its next run, apart from its neighbours, shows which is at fault.
ENDS_ALONE: Final = 2
# Servers that end together, as with their zone, are one event for a request that has
# copies on several of them.
SAME_MOMENT_SECONDS: Final = 1.0
# A refused request is tried again after the first of these, then the next.
REFUSED_SECONDS: Final = (30.0, 120.0, 480.0, 600.0)


class EndMoment(NamedTuple):
    """When a server ended; ``shared`` if others, without the request, ended as well."""

    at: float
    shared: bool


def counted_ends(moments: Iterable[EndMoment]) -> list[float]:
    """Return the times of the ends that count, in order."""
    times: list[float] = []
    for moment in sorted(moments):
        same = bool(times) and moment.at - times[-1] < SAME_MOMENT_SECONDS
        if not (moment.shared and same):
            times.append(moment.at)
    return times


def refused_until(times: Iterable[float]) -> float:
    """Return until when a request with ends at these times is refused.

    Only an end that comes once it was tried again makes the next time longer. Those of
    copies that were on their way already do not.
    """
    until = float("-inf")
    step = -1
    for count, at in enumerate(times, start=1):
        if count < ENDS_MAX:
            continue
        if at >= until:
            step = min(step + 1, len(REFUSED_SECONDS) - 1)
        until = max(until, at + REFUSED_SECONDS[step])
    return until
