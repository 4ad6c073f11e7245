"""Remember which backend servers have said in an answer that they leave.

A server never takes this back in one incarnation, whatever its entry in the store says:
the entry may be older, may have been written by another host's retry, or may have
lapsed and come back.
"""

from collections.abc import Iterable
from typing import Final

from greengagepoint.backpressure.messages import LeavingNotice
from greengagepoint.placing.tables import Incarnation

# A mark outlives the entry of its server, which may have lapsed and come back. Without
# a start time a later incarnation can't be told from this one, so it is only kept for
# as long as an outage of the store may take.
KEPT_SECONDS: Final = 600.0
UNDATED_KEPT_SECONDS: Final = 60.0
KEPT_MAX: Final = 4096
SHARED_MAX: Final = 64
# Afterwards a host that has just started learns it from the store or the server.
SHARED_SECONDS: Final = 30.0


class LeavingServers:
    """Hold the incarnations that leave, and when each was last heard to say so.

    Times are monotonic seconds.
    """

    def __init__(self) -> None:
        self.heard_at: dict[Incarnation, float] = {}

    def __contains__(self, server: Incarnation) -> bool:
        """Return True if a server has said that it leaves."""
        return server in self.heard_at

    def record(self, server: Incarnation, at: float) -> bool:
        """Record that a server leaves; return True unless it was known."""
        if server in self.heard_at:
            self.heard_at[server] = max(at, self.heard_at[server])
            return False
        if len(self.heard_at) >= KEPT_MAX:
            del self.heard_at[min(self.heard_at, key=self.heard_at.__getitem__)]
        self.heard_at[server] = at
        return True

    def merge(self, notices: Iterable[LeavingNotice], now: float) -> list[Incarnation]:
        """Merge what peers heard, and return the servers that were not known to leave.

        A server may be unknown here until its entry arrives.
        """
        return [
            notice.server
            for notice in notices
            if notice.age_ms / 1000 <= SHARED_SECONDS
            and notice.server not in self.heard_at
            and self.record(notice.server, now - notice.age_ms / 1000)
        ]

    def shared(self, now: float) -> list[LeavingNotice]:
        """Return the notices for peers, newest first."""
        recent = {
            server: at
            for server, at in self.heard_at.items()
            if now - at <= SHARED_SECONDS
        }
        newest = sorted(recent.items(), key=lambda item: -item[1])[:SHARED_MAX]
        return [
            LeavingNotice(*server, max(0, round((now - at) * 1000)))
            for server, at in newest
        ]

    def retain(self, known: Iterable[Incarnation], now: float) -> None:
        """Drop servers whose entries have been gone for some time."""
        kept = set(known)
        for server, at in list(self.heard_at.items()):
            seconds = KEPT_SECONDS if server.born else UNDATED_KEPT_SECONDS
            if server not in kept and now - at > seconds:
                del self.heard_at[server]
