"""Detect saturation of a host's own link, and stop sending requests over it.

When responses saturate a host's link, incoming state updates and outgoing requests are
delayed. Such a host would send requests to a leaving server seconds after the server
announced that it leaves, and the server would abort them when it exits.

A host that receives no updates because the store is unreachable, or because it is
partitioned from its peers, keeps serving: either no host has newer state, or its link
has free capacity and it may reach servers that other hosts can't.
"""

from collections import deque
from typing import Final, NamedTuple

# Hosts of a region are 1 ms apart, regions up to 35 ms one way. A round trip to a busy
# server stays below this value.
FULL_LINK_SECONDS: Final = 0.2
# A saturated link delays every connection. Fewer slow connections than this within the
# window may all be to servers of one failed zone.
SAMPLES_MIN: Final = 4
WINDOW_SECONDS: Final = 1.5
# State older than this that no peer can update means that the store is unreachable:
# hosts that reach the store, or a peer that does, are at most 1.6 s behind.
STORE_UNREACHABLE_SECONDS: Final = 2.0


class Sample(NamedTuple):
    """Seconds until a connection was made or abandoned; ``at`` is monotonic."""

    at: float
    seconds: float


class LinkDelay:
    """Estimate the delay of a host's own link from all connections that it makes."""

    def __init__(self) -> None:
        self.samples: deque[Sample] = deque()

    def record(self, seconds: float, now: float) -> None:
        """Record the seconds until a connection was made or abandoned."""
        self._drop_old_samples(now)
        self.samples.append(Sample(now, seconds))

    def seconds(self, now: float) -> float:
        """Return the fastest connect time in the window, or 0 with too few samples."""
        self._drop_old_samples(now)
        if len(self.samples) < SAMPLES_MIN:
            return 0.0
        return min(sample.seconds for sample in self.samples)

    def is_full(self, now: float) -> bool:
        """Return True if the link delays all traffic of this host."""
        return self.seconds(now) >= FULL_LINK_SECONDS

    def _drop_old_samples(self, now: float) -> None:
        """Drop samples older than the window."""
        while self.samples and now - self.samples[0].at > WINDOW_SECONDS:
            self.samples.popleft()


def may_send(
    state_age: float, link_seconds: float, connect_seconds: float, drain_seconds: float
) -> bool:
    """Return True if a request arrives before a leaving server stops serving.

    All times are in seconds. ``state_age`` is the age of this host's view of which
    servers leave, ``link_seconds`` the delay of its link, and ``connect_seconds`` the
    connect time of this request, 0 on a reused connection. A request that is written
    now arrives in less time than it takes to connect.
    """
    if link_seconds < FULL_LINK_SECONDS:
        return True
    return state_age + max(link_seconds, connect_seconds) <= drain_seconds
