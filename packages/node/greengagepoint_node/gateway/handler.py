"""One request from its first byte to its last."""

import asyncio
from typing import Final

from aiohttp import web

from greengagepoint.errors import ErrorKind
from greengagepoint.overload.shared_retries import SharedRetryBudget
from greengagepoint.placing.choice import NoServerAvailable
from greengagepoint.placing.tables import Server
from greengagepoint.protocols import Clock
from greengagepoint.routing.split import WeightedSplit
from greengagepoint.routing.tables import find_route
from greengagepoint_node.context import EventSink
from greengagepoint_node.gateway.call import Call, create_call, match_route
from greengagepoint_node.gateway.caller_accounts import CallerAccounts
from greengagepoint_node.gateway.counters import ANSWERED, GatewayCounters
from greengagepoint_node.gateway.exchange import (
    NOT_RUN,
    SECONDS_LEFT_MIN,
    Exchange,
    Sending,
    TimeLeft,
    Verdict,
    async_exchange,
)
from greengagepoint_node.gateway.identity import RequestIdentity
from greengagepoint_node.gateway.names import HeaderNames
from greengagepoint_node.gateway.news_ages import ViewFreshness
from greengagepoint_node.gateway.outcomes import Outcomes
from greengagepoint_node.gateway.overdue import OverdueWatch
from greengagepoint_node.gateway.passing import (
    RequestHeaders,
    answer_response,
    async_read_body,
)
from greengagepoint_node.gateway.placing import Placer
from greengagepoint_node.gateway.refusals import (
    Refusal,
    no_answer,
    no_place,
    refusal_response,
)
from greengagepoint_node.gateway.request_quarantine import RequestQuarantine
from greengagepoint_node.gateway.send_times import SendTimes
from greengagepoint_node.gateway.server_ends import ServerEnds
from greengagepoint_node.gateway.stale_view_guard import StaleViewGuard
from greengagepoint_node.gateway.tries import UNSENT, Tries
from greengagepoint_node.gateway.view import FleetView
from greengagepoint_node.proxy.sessions import BackendSessions

NOT_READY_SECONDS: Final = 0.5


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
        news: ViewFreshness,
        guard: StaleViewGuard,
        quarantine: RequestQuarantine,
        accounts: CallerAccounts,
    ) -> None:
        self.names = names
        self.view = view
        self.sessions = sessions
        self.placer = placer
        self.retries = retries
        self.clock = clock
        self.news = news
        self.guard = guard
        self.quarantine = quarantine
        self.accounts = accounts
        self.split = WeightedSplit()
        self.in_flight = 0
        self.leaving = False
        self.refusing = False
        self.last_request_at = clock.monotonic()
        self.outcomes = Outcomes(view, counters, clock, events)
        self.request_headers = RequestHeaders(names)
        self.server_ends = ServerEnds(quarantine, self.outcomes)

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

    async def async_answer(
        self, request: web.BaseRequest, arrived_at: float
    ) -> web.Response:
        """Return the answer to a request, counted as one in flight meanwhile.

        ``arrived_at`` are the monotonic seconds at which its first byte came; its
        deadline and all that is told of its duration count from there.
        """
        self.in_flight += 1
        try:
            return await self._async_answer(request, arrived_at)
        finally:
            self.in_flight -= 1

    def is_quiet(self, seconds: float) -> bool:
        """Tell whether nothing is in flight and no request came for some seconds."""
        return (
            not self.in_flight
            and self.clock.monotonic() - self.last_request_at >= seconds
        )

    async def _async_answer(
        self, request: web.BaseRequest, arrived_at: float
    ) -> web.Response:
        """Answer a request, also where it fails."""
        request_id = request.headers.get(self.names.request_id, "")
        now = self.last_request_at = self.clock.monotonic()
        call: Call | None = None
        outcome: ErrorKind | str = ErrorKind.INTERNAL
        try:
            if self.refusing:
                reason = "this host is about to exit"
                raise Refusal(ErrorKind.HOST_LEAVING, 503, reason, 0.0)
            call = self._parse(request, request_id, arrived_at)
            if call.ends_at - now < SECONDS_LEFT_MIN:
                raise no_answer(None, may_have_run=False)
            body = await self._async_body(request, call)
            response = await self._async_serve(request, call, body)
            outcome = ANSWERED
            return response
        except Refusal as refusal:
            outcome = refusal.kind
            self.outcomes.note_refused(request_id, call, refusal, arrived_at)
            return refusal_response(refusal, self.names, request_id)
        except asyncio.CancelledError:
            outcome = ErrorKind.CALLER_CANCELLED
            self.outcomes.note_cancelled(request_id, call, arrived_at)
            raise
        finally:
            self.outcomes.note_end(call, outcome, arrived_at)

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
        route = match_route(table, request, self.news.is_current)
        account = self.accounts.identify(request, route, table)
        if account is not None:
            self.accounts.admit(account)
        service = self.split.choose(route)
        return create_call(request, self.names, route, service, arrived_at, account)

    async def _async_body(self, request: web.BaseRequest, call: Call) -> bytes | None:
        """Return the caller's body whole, None where there is none."""
        if not request.can_read_body:
            return None
        assert self.view.routes is not None
        left = call.ends_at - self.clock.monotonic()
        limit_bytes = self.view.routes.limits.body_bytes
        body = await async_read_body(request, left, limit_bytes)
        # A key may have been taken away while a slow body came.
        self.accounts.identify(request, call.route, self.view.routes)
        return body

    async def _async_serve(
        self, request: web.BaseRequest, call: Call, body: bytes | None
    ) -> web.Response:
        """Try servers until one answers or the request may not be sent again."""
        self.placer.count_caller()
        identity = RequestIdentity(request, body, call.account)
        tries = Tries()
        last: Exchange | None = None
        may_have_run = False
        server: Server | None = None
        while tries.may_go_on(call.route.attempts_max):
            left = call.ends_at - self.clock.monotonic()
            if left < SECONDS_LEFT_MIN:
                break
            standing = self.quarantine.admit(identity, first=not tries.servers)
            if not standing.can_run:
                break
            if standing.alone:
                # Requests of its key use other servers, so the next end or answer tells
                # it from them.
                call = call._replace(key=identity.fingerprint.content)
                server = None
            if server is None:
                server = self.next_server(call, tries, last and last.verdict)
            if server is None:
                break
            tries.begin(server.incarnation)
            sending = self._sending(request, call, body, server, left)
            with self.quarantine.trial(identity, standing):
                last = await self._async_send(call, identity, server, sending, tries)
            tries.end(last.verdict)
            if last.verdict is Verdict.ANSWERED:
                self.outcomes.note_answered(call, last, server, len(tries.servers))
                return answer_response(last)
            may_have_run = may_have_run or last.verdict not in NOT_RUN
            if may_have_run and not call.route.repeatable:
                break
            server = sending.successor
        raise no_answer(last, may_have_run=may_have_run)

    def next_server(
        self, call: Call, tries: Tries, last: Verdict | None
    ) -> Server | None:
        """Return where to send a request next, None where it is not sent again.

        ``last`` is how its last try ended. Raise Refusal where it can't be sent even
        once.
        """
        tried = frozenset(tries.servers)
        if not self.guard.may_send():
            if tried:
                return None
            raise self.guard.refusal()
        place = self.placer.place(call, tried, self.clock.monotonic())
        if not tried:
            if isinstance(place, NoServerAvailable):
                raise no_place(call.service, place)
            self.retries.deposit(call.service, self.clock.monotonic())
            return place
        if isinstance(place, NoServerAvailable) or not self._may_send_again(call, last):
            return None
        return place

    def _may_send_again(self, call: Call, last: Verdict | None) -> bool:
        """Take what one more send uses up of the shared budget.

        A try of which no server got anything has used up nothing, so one more is the
        first that does. Counted all the same, the tries at a crashed server used up the
        budget in the second in which it was needed most.
        """
        if last in UNSENT:
            return True
        assert self.view.routes is not None
        urgent = self.view.routes.is_urgent(call.rank, call.service)
        return self.retries.withdraw(
            call.service,
            self.clock.monotonic(),
            urgent=urgent,
            shed=last is Verdict.SHED,
        )

    def _sending(
        self,
        request: web.BaseRequest,
        call: Call,
        body: bytes | None,
        server: Server,
        left: float,
    ) -> Sending:
        """Return what is sent to a server."""
        assert self.view.routes is not None
        times = SendTimes(self.clock, self.news)
        keyed = bool(self.view.routes.accounts)
        return Sending(
            request.method,
            call.target,
            self.request_headers.passed_on(request, server, call, keyed=keyed),
            body,
            call.request_id,
            left,
            TimeLeft(self.names.deadline_ms, self.clock, call.ends_at),
            times,
            lambda: self._withheld(server, times),
        )

    def _withheld(self, server: Server, times: SendTimes) -> Exchange | None:
        """Return why a server may not get a request whose first byte could go now."""
        if not self.view.servers.is_member(server):
            return Exchange(Verdict.LEFT, "the server left while connecting")
        if not self.guard.may_send(self.clock.monotonic() - times.chosen_at):
            return Exchange(Verdict.OLD_NEWS, "the news got too old while connecting")
        return None

    async def _async_send(
        self,
        call: Call,
        identity: RequestIdentity,
        server: Server,
        sending: Sending,
        tries: Tries,
    ) -> Exchange:
        """Send the request to one server and learn what that says of the request."""
        try:
            exchange = await self._async_try(call, server, sending, tries)
        except asyncio.CancelledError:
            if sending.is_sent:
                self.server_ends.note_abandoned(call, identity, server)
            raise
        if exchange.verdict is Verdict.ANSWERED:
            self.quarantine.note_answer(identity)
        elif exchange.verdict is Verdict.BROKEN:
            await self.server_ends.async_note_broken(call, identity, server)
        return exchange

    async def _async_try(
        self,
        call: Call,
        server: Server,
        sending: Sending,
        tries: Tries,
    ) -> Exchange:
        """Send the request to one server and learn from how that ends."""
        began = self.clock.monotonic()
        waited = server.expected_wait(began)
        server.in_flight += 1
        overdue = OverdueWatch(self, call, server, sending, tries)
        try:
            exchange = await async_exchange(self.sessions, self.names, server, sending)
        finally:
            overdue.cancel()
            server.in_flight -= 1
        now = self.clock.monotonic()
        self.placer.record_attempt(call, server, exchange, now - began, waited, now)
        number = len(tries.servers)
        self.outcomes.note_sent(call, server, sending.times)
        self.outcomes.note_try(call, server, exchange, number, now - began)
        return exchange
