"""Tell how long a server may take before its silence says something.

Load answered: servers fall silent, lose some of their answers, or work five to twelve
times slower, while others of the service are well. Times are seconds; ``typical`` is
how long a run of the service takes on most servers, None while that is not known.
"""

from typing import Final

# A server that has answered nobody for this part of a request's time is taken for dead,
# and a request that may be repeated goes to another one while there is time. A server
# that is only busy answers others meanwhile; where there are none, a run may well take
# several times as long as most.
SILENCE_SHARE: Final = 0.5
SILENCE_RUNS: Final = 4.0
# A cold run takes three to four typical ones, and the longest queue that is sent to one
# and a half. An answer that is not there after this many is lost or very late.
LOST_RUNS: Final = 6.0
# As long as the longest queue that a server takes, and a cold run after it.
SLOW_RUNS: Final = 8.0


def silent_after(seconds_left: float, service_seconds: float) -> float:
    """Return when a server that has answered nobody since is taken for dead."""
    return max(seconds_left * SILENCE_SHARE, SILENCE_RUNS * service_seconds)


def lost_after(typical: float | None) -> float | None:
    """Return when the answer of a server that answers others is taken for lost."""
    return LOST_RUNS * typical if typical is not None else None


def is_slow(seconds: float, typical: float | None) -> bool:
    """Tell whether an answer took longer than a server that is well ever takes."""
    return typical is not None and seconds > SLOW_RUNS * typical
