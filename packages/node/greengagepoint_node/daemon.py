"""Start the parts of the daemon, tick them, and stop them without cutting anything."""

import asyncio
from functools import partial
from typing import Final

from aiohttp import web

from greengagepoint.configuration import Configuration, longest_deadline_seconds
from greengagepoint.draining import flights
from greengagepoint.draining.flights import FlightTable
from greengagepoint.events import Event
from greengagepoint.operator_api import StatusAnswer
from greengagepoint.steering.client_following import FollowedBlocks
from greengagepoint.steering.hosts import drained_hosts
from greengagepoint.timeline.ring import EventRecorder
from greengagepoint_node.backends import BackendKeeper
from greengagepoint_node.clock import SystemClock
from greengagepoint_node.context import Coordinator
from greengagepoint_node.coordinators.caps import CapsCoordinator
from greengagepoint_node.coordinators.claims import ClaimsCoordinator
from greengagepoint_node.coordinators.config import ConfigCoordinator
from greengagepoint_node.coordinators.listed import ListedCoordinator
from greengagepoint_node.coordinators.load import LoadCoordinator
from greengagepoint_node.coordinators.membership import MembershipCoordinator
from greengagepoint_node.coordinators.usage import UsageCoordinator
from greengagepoint_node.daemon_state import DaemonState
from greengagepoint_node.event_sink import LoggedEvents
from greengagepoint_node.gauges import read_headroom, read_peer_totals
from greengagepoint_node.graceful_stop import GracefulStop
from greengagepoint_node.http.health import HealthSources, create_health_routes
from greengagepoint_node.http.lookups import create_lookup_handler
from greengagepoint_node.http.operators import create_operator_routes
from greengagepoint_node.http.server import (
    ProblemServer,
    ProblemServerRunner,
    Routes,
    ServerLimits,
    create_dispatcher,
)
from greengagepoint_node.lookup_answers import LookupAnswers
from greengagepoint_node.metrics import Metrics, Sources
from greengagepoint_node.operator_backend import DaemonOperatorBackend
from greengagepoint_node.proxy.admission import RequestAdmission
from greengagepoint_node.proxy.body import BodyLimits
from greengagepoint_node.proxy.parts import Parts
from greengagepoint_node.proxy.pipeline import RequestPipeline
from greengagepoint_node.proxy.sessions import create_backend_sessions
from greengagepoint_node.settings import Settings
from greengagepoint_node.shifting import ShiftKeeper
from greengagepoint_node.status import StatusSources, read_status
from greengagepoint_node.surroundings import async_open_surroundings
from greengagepoint_node.ticker import Ticker

MAX_HEADERS: Final = 100


class Daemon:
    """One run of the daemon on one entry host."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.clock = SystemClock()
        self.state = DaemonState.STARTING
        self.recorder = EventRecorder(settings.host, self.clock.wall_milliseconds)
        self.events = LoggedEvents(self.recorder)
        self.stop_wanted = asyncio.Event()
        self.membership: MembershipCoordinator | None = None

    async def async_run(self) -> None:
        """Serve until a stop is wanted, then stop gracefully."""
        await self.async_start()
        await self.stop_wanted.wait()
        await self.async_stop()

    async def async_start(self) -> None:
        """Open sockets, start all parts and begin to tick."""
        self.surroundings = await async_open_surroundings(
            self.settings, self.clock, self.recorder, self.events, self._peer_address
        )
        self.context = self.surroundings.context
        self.identity = self.context.host
        self.links = self.surroundings.links
        self._create_parts()
        for part in self.coordinators:
            await part.async_start()
        await self._async_serve()
        self.ticker.start()
        self.events.record(
            Event.DAEMON_STARTED,
            address=self.identity.address,
            peer_address=self.identity.peer_address,
            incarnation=self.identity.incarnation,
        )

    async def async_stop(self) -> None:
        """Leave look-ups, let all in flight end, hand over, and close.

        Callers keep cached answers that name this host until their time to live has
        run out, so it serves them until then and for what is still in flight.
        """
        self.state = DaemonState.LEAVING
        self.events.record(Event.DAEMON_STOPPING, in_flight=self.pipeline.in_flight)
        self.membership.set_leaving()
        self.caps.leave()
        self._prepare_lookups()
        await self.graceful_stop.async_wait(
            self.lookups.longest_ttl_seconds, self._stop_grace_seconds()
        )
        await self._async_close()
        self.state = DaemonState.STOPPED
        self.events.record(Event.DAEMON_STOPPED)

    async def async_abort(self) -> None:
        """Close at once, as a killed process would, without handing over."""
        self.state = DaemonState.STOPPED
        self.ticker.stop()
        await self.runner.cleanup()
        for part in reversed(self.coordinators):
            await part.async_stop()
        await self._async_close_links()

    def _create_parts(self) -> None:
        """Make coordinators and the request path."""
        context = self.context
        self.membership = MembershipCoordinator(context, self.surroundings.host_list)
        self.config = ConfigCoordinator(context, self.membership.live_hosts)
        self.caps = CapsCoordinator(
            context, self._configuration, self.membership.live_hosts
        )
        self.claims = ClaimsCoordinator(context, self.membership.live_hosts)
        self.usage = UsageCoordinator(
            context,
            self.membership.live_hosts,
            candidates=self.membership.candidate_hosts,
            population=self.membership.population,
        )
        self.backends = BackendKeeper(context)
        self.load = LoadCoordinator(
            context,
            self._configuration,
            self.membership.live_hosts,
            self.surroundings.session,
            self.backends.table,
        )
        self.listed = ListedCoordinator(
            context,
            self.surroundings.host_list,
            self.membership.live_hosts,
            self.backends.table,
        )
        self.coordinators: list[Coordinator] = [
            self.membership,
            self.config,
            self.caps,
            self.claims,
            self.usage,
            self.load,
            self.listed,
        ]
        self.flights = FlightTable()
        self.shifts = ShiftKeeper(context, self.backends.table)
        self.client_map = FollowedBlocks()
        self.lookups = LookupAnswers(self.identity, self.client_map.find)
        self.metrics = Metrics(
            Sources(
                partial(read_headroom, self._configuration, self.caps),
                partial(read_peer_totals, self.links.counters),
                self._generation,
                lambda: self.surroundings.store_calls,
            )
        )
        self.admission = RequestAdmission(
            self._configuration, self._serving_count, self.clock, context.random
        )
        self.pipeline = RequestPipeline(
            self._parts(),
            self.admission,
            BodyLimits(self.settings.max_body_bytes, self.settings.slow_sender_seconds),
        )
        self.graceful_stop = GracefulStop(
            self.clock, self.flights, lambda: self.pipeline.in_flight
        )
        self.pipeline.stop = self.graceful_stop.table
        self.ticker = Ticker(
            [*(part.tick for part in self.coordinators), self._tick_request_path],
            self.settings.tick_seconds,
            self.clock,
            self.events,
            self.metrics,
        )
        self.config.on_change(self._on_configuration)
        self.membership.on_change(self._prepare_lookups)

    def _parts(self) -> Parts:
        """Return what the request path uses."""
        self.sessions = create_backend_sessions()
        return Parts(
            context=self.context,
            configuration=self._configuration,
            sessions=self.sessions,
            caps=self.caps,
            claims=self.claims,
            backends=self.backends.table,
            flights=self.flights,
            steering=self.shifts.table,
            usage=self.usage,
            metrics=self.metrics,
            report_load=self.backends.report_load,
        )

    async def _async_serve(self) -> None:
        """Answer callers and operators."""
        settings = self.settings
        limits = ServerLimits(
            header_bytes=settings.max_header_bytes,
            headers=MAX_HEADERS,
            first_request_seconds=settings.slow_sender_seconds,
            connections=settings.max_connections,
        )
        server = ProblemServer(create_dispatcher(self._routes()), self.events, limits)
        self.runner = ProblemServerRunner(server)
        await self.runner.setup()
        await web.SockSite(self.runner, self.surroundings.http_socket).start()

    def _routes(self) -> Routes:
        """Return all routes of the HTTP server."""
        key = self.settings.operator_key.text if self.settings.operator_key else None
        backend = DaemonOperatorBackend(
            self.config, self.recorder, self._status, self.usage
        )
        health = HealthSources(self._is_ready, self._state, self.metrics.render)
        routes = [
            *create_operator_routes(backend, key),
            *create_health_routes(health),
        ]
        exact = {(route.method, route.path): route.handler for route in routes}
        exact[("GET", "/v1/hosts")] = create_lookup_handler(self._answer_lookup)
        return Routes(exact, self.pipeline.async_handle)

    def _tick_request_path(self, now: float) -> None:
        """Run what the request path stands on."""
        configuration = self._configuration()
        self.backends.tick(configuration, now)
        flights.run(self.flights, now)
        peers = [
            host.name
            for host in self.membership.live_hosts()
            if host.name != self.identity.name
        ]
        failed = frozenset(self.membership.unreachable_regions())
        self.shifts.tick(configuration, failed, peers, now)
        self.admission.tick(now)
        # A host whose clock was set back starts with a lower incarnation than peers
        # know; membership raises it, and envelopes must follow or peers refuse them.
        codec = self.links.codec
        codec.incarnation = max(codec.incarnation, self.membership.own_version)
        self.client_map.run()
        self._prepare_lookups()
        if self.state == DaemonState.STARTING and self._is_ready():
            self.state = DaemonState.SERVING
            self.events.record(Event.DAEMON_READY, generation=configuration.generation)

    def _answer_lookup(self, service: str, address: str) -> bytes | None:
        """Answer a look-up and count it."""
        answer = self.lookups.answer(service, address)
        if answer is not None:
            self.metrics.add_lookup()
        return answer

    def _prepare_lookups(self) -> None:
        """Prepare look-up answers again when what they depend on has changed."""
        self.lookups.refresh(
            self._configuration(),
            self.membership,
            self.clock.wall_milliseconds(),
            changing=self.shifts.is_moving(),
        )

    def _on_configuration(self, configuration: Configuration) -> None:
        """Put a new configuration in force on the request path at once."""
        self.backends.sync(configuration)
        self.client_map.follow(configuration)
        self._prepare_lookups()

    async def _async_close(self) -> None:
        """Stop all parts, newest first."""
        await self.runner.async_close_answered()
        await self.runner.cleanup()
        for part in reversed(self.coordinators):
            await part.async_stop()
        self.ticker.stop()
        await self._async_close_links()

    async def _async_close_links(self) -> None:
        """Close all connections that this host has opened."""
        await self.sessions.async_close()
        await self.surroundings.async_close()

    def _configuration(self) -> Configuration:
        """Return the configuration in force."""
        return self.config.configuration

    def _peer_address(self, host: str) -> str | None:
        """Return where a peer listens."""
        return self.membership.peer_address(host) if self.membership else None

    def _serving_count(self) -> int:
        """Return how many hosts serve in the whole fleet."""
        return self.membership.serving_count

    def _is_ready(self) -> bool:
        """Tell whether callers may be sent here."""
        return self.state in (DaemonState.STARTING, DaemonState.SERVING) and bool(
            self._configuration().generation
        )

    def _stop_grace_seconds(self) -> float:
        """Return how long a stop waits for requests beyond cached answers."""
        longest = longest_deadline_seconds(self._configuration())
        return max(self.settings.stop_grace_seconds, longest)

    def _generation(self) -> int:
        """Return the generation in force."""
        return self._configuration().generation

    def _state(self) -> str:
        """Return the state of the process."""
        return self.state

    def _status(self) -> StatusAnswer:
        """Return the state of this host for operators."""
        sources = StatusSources(
            self.context,
            self.config,
            self.membership,
            self.caps,
            self.backends.table,
            self.flights,
            self.shifts.table,
        )
        drained = drained_hosts(self._configuration(), self.clock.wall_milliseconds())
        draining = self.state == DaemonState.SERVING and self.identity.name in drained
        state = DaemonState.DRAINING if draining else self.state
        return read_status(
            sources, state, self.pipeline.in_flight, self.graceful_stop.status
        )
