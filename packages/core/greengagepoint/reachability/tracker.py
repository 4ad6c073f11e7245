"""Tell whether this host has lost its links to all backend servers.

Without links a host sees the same as with all servers failed: connections hang, are
reset or are refused, or requests get no answer. If it held the servers for failed one
by one, each caller would wait for several attempts and then be rejected, although other
hosts reach the servers. So a failed attempt makes the host probe servers of other
regions and zones at once, and what they answer tells the two apart.

Only a server's answer proves a link: a firewall or proxy on the way may accept
connections and then reset them or stay silent.
"""

import math
from collections.abc import Collection
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final, NamedTuple

from greengagepoint.placing.tables import Incarnation

# With fewer servers, a lost link can't be told from servers that crashed together.
SERVERS_MIN: Final = 3
NEVER: Final = float("-inf")
# A link counts as steady after this long without a failed round of probes. Requests
# that are sent into the next failure are lost, and passing them on costs one hop.
STEADY_MIN_SECONDS: Final = 1.0
# Doubled each time a link fails again soon after, as flapping links do.
STEADY_MAX_SECONDS: Final = 8.0
FLAP_SECONDS: Final = 10.0
# Servers that answer no request for this long after a round of probes began are silent.
# Busy ones answer some.
SILENCE_SECONDS: Final = 0.2


class Reach(StrEnum):
    """Whether this host reaches backend servers.

    ``RECOVERING`` is a host that was cut off, whose probes are answered again.
    """

    REACHABLE = "reachable"
    DOUBTED = "doubted"
    CUT_OFF = "cut_off"
    RECOVERING = "recovering"


class ProbeOutcome(StrEnum):
    """How a probe ended.

    ``SILENT`` is a connection that stayed open without an answer, ``FAILED`` one that
    could not be made or broke before the answer.
    """

    ANSWERED = "answered"
    SILENT = "silent"
    FAILED = "failed"


class ProbeResult(NamedTuple):
    """The result of one probe of a server."""

    server: Incarnation
    outcome: ProbeOutcome


class ReachChange(NamedTuple):
    """A change between reachable and cut off, with what decided it.

    ``failed`` is the number of servers to which attempts failed since the last proof,
    ``silent`` that of probes without an answer in the deciding round, ``seconds`` the
    time since the last proof, ``held_seconds`` how long the former state lasted, and
    ``steady_seconds`` how long the links have to be steady before the next one.
    """

    cut_off: bool
    failed: int
    silent: int
    seconds: float
    held_seconds: float
    steady_seconds: float


@dataclass(slots=True)
class BackendReach:
    """Track what proves or disproves links to servers; times are monotonic seconds.

    ``proven_at`` is the latest time at which a connection was begun that a server
    answered on, ``answered_at`` that of the last answer on any connection. ``failed``
    are the servers to which attempts failed since. ``doubted_at`` is when the latest
    attempt began that raised a doubt.

    ``quiet_since`` is the time of the last answer before the last round of probes,
    ``round_answered_at`` that of the first answer since it began, infinite before it.
    ``silent_at`` is when the last round began that had a silent probe.

    ``changed_at`` is when the host was last cut off or reached servers again,
    ``recovered_at`` when it last reached them again, and ``steady_since`` since when
    the probes of a host that was cut off are answered.
    """

    state: Reach = Reach.REACHABLE
    proven_at: float = NEVER
    answered_at: float = NEVER
    quiet_since: float = NEVER
    round_answered_at: float = math.inf
    silent_at: float = NEVER
    doubted_at: float = NEVER
    changed_at: float = NEVER
    recovered_at: float = NEVER
    steady_since: float = NEVER
    steady_seconds: float = STEADY_MIN_SECONDS
    failed: set[Incarnation] = field(default_factory=set)

    @property
    def is_cut_off(self) -> bool:
        """Return True if this host reaches no backend server steadily."""
        return self.state in (Reach.CUT_OFF, Reach.RECOVERING)

    def record_answer(self, connected_at: float | None, now: float) -> None:
        """Record a server's answer to a request.

        ``connected_at`` is when its connection was begun, None if it was kept from an
        earlier request: kept connections may live on while new ones fail.
        """
        self._record_time(now)
        if connected_at is None or self.is_cut_off:
            return
        self.proven_at = max(self.proven_at, connected_at)
        if connected_at >= self.doubted_at:
            self.state = Reach.REACHABLE
            self.failed.clear()

    def record_failure(self, server: Incarnation, began_at: float) -> None:
        """Record that a connection attempt failed.

        An attempt that began before the last proof proves nothing about the link.
        """
        if began_at < self.proven_at:
            return
        self.failed.add(server)
        self.record_doubt(began_at)

    def record_doubt(self, began_at: float) -> None:
        """Record that a server is silent or that its connection broke.

        ``began_at`` is when the attempt or the silence began.
        """
        self.doubted_at = max(self.doubted_at, began_at)
        if self.state is Reach.REACHABLE:
            self.state = Reach.DOUBTED

    def begin_round(self) -> None:
        """Record that a round of probes begins."""
        self.quiet_since = self.answered_at
        self.round_answered_at = math.inf

    def end_round(
        self,
        results: Collection[ProbeResult],
        began_at: float,
        now: float,
        *,
        link_is_full: bool,
    ) -> ReachChange | None:
        """Record a round of probes, and return the change that it leads to, if any.

        The host is cut off if no probe was answered. A saturated link delays each
        connection beyond the timeout, those to other hosts included, so nothing follows
        from failures there. Nor does it from silence if servers answer requests
        meanwhile: they are busy.
        """
        silent = sum(row.outcome is ProbeOutcome.SILENT for row in results)
        if silent:
            self.silent_at = began_at
        if any(row.outcome is ProbeOutcome.ANSWERED for row in results):
            return self._record_proof(began_at, now)
        if self.is_cut_off:
            self.state = Reach.CUT_OFF if results else self.state
            return None
        if not results:
            # Nothing is known against the link.
            self.state = Reach.REACHABLE
        if link_is_full or not results:
            return None
        for row in results:
            if row.outcome is ProbeOutcome.FAILED:
                self.record_failure(row.server, began_at)
        if silent and self.round_answered_at - began_at < SILENCE_SECONDS:
            return None
        is_flapping = now - self.recovered_at < FLAP_SECONDS
        self.steady_seconds = (
            min(2 * self.steady_seconds, STEADY_MAX_SECONDS)
            if is_flapping
            else STEADY_MIN_SECONDS
        )
        change = self._change(cut_off=True, silent=silent, now=now)
        self.state = Reach.CUT_OFF
        return change

    def _record_proof(self, began_at: float, now: float) -> ReachChange | None:
        """Record that a probe was answered; return the end of a cut, if it is one."""
        self._record_time(now)
        if self.state is Reach.CUT_OFF:
            self.state = Reach.RECOVERING
            self.steady_since = now
        if self.state is Reach.RECOVERING:
            if now - self.steady_since < self.steady_seconds:
                return None
            change = self._change(cut_off=False, silent=0, now=now)
            self.recovered_at = now
        else:
            change = None
        self.proven_at = max(self.proven_at, began_at)
        self.failed.clear()
        self.state = Reach.REACHABLE
        return change

    def _record_time(self, now: float) -> None:
        """Record the time of an answer."""
        self.answered_at = now
        self.round_answered_at = min(self.round_answered_at, now)

    def _change(self, *, cut_off: bool, silent: int, now: float) -> ReachChange:
        """Return the change to a state, and record its time."""
        change = ReachChange(
            cut_off,
            len(self.failed),
            silent,
            now - self.proven_at,
            now - self.changed_at,
            self.steady_seconds,
        )
        self.changed_at = now
        return change
