"""Tell whether this host has lost its links to all backend servers.

Without links a host sees the same as with all servers failed: connections hang, are
reset or are refused. If it held the servers for failed one by one, each caller would
wait for several connection attempts and then be rejected, although other hosts reach
the servers. So a failed connection makes the host probe servers of other regions and
zones at once, and what they answer tells the two apart.
"""

from collections.abc import Collection
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final, NamedTuple

from greengagepoint.placing.tables import Incarnation

# With fewer servers, a lost link can't be told from servers that crashed together.
SERVERS_MIN: Final = 3
NEVER: Final = float("-inf")


class Reach(StrEnum):
    """Whether this host reaches backend servers."""

    REACHABLE = "reachable"
    DOUBTED = "doubted"
    CUT_OFF = "cut_off"


class ProbeResult(NamedTuple):
    """The result of one connection attempt that carried no request."""

    server: Incarnation
    connected: bool


class ReachChange(NamedTuple):
    """A change between reachable and cut off, with what decided it.

    ``failed`` is the number of servers to which connections failed since the last one
    was made, ``seconds`` the time since that one, ``held_seconds`` how long the former
    state lasted.
    """

    cut_off: bool
    failed: int
    seconds: float
    held_seconds: float


@dataclass(slots=True)
class BackendReach:
    """Track connections to backend servers; times are monotonic seconds.

    ``failed`` are the servers to which connections failed since the last one was made
    at ``connected_at``. ``changed_at`` is when the host was last cut off or reached
    servers again.
    """

    state: Reach = Reach.REACHABLE
    connected_at: float = NEVER
    changed_at: float = NEVER
    failed: set[Incarnation] = field(default_factory=set)

    @property
    def is_cut_off(self) -> bool:
        """Return True if this host reaches no backend server."""
        return self.state is Reach.CUT_OFF

    def record_connection(self, now: float) -> ReachChange | None:
        """Record that a connection was made; return the end of a cut, if it is one."""
        change = self._change(cut_off=False, now=now) if self.is_cut_off else None
        self.connected_at = now
        self.failed.clear()
        self.state = Reach.REACHABLE
        return change

    def record_failure(self, server: Incarnation, began_at: float) -> None:
        """Record that a connection attempt failed.

        An attempt that began before the last connection was made proves nothing about
        the link: that connection was made while it waited.
        """
        if began_at < self.connected_at:
            return
        self.failed.add(server)
        if self.state is Reach.REACHABLE:
            self.state = Reach.DOUBTED

    def record_doubt(self) -> None:
        """Record that a server is silent or that its connection broke."""
        if self.state is Reach.REACHABLE:
            self.state = Reach.DOUBTED

    def end_round(
        self,
        results: Collection[ProbeResult],
        began_at: float,
        now: float,
        *,
        link_is_full: bool,
    ) -> ReachChange | None:
        """Record a round of probes, and return the change that it leads to, if any.

        The host is cut off if the whole round failed. A saturated link delays each
        connection beyond the timeout, those to other hosts included, so nothing follows
        from failures there.
        """
        if any(result.connected for result in results):
            return self.record_connection(now)
        if link_is_full:
            return None
        for result in results:
            self.record_failure(result.server, began_at)
        if not results or self.is_cut_off:
            return None
        change = self._change(cut_off=True, now=now)
        self.state = Reach.CUT_OFF
        return change

    def _change(self, *, cut_off: bool, now: float) -> ReachChange:
        """Return the change to a state, and record its time."""
        change = ReachChange(
            cut_off, len(self.failed), now - self.connected_at, now - self.changed_at
        )
        self.changed_at = now
        return change
