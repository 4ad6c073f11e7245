"""Decide from server crashes how long a request is quarantined."""

from collections.abc import Iterable
from typing import Final, NamedTuple

# Crashes without an answer in between after which a request is quarantined.
QUARANTINE_AFTER_CRASHES: Final = 3
# Crashes after which a request runs apart from the other requests that were in flight,
# so that its next run shows which of them is at fault.
ISOLATE_AFTER_CRASHES: Final = 2
# Servers that crash together, as in a zone failure, count as one crash for a request
# that has copies on several of them.
GROUPED_CRASH_SECONDS: Final = 1.0
# Length of the first quarantine of a request and of each further one; the last value
# repeats.
QUARANTINE_SECONDS: Final = (30.0, 120.0, 480.0, 600.0)


class CrashMoment(NamedTuple):
    """When a server crashed; ``shared`` if servers without the request crashed too."""

    at: float
    shared: bool


def counted_crashes(moments: Iterable[CrashMoment]) -> list[float]:
    """Return the times of the crashes that count, in order."""
    times: list[float] = []
    for moment in sorted(moments):
        is_same_group = bool(times) and moment.at - times[-1] < GROUPED_CRASH_SECONDS
        if not (moment.shared and is_same_group):
            times.append(moment.at)
    return times


def quarantined_until(times: Iterable[float]) -> float:
    """Return until when a request with crashes at these times is quarantined.

    Only a crash after the quarantine has expired makes the next one longer. Crashes
    from copies that were already in flight do not.
    """
    until = float("-inf")
    step = -1
    for count, at in enumerate(times, start=1):
        if count < QUARANTINE_AFTER_CRASHES:
            continue
        if at >= until:
            step = min(step + 1, len(QUARANTINE_SECONDS) - 1)
        until = max(until, at + QUARANTINE_SECONDS[step])
    return until
