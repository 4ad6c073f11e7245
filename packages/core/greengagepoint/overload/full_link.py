"""Tell a host's own full link from trouble elsewhere, and when not to send over it.

Load answered: answers fill a host's link, so news waits, and so do requests on their
way out. A server that leaves gets requests from such a host seconds after its word, and
cuts them off as it exits. A host that hears nothing because the store is away, or since
it is cut off from the others, serves on: nobody knows more, or its link is free and it
reaches servers that others may not.
"""

from collections import deque
from typing import Final, NamedTuple

# Hosts of a region are 1 ms apart, regions up to 35 ms one way; there and back and a
# busy server stay below.
FULL_SECONDS: Final = 0.2
# A full link delays every connection. Of those that take long in this time, as many as
# this may be to servers of one lost zone.
SAMPLES_MIN: Final = 4
WINDOW_SECONDS: Final = 1.5
# News that no peer has is news that the store does not tell: hosts that reach it, or a
# peer that does, are 1.6 s behind at most.
STORE_AWAY_SECONDS: Final = 2.0


class Sample(NamedTuple):
    """How long one connection took, or was waited for; monotonic seconds."""

    at: float
    seconds: float


class LinkDelay:
    """The delay of a host's own link, from all connections that it makes."""

    def __init__(self) -> None:
        self.samples: deque[Sample] = deque()

    def note(self, seconds: float, now: float) -> None:
        """Take in that a connection was made, or given up, after some seconds."""
        self._forget(now)
        self.samples.append(Sample(now, seconds))

    def seconds(self, now: float) -> float:
        """Return the time of the quickest connection of late, 0 where too few tell."""
        self._forget(now)
        if len(self.samples) < SAMPLES_MIN:
            return 0.0
        return min(sample.seconds for sample in self.samples)

    def is_full(self, now: float) -> bool:
        """Tell whether all that this host sends and gets has to wait."""
        return self.seconds(now) >= FULL_SECONDS

    def _forget(self, now: float) -> None:
        """Drop what is no longer of late."""
        while self.samples and now - self.samples[0].at > WINDOW_SECONDS:
            self.samples.popleft()


def may_send(
    news_age: float, link_seconds: float, connect_seconds: float, drain_seconds: float
) -> bool:
    """Tell whether a request will arrive while even a leaving server still serves.

    ``news_age`` is when the host last knew which servers leave, ``link_seconds`` the
    delay of its link, ``connect_seconds`` what this request's connection took, 0 on a
    kept one. What is written now arrives after less than a connection takes.
    """
    if link_seconds < FULL_SECONDS:
        return True
    return news_age + max(link_seconds, connect_seconds) <= drain_seconds
