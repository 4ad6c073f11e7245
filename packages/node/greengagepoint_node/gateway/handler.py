"""One request from its first byte to its last."""

import asyncio
from typing import Final, NamedTuple

import aiohttp
import xxhash
from aiohttp import web
from multidict import CIMultiDict

from greengagepoint.events import Event
from greengagepoint.overload.shared_retries import SharedRetryBudget
from greengagepoint.placing import suspicion
from greengagepoint.placing.choice import NoPlace, Wanted, choose
from greengagepoint.placing.cold_start import ColdStartLimiter
from greengagepoint.placing.patience import Patience
from greengagepoint.placing.ranking import RankCache
from greengagepoint.placing.regions import region_for_key
from greengagepoint.placing.tables import Server
from greengagepoint.protocols import Clock
from greengagepoint.routing.split import WeightedSplit
from greengagepoint.routing.tables import Route, RouteTable, find_route
from greengagepoint_node.context import EventSink
from greengagepoint_node.gateway.exchange import (
    NOT_RUN,
    Exchange,
    Sending,
    Verdict,
    async_exchange,
)
from greengagepoint_node.gateway.names import HeaderNames
from greengagepoint_node.gateway.region_weights import RegionWeights
from greengagepoint_node.gateway.view import FleetView
from greengagepoint_node.http.const import HOP_BY_HOP_HEADERS
from greengagepoint_node.proxy.headers import connection_headers
from greengagepoint_node.proxy.sessions import BackendSessions

# A caller's clock started 3 ms before the request came, and the answer needs as long.
ANSWER_MARGIN_SECONDS: Final = 0.01
DEADLINE_DEFAULT_SECONDS: Final = 10.0
# One request in so many is logged when all went well; which ones depends on the id
# alone, so all hosts keep the same requests.
SAMPLED_ONE_IN: Final = 64
RETRY_AFTER_MIN_SECONDS: Final = 0.05
NOT_READY_SECONDS: Final = 0.5
# Below this a backend server could not run anything.
SECONDS_LEFT_MIN: Final = 0.02


class Call(NamedTuple):
    """One caller's request; times are monotonic seconds."""

    request_id: str
    route: Route
    service: str
    key: str | None
    target: str
    arrived_at: float
    ends_at: float


class Load(NamedTuple):
    """How many requests a server runs, and how many wait for a slot."""

    running: int
    waiting: int


class Refusal(Exception):
    """End a request with an answer of this host's own."""

    def __init__(
        self, status: int, reason: str, retry_after: float | None = None
    ) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after = retry_after


class Gateway:
    """Match, place, send and answer requests."""

    def __init__(
        self,
        host: str,
        names: HeaderNames,
        view: FleetView,
        sessions: BackendSessions,
        weights: RegionWeights,
        retries: SharedRetryBudget,
        clock: Clock,
        events: EventSink,
    ) -> None:
        self.names = names
        self.view = view
        self.sessions = sessions
        self.weights = weights
        self.retries = retries
        self.clock = clock
        self.events = events
        self.ranks = RankCache()
        self.split = WeightedSplit()
        self.cold = ColdStartLimiter(host, clock.monotonic())
        self.serving_hosts: list[str] = [host]
        self.in_flight = 0
        self.leaving = False
        self.patience = Patience()
        self.refusing = False
        self.last_request_at = clock.monotonic()
        self.dropped_headers = HOP_BY_HOP_HEADERS | {
            "host",
            "expect",
            "content-length",
            names.deadline_ms.lower(),
            names.target_instance.lower(),
        }

    async def async_handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        self.in_flight += 1
        try:
            response = await self._async_answer(request)
        finally:
            self.in_flight -= 1
        if self.leaving:
            # A caller that kept this connection would send its next request on it
            # after the host has stopped, and see it cut off.
            response.force_close()
        return response

    def is_quiet(self, seconds: float) -> bool:
        """Tell whether nothing is in flight and no request came for some seconds."""
        return (
            not self.in_flight
            and self.clock.monotonic() - self.last_request_at >= seconds
        )

    async def _async_answer(self, request: web.BaseRequest) -> web.Response:
        """Answer a request, also where it fails."""
        request_id = request.headers.get(self.names.request_id, "")
        arrived_at = self.last_request_at = self.clock.monotonic()
        try:
            if self.refusing:
                raise Refusal(503, "this host is about to exit", 0.0)
            call = self._parse(request, request_id, arrived_at)
            body = await self._async_body(request, call)
            return await self._async_serve(request, call, body)
        except Refusal as refusal:
            self.events.record(
                Event.REQUEST_REFUSED
                if refusal.status != 502
                else Event.REQUEST_FAILED,
                request_id=request_id,
                status=refusal.status,
                reason=refusal.reason,
                retry_after=refusal.retry_after,
                seconds=round(self.clock.monotonic() - arrived_at, 3),
            )
            return self._refused(request_id, refusal)
        except asyncio.CancelledError:
            self.events.record(
                Event.REQUEST_CANCELLED,
                request_id=request_id,
                seconds=round(self.clock.monotonic() - arrived_at, 3),
            )
            raise

    def _parse(
        self, request: web.BaseRequest, request_id: str, arrived_at: float
    ) -> Call:
        """Return the call that a request makes, or raise Refusal."""
        table = self.view.routes
        if table is None:
            raise Refusal(503, "no configuration is known yet", NOT_READY_SECONDS)
        if not request_id:
            raise Refusal(400, "the request has no id")
        target = request.rel_url.raw_path_qs
        path = request.rel_url.raw_path
        route = find_route(table, request.host, path)
        if route is None:
            raise Refusal(404, f"no route, configuration {table.version}")
        key = _cookie(request, self.names.affinity_cookie) if route.affinity else None
        seconds = _deadline_seconds(request.headers.get(self.names.deadline_ms))
        ends_at = arrived_at + seconds - ANSWER_MARGIN_SECONDS
        if route.timeout_seconds is not None:
            ends_at = min(ends_at, arrived_at + route.timeout_seconds)
        service = self.split.choose(route)
        if key is not None:
            key = f"{route.prefix}\0{key}"
        return Call(request_id, route, service, key, target, arrived_at, ends_at)

    async def _async_body(self, request: web.BaseRequest, call: Call) -> bytes | None:
        """Read the caller's body whole."""
        if not request.can_read_body:
            return None
        limits = self._table().limits
        if (request.content_length or 0) > limits.body_bytes:
            raise Refusal(413, "the body is too long")
        pieces: list[bytes] = []
        size = 0
        try:
            async with asyncio.timeout(call.ends_at - self.clock.monotonic()):
                while piece := await request.content.readany():
                    pieces.append(piece)
                    size += len(piece)
                    if size > limits.body_bytes:
                        raise Refusal(413, "the body is too long")
        except TimeoutError as error:
            raise Refusal(408, "the body did not end before the deadline") from error
        except (aiohttp.ClientError, web.RequestPayloadError) as error:
            raise Refusal(400, "the body broke off") from error
        return b"".join(pieces)

    async def _async_serve(
        self, request: web.BaseRequest, call: Call, body: bytes | None
    ) -> web.Response:
        """Try servers until one answers or the request may not be sent again."""
        self.patience.deposit()
        tried: set[str] = set()
        last: Exchange | None = None
        may_have_run = False
        for attempt in range(max(1, call.route.attempts_max)):
            now = self.clock.monotonic()
            left = call.ends_at - now
            if left < SECONDS_LEFT_MIN:
                break
            server = self._place(call, frozenset(tried), now)
            if isinstance(server, NoPlace):
                if attempt == 0:
                    raise self._no_place(call, server)
                break
            if attempt and not self.retries.withdraw(call.service):
                break
            if not attempt:
                self.retries.deposit(call.service)
            last = await self._async_try(request, call, body, server, left, attempt)
            if last.verdict is Verdict.ANSWERED:
                return self._answered(call, last, server, attempt)
            may_have_run = may_have_run or last.verdict not in NOT_RUN
            tried.add(server.instance)
            if may_have_run and not call.route.repeatable:
                break
        raise self._failure(call, last, may_have_run)

    async def _async_try(
        self,
        request: web.BaseRequest,
        call: Call,
        body: bytes | None,
        server: Server,
        left: float,
        attempt: int,
    ) -> Exchange:
        """Send the request to one server and learn from how that ends."""
        began = self.clock.monotonic()
        waited = server.expected_wait(began)
        server.in_flight += 1
        sending = Sending(
            request.method,
            call.target,
            self._request_headers(request, server, left),
            body,
            call.request_id,
            left,
        )
        try:
            exchange = await async_exchange(self.sessions, self.names, server, sending)
        finally:
            server.in_flight -= 1
        now = self.clock.monotonic()
        self._learn(call, server, exchange, now - began, waited, now)
        if exchange.verdict is not Verdict.ANSWERED:
            self.events.record(
                Event.REQUEST_RETRIED,
                request_id=call.request_id,
                instance=server.instance,
                attempt=attempt + 1,
                outcome=exchange.verdict,
                detail=exchange.detail,
                seconds=round(now - began, 3),
            )
        return exchange

    def _learn(
        self,
        call: Call,
        server: Server,
        exchange: Exchange,
        seconds: float,
        waited: float,
        now: float,
    ) -> None:
        """Keep what a try says of its server."""
        load = _load(exchange.load)
        if load is not None:
            server.take_report(load.running, load.waiting, now)
        elif exchange.verdict is Verdict.SHED:
            server.take_shedding(now)
        if exchange.verdict is Verdict.ANSWERED:
            suspicion.note_answer(server)
            # A run that waited for its slot would make the service look slow and its
            # demand look large; both would send requests away from warm servers.
            if waited == 0 and (load is None or load.waiting == 0):
                server.take_service_time(seconds)
        elif exchange.verdict in (Verdict.UNREACHABLE, Verdict.BROKEN):
            suspicion.note_failure(server, now)
            self.events.record(
                Event.BACKEND_SERVER_SUSPECTED,
                instance=server.instance,
                failures=server.failures,
                outcome=exchange.verdict,
                seconds=round(server.suspect_until - now, 3),
            )

    def _place(self, call: Call, tried: frozenset[str], now: float) -> Server | NoPlace:
        """Choose a server."""
        wanted = Wanted(
            call.service,
            self._regions(call),
            call.key,
            call.route.goal_seconds,
            call.ends_at - now,
            tried,
        )

        def may_send(server: Server) -> bool:
            rate = self._cold_rate(call.service)
            return self.cold.may_send(server.instance, rate, self.serving_hosts, now)

        may_wait = self.patience.withdraw
        return choose(self.view.servers, self.ranks, wanted, may_send, may_wait, now)

    def _regions(self, call: Call) -> list[str]:
        """Return the region of a request's key, if any may run it."""
        weights = self.weights.current(call.service, call.route.home_regions)
        region = region_for_key(call.key or call.request_id, weights)
        return [region] if region is not None else []

    def _cold_rate(self, service: str) -> float:
        """Return what a cold server of a service bears, in requests a second."""
        policy = self._table().services.get(service)
        return policy.cold_requests_per_second if policy else 0.0

    def _table(self) -> RouteTable:
        """Return the configuration in force."""
        assert self.view.routes is not None
        return self.view.routes

    def _request_headers(
        self, request: web.BaseRequest, server: Server, left: float
    ) -> CIMultiDict[str]:
        """Return the headers for the backend server."""
        dropped = self.dropped_headers | connection_headers(request.headers)
        headers: CIMultiDict[str] = CIMultiDict()
        headers["Host"] = request.headers.get("Host", "")
        for name, value in request.headers.items():
            if name.lower() not in dropped:
                headers.add(name, value)
        headers[self.names.deadline_ms] = str(max(1, int(left * 1000)))
        headers[self.names.target_instance] = server.instance
        return headers

    def _answered(
        self, call: Call, exchange: Exchange, server: Server, attempt: int
    ) -> web.Response:
        """Return the backend server's answer."""
        if attempt or _is_sampled(call.request_id):
            now = self.clock.monotonic()
            self.events.record(
                Event.REQUEST_ANSWERED,
                request_id=call.request_id,
                route=call.route.name,
                service=call.service,
                instance=server.instance,
                region=server.region,
                attempts=attempt + 1,
                load=exchange.load,
                in_flight=server.in_flight,
                run_seconds=round(server.service_seconds, 3),
                status=exchange.status,
                seconds=round(now - call.arrived_at, 3),
            )
        assert exchange.headers is not None
        dropped = HOP_BY_HOP_HEADERS | connection_headers(exchange.headers)
        headers: CIMultiDict[str] = CIMultiDict()
        for name, value in exchange.headers.items():
            if name.lower() not in dropped and name.lower() != "content-length":
                headers.add(name, value)
        return web.Response(
            status=exchange.status,
            reason=exchange.reason,
            headers=headers,
            body=exchange.body,
        )

    def _no_place(self, call: Call, place: NoPlace) -> Refusal:
        """Return the refusal of a request for which there is no server now."""
        reason = (
            "all servers are busy" if place.servers_known else "no server may be used"
        )
        return Refusal(503, f"{reason}: {call.service}", place.retry_seconds)

    def _failure(
        self, call: Call, last: Exchange | None, may_have_run: bool
    ) -> Refusal:
        """Return what the caller is told when no try gave an answer."""
        if last is None:
            return Refusal(503, "no time was left to send the request", 0.0)
        if not may_have_run:
            retry_after = last.retry_after if last.retry_after is not None else 0.1
            return Refusal(503, f"not run: {last.verdict}", retry_after)
        status = 504 if last.verdict is Verdict.TIMED_OUT else 502
        return Refusal(status, f"may have run: {last.verdict}")

    def _refused(self, request_id: str, refusal: Refusal) -> web.Response:
        """Return an answer of this host's own."""
        headers = {}
        if request_id:
            headers[self.names.request_id] = request_id
        if refusal.retry_after is not None:
            seconds = max(RETRY_AFTER_MIN_SECONDS, refusal.retry_after)
            headers["Retry-After"] = f"{seconds:.3f}"
        response = web.Response(
            status=refusal.status, headers=headers, text=f"{refusal.reason}\n"
        )
        if refusal.status in (400, 408, 413):
            response.force_close()
        return response


def _cookie(request: web.BaseRequest, name: str) -> str | None:
    """Return a cookie's value, read without building all cookies."""
    for header in request.headers.getall("Cookie", ()):
        for part in header.split(";"):
            key, _, value = part.strip().partition("=")
            if key == name:
                return value
    return None


def _deadline_seconds(text: str | None) -> float:
    """Return how long the caller waits."""
    try:
        return (
            max(0.0, int(text) / 1000) if text is not None else DEADLINE_DEFAULT_SECONDS
        )
    except ValueError:
        return DEADLINE_DEFAULT_SECONDS


def _load(text: str | None) -> Load | None:
    """Return what a server says of its load, or None where it says nothing."""
    if text is None:
        return None
    parts = text.split(",")
    if len(parts) < 2 or not (parts[0].isdigit() and parts[1].isdigit()):
        return None
    return Load(int(parts[0]), int(parts[1]))


def _is_sampled(request_id: str) -> bool:
    """Tell whether an ordinary success is logged."""
    return xxhash.xxh3_64_intdigest(request_id.encode()) % SAMPLED_ONE_IN == 0
