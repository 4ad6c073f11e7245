"""Remember which backend servers have said in an answer that they leave.

A server never takes this back in one incarnation, whatever its entry in the store says:
the entry may be older, may have been written by another host's retry, or may have
lapsed and come back.
"""

from collections.abc import Container, Iterable
from typing import Final

from greengagepoint.backpressure.messages import LeavingNotice
from greengagepoint.placing.tables import Incarnation

# A server that has not exited by then is taken for one that never will.
KEPT_SECONDS: Final = 600.0
KEPT_MAX: Final = 4096
SHARED_MAX: Final = 64
# Afterwards a host that has just started learns it from the store or the server.
SHARED_SECONDS: Final = 30.0


class LeavingServers:
    """Hold the incarnations that leave, and when the first host heard of each.

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
            return False
        if len(self.heard_at) >= KEPT_MAX:
            del self.heard_at[min(self.heard_at, key=self.heard_at.__getitem__)]
        self.heard_at[server] = at
        return True

    def merge(
        self,
        notices: Iterable[LeavingNotice],
        known: Container[Incarnation],
        now: float,
    ) -> list[Incarnation]:
        """Merge what peers heard, and return the servers that were not known to leave.

        A server may be unknown here until its entry arrives. Without a start time it
        may also be a later incarnation then, so it is ignored.
        """
        return [
            notice.server
            for notice in notices
            if notice.age_ms / 1000 <= SHARED_SECONDS
            and (notice.born > 0 or notice.server in known)
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
        """Drop servers that are unknown and can't be told from a later incarnation.

        Those that report their start time are kept for ``KEPT_SECONDS``, as their entry
        may have lapsed and come back.
        """
        kept = set(known)
        for server, at in list(self.heard_at.items()):
            is_distinct = server.born > 0 and now - at <= KEPT_SECONDS
            if server not in kept and not is_distinct:
                del self.heard_at[server]
