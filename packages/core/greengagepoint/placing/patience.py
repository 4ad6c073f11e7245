"""Tell how long a server may be silent before that says something."""

from typing import Final

# A server that has answered nobody for this part of a request's time is taken for dead,
# and a request that may be repeated goes to another one while there is time. A server
# that is only busy answers others meanwhile; where there are none, a run may well take
# several times as long as most.
SILENCE_SHARE: Final = 0.5
SILENCE_RUNS: Final = 4.0


def silent_after(seconds_left: float, service_seconds: float) -> float:
    """Return after how many seconds a server that answers nobody is taken for dead."""
    return max(seconds_left * SILENCE_SHARE, SILENCE_RUNS * service_seconds)
