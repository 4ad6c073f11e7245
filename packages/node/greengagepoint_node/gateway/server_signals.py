"""Apply what backend servers say about themselves in the heads of their answers."""

from collections.abc import Iterable, Sequence
from typing import Final

from aiohttp import hdrs
from multidict import CIMultiDictProxy

from greengagepoint.backpressure.limits import (
    AdvertisedLimits,
    LimitChange,
    is_notable_change,
    read_limit,
)
from greengagepoint.backpressure.messages import LeavingNotice, LimitNotice
from greengagepoint.backpressure.rests import read_rest
from greengagepoint.events import Event
from greengagepoint.placing.tables import Incarnation, Server
from greengagepoint.protocols import Clock
from greengagepoint_node.context import EventSink
from greengagepoint_node.gateway.counters import GatewayCounters
from greengagepoint_node.gateway.names import HeaderNames
from greengagepoint_node.gateway.view import FleetView

# Servers choose the length of what is logged.
LOGGED_CHARACTERS_MAX: Final = 40
LEAVING: Final = "1"
UNAVAILABLE: Final = 503


class ServerSignals:
    """Read the signals of servers, and share and log their changes."""

    def __init__(
        self,
        names: HeaderNames,
        view: FleetView,
        counters: GatewayCounters,
        clock: Clock,
        events: EventSink,
    ) -> None:
        self.names = names
        self.view = view
        self.counters = counters
        self.clock = clock
        self.events = events
        self.limits = AdvertisedLimits()
        self.has_capacity_changed = False
        view.known.restore_signals = self.restore
        self.resting: dict[Incarnation, Server] = {}
        self.logged_limits: dict[Incarnation, float] = {}
        self.unreadable: set[tuple[Incarnation, str]] = set()

    def read(self, server: Server, status: int, headers: CIMultiDictProxy[str]) -> None:
        """Apply the head of an answer of a server."""
        if not self.view.servers.is_newest(server):
            return
        if headers.get(self.names.leaving) == LEAVING:
            self._record_leaving(server)
        self._read_limit(server, headers)
        if status == UNAVAILABLE:
            self._read_rest(server, headers)

    def _read_limit(self, server: Server, headers: CIMultiDictProxy[str]) -> None:
        """Apply the request limit in the head of an answer."""
        texts = headers.getall(self.names.request_limit, ())
        limit = read_limit(texts)
        if texts and limit is None:
            # The server still asks for less, so an earlier limit stays.
            self._log_unreadable(server, "request limit", texts[0])
            return
        now = self.clock.monotonic()
        change = self.limits.record(server.incarnation, limit, now)
        if change is not None:
            self._apply_limit_changes([change])

    def _read_rest(self, server: Server, headers: CIMultiDictProxy[str]) -> None:
        """Apply the time without requests that a 503 asks for."""
        text = headers.get(hdrs.RETRY_AFTER)
        if text is None:
            return
        seconds = read_rest(text)
        if seconds is None:
            self._log_unreadable(server, "Retry-After", text)
            return
        if not seconds:
            return
        now = self.clock.monotonic()
        if server.rest_until <= now:
            self.counters.rests[(server.service,)] += 1
            self.events.record(
                Event.BACKEND_SERVER_RESTING,
                instance=server.instance,
                born=server.born,
                service=server.service,
                seconds=round(seconds, 3),
            )
            self.resting[server.incarnation] = server
        server.rest_until = max(server.rest_until, now + seconds)

    def _log_ended_rests(self) -> None:
        """Log the rests that are over."""
        now = self.clock.monotonic()
        for key, server in list(self.resting.items()):
            if server.rest_until <= now:
                del self.resting[key]
                self.events.record(
                    Event.BACKEND_SERVER_RESTED,
                    instance=server.instance,
                    born=server.born,
                    service=server.service,
                )

    def _log_unreadable(self, server: Server, name: str, text: str) -> None:
        """Log a header that can't be read, once for a server."""
        if (server.incarnation, name) in self.unreadable:
            return
        self.unreadable.add((server.incarnation, name))
        self.events.record(
            Event.LOAD_REPORT_INVALID,
            instance=server.instance,
            detail=f"{name} {text[:LOGGED_CHARACTERS_MAX]!r}",
        )

    def restore(self, server: Server) -> None:
        """Apply what its incarnation said to the new row of a server."""
        limit = self.limits.limit(server.incarnation)
        if limit is not None:
            self._set_limit(server, limit)
        former = self.resting.get(server.incarnation)
        if former is not None:
            server.rest_until = former.rest_until
            self.resting[server.incarnation] = server

    def shared_limits(self) -> list[LimitNotice]:
        """Return the limits that peers may lack."""
        return self.limits.shared(self.clock.monotonic())

    def take_limits(self, notices: Sequence[LimitNotice]) -> None:
        """Merge what a peer heard from servers."""
        if not notices:
            return
        known = {
            row.instance: row.incarnation for row in self.view.servers.servers.values()
        }
        now = self.clock.monotonic()
        self._apply_limit_changes(self.limits.merge(notices, known, now))

    def shared_leaving(self) -> list[LeavingNotice]:
        """Return the leaving servers that peers may not know."""
        return self.view.known.announced.shared(self.clock.monotonic())

    def take_leaving(self, notices: Sequence[LeavingNotice]) -> None:
        """Merge the leaving servers that a peer knows."""
        if not notices:
            return
        now = self.clock.monotonic()
        changed = self.view.known.announced.merge(notices, now)
        if changed:
            self._apply_leaving(changed, from_peer=True)

    def tick(self) -> None:
        """Drop expired state, and adapt the weights of regions to changed limits."""
        self._log_ended_rests()
        table = self.view.servers
        servers = table.servers.values()
        self.limits.retain((row.incarnation for row in servers), self.clock.monotonic())
        self.view.known.announced.retain(
            (row.incarnation for row in servers), self.clock.monotonic()
        )
        table.limited &= self.limits.rows.keys()
        for former in self.logged_limits.keys() - self.limits.rows.keys():
            del self.logged_limits[former]
        known = {row.incarnation for row in servers}
        self.unreadable = {row for row in self.unreadable if row[0] in known}
        if self.has_capacity_changed:
            self.has_capacity_changed = False
            table.rebuild()

    def _record_leaving(self, server: Server) -> None:
        """Stop using a server that says that it leaves."""
        now = self.clock.monotonic()
        if self.view.known.announced.record(server.incarnation, now):
            self._apply_leaving([server.incarnation], from_peer=False)

    def _apply_leaving(self, servers: list[Incarnation], *, from_peer: bool) -> None:
        """Log and stop using servers that were not known to leave."""
        for server in servers:
            row = self.view.servers.servers.get(server.instance)
            service = row.service if row is not None else ""
            self.counters.leaving_announced[(service,)] += 1
            self.events.record(
                Event.BACKEND_SERVER_ANNOUNCED_LEAVING,
                instance=server.instance,
                born=server.born,
                service=service,
                source="peer" if from_peer else "answer",
                age=round(self._announced_age(server), 3),
            )
        self.view.record_announced(servers)

    def _announced_age(self, server: Incarnation) -> float:
        """Return how many seconds ago a server said first that it leaves."""
        return self.clock.monotonic() - self.view.known.announced.heard_at[server]

    def _set_limit(self, server: Server, limit: float | None) -> None:
        """Set a server's limit; the next tick adapts the weights of regions."""
        before = server.request_limit
        self.view.servers.set_request_limit(server, limit)
        self.has_capacity_changed |= is_notable_change(before, limit)

    def _should_log(self, change: LimitChange) -> bool:
        """Return True unless a limit differs little from the last one logged."""
        logged = self.logged_limits.get(change.server)
        if not is_notable_change(logged, change.after):
            return False
        if change.after is None:
            self.logged_limits.pop(change.server, None)
        else:
            self.logged_limits[change.server] = change.after
        return True

    def _apply_limit_changes(self, changes: Iterable[LimitChange]) -> None:
        """Log and count changed limits."""
        for change in changes:
            row = self.view.servers.servers[change.server.instance]
            self._set_limit(row, change.after)
            if not self._should_log(change):
                continue
            self.counters.limit_changes[row.service, _describe(change)] += 1
            self.events.record(
                Event.BACKEND_SERVER_LIMITED,
                instance=change.server.instance,
                born=change.server.born,
                service=row.service,
                limit=change.after,
                before=change.before,
                source="peer" if change.from_peer else "answer",
                age=round(change.age_seconds, 3),
            )


def _describe(change: LimitChange) -> str:
    """Return the label of a change in the metrics."""
    if change.after is None:
        return "ended"
    return "named" if change.before is None else "changed"
