"""One request from its first byte to its last."""

import asyncio
from typing import Final

import aiohttp
import xxhash
from aiohttp import web
from multidict import CIMultiDict

from greengagepoint.errors import ErrorKind
from greengagepoint.events import Event
from greengagepoint.overload.shared_retries import SharedRetryBudget
from greengagepoint.placing.choice import NoPlace
from greengagepoint.placing.tables import Incarnation, Server
from greengagepoint.protocols import Clock
from greengagepoint.routing.split import WeightedSplit
from greengagepoint.routing.tables import find_route
from greengagepoint_node.context import EventSink
from greengagepoint_node.gateway.call import Call, create_call, match_route
from greengagepoint_node.gateway.counters import ANSWERED, GatewayCounters
from greengagepoint_node.gateway.exchange import (
    NOT_RUN,
    Exchange,
    Sending,
    Verdict,
    async_exchange,
)
from greengagepoint_node.gateway.names import HeaderNames
from greengagepoint_node.gateway.overdue import OverdueWatch
from greengagepoint_node.gateway.placing import Placer
from greengagepoint_node.gateway.refusals import (
    Refusal,
    no_answer,
    no_place,
    refusal_response,
)
from greengagepoint_node.gateway.view import FleetView
from greengagepoint_node.http.const import HOP_BY_HOP_HEADERS
from greengagepoint_node.proxy.headers import connection_headers
from greengagepoint_node.proxy.sessions import BackendSessions

# One request in so many is logged when all went well; which ones depends on the id
# alone, so all hosts keep the same requests.
SAMPLED_ONE_IN: Final = 64
NOT_READY_SECONDS: Final = 0.5
# Below this a backend server could not run anything.
SECONDS_LEFT_MIN: Final = 0.02


class Gateway:
    """Match, place, send and answer requests."""

    def __init__(
        self,
        names: HeaderNames,
        view: FleetView,
        sessions: BackendSessions,
        placer: Placer,
        retries: SharedRetryBudget,
        counters: GatewayCounters,
        clock: Clock,
        events: EventSink,
    ) -> None:
        self.names = names
        self.view = view
        self.sessions = sessions
        self.placer = placer
        self.retries = retries
        self.counters = counters
        self.clock = clock
        self.events = events
        self.split = WeightedSplit()
        self.in_flight = 0
        self.leaving = False
        self.refusing = False
        self.last_request_at = clock.monotonic()
        self.dropped_headers = HOP_BY_HOP_HEADERS | {
            "host",
            "expect",
            "content-length",
            names.deadline_ms.lower(),
            names.target_instance.lower(),
        }

    async def async_handle(self, request: web.BaseRequest) -> web.Response:
        """Answer the request of a connection whose turn it is."""
        connection = request.protocol
        response = await connection.async_answer_in_turn(request)
        if self.leaving and not connection.early:
            # A caller that kept this connection would send its next request on it
            # after the host has stopped, and see it cut off. Requests that were begun
            # behind this one are answered first.
            response.force_close()
        return response

    def may_begin_early(self, request: web.BaseRequest) -> bool:
        """Tell whether a request without a body may run beside those before it.

        One that runs once at most must not: its caller sends it again when the
        connection closes before its turn.
        """
        table = self.view.routes
        if table is None or request.can_read_body:
            return False
        route = find_route(table, request.host, request.rel_url.raw_path)
        return route is not None and route.repeatable

    async def async_answer(self, request: web.BaseRequest) -> web.Response:
        """Return the answer to a request, counted as one in flight meanwhile."""
        self.in_flight += 1
        try:
            return await self._async_answer(request)
        finally:
            self.in_flight -= 1

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
        call: Call | None = None
        outcome: ErrorKind | str = ErrorKind.INTERNAL
        try:
            if self.refusing:
                reason = "this host is about to exit"
                raise Refusal(ErrorKind.HOST_LEAVING, 503, reason, 0.0)
            call = self._parse(request, request_id, arrived_at)
            body = await self._async_body(request, call)
            response = await self._async_serve(request, call, body)
            outcome = ANSWERED
            return response
        except Refusal as refusal:
            outcome = refusal.kind
            self.events.record(
                refusal.event,
                request_id=request_id,
                status=refusal.status,
                kind=refusal.kind,
                reason=refusal.reason,
                **_call_fields(call),
                **refusal.inputs,
                configuration=self.view.routes.version if self.view.routes else None,
                revision=self.view.revision,
                retry_after=refusal.retry_after,
                seconds=round(self.clock.monotonic() - arrived_at, 3),
            )
            return refusal_response(refusal, self.names, request_id)
        except asyncio.CancelledError:
            outcome = ErrorKind.CALLER_CANCELLED
            self.events.record(
                Event.REQUEST_CANCELLED,
                request_id=request_id,
                **_call_fields(call),
                seconds=round(self.clock.monotonic() - arrived_at, 3),
            )
            raise
        finally:
            self.counters.add_request(
                call.service if call is not None else "",
                call.route.name if call is not None else "",
                outcome,
                self.clock.monotonic() - arrived_at,
            )

    def _parse(
        self, request: web.BaseRequest, request_id: str, arrived_at: float
    ) -> Call:
        """Return the call that a request makes, or raise Refusal."""
        table = self.view.routes
        if table is None:
            reason = "no configuration is known yet"
            raise Refusal(ErrorKind.NOT_READY, 503, reason, NOT_READY_SECONDS)
        if not request_id:
            raise Refusal(ErrorKind.BAD_REQUEST, 400, "the request has no id")
        route = match_route(table, request)
        service = self.split.choose(route)
        return create_call(request, self.names, route, service, arrived_at)

    async def _async_body(self, request: web.BaseRequest, call: Call) -> bytes | None:
        """Read the caller's body whole."""
        if not request.can_read_body:
            return None
        assert self.view.routes is not None
        limits = self.view.routes.limits
        if (request.content_length or 0) > limits.body_bytes:
            raise Refusal(ErrorKind.BODY_TOO_LARGE, 413, "the body is too long")
        pieces: list[bytes] = []
        size = 0
        try:
            async with asyncio.timeout(call.ends_at - self.clock.monotonic()):
                while piece := await request.content.readany():
                    pieces.append(piece)
                    size += len(piece)
                    if size > limits.body_bytes:
                        raise Refusal(
                            ErrorKind.BODY_TOO_LARGE, 413, "the body is too long"
                        )
        except TimeoutError as error:
            reason = "the body did not end before the deadline"
            raise Refusal(ErrorKind.SLOW_SENDER, 408, reason) from error
        except (aiohttp.ClientError, web.RequestPayloadError) as error:
            reason = "the body broke off"
            raise Refusal(ErrorKind.BAD_REQUEST, 400, reason) from error
        return b"".join(pieces)

    async def _async_serve(
        self, request: web.BaseRequest, call: Call, body: bytes | None
    ) -> web.Response:
        """Try servers until one answers or the request may not be sent again."""
        self.placer.take_caller()
        tried: set[Incarnation] = set()
        last: Exchange | None = None
        may_have_run = False
        server: Server | None = None
        for attempt in range(max(1, call.route.attempts_max)):
            if server is None:
                server = self.next_server(call, tried, last and last.verdict)
            left = call.ends_at - self.clock.monotonic()
            if server is None or left < SECONDS_LEFT_MIN:
                break
            tried.add(server.incarnation)
            sending = self._sending(request, call, body, server, left)
            last = await self._async_try(call, server, sending, tried, attempt)
            if last.verdict is Verdict.ANSWERED:
                return self._answered(call, last, server, attempt)
            may_have_run = may_have_run or last.verdict not in NOT_RUN
            if may_have_run and not call.route.repeatable:
                break
            server = sending.successor
        raise no_answer(last, may_have_run=may_have_run)

    def next_server(
        self, call: Call, tried: set[Incarnation], last: Verdict | None
    ) -> Server | None:
        """Return where to send a request next, None where it is not sent again.

        ``last`` is how its last try ended. Raise Refusal where it can't be sent even
        once.
        """
        place = self.placer.place(call, frozenset(tried), self.clock.monotonic())
        if not tried:
            if isinstance(place, NoPlace):
                raise no_place(call.service, place)
            self.retries.deposit(call.service)
            return place
        if isinstance(place, NoPlace) or not self._may_send_again(call, last):
            return None
        return place

    def _may_send_again(self, call: Call, last: Verdict | None) -> bool:
        """Take what one more send uses up of the shared budget.

        A try without a connection has reached no server, so one more is the first that
        does. Counted all the same, the tries at a crashed server used up the budget in
        the second in which it was needed most.
        """
        if last is Verdict.UNREACHABLE:
            return True
        assert self.view.routes is not None
        urgent = self.view.routes.is_urgent(call.route, call.service)
        return self.retries.withdraw(call.service, urgent=urgent)

    def _sending(
        self,
        request: web.BaseRequest,
        call: Call,
        body: bytes | None,
        server: Server,
        left: float,
    ) -> Sending:
        """Return what is sent to a server."""
        return Sending(
            request.method,
            call.target,
            self._request_headers(request, server, left),
            body,
            call.request_id,
            left,
        )

    async def _async_try(
        self,
        call: Call,
        server: Server,
        sending: Sending,
        tried: set[Incarnation],
        attempt: int,
    ) -> Exchange:
        """Send the request to one server and learn from how that ends."""
        began = self.clock.monotonic()
        waited = server.expected_wait(began)
        server.in_flight += 1
        overdue = OverdueWatch(self, call, server, sending, tried)
        try:
            exchange = await async_exchange(self.sessions, self.names, server, sending)
        finally:
            overdue.cancel()
            server.in_flight -= 1
        now = self.clock.monotonic()
        self.counters.tries[call.service, exchange.verdict] += 1
        self.placer.learn(call, server, exchange, now - began, waited, now)
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
        self.counters.regions[call.service, server.region] += 1
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


def _call_fields(call: Call | None) -> dict[str, str]:
    """Return what a log line says of a request that was matched to a route."""
    if call is None:
        return {}
    return {"route": call.route.name, "service": call.service}


def _is_sampled(request_id: str) -> bool:
    """Tell whether an ordinary success is logged."""
    return xxhash.xxh3_64_intdigest(request_id.encode()) % SAMPLED_ONE_IN == 0
