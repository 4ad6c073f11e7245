"""Compose the request path of one host, run it, and stop it gracefully."""

import asyncio
import gc
import math
import random
import time
from collections.abc import Awaitable, Callable
from typing import Final

from aiohttp import web

from greengagepoint.accounts.gate import (
    FULL_LINK_LIMITS_VALID_SECONDS,
    LIMITS_VALID_SECONDS,
    AccountGate,
)
from greengagepoint.accounts.ledger import UsageLedger
from greengagepoint.backpressure.limit_sharers import limit_sharers
from greengagepoint.config.eras import era_of, revision_of
from greengagepoint.config.watchers import watchers_of, well_linked
from greengagepoint.demand.regional import RegionalDemand
from greengagepoint.events import Event
from greengagepoint.overload.full_link import LinkDelay
from greengagepoint.overload.shared_retries import SharedRetryBudget
from greengagepoint.protocols import Clock
from greengagepoint.quarantine.quarantine import Quarantine
from greengagepoint_node.context import EventSink
from greengagepoint_node.gateway.admission import AdmissionControl
from greengagepoint_node.gateway.caller_accounts import CallerAccounts
from greengagepoint_node.gateway.configuration_loader import ConfigurationLoader
from greengagepoint_node.gateway.connect_times import (
    ConnectionCounts,
    trace_connections,
)
from greengagepoint_node.gateway.counters import GatewayCounters, Gauges
from greengagepoint_node.gateway.demand_exchange import RegionalDemandExchange
from greengagepoint_node.gateway.directory import HostDirectory
from greengagepoint_node.gateway.follower import HostRegistration, StoreFollower
from greengagepoint_node.gateway.gossip import EXCHANGE_PATH, Gossip
from greengagepoint_node.gateway.gossip_messages import HostState
from greengagepoint_node.gateway.handler import Gateway
from greengagepoint_node.gateway.host_stop import HostStop
from greengagepoint_node.gateway.key_placement import KEY_USAGE_PATH, KeyPlacement
from greengagepoint_node.gateway.late_requests import LateRequests
from greengagepoint_node.gateway.link_probe import LinkProbe
from greengagepoint_node.gateway.listeners import Listener, create_socket
from greengagepoint_node.gateway.load_reports import DecodeLoad
from greengagepoint_node.gateway.metrics_handler import MetricsHandler
from greengagepoint_node.gateway.names import RELAYED_BY
from greengagepoint_node.gateway.pace_probe import PaceProbe
from greengagepoint_node.gateway.passing import RequestHeaders
from greengagepoint_node.gateway.peer_notifier import NEWS_PATH
from greengagepoint_node.gateway.peer_session import (
    create_peer_session,
    create_report_session,
)
from greengagepoint_node.gateway.pipelining import create_pipelined_connection
from greengagepoint_node.gateway.placing import Placer
from greengagepoint_node.gateway.process_memory import resident_bytes
from greengagepoint_node.gateway.quarantine_page import PAGE_PATH, QuarantinePage
from greengagepoint_node.gateway.quarantine_store import QuarantineStore
from greengagepoint_node.gateway.quarantine_sync import QUARANTINE_PATH, QuarantineSync
from greengagepoint_node.gateway.reach_monitor import ReachMonitor
from greengagepoint_node.gateway.region_hosts import ReportSender
from greengagepoint_node.gateway.region_reports import REPORTS_PATH, RegionReports
from greengagepoint_node.gateway.region_weights import RegionWeights
from greengagepoint_node.gateway.relay import Relay
from greengagepoint_node.gateway.request_quarantine import RequestQuarantine
from greengagepoint_node.gateway.server_quotas import QUOTAS_PATH, ServerQuotas
from greengagepoint_node.gateway.server_signals import ServerSignals
from greengagepoint_node.gateway.settings import REVOKE_SECONDS, GatewaySettings
from greengagepoint_node.gateway.stale_view_guard import StaleViewGuard
from greengagepoint_node.gateway.store_counts import CountedStore
from greengagepoint_node.gateway.store_types import (
    DecodeItem,
    HostEntry,
    PlatformStore,
    ReadParts,
)
from greengagepoint_node.gateway.uploads import create_upload_bodies
from greengagepoint_node.gateway.view import FleetView
from greengagepoint_node.http.server import ServerLimits
from greengagepoint_node.proxy.answer_bodies import create_answer_bodies
from greengagepoint_node.proxy.sessions import create_backend_sessions

TICK_SECONDS: Final = 0.25
HEADERS_MAX: Final = 100
CONNECTIONS_MAX: Final = 3_000
HEADER_BYTES_MAX: Final = 64 * 1024
# Callers may hold a connection open for this long before its first request.
FIRST_REQUEST_SECONDS: Final = 20.0
CONNECT_SECONDS: Final = 0.6
# Hosts are at most a round trip between regions away; another one may answer in time.
RELAY_CONNECT_SECONDS: Final = 0.3
# Backend servers close idle connections after a few seconds. Only a recently used
# connection is reused, so that no request is sent on one that is being closed.
KEEPALIVE_SECONDS: Final = 4.0
# One host per region watches the store for the others. If it is lost, the others find
# their state stale and watch the store themselves for the two or three seconds until it
# is replaced. A second watcher would avoid that, but double the calls in every second.
WATCHERS_PER_REGION: Final = 1

RELOADABLE_SETTINGS: Final = frozenset(
    {"retry_ratio", "retry_slack", "retry_window_seconds", "seeds", "stop_seconds"}
)

LookupHandler = Callable[
    [HostDirectory], Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
]


class GatewayDaemon:
    """The request path of one host, from start to stop."""

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
        decode_load: DecodeLoad = lambda text: None,
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
            settings.zones, decode, events, self.counters.rejected_items, self.loader
        )
        self.entry = HostEntry(
            settings.host,
            settings.region,
            settings.zone,
            settings.front_address,
            settings.peer_address,
            settings.link_mbps,
        )
        self.own_state = HostState(self.entry, time.time_ns(), 0, leaving=False)
        regions = frozenset(settings.zones.values())
        self.connections = ConnectionCounts(self.counters.connections)
        self.demand = RegionalDemand(
            settings.host, settings.region, regions, self.view.servers
        )
        self.weights = RegionWeights(
            settings.region, len(regions), self.view.servers, events, self.demand
        )
        self.retries = SharedRetryBudget(
            settings.retry_ratio,
            settings.retry_slack,
            window_seconds=settings.retry_window_seconds,
            started_at=clock.monotonic(),
        )
        self.link = LinkDelay()
        self.bodies = create_answer_bodies(
            settings.memory_mb, events, self.counters.answers_dropped
        )
        self.quarantine = RequestQuarantine(Quarantine(), clock, events)
        self.quarantine_page = QuarantinePage(self.quarantine)
        self.create_lookup = create_lookup
        self.create_backend_socket = create_socket
        self.decode_load = decode_load
        self.tasks: list[asyncio.Task[None]] = []
        self.loop_delay_seconds = 0.0
        self.heard_hosts = [settings.host]

    async def async_run(self) -> None:
        """Serve until a stop is requested, then stop gracefully."""
        await self.async_start()
        # Objects loaded so far live as long as the process. Each full collection of
        # garbage would traverse them in one step of the event loop, and delay all
        # callers meanwhile.
        gc.freeze()
        await self.stop_wanted.wait()
        await self.async_stop()

    async def async_start(self) -> None:
        """Open the listening sockets and start all background tasks."""
        settings = self.settings
        self.monitor = ReachMonitor(
            self.view,
            self.connections,
            self.counters.probes,
            lambda: self.link.is_full(self.clock.monotonic()),
            self.clock,
            self.random,
            self.events,
            LinkProbe(settings.names, lambda *kind: self.create_backend_socket(*kind)),
            self._announce_reach,
        )
        self.sessions = create_backend_sessions(
            connect_seconds=CONNECT_SECONDS,
            keepalive_seconds=KEEPALIVE_SECONDS,
            socket_factory=lambda info: self.create_backend_socket(*info[:3]),
            trace=trace_connections(self.link, self.clock, self.monitor),
            bodies=self.bodies,
        )
        self.gossip = Gossip(
            self.own_state,
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
            self.gossip.distances.round_trip_to,
            self.decode_load,
        )
        self.placer.reaches_servers = lambda: self.monitor.is_certain
        self.placer.news_age = lambda: (
            self.clock.monotonic() - self.gossip.ages.servers_read_at()
        )
        self.gossip.writer.loads = self.placer.loads
        self.gossip.writer.busy_servers = self.placer.busy_servers
        self.gossip.demand = RegionalDemandExchange(
            self.demand, self.clock, self.events
        )
        self.counters.peer_bytes = self.gossip.bytes
        self.counters.choices = self.placer.finish.choices
        self.counters.runs = self.placer.finish.runs
        self.placer.finish.excess = self.counters.finish_excess
        self.late = LateRequests(
            self.placer.longest_runs, self.counters, self.clock, self.events
        )
        self._create_relay()
        self.pace_probe = PaceProbe(
            settings.names,
            settings.region,
            self.view,
            self.sessions,
            self.placer,
            lambda: self.gossip.is_watcher and not self.own_state.leaving,
            self.clock,
            self.events,
        )
        self.counters.spills = self.placer.spills
        self.counters.demand_figures = self.demand.table.ignored
        self.counters.region_gauges = lambda: self.weights.gauges(
            self.clock.monotonic()
        )
        self._create_admission()
        self._create_quotas()
        self._create_quarantine_sync()
        self._create_reports()
        self._create_key_placement()
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
            StaleViewGuard(self.clock, ages, self.link, settings.drain_seconds),
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
            self.signals,
            self.quotas,
            self.admission,
            self.relay,
            self.late,
            create_upload_bodies(settings.memory_mb, self.events),
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
            self.store,
            self.entry,
            self.random,
            self.events,
            lambda: era_of(self.view.revision),
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
            self.pace_probe.async_run(),
            self.key_placement.async_run(),
            self.monitor.async_run(),
        ):
            self.tasks.append(asyncio.create_task(work))
        self.events.record(Event.DAEMON_STARTED, address=settings.front_address)

    def _create_relay(self) -> None:
        """Create the part that passes requests on while this host is cut off."""
        self.relay_sessions = create_backend_sessions(
            connect_seconds=RELAY_CONNECT_SECONDS,
            keepalive_seconds=KEEPALIVE_SECONDS,
            socket_factory=lambda info: create_socket(*info[:3]),
            trace=trace_connections(self.link, self.clock),
            bodies=self.bodies,
        )
        self.relay = Relay(
            self.gossip.table,
            self.view,
            self.monitor,
            self.gossip.distances,
            self.relay_sessions,
            RequestHeaders(self.settings.names),
            self.clock,
            self.gossip.ages,
            self.events,
            self.counters.relayed,
            self.late,
        )

    def _announce_reach(self) -> None:
        """Let peers know whether this host reaches backend servers."""
        self.own_state.cut_off = self.monitor.is_cut_off
        self.own_state.recovering = self.monitor.is_recovering
        if self.monitor.has_no_links:
            self.gateway.give_up_attempts()
        self.gossip.announce_state()

    def _create_admission(self) -> None:
        """Create the part that admits requests when servers lack capacity."""
        self.admission = AdmissionControl(
            self.settings.region,
            self.view,
            self.counters,
            self.clock,
            self.events,
            enabled=self.settings.admission,
        )
        self.gossip.take_pressures = self.admission.take
        self.gossip.writer.recent_pressures = self.admission.recent

    def _create_quotas(self) -> None:
        """Create the parts that keep servers' request limits over all hosts."""
        self.signals = ServerSignals(
            self.settings.names, self.view, self.counters, self.clock, self.events
        )
        self.gossip.signals = self.signals
        self.quotas = ServerQuotas(
            self.own_state,
            self.signals,
            self.gossip.table,
            create_report_session(),
            self.clock,
            self.events,
            self.gossip.bytes,
            self.placer.quota,
            lambda: self.view.hosts,
        )

    def _create_quarantine_sync(self) -> None:
        """Share requests that crash servers with peers and through the store."""
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
            lambda: self.heard_hosts,
            self.events,
        )
        self.quarantine.notify = self.quarantine_sync.notify
        self.gossip.suspects = self.quarantine_sync
        self.view.quarantine = self.quarantine_store

    def _create_reports(self) -> None:
        """Create the parts that enforce the limits of accounts over all hosts."""
        self.gate = AccountGate(self.random, self.settings.limit_bounds)
        self.reports = RegionReports(
            self.own_state,
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

    def _create_key_placement(self) -> None:
        """Create the part that equalizes the numbers of keys on servers."""
        sender = ReportSender(
            self.reports.session,
            KEY_USAGE_PATH,
            "key usage",
            self.clock,
            self.events,
            self.gossip.bytes,
        )
        self.key_placement = KeyPlacement(
            self.own_state,
            self.view,
            self.gossip.table,
            self.placer.key_usage,
            sender,
            self.clock,
            self.events,
            self.counters.key_placement,
        )

    async def async_stop(self) -> None:
        """Leave the directory, finish requests in flight, and close the sockets."""
        self.events.record(
            Event.DAEMON_STOPPING,
            in_flight=self.gateway.in_flight,
            grace=self.settings.stop_seconds,
            loop_delay=round(self.loop_delay_seconds, 3),
        )
        self.gateway.leaving = True
        self.own_state.leaving = True
        self.gossip.announce_state()
        self.tasks[1].cancel()
        withdrawal = asyncio.create_task(self.registration.async_withdraw())
        stop = HostStop(
            self.gateway, self.admission, self.listeners, self.clock, self.events
        )
        await stop.async_run(self.settings.stop_seconds, self.loop_delay_seconds)
        withdrawal.cancel()
        for task in self.tasks:
            task.cancel()

    async def async_close_sessions(self) -> None:
        """Close all connections to backend servers and to other hosts."""
        await self.sessions.async_close()
        await self.relay_sessions.async_close()
        await self.gossip.session.close()
        await self.reports.session.close()
        await self.quotas.session.close()

    def apply(self, settings: GatewaySettings) -> list[str]:
        """Apply changed settings; return the names of those that need a restart."""
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
        return [name for name in changed if name not in RELOADABLE_SETTINGS]

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
        """Serve metrics; a failure to listen leaves the request path running."""
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
        """Update the state that depends on time or on the hosts alive, periodically."""
        while True:
            now = self.clock.monotonic()
            hosts = self.gossip.table.alive(now)
            self.view.tick(now)
            region = self.settings.region
            local_hosts = [row.entry for row in hosts if row.entry.region == region]
            self.demand.tick(self._region_host_count(local_hosts), now)
            self.weights.tick(now)
            watchers = watchers_of(
                region, well_linked(local_hosts), WATCHERS_PER_REGION
            )
            self.gossip.is_watcher = self.settings.host in watchers
            local_count = self._region_host_count(local_hosts)
            self.view.servers.set_senders(max(1, local_count))
            self.heard_hosts = sorted(state.entry.name for state in hosts)
            self.placer.limit_sharers = limit_sharers(
                self.heard_hosts, self.view.hosts, self.gossip.table.leaving()
            )
            self.placer.unverified.set_hosts(self.heard_hosts)
            self.placer.round_trip_seconds = self.gossip.distances.max_round_trip()
            self.placer.tick(now)
            self.admission.tick(now)
            self.signals.tick()
            self.quotas.tick()
            self.quarantine.tick()
            self.retries.hosts = max(
                len(self.placer.limit_sharers), len(self.view.hosts)
            )
            self.gate.hosts = self.retries.hosts
            is_full = self.reports.link_is_full = self.gossip.link_is_full()
            self.key_placement.link_is_full = is_full
            self.gate.limits_valid_seconds = (
                FULL_LINK_LIMITS_VALID_SECONDS if is_full else LIMITS_VALID_SECONDS
            )
            self.reports.local_host_count = len(local_hosts)
            await asyncio.sleep(TICK_SECONDS)
            delay = self.clock.monotonic() - now - TICK_SECONDS
            self.loop_delay_seconds = delay
            self.counters.loop_lag.add(delay)

    def _region_host_count(self, alive: list[HostEntry]) -> int:
        """Return the number of hosts of this region that receive callers.

        Registered hosts count although no heartbeat arrives: a host that hears nobody
        must not take its own callers for those of the region.
        """
        region = self.settings.region
        registered = {
            name for name, entry in self.view.hosts.items() if entry.region == region
        }
        return len(registered | {entry.name for entry in alive})

    def gauges(self) -> Gauges:
        """Return this host's current view."""
        now = self.clock.monotonic()
        view = self.view
        server_rows = view.servers.servers.values()
        verified_at = view.certainty.verified_at
        return Gauges(
            configuration_version=view.routes.version if view.routes else 0,
            configuration_age_seconds=_age(view.configured_at, now),
            configuration_certainty_age_seconds=_age(verified_at, now),
            store_contact_age_seconds=_age(self.follower.reached_at, now),
            store_revision=revision_of(view.revision),
            store_era=era_of(view.revision),
            backend_servers=len(server_rows),
            backend_servers_suspected=sum(
                row.suspect_until > now for row in server_rows
            ),
            backend_servers_limited=sum(
                self.signals.limits.limit(row.incarnation) is not None
                for row in server_rows
            ),
            backend_servers_resting=sum(row.rest_until > now for row in server_rows),
            requests_suspected=len(self.quarantine.table.suspects),
            requests_quarantined=len(self.quarantine.quarantined),
            hosts_alive=len(self.gossip.table.alive(now)),
            keys_known=len(self.key_placement.coordinator.keys.rows),
            requests_in_flight=self.gateway.in_flight,
            requests_waiting=len(self.admission.room.queue.rows),
            link_delay_seconds=round(self.link.seconds(now), 3),
            log_lines_dropped=self.lines_dropped(),
            backend_connection_age_seconds=_age(self.connections.made_at, now),
            cut_off=int(self.monitor.is_cut_off),
            hosts_cut_off=sum(state.cut_off for state in self.gossip.table.alive(now)),
            memory_bytes=resident_bytes(),
            answer_bytes_held=self.bodies.held.total,
            answer_bytes_budget=self.bodies.held.limits.budget_bytes,
        )

    def is_ready(self) -> bool:
        """Return True if this host accepts callers and has a configuration."""
        return not self.gateway.leaving and self.view.routes is not None

    async def _async_answer_ready(self, request: web.BaseRequest) -> web.Response:
        """Answer a readiness check."""
        if request.rel_url.raw_path != self.ready_path:
            return web.Response(status=404)
        return web.Response(status=200 if self.is_ready() else 503)

    async def _async_answer_peer(self, request: web.BaseRequest) -> web.Response:
        """Dispatch a peer's message by its path."""
        if RELAYED_BY in request.headers:
            return await self.gateway.async_answer_relayed(request)
        if request.rel_url.raw_path == EXCHANGE_PATH:
            return await self.gossip.async_answer(request)
        if request.rel_url.raw_path == NEWS_PATH:
            return await self.gossip.async_handle_update(request)
        if request.rel_url.raw_path == QUARANTINE_PATH:
            return await self.quarantine_sync.async_receive(request)
        if request.rel_url.raw_path == REPORTS_PATH:
            return await self.reports.async_take(request)
        if request.rel_url.raw_path == KEY_USAGE_PATH:
            return await self.key_placement.async_take(request)
        if request.rel_url.raw_path == QUOTAS_PATH:
            return await self.quotas.async_answer(request)
        return web.Response(status=404)

    async def _async_answer_operator(self, request: web.BaseRequest) -> web.Response:
        """Answer a metrics scrape or an operator's request."""
        if request.rel_url.raw_path.startswith(PAGE_PATH):
            return self.quarantine_page.answer(request)
        return await self.metrics.async_answer(request)


def _age(since: float | None, now: float) -> float:
    """Return the seconds since ``since``, or -1 if it has not happened yet."""
    if since is None or math.isinf(since):
        return -1.0
    return round(now - since, 3)
