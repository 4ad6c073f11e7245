"""Handle caller requests: match, admit, send, retry and answer."""

import asyncio
from typing import Final

from aiohttp import web

from greengagepoint.delivery.answer_proofs import is_unproved_promise
from greengagepoint.errors import ErrorKind
from greengagepoint.overload.shared_retries import SharedRetryBudget
from greengagepoint.placing.choice import NoServerAvailable
from greengagepoint.placing.tables import Server
from greengagepoint.protocols import Clock
from greengagepoint.reachability.relays import relay_obstacle
from greengagepoint.routing.split import WeightedSplit
from greengagepoint.routing.tables import find_route
from greengagepoint_node.context import EventSink
from greengagepoint_node.gateway.admission import AdmissionControl
from greengagepoint_node.gateway.call import Call, create_call, match_route
from greengagepoint_node.gateway.caller_accounts import CallerAccounts
from greengagepoint_node.gateway.counters import ANSWERED, GatewayCounters
from greengagepoint_node.gateway.exchange import (
    NOT_RUN,
    SECONDS_LEFT_MIN,
    Exchange,
    OutgoingRequest,
    TimeLeft,
    Verdict,
    async_exchange,
)
from greengagepoint_node.gateway.identity import RequestIdentity
from greengagepoint_node.gateway.late_requests import LateRequests, late_refusal
from greengagepoint_node.gateway.names import (
    CALLER_ADDRESS,
    RELAY_RESULT,
    HeaderNames,
)
from greengagepoint_node.gateway.news_ages import ViewFreshness
from greengagepoint_node.gateway.outcomes import Outcomes
from greengagepoint_node.gateway.overdue import OverdueWatch
from greengagepoint_node.gateway.passing import (
    answer_response,
    async_read_body,
)
from greengagepoint_node.gateway.placing import Placer
from greengagepoint_node.gateway.refusals import (
    Refusal,
    cut_off_refusal,
    host_leaving_refusal,
    no_answer_refusal,
    no_server_refusal,
    refusal_response,
    unproved_promise_refusal,
    unreached_refusal,
)
from greengagepoint_node.gateway.relay import (
    UNABLE,
    Relay,
    mark_server_answer,
    read_attempts_left,
    read_version,
    refusal_headers,
)
from greengagepoint_node.gateway.request_quarantine import RequestQuarantine
from greengagepoint_node.gateway.send_times import SendTimes
from greengagepoint_node.gateway.server_crashes import ServerCrashes
from greengagepoint_node.gateway.server_quotas import ServerQuotas
from greengagepoint_node.gateway.server_signals import ServerSignals
from greengagepoint_node.gateway.slow_readers import allow_pause
from greengagepoint_node.gateway.stale_view_guard import StaleViewGuard
from greengagepoint_node.gateway.tries import UNSENT, Attempts
from greengagepoint_node.gateway.uploads import UploadBodies, UploadBody
from greengagepoint_node.gateway.view import FleetView
from greengagepoint_node.gateway.wait_room import WaitEnd
from greengagepoint_node.proxy.headers import is_sendable
from greengagepoint_node.proxy.sessions import BackendSessions

NOT_READY_SECONDS: Final = 0.5
# Verdicts that follow from a server's answer.
FROM_SERVER: Final = frozenset({Verdict.ANSWERED, Verdict.SHED, Verdict.OTHER_SERVER})


class Gateway:
    """Match requests to routes, send them to backend servers and answer them."""

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
        signals: ServerSignals,
        quotas: ServerQuotas,
        admission: AdmissionControl,
        relay: Relay,
        late: LateRequests,
        uploads: UploadBodies,
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
        self.signals = signals
        self.quotas = quotas
        self.admission = admission
        self.relay = relay
        self.late = late
        self.uploads = uploads
        self.monitor = relay.monitor
        self.split = WeightedSplit()
        self.in_flight = 0
        self.relayed_in_flight = 0
        self.outgoing: set[OutgoingRequest] = set()
        self.leaving = False
        self.rejecting = False
        self.last_request_at = clock.monotonic()
        self.outcomes = Outcomes(view, counters, clock, events, names)
        self.request_headers = relay.headers
        self.server_crashes = ServerCrashes(quarantine, self.outcomes, self.monitor)

    async def async_handle(self, request: web.BaseRequest) -> web.Response:
        """Return the answer to the next request in the order of its connection."""
        connection = request.protocol
        response = await connection.async_answer_in_turn(request)
        if self.leaving and not connection.has_waiting:
            # A caller that reuses this connection could send its next request after
            # the host has stopped, and get no answer. Pipelined requests that were
            # read behind this one are answered before the connection closes.
            response.force_close()
        return response

    def can_start_early(self, request: web.BaseRequest) -> bool:
        """Return True if a request may run in parallel to earlier ones.

        It must have no body and be repeatable: callers resend pipelined requests that
        were not answered before the connection closed, so others could run twice.
        """
        table = self.view.routes
        if table is None or request.can_read_body or self.leaving:
            # Its answer waits for earlier ones, which may outlast a host that stops.
            return False
        route = find_route(table, request.host, request.rel_url.raw_path)
        return route is not None and route.repeatable

    async def async_answer(
        self, request: web.BaseRequest, arrived_at: float
    ) -> web.Response:
        """Return the answer to a request and count it as in flight until then.

        ``arrived_at`` is the arrival of its first byte in monotonic seconds. Its
        deadline and all logged and counted durations start there.
        """
        self.in_flight += 1
        try:
            return await self._async_answer(request, arrived_at)
        finally:
            self.in_flight -= 1

    async def async_answer_relayed(self, request: web.BaseRequest) -> web.Response:
        """Return the answer to a request that another host passes on."""
        table = self.view.routes
        obstacle = relay_obstacle(
            cut_off=self.monitor.has_no_links,
            leaving=self.rejecting,
            in_flight=self.relayed_in_flight,
            version=table.version if table is not None else None,
            required_version=read_version(request.headers),
        )
        if obstacle is not None:
            self.outcomes.reject_relayed(request, obstacle)
            request_id = request.headers.get(self.names.request_id, "")
            headers = {RELAY_RESULT: UNABLE, self.names.request_id: request_id}
            return web.Response(status=503, headers=headers, text=obstacle)
        self.in_flight += 1
        self.relayed_in_flight += 1
        try:
            response = await self._async_answer(
                request, self.clock.monotonic(), relayed=True
            )
        finally:
            self.in_flight -= 1
            self.relayed_in_flight -= 1
        result = response.headers.get(RELAY_RESULT)
        if result == UNABLE:
            reason = response.text.strip() if response.text else ""
            self.outcomes.reject_relayed(request, reason)
            return response
        self.outcomes.count_relayed()
        if result is None:
            return mark_server_answer(response, request, self.names)
        return response

    def give_up_attempts(self) -> None:
        """Give up attempts that lost links keep from an answer, so that others serve.

        Requests that were sent are given up if they may be repeated. Those sent before
        the links went quiet may be slow only.
        """
        quiet_since = self.monitor.reach.quiet_since
        for outgoing in list(self.outgoing):
            sent_at = outgoing.times.sent_at
            if sent_at is None or (outgoing.repeatable and sent_at > quiet_since):
                outgoing.abandon_for(None)

    async def _async_answer(
        self, request: web.BaseRequest, arrived_at: float, *, relayed: bool = False
    ) -> web.Response:
        """Return the answer to a request, or an error response if it fails.

        If ``relayed``, the host to which the caller is connected has admitted it.
        """
        request_id = request.headers.get(self.names.request_id, "")
        now = self.last_request_at = self.clock.monotonic()
        call: Call | None = None
        upload = self.uploads.open(request_id)
        outcome: ErrorKind | str = ErrorKind.INTERNAL
        try:
            if self.rejecting:
                raise host_leaving_refusal("this host is about to exit")
            call = self._parse(request, request_id, arrived_at, relayed=relayed)
            if call.ends_at - now < SECONDS_LEFT_MIN:
                raise no_answer_refusal(None, may_have_run=False)
            self.late.check_arrival(call)
            body = await self._async_body(request, call, upload)
            if not relayed:
                self.placer.count_caller(call, self.clock.monotonic())
                await self.admission.async_admit(call)
            response = await self._async_serve(request, call, body, relayed=relayed)
            outcome = ANSWERED
            return response
        except Refusal as refusal:
            outcome = refusal.kind
            self.outcomes.log_rejected(request_id, call, refusal, arrived_at)
            response = refusal_response(
                refusal, self.names, request_id, is_read=request.content.is_eof()
            )
            if relayed:
                response.headers.update(refusal_headers(refusal))
            # Frames that refer to the refusal would keep the body in a cycle.
            refusal.__traceback__ = None
            return response
        except asyncio.CancelledError:
            outcome = ErrorKind.CALLER_CANCELLED
            self.outcomes.log_cancelled(request_id, call, arrived_at)
            raise
        finally:
            upload.release()
            self.placer.finish.end(request_id)
            self.late.end(request_id)
            self.outcomes.count_request(call, outcome, arrived_at)

    def _parse(
        self,
        request: web.BaseRequest,
        request_id: str,
        arrived_at: float,
        *,
        relayed: bool,
    ) -> Call:
        """Return the parsed and admitted call, or raise Refusal."""
        table = self.view.routes
        if table is None:
            reason = "no configuration has been loaded yet"
            raise Refusal(ErrorKind.NOT_READY, 503, reason, NOT_READY_SECONDS)
        if not request_id:
            raise Refusal(ErrorKind.BAD_REQUEST, 400, "the request has no request id")
        if not is_sendable(request_id):
            # The HTTP library would drop those bytes, and the answer of the server
            # would name another request.
            reason = "the request id is not UTF-8"
            raise Refusal(ErrorKind.BAD_REQUEST, 400, reason)
        route = match_route(table, request, self.news.is_current)
        account = self.accounts.identify(request, route, table)
        if account is not None and not relayed:
            self.accounts.admit(account)
        service = self.split.choose(route)
        call = create_call(request, self.names, route, service, arrived_at, account)
        allow_pause(request.transport, call.ends_at - arrived_at)
        return call._replace(relayed=relayed)

    async def _async_body(
        self, request: web.BaseRequest, call: Call, upload: UploadBody
    ) -> bytes | None:
        """Return the whole request body, or None if there is none."""
        if not request.can_read_body:
            return None
        assert self.view.routes is not None
        left = call.ends_at - self.clock.monotonic()
        limit_bytes = self.view.routes.limits.body_bytes
        body = await async_read_body(request, left, limit_bytes, upload)
        # The key may have been revoked while a slow body was received.
        self.accounts.identify(request, call.route, self.view.routes)
        return body

    async def _async_serve(
        self,
        request: web.BaseRequest,
        call: Call,
        body: bytes | None,
        *,
        relayed: bool,
    ) -> web.Response:
        """Send to servers until one answers or no retry is allowed.

        A host that is cut off from servers passes the request on, unless another one
        has passed it on already.
        """
        address = request.headers.get(CALLER_ADDRESS) if relayed else request.remote
        identity = RequestIdentity(request, body, address or "", call.account)
        attempts = Attempts()
        attempts_max = call.route.attempts_max
        if relayed:
            attempts_max = min(attempts_max, read_attempts_left(request.headers))
        last: Exchange | None = None
        may_have_run = False
        wait_began: float | None = None
        server: Server | None = None
        while attempts.has_attempts_left(attempts_max):
            left = call.ends_at - self.clock.monotonic()
            if left < SECONDS_LEFT_MIN:
                break
            if self._must_resolve_doubt(call, last):
                await self.monitor.async_resolve_doubt()
            if last is not None and relayed and self.monitor.has_no_links:
                if may_have_run:
                    break
                raise cut_off_refusal()
            call = self._admit_late(call, attempts, last, may_have_run=may_have_run)
            if not relayed and self._should_pass_on(call, attempts, last):
                exchange = await self.relay.async_pass_on(
                    request,
                    call,
                    body,
                    attempts.left(attempts_max),
                    may_have_run=may_have_run,
                )
                return answer_response(exchange)
            standing = self.quarantine.admit(identity, first=not attempts.servers)
            if not standing.can_run:
                break
            if standing.alone:
                # Use a server other than those of its affinity key, so that the next
                # crash or answer is due to this request and not to others of the key.
                call = call._replace(key=identity.fingerprint.content)
                server = None
            if server is None:
                await self._async_acquire_quota(call, attempts)
                try:
                    server = self.next_server(call, attempts, last and last.verdict)
                except Refusal as refusal:
                    wait_began = await self.admission.async_wait(
                        call, refusal, wait_began
                    )
                    continue
            if server is None:
                break
            if wait_began is not None and not attempts.servers:
                self.admission.record_wait(call, wait_began, WaitEnd.SERVED)
            attempts.begin(server.incarnation)
            left = call.ends_at - self.clock.monotonic()
            outgoing = self._create_outgoing(request, call, body, server, left)
            with self.quarantine.trial(identity, standing):
                last = await self._async_send(
                    call, identity, server, outgoing, attempts
                )
            attempts.end(last.verdict)
            if last.verdict is Verdict.ANSWERED:
                self.outcomes.record_answered(
                    call,
                    last,
                    server,
                    len(attempts.servers),
                    self.placer.finish.log_fields(call.request_id, server),
                )
                if is_unproved_promise(last.status, repeatable=call.route.repeatable):
                    raise unproved_promise_refusal(last.status)
                return answer_response(last)
            may_have_run = may_have_run or last.verdict not in NOT_RUN
            if may_have_run and not call.route.repeatable:
                break
            server = outgoing.successor
        if not relayed and self._is_unreached(last, attempts, attempts_max):
            call = self._admit_late(call, attempts, last, may_have_run=may_have_run)
            exchange = await self.relay.async_pass_on(
                request,
                call,
                body,
                attempts.left(attempts_max),
                may_have_run=may_have_run,
            )
            return answer_response(exchange)
        is_unreached = last is not None and last.verdict is Verdict.UNREACHABLE
        if relayed and is_unreached and not may_have_run:
            # Another host may reach servers that this one does not.
            raise unreached_refusal()
        refusal = no_answer_refusal(
            last,
            may_have_run=may_have_run,
            rest_seconds=self.placer.rest_seconds(call, self.clock.monotonic()),
        )
        refusal.attempts_left = attempts.left(attempts_max)
        raise refusal

    def _must_resolve_doubt(self, call: Call, last: Exchange | None) -> bool:
        """Return True if the host's links should be probed before the next attempt.

        A request that may run only once is lost if it is sent over a lost link.
        """
        if last is None:
            return not call.route.repeatable
        return last.verdict in (Verdict.UNREACHABLE, Verdict.BROKEN)

    def _admit_late(
        self,
        call: Call,
        attempts: Attempts,
        last: Exchange | None,
        *,
        may_have_run: bool,
    ) -> Call:
        """Return the call to send next, or raise Refusal if it may outlast this host.

        While the host stops, the call ends before the exit.
        """
        admitted = self.late.admit(call, len(attempts.servers) + 1)
        if admitted is not None:
            return admitted
        if may_have_run:
            raise no_answer_refusal(last, may_have_run=True)
        raise late_refusal()

    def _should_pass_on(
        self, call: Call, attempts: Attempts, last: Exchange | None
    ) -> bool:
        """Return True if a request goes to another host, within the retry budget."""
        if not self.relay.should_pass_on():
            return False
        verdict = last.verdict if last is not None else None
        return not attempts.servers or self._withdraw_retry(call, verdict)

    def _is_unreached(
        self, last: Exchange | None, attempts: Attempts, attempts_max: int
    ) -> bool:
        """Return True if a request met only servers that this host does not reach.

        Other hosts may reach them: this one may have lost a part of its links.
        """
        if last is None or last.verdict is not Verdict.UNREACHABLE:
            return False
        return attempts.left(attempts_max) > 0 and self.relay.has_reaching_peers()

    async def _async_acquire_quota(self, call: Call, attempts: Attempts) -> None:
        """Ask for quota if the request would be sent to a limited server."""
        tried = frozenset(attempts.servers)
        server = self.placer.server_to_ask_for(call, tried, self.clock.monotonic())
        if server is not None:
            await self.quotas.async_acquire(server)

    def next_server(
        self, call: Call, attempts: Attempts, last: Verdict | None
    ) -> Server | None:
        """Return the next server for a request, or None if it is not retried.

        ``last`` is the verdict on its last attempt. Raise Refusal if it can't be sent
        at all.
        """
        tried = frozenset(attempts.servers)
        if not self.guard.may_send():
            if tried:
                return None
            raise self.guard.refusal()
        place = self.placer.place(call, tried, self.clock.monotonic())
        if not tried:
            if isinstance(place, NoServerAvailable):
                raise no_server_refusal(call.service, place)
            self.retries.deposit(call.service, self.clock.monotonic())
            return place
        if isinstance(place, NoServerAvailable) or not self._withdraw_retry(call, last):
            return None
        return place

    def _withdraw_retry(self, call: Call, last: Verdict | None) -> bool:
        """Withdraw one retry from the shared budget; return False if it is empty.

        An attempt that delivered nothing to a server is free: otherwise connection
        attempts to a crashed server would drain the budget just when it is needed.
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

    def _create_outgoing(
        self,
        request: web.BaseRequest,
        call: Call,
        body: bytes | None,
        server: Server,
        left: float,
    ) -> OutgoingRequest:
        """Return the request to send to a server."""
        assert self.view.routes is not None
        times = SendTimes(self.clock, self.news)
        has_accounts = bool(self.view.routes.accounts)
        return OutgoingRequest(
            request.method,
            call.target,
            self.request_headers.backend_headers(
                request, server, call, has_accounts=has_accounts
            ),
            body,
            call.request_id,
            left,
            TimeLeft(self.names.deadline_ms, self.clock, call.ends_at),
            times,
            lambda: self._check_before_send(call, server, times),
            lambda status, headers: self.signals.read(server, status, headers),
            repeatable=call.route.repeatable,
        )

    def _check_before_send(
        self, call: Call, server: Server, times: SendTimes
    ) -> Exchange | None:
        """Return why the request must not be sent after all, or None.

        Called when the connection is open, right before the first byte.
        """
        if not self.view.servers.is_member(server):
            return Exchange(Verdict.LEFT, "the server left while connecting")
        if server.is_resting(self.clock.monotonic()):
            return Exchange(
                Verdict.RESTING, "the server asked for rest while connecting"
            )
        if not self.guard.may_send(self.clock.monotonic() - times.chosen_at):
            return Exchange(
                Verdict.OLD_NEWS, "the host's view became too old while connecting"
            )
        return self.late.check_before_send(call)

    async def _async_send(
        self,
        call: Call,
        identity: RequestIdentity,
        server: Server,
        outgoing: OutgoingRequest,
        attempts: Attempts,
    ) -> Exchange:
        """Make one attempt and update the request's quarantine state."""
        try:
            exchange = await self._async_try(call, server, outgoing, attempts)
        except asyncio.CancelledError:
            if outgoing.is_sent:
                identity.drop_body()
                self.server_crashes.watch_abandoned(call, identity, server)
            raise
        if exchange.verdict is Verdict.ANSWERED:
            self.quarantine.note_answer(identity)
        elif exchange.verdict is Verdict.BROKEN:
            await self.server_crashes.async_handle_broken(call, identity, server)
        return exchange

    async def _async_try(
        self,
        call: Call,
        server: Server,
        outgoing: OutgoingRequest,
        attempts: Attempts,
    ) -> Exchange:
        """Make one attempt and update the server's load and failure state."""
        began = self.clock.monotonic()
        waited = server.expected_wait(began)
        server.in_flight += 1
        self.outgoing.add(outgoing)
        overdue = OverdueWatch(self, call, server, outgoing, attempts)
        try:
            exchange = await async_exchange(self.sessions, self.names, server, outgoing)
        finally:
            overdue.cancel()
            self.outgoing.discard(outgoing)
            server.in_flight -= 1
        if exchange.verdict is Verdict.UNREACHABLE:
            self.monitor.note_unreachable(server, began)
        elif exchange.verdict in FROM_SERVER:
            self.monitor.record_answer(outgoing.connected_at)
        now = self.clock.monotonic()
        load = self.placer.record_attempt(
            call, server, exchange, now - began, waited, now
        )
        self.admission.notice_response(server, load)
        number = len(attempts.servers)
        self.outcomes.record_send(call, server, outgoing.times)
        self.outcomes.report_attempt(call, server, exchange, number, now - began)
        return exchange
