"""Monitor whether this host reaches any backend server, and probe servers in doubt."""

import asyncio
import math
from collections import Counter
from collections.abc import Callable
from socket import AF_INET, SOCK_STREAM, socket

from greengagepoint.events import Event
from greengagepoint.placing import suspicion
from greengagepoint.placing.tables import Server
from greengagepoint.protocols import Clock, Random
from greengagepoint.reachability.probing import (
    PROBE_INTERVAL_SECONDS,
    PROBE_SETTLE_SECONDS,
    PROBE_TIMEOUT_SECONDS,
    is_probe_due,
    servers_to_probe,
)
from greengagepoint.reachability.tracker import (
    NEVER,
    SERVERS_MIN,
    BackendReach,
    ProbeResult,
    Reach,
    ReachChange,
)
from greengagepoint_node.context import EventSink
from greengagepoint_node.gateway.connect_times import FAILED, MADE, ConnectionCounts
from greengagepoint_node.gateway.view import FleetView

CreateSocket = Callable[[int, int, int], socket]


class ReachMonitor:
    """Observe connections to backend servers, and probe servers while in doubt.

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
        create_socket: CreateSocket,
        on_change: Callable[[], None],
    ) -> None:
        self.view = view
        self.counts = counts
        self.probes = probes
        self.link_is_full = link_is_full
        self.clock = clock
        self.random = random
        self.events = events
        self.create_socket = create_socket
        self.on_change = on_change
        self.reach = BackendReach(changed_at=clock.monotonic())
        self.round: asyncio.Task[None] | None = None
        self.round_at = NEVER
        self.doubt = asyncio.Event()

    @property
    def is_cut_off(self) -> bool:
        """Return True if this host reaches no backend server."""
        return self.reach.is_cut_off

    def record_made(self, now: float) -> None:
        """Record that a connection was made."""
        self.counts.record_made(now)
        self._report(self.reach.record_connection(now))

    def record_failed(self, now: float) -> None:
        """Count a connection that could not be made."""
        self.counts.record_failed(now)

    def note_slow(self) -> None:
        """Probe while a connection takes longer than to any region.

        Its timeout is long enough for a lost packet, and takes most of the time of a
        caller.
        """
        self.note_doubt()

    def note_unreachable(self, server: Server, began_at: float) -> None:
        """Record that a connection attempt of a request failed, and probe in doubt."""
        self.reach.record_failure(server.incarnation, began_at)
        self.doubt.set()

    def note_doubt(self) -> None:
        """Record that a server is silent or that its connection broke, and probe."""
        self.reach.record_doubt()
        self.doubt.set()

    async def async_run(self) -> None:
        """Probe servers while this host is in doubt or cut off, until cancelled."""
        while True:
            self.doubt.clear()
            if self.reach.state is Reach.REACHABLE:
                await self.doubt.wait()
                continue
            wait = self.round_at + PROBE_INTERVAL_SECONDS - self.clock.monotonic()
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
        """Probe servers until one is reached or all have failed."""
        began = self.round_at = self.clock.monotonic()
        servers = self.view.servers.servers.values()
        chosen = servers_to_probe(servers, self.reach, self.random)
        tasks = [asyncio.create_task(self._async_probe(server)) for server in chosen]
        results = []
        for next_done in asyncio.as_completed(tasks):
            results.append(await next_done)
            if results[-1].connected:
                break
        for task in tasks:
            task.cancel()
        now = self.clock.monotonic()
        full = self.link_is_full()
        self._report(self.reach.end_round(results, began, now, link_is_full=full))

    async def _async_probe(self, server: Server) -> ProbeResult:
        """Open a connection to a server and close it."""
        host, _, port = server.address.rpartition(":")
        try:
            sock = self.create_socket(AF_INET, SOCK_STREAM, 0)
        except OSError:
            # Without a free descriptor nothing is known of the link.
            return ProbeResult(server.incarnation, connected=True)
        connected = False
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_SECONDS):
                await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
            connected = await _async_stays_open(sock)
        except TimeoutError:
            # A busy host may handle the timeout before the connection that was made.
            connected = _has_peer(sock)
        except OSError:
            pass
        finally:
            sock.close()
        self.probes[(MADE if connected else FAILED,)] += 1
        return ProbeResult(server.incarnation, connected)

    def _report(self, change: ReachChange | None) -> None:
        """Log a change, and let peers know of it."""
        if change is None:
            return
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
            servers=len(self.view.servers.servers),
            connection_age=_rounded(change.seconds),
            seconds=_rounded(change.held_seconds),
            revision=self.view.revision,
        )
        self.on_change()


def _has_peer(sock: socket) -> bool:
    """Return True if a socket is connected."""
    try:
        sock.getpeername()
    except OSError:
        return False
    return True


async def _async_stays_open(sock: socket) -> bool:
    """Return True unless a new connection is closed at once."""
    try:
        async with asyncio.timeout(PROBE_SETTLE_SECONDS):
            return bool(await asyncio.get_running_loop().sock_recv(sock, 1))
    except TimeoutError:
        return True


def _rounded(seconds: float) -> float | None:
    """Return rounded seconds for a log line, or None if they are not finite."""
    return round(seconds, 3) if math.isfinite(seconds) else None
