"""Monitor whether this host reaches any backend server, and probe servers in doubt."""

import asyncio
import math
from collections import Counter
from collections.abc import Callable

from greengagepoint.events import Event
from greengagepoint.overload.full_link import FULL_LINK_SECONDS
from greengagepoint.placing import suspicion
from greengagepoint.placing.tables import Server
from greengagepoint.protocols import Clock, Random
from greengagepoint.reachability.probing import (
    PROBE_STAGGER_SECONDS,
    is_probe_due,
    probe_interval_seconds,
    servers_to_probe,
)
from greengagepoint.reachability.tracker import (
    NEVER,
    SERVERS_MIN,
    BackendReach,
    ProbeOutcome,
    ProbeResult,
    Reach,
    ReachChange,
)
from greengagepoint_node.context import EventSink
from greengagepoint_node.gateway.connect_times import ConnectionCounts
from greengagepoint_node.gateway.link_probe import LinkProbe
from greengagepoint_node.gateway.view import FleetView


class ReachMonitor:
    """Observe requests to backend servers, and probe servers while in doubt.

    ``link_is_full`` tells whether the link delays all traffic, ``on_change`` is called
    when the host is cut off and when it reaches servers again.
    """

    def __init__(
        self,
        view: FleetView,
        counts: ConnectionCounts,
        probes: Counter[tuple[str]],
        link_is_full: Callable[[], bool],
        clock: Clock,
        random: Random,
        events: EventSink,
        probe: LinkProbe,
        on_change: Callable[[], None],
    ) -> None:
        self.view = view
        self.counts = counts
        self.probes = probes
        self.link_is_full = link_is_full
        self.clock = clock
        self.random = random
        self.events = events
        self.probe = probe
        self.on_change = on_change
        self.reach = BackendReach(changed_at=clock.monotonic())
        self.round: asyncio.Task[None] | None = None
        self.round_at = NEVER
        self.doubt = asyncio.Event()

    @property
    def is_cut_off(self) -> bool:
        """Return True if this host reaches no backend server steadily."""
        return self.reach.is_cut_off

    @property
    def is_certain(self) -> bool:
        """Return True if nothing speaks against this host's links."""
        return self.reach.state is Reach.REACHABLE

    @property
    def has_no_links(self) -> bool:
        """Return True if no server answers this host."""
        return self.reach.state is Reach.CUT_OFF

    @property
    def is_recovering(self) -> bool:
        """Return True if servers answer a host that was cut off until lately."""
        return self.reach.state is Reach.RECOVERING

    def record_made(self, now: float) -> None:
        """Count a connection that was made, which proves nothing of the servers."""
        self.counts.record_made(now)

    def record_failed(self, now: float) -> None:
        """Count a connection that could not be made."""
        self.counts.record_failed(now)

    def note_slow(self) -> None:
        """Probe while a connection takes longer than to any region.

        Its timeout is long enough for a lost packet, and takes most of the time of a
        caller.
        """
        self.note_doubt(self.clock.monotonic() - FULL_LINK_SECONDS)

    def record_answer(self, connected_at: float | None) -> None:
        """Record a server's answer; ``connected_at`` is None on a kept connection."""
        self.reach.record_answer(connected_at, self.clock.monotonic())

    def note_unreachable(self, server: Server, began_at: float) -> None:
        """Record that a connection attempt of a request failed, and probe in doubt."""
        self.reach.record_failure(server.incarnation, began_at)
        self.doubt.set()

    def note_doubt(self, began_at: float) -> None:
        """Record that a server is silent or that its connection broke, and probe."""
        self.reach.record_doubt(began_at)
        self.doubt.set()

    def note_overdue(self, began_at: float) -> None:
        """Probe if no server has answered any request since one was sent."""
        if self.reach.answered_at < began_at:
            self.note_doubt(began_at)

    def may_have_lost(self, began_at: float) -> bool:
        """Return True if an attempt was under way while probes were silent."""
        return began_at <= self.reach.silent_at

    async def async_run(self) -> None:
        """Probe servers while this host is in doubt or cut off, until cancelled."""
        while True:
            self.doubt.clear()
            if self.reach.state is Reach.REACHABLE:
                await self.doubt.wait()
                continue
            interval = probe_interval_seconds(self.reach)
            wait = self.round_at + interval - self.clock.monotonic()
            if wait > 0:
                await asyncio.sleep(wait)
            await self.async_probe()

    async def async_has_lost_links(self) -> bool:
        """Return True if no server can be reached, after probing if in doubt.

        With fewer servers, a lost link can't be told from servers that failed.
        """
        await self.async_resolve_doubt()
        known = len(self.view.servers.servers)
        return self.is_cut_off and known >= SERVERS_MIN

    async def async_resolve_doubt(self) -> None:
        """Probe servers if this host is in doubt."""
        if self.reach.state is Reach.DOUBTED:
            await self.async_probe()

    async def async_probe(self) -> None:
        """Probe some servers, or wait for the round that is running."""
        if self.round is None or self.round.done():
            if not is_probe_due(self.reach, self.round_at, self.clock.monotonic()):
                return
            self.round = asyncio.create_task(self._async_round())
        # Shielded, as others may wait for the round when this one is cancelled.
        await asyncio.shield(self.round)

    async def _async_round(self) -> None:
        """Probe servers one after the other until one answers or all have failed."""
        began = self.round_at = self.clock.monotonic()
        self.reach.begin_round()
        chosen = servers_to_probe(
            self._probed_servers(), self.reach, self.random, self._is_restricted
        )
        results: list[ProbeResult] = []
        running: set[asyncio.Task[ProbeResult | None]] = set()
        while (chosen or running) and not _has_answer(results):
            if chosen:
                running.add(asyncio.create_task(self._async_probe(chosen.pop(0))))
            done, running = await asyncio.wait(
                running,
                timeout=PROBE_STAGGER_SECONDS if chosen else None,
                return_when=asyncio.FIRST_COMPLETED,
            )
            results += [row for task in done if (row := task.result()) is not None]
        for task in running:
            task.cancel()
        now = self.clock.monotonic()
        full = self.link_is_full()
        was_recovering = self.is_recovering
        change = self.reach.end_round(results, began, now, link_is_full=full)
        if change is not None:
            self._report(change)
        elif was_recovering != self.is_recovering:
            self.on_change()

    def _probed_servers(self) -> list[Server]:
        """Return the servers that may be probed: none of an evacuated zone."""
        table = self.view.servers
        return [
            server
            for server in table.servers.values()
            if server.zone not in table.evacuated_zones
        ]

    def _is_restricted(self, server: Server) -> bool:
        """Return True if a server should get as few requests as possible."""
        now = self.clock.monotonic()
        return server.is_resting(now) or not server.is_unrestricted(now)

    async def _async_probe(self, server: Server) -> ProbeResult | None:
        """Return how a probe of a server ended, None if it could not be tried."""
        outcome = await self.probe.async_send(server)
        if outcome is None:
            return None
        self.probes[(outcome.value,)] += 1
        return ProbeResult(server.incarnation, outcome)

    def _report(self, change: ReachChange) -> None:
        """Log a change, and let peers know of it."""
        if not change.cut_off:
            # They failed for this host's link. Suspected on, they would get nothing
            # for up to four seconds.
            for server in self.view.servers.servers.values():
                suspicion.clear(server)
        self.events.record(
            Event.BACKEND_SERVERS_UNREACHABLE
            if change.cut_off
            else Event.BACKEND_SERVERS_REACHABLE,
            failed_servers=change.failed,
            silent_probes=change.silent,
            servers=len(self.view.servers.servers),
            proof_age=_rounded(change.seconds),
            seconds=_rounded(change.held_seconds),
            steady_seconds=change.steady_seconds,
            revision=self.view.revision,
        )
        self.on_change()


def _has_answer(results: list[ProbeResult]) -> bool:
    """Return True if a server has answered a probe."""
    return any(row.outcome is ProbeOutcome.ANSWERED for row in results)


def _rounded(seconds: float) -> float | None:
    """Return rounded seconds for a log line, or None if they are not finite."""
    return round(seconds, 3) if math.isfinite(seconds) else None
