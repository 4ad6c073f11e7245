"""Compose the request path of one host, run it, and stop it without a cut."""

import asyncio
import gc
import math
import random
import time
from collections.abc import Awaitable, Callable
from typing import Final

from aiohttp import web

from greengagepoint.accounts.gate import (
    FULL_LINK_TOLD_SECONDS,
    TOLD_SECONDS,
    AccountGate,
)
from greengagepoint.accounts.ledger import UsageLedger
from greengagepoint.config.watchers import watchers_of, well_linked
from greengagepoint.events import Event
from greengagepoint.overload.full_link import LinkDelay
from greengagepoint.overload.shared_retries import SharedRetryBudget
from greengagepoint.protocols import Clock
from greengagepoint.quarantine.quarantine import Quarantine
from greengagepoint_node.context import EventSink
from greengagepoint_node.gateway.caller_accounts import CallerAccounts
from greengagepoint_node.gateway.configuration_loader import ConfigurationLoader
from greengagepoint_node.gateway.connect_times import trace_connections
from greengagepoint_node.gateway.counters import GatewayCounters, Gauges
from greengagepoint_node.gateway.directory import HostDirectory
from greengagepoint_node.gateway.facts import (
    DecodeItem,
    HostEntry,
    PlatformStore,
    ReadParts,
)
from greengagepoint_node.gateway.follower import HostRegistration, StoreFollower
from greengagepoint_node.gateway.gossip import PATH, Gossip
from greengagepoint_node.gateway.gossip_messages import HostState
from greengagepoint_node.gateway.handler import Gateway
from greengagepoint_node.gateway.listeners import Listener, create_socket
from greengagepoint_node.gateway.metrics_handler import MetricsHandler
from greengagepoint_node.gateway.news_guard import NewsGuard
from greengagepoint_node.gateway.peer_notifier import NEWS_PATH
from greengagepoint_node.gateway.peer_session import (
    create_peer_session,
    create_report_session,
)
from greengagepoint_node.gateway.pipelining import create_pipelined_connection
from greengagepoint_node.gateway.placing import Placer
from greengagepoint_node.gateway.quarantine_page import PAGE_PATH, QuarantinePage
from greengagepoint_node.gateway.quarantine_store import QuarantineStore
from greengagepoint_node.gateway.quarantine_sync import QUARANTINE_PATH, QuarantineSync
from greengagepoint_node.gateway.region_reports import REPORTS_PATH, RegionReports
from greengagepoint_node.gateway.region_weights import RegionWeights
from greengagepoint_node.gateway.request_quarantine import RequestQuarantine
from greengagepoint_node.gateway.settings import REVOKE_SECONDS, GatewaySettings
from greengagepoint_node.gateway.store_counts import CountedStore
from greengagepoint_node.gateway.view import FleetView
from greengagepoint_node.http.server import ServerLimits
from greengagepoint_node.proxy.sessions import create_backend_sessions

TICK_SECONDS: Final = 0.25
HEADERS_MAX: Final = 100
CONNECTIONS_MAX: Final = 3_000
HEADER_BYTES_MAX: Final = 64 * 1024
# Callers hold connections open for this long before their first request.
FIRST_REQUEST_SECONDS: Final = 20.0
CONNECT_SECONDS: Final = 0.6
# Backend servers close idle connections after seconds; one that has just been used is
# still open, so nothing is sent into a closing one.
KEEPALIVE_SECONDS: Final = 4.0
# Of the time for a stop, the part in which new requests are still taken: callers keep
# addresses for up to three times as long as they were told.
ACCEPTING_SHARE: Final = 0.5
CLOSING_SECONDS: Final = 0.4
# After that the host still listens and says at once that it has not run a request:
# whatever is on its way when the socket closes gets no answer at all. It exits when no
# caller has come for this long.
QUIET_SECONDS: Final = 0.8
POLL_SECONDS: Final = 0.1

# One host a region watches the store for the others. When it is lost they find their
# news stale and watch themselves until another one has taken its place; a second one
# would cost as many calls again, each second, for those two or three seconds.
WATCHERS_HERE: Final = 1

APPLIED_AT_ONCE: Final = frozenset(
    {"retry_ratio", "retry_slack", "retry_window_seconds", "seeds", "stop_seconds"}
)

LookupHandler = Callable[
    [HostDirectory], Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
]


class GatewayDaemon:
    """One run of the request path on one host."""

    def __init__(
        self,
        settings: GatewaySettings,
        store: PlatformStore,
        decode: DecodeItem,
        create_lookup: LookupHandler,
        ready_path: str,
        clock: Clock,
        events: EventSink,
        lines_dropped: Callable[[], int] = lambda: 0,
        read_parts: ReadParts = lambda item: None,
    ) -> None:
        self.settings = settings
        self.counters = GatewayCounters()
        self.store = CountedStore(store, self.counters.store_calls)
        self.lines_dropped = lines_dropped
        self.metrics = MetricsHandler(self.counters, self.gauges)
        self.clock = clock
        self.events = events
        self.ready_path = ready_path
        self.random = random.Random()
        self.stop_wanted = asyncio.Event()
        self.loader = ConfigurationLoader(read_parts, clock)
        self.view = FleetView(
            settings.zones, decode, events, self.counters.refused_items, self.loader
        )
        self.entry = HostEntry(
            settings.host,
            settings.region,
            settings.zone,
            settings.front_address,
            settings.peer_address,
            settings.link_mbps,
        )
        self.own = HostState(self.entry, time.time_ns(), 0, leaving=False)
        regions = len(set(settings.zones.values()))
        self.weights = RegionWeights(
            settings.region, regions, self.view.servers, events
        )
        self.retries = SharedRetryBudget(
            settings.retry_ratio,
            settings.retry_slack,
            window_seconds=settings.retry_window_seconds,
            started_at=clock.monotonic(),
        )
        self.link = LinkDelay()
        self.quarantine = RequestQuarantine(Quarantine(), clock, events)
        self.quarantine_page = QuarantinePage(self.quarantine)
        self.create_lookup = create_lookup
        self.tasks: list[asyncio.Task[None]] = []

    async def async_run(self) -> None:
        """Serve until a stop is wanted, then stop gracefully."""
        await self.async_start()
        # What was loaded so far lasts as long as the process. Each full collection of
        # garbage would walk through it in one step of the event loop, and hold up all
        # callers meanwhile.
        gc.freeze()
        await self.stop_wanted.wait()
        await self.async_stop()

    async def async_start(self) -> None:
        """Open sockets and start all parts."""
        settings = self.settings
        self.sessions = create_backend_sessions(
            connect_seconds=CONNECT_SECONDS,
            keepalive_seconds=KEEPALIVE_SECONDS,
            socket_factory=lambda info: create_socket(*info[:3]),
            trace=trace_connections(self.link, self.clock),
        )
        self.gossip = Gossip(
            self.own,
            self.view,
            list(settings.seeds),
            self.clock,
            self.random,
            self.events,
            create_peer_session(trace_connections(self.link, self.clock)),
        )
        self.gossip.link = self.link
        self.placer = Placer(
            settings.host,
            settings.region,
            self.view,
            self.weights,
            self.clock.monotonic(),
            self.events,
            self.gossip.distances.to,
        )
        self.gossip.writer.loads = self.placer.loads
        self.gossip.writer.busy_servers = self.placer.busy_servers
        self.counters.peer_bytes = self.gossip.bytes
        self._connect_quarantine()
        self._create_reports()
        ages = self.gossip.ages
        self.gateway = Gateway(
            settings.names,
            self.view,
            self.sessions,
            self.placer,
            self.retries,
            self.counters,
            self.clock,
            self.events,
            ages,
            NewsGuard(self.clock, ages, self.link, settings.drain_seconds),
            self.quarantine,
            CallerAccounts(
                self.view.certainty,
                self.gate,
                self.clock,
                ages.is_current,
                settings.revoke_seconds,
                self.counters,
                lambda: bool(self.reports.accounts()),
            ),
        )
        self.directory = HostDirectory(
            self.view, self.gossip, self.clock, self.gateway.accounts.can_serve_keys
        )
        self.follower = StoreFollower(
            self.store,
            self.view,
            self.clock,
            self.random,
            self.events,
            self.gossip,
            settings.heartbeat_seconds,
        )
        self.registration = HostRegistration(
            self.store, self.entry, self.random, self.events
        )
        await self._async_listen()
        for work in (
            self.follower.async_run(),
            self.registration.async_run(),
            self.gossip.async_run(),
            self._async_tick(),
            self.loader.async_run(self.view),
            self.quarantine_sync.async_run(),
            self.quarantine_store.async_run(),
            self.reports.async_run(),
        ):
            self.tasks.append(asyncio.create_task(work))
        self.events.record(Event.DAEMON_STARTED, address=settings.front_address)

    def _connect_quarantine(self) -> None:
        """Let peers and the store tell what this host knows of fatal requests."""
        self.quarantine_sync = QuarantineSync(
            self.quarantine,
            self.gossip.peer_addresses,
            self.gossip.session,
            self.random,
            self.events,
            self.gossip.bytes,
        )
        self.quarantine_store = QuarantineStore(
            self.store,
            self.quarantine_sync,
            self.settings.host,
            lambda: self.placer.serving_hosts,
            self.events,
        )
        self.quarantine.notify = self.quarantine_sync.notify
        self.gossip.suspects = self.quarantine_sync
        self.view.quarantine = self.quarantine_store

    def _create_reports(self) -> None:
        """Let all hosts together keep the limits of accounts."""
        self.gate = AccountGate(self.random, self.settings.limit_bounds)
        self.reports = RegionReports(
            self.own,
            self.view,
            self.gossip.table,
            self.gate,
            UsageLedger(
                self.settings.revoke_seconds or REVOKE_SECONDS,
                self.settings.limit_bounds,
            ),
            create_report_session(),
            self.clock,
            self.events,
            self.gossip.bytes,
        )

    async def async_stop(self) -> None:
        """Leave look-ups, let all in flight end, and close."""
        began = self.clock.monotonic()
        self.events.record(Event.DAEMON_STOPPING, in_flight=self.gateway.in_flight)
        self.gateway.leaving = True
        self.own.leaving = True
        self.own.count += 1
        self.tasks[1].cancel()
        withdrawal = asyncio.create_task(self.registration.async_withdraw())
        ends_at = began + self.settings.stop_seconds - 2 * CLOSING_SECONDS
        await asyncio.sleep(self.settings.stop_seconds * ACCEPTING_SHARE)
        self.gateway.rejecting = True
        while not self.gateway.is_quiet(QUIET_SECONDS):
            if self.clock.monotonic() > ends_at:
                break
            await asyncio.sleep(POLL_SECONDS)
        await self.front.async_stop_accepting()
        # The last answers leave the handlers before they leave the host.
        await self.front.async_close(CLOSING_SECONDS)
        withdrawal.cancel()
        for task in self.tasks:
            task.cancel()
        self.events.record(Event.DAEMON_STOPPED, cut_off=self.gateway.in_flight)

    def apply(self, settings: GatewaySettings) -> list[str]:
        """Take in changed settings; return the names of those that need a restart."""
        self.retries.ratio = settings.retry_ratio
        self.retries.slack = settings.retry_slack
        self.retries.window_seconds = settings.retry_window_seconds
        self.gossip.seeds = list(settings.seeds)
        changed = [
            name
            for name in settings._fields
            if getattr(settings, name) != getattr(self.settings, name)
        ]
        self.settings = self.settings._replace(
            seeds=settings.seeds,
            stop_seconds=settings.stop_seconds,
            retry_ratio=settings.retry_ratio,
            retry_slack=settings.retry_slack,
            retry_window_seconds=settings.retry_window_seconds,
        )
        return [name for name in changed if name not in APPLIED_AT_ONCE]

    async def _async_listen(self) -> None:
        """Open all listening sockets."""
        settings = self.settings
        limits = ServerLimits(
            header_bytes=HEADER_BYTES_MAX,
            headers=HEADERS_MAX,
            first_request_seconds=FIRST_REQUEST_SECONDS,
            connections=CONNECTIONS_MAX,
        )
        self.front = Listener(
            settings.front_address,
            self.gateway.async_handle,
            self.events,
            limits,
            create_pipelined_connection(self.gateway),
        )
        handlers = {
            settings.ready_address: self._async_answer_ready,
            settings.directory_address: self.create_lookup(self.directory),
            settings.peer_address: self._async_answer_peer,
        }
        self.listeners = [self.front]
        for address, handler in handlers.items():
            self.listeners.append(Listener(address, handler, self.events, limits))
        for listener in self.listeners:
            await listener.async_start()
        if settings.metrics_address:
            await self._async_listen_for_scrapes(limits)

    async def _async_listen_for_scrapes(self, limits: ServerLimits) -> None:
        """Serve metrics; callers are served all the same where that fails."""
        address = self.settings.metrics_address
        listener = Listener(address, self._async_answer_operator, self.events, limits)
        try:
            await listener.async_start()
        except (OSError, ValueError) as error:
            self.events.record(
                Event.METRICS_UNAVAILABLE, address=address, detail=str(error)
            )
            return
        self.listeners.append(listener)

    async def _async_tick(self) -> None:
        """Run the periodic decisions."""
        while True:
            now = self.clock.monotonic()
            hosts = self.gossip.table.alive(now)
            self.view.tick(now)
            self.weights.tick(now)
            region = self.settings.region
            near = [row.entry for row in hosts if row.entry.region == region]
            watchers = watchers_of(region, well_linked(near), WATCHERS_HERE)
            self.gossip.is_watcher = self.settings.host in watchers
            self.view.servers.set_senders(max(1, len(near)))
            names = sorted(state.entry.name for state in hosts)
            self.placer.serving_hosts = names
            self.placer.round_trip_seconds = self.gossip.distances.farthest()
            self.placer.tick(now)
            self.quarantine.tick()
            self.retries.hosts = max(len(names), len(self.view.hosts))
            self.gate.hosts = self.retries.hosts
            full = self.reports.link_is_full = self.gossip.link_is_full()
            self.gate.told_seconds = FULL_LINK_TOLD_SECONDS if full else TOLD_SECONDS
            self.reports.near_hosts = len(near)
            await asyncio.sleep(TICK_SECONDS)
            self.counters.loop_lag.add(self.clock.monotonic() - now - TICK_SECONDS)

    def gauges(self) -> Gauges:
        """Return what this host believes now."""
        now = self.clock.monotonic()
        view = self.view
        known = view.servers.servers.values()
        certain_at = view.certainty.certain_at
        return Gauges(
            configuration_version=view.routes.version if view.routes else 0,
            configuration_age_seconds=_age(view.configured_at, now),
            configuration_certainty_age_seconds=_age(certain_at, now),
            store_contact_age_seconds=_age(self.follower.reached_at, now),
            store_revision=view.revision,
            backend_servers=len(known),
            backend_servers_suspected=sum(row.suspect_until > now for row in known),
            requests_suspected=len(self.quarantine.table.suspects),
            requests_quarantined=len(self.quarantine.refused),
            hosts_alive=len(self.gossip.table.alive(now)),
            requests_in_flight=self.gateway.in_flight,
            link_delay_seconds=round(self.link.seconds(now), 3),
            log_lines_dropped=self.lines_dropped(),
        )

    def is_ready(self) -> bool:
        """Tell whether callers may be sent here."""
        return not self.gateway.leaving and self.view.routes is not None

    async def _async_answer_ready(self, request: web.BaseRequest) -> web.Response:
        """Answer a readiness check."""
        if request.rel_url.raw_path != self.ready_path:
            return web.Response(status=404)
        return web.Response(status=200 if self.is_ready() else 503)

    async def _async_answer_peer(self, request: web.BaseRequest) -> web.Response:
        """Answer a peer."""
        if request.rel_url.raw_path == PATH:
            return await self.gossip.async_answer(request)
        if request.rel_url.raw_path == NEWS_PATH:
            return await self.gossip.async_take_news(request)
        if request.rel_url.raw_path == QUARANTINE_PATH:
            return await self.quarantine_sync.async_take(request)
        if request.rel_url.raw_path == REPORTS_PATH:
            return await self.reports.async_take(request)
        return web.Response(status=404)

    async def _async_answer_operator(self, request: web.BaseRequest) -> web.Response:
        """Answer a scrape or an operator."""
        if request.rel_url.raw_path.startswith(PAGE_PATH):
            return self.quarantine_page.answer(request)
        return await self.metrics.async_answer(request)


def _age(since: float | None, now: float) -> float:
    """Return the seconds since something happened, -1 where it has not yet."""
    if since is None or math.isinf(since):
        return -1.0
    return round(now - since, 3)
