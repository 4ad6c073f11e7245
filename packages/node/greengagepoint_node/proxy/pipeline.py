"""One request from its first byte to its last."""

import asyncio
from typing import Final, Protocol

from aiohttp import web
from multidict import CIMultiDict

from greengagepoint.balancing.tables import Outcome
from greengagepoint.delivery.answers import StoredAnswer
from greengagepoint.delivery.claims import request_digest
from greengagepoint.draining import stop
from greengagepoint.draining.stop import StopTable
from greengagepoint.errors import (
    ErrorKind,
    GreengagepointError,
    Ran,
    RequestError,
)
from greengagepoint_node.coordinators.claims import CLAIM_SECONDS_MAX, Claim
from greengagepoint_node.http.const import (
    HEADER_HOST,
    HEADER_KEY_STATE,
    HEADER_REQUEST_ID,
    KEY_STATE_MEMORY_ONLY,
    KEY_STATE_REPLAYED,
)
from greengagepoint_node.http.problems import problem_response
from greengagepoint_node.http.server import SERVICE_PREFIX
from greengagepoint_node.proxy.attempts import (
    Allowance,
    Reply,
    async_attempt,
)
from greengagepoint_node.proxy.body import BodyLimits, StreamedBody, async_read_body
from greengagepoint_node.proxy.call import Call, parse_call, parse_request_id
from greengagepoint_node.proxy.checks import check_path, check_protocol
from greengagepoint_node.proxy.download import AnswerBrokenError, DownloadRelay
from greengagepoint_node.proxy.parts import Parts
from greengagepoint_node.proxy.placement import give_back
from greengagepoint_node.proxy.relay import (
    answer_headers,
    async_begin_stream,
    break_off,
    small_answer,
)
from greengagepoint_node.proxy.reports import RequestReports

BACKEND_FAILURES: Final = frozenset(
    {
        ErrorKind.BACKEND_SHED,
        ErrorKind.BACKEND_RESET,
        ErrorKind.BACKEND_TIMEOUT,
        ErrorKind.BACKEND_REFUSED,
    }
)


class Admission(Protocol):
    """Decide whether and when a request may go on."""

    async def async_admit(self, call: Call) -> Allowance:
        """Return when the request may go on, or raise RequestError."""

    def ended(self, call: Call, latency_seconds: float | None, *, failed: bool) -> None:
        """Let the next one in; the latency is None when no answer came."""


class RequestPipeline:
    """Take requests through admission, claim, placement, sending and relaying.

    ``stop`` is the state of this host's stop.
    """

    def __init__(self, parts: Parts, admission: Admission, limits: BodyLimits) -> None:
        self.parts = parts
        self.reports = RequestReports(parts)
        self.admission = admission
        self.limits = limits
        self.in_flight = 0
        self.stop = StopTable()

    async def async_handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request under ``/s/{service}/``."""
        self.in_flight += 1
        try:
            response = await self._async_handle(request)
        finally:
            self.in_flight -= 1
        if not stop.in_lookups(self.stop):
            # A caller that kept this connection would send its next request on it
            # after the host has stopped, and see it cut off.
            response.force_close()
        return response

    async def _async_handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer a request, turning every failure into a typed answer."""
        request_id = ""
        call: Call | None = None
        try:
            request_id = parse_request_id(request)
            check_protocol(request)
            call = self._parse(request, request_id)
            self.parts.metrics.start_request(call.service.name)
            response = await self._async_serve(request, call)
        except GreengagepointError as error:
            self.reports.error(call, request_id, error)
            return self._problem(call, request_id, error)
        except AnswerBrokenError as error:
            self.reports.failed(call, request_id, error.kind, str(error), Ran.UNKNOWN)
            raise
        except (asyncio.CancelledError, ConnectionError):
            self.reports.cancelled(call, request_id)
            raise
        except Exception as error:
            return self._answer_unexpected(request, call, request_id, error)
        self.reports.answered(call)
        return response

    def _parse(self, request: web.BaseRequest, request_id: str) -> Call:
        """Return the call that a request makes."""
        raw = request.rel_url.raw_path_qs[len(SERVICE_PREFIX) :]
        name, slash, rest = raw.partition("/")
        configuration = self.parts.configuration()
        if not configuration.generation:
            raise RequestError("No configuration is in force", ErrorKind.NOT_READY)
        service = configuration.services.get(name)
        if service is None or not slash:
            raise RequestError(
                f"No record names the service {name[:100]}", ErrorKind.UNKNOWN_SERVICE
            )
        check_path(rest.partition("?")[0])
        now = self.parts.context.clock.monotonic()
        call = parse_call(request, request_id, service, "/" + rest, now)
        if call.team not in configuration.teams:
            raise RequestError(
                f"No record names the team {call.team[:100]!r}", ErrorKind.UNKNOWN_TEAM
            )
        self._check_stop(call, now)
        return call

    def _check_stop(self, call: Call, now: float) -> None:
        """Raise RequestError for a request that may outlast this host."""
        if stop.accepts(self.stop, call.ends_at):
            return
        left = self.stop.ends_at - now
        raise RequestError(
            f"The request may take {call.ends_at - now:.3f} s, and this host closes "
            f"in {left:.3f} s",
            ErrorKind.HOST_LEAVING,
        )

    async def _async_serve(
        self, request: web.BaseRequest, call: Call
    ) -> web.StreamResponse:
        """Admit, claim where needed, and forward."""
        remaining = call.remaining(self.parts.context.clock.monotonic())
        body = await async_read_body(request, call, self.limits, remaining)
        allowance = await self.admission.async_admit(call)
        failed = False
        try:
            if call.key is not None and not call.route.repeatable:
                return await self._async_forward_once(request, call, body, allowance)
            reply = await async_attempt(self.parts, request, call, body, allowance)
            call.latency_seconds = reply.latency_seconds
            return await self._async_deliver(request, call, reply, allowance)
        except GreengagepointError as error:
            failed = error.kind in BACKEND_FAILURES
            raise
        finally:
            self.admission.ended(call, call.latency_seconds, failed=failed)

    async def _async_forward_once(
        self,
        request: web.BaseRequest,
        call: Call,
        body: bytes | StreamedBody | None,
        allowance: Allowance,
    ) -> web.StreamResponse:
        """Forward a request whose key may run at most once."""
        claims = self.parts.claims
        known_body = request.content_length if isinstance(body, StreamedBody) else body
        digest = request_digest(call.method, call.target, known_body)
        given = claims.replay(call.service.name, call.team, call.key, digest)
        if given is not None:
            return self._replayed(call, given)
        claim = await self._async_claim(call, digest)
        if claim.memory_only:
            call.key_state = KEY_STATE_MEMORY_ONLY
        try:
            reply = await async_attempt(self.parts, request, call, body, allowance)
        except GreengagepointError as error:
            await self._async_settle_claim(claim, error.ran)
            raise
        except BaseException:
            sent = Ran.UNKNOWN if call.attempts else Ran.NOT_RUN
            await self._async_settle_claim(claim, sent)
            raise
        call.latency_seconds = reply.latency_seconds
        self._remember(claim, call, reply)
        return await self._async_deliver(request, call, reply, allowance)

    async def _async_claim(self, call: Call, digest: str) -> Claim:
        """Claim the key, leaving time to run."""
        now = self.parts.context.clock.monotonic()
        return await self.parts.claims.async_claim(
            call.service.name,
            call.team,
            call.key,
            digest,
            call.service.store_outage,
            min(CLAIM_SECONDS_MAX, call.remaining(now) / 2),
        )

    async def _async_settle_claim(self, claim: Claim, ran: Ran) -> None:
        """Release a claim whose request surely has not run; keep it otherwise."""
        if ran is Ran.NOT_RUN:
            await asyncio.shield(self.parts.claims.async_release(claim))
        else:
            self.parts.claims.remember(claim, None)

    def _remember(self, claim: Claim, call: Call, reply: Reply) -> None:
        """Keep a small answer so that a repeat of the key gets the same one."""
        if reply.body is None:
            self.parts.claims.remember(claim, None)
            return
        headers = self._headers(call, reply)
        stored = StoredAnswer(reply.upstream.status, tuple(headers.items()), reply.body)
        self.parts.claims.remember(claim, stored)

    def _replayed(self, call: Call, stored: StoredAnswer) -> web.Response:
        """Return the answer that an earlier request with the key got."""
        headers = CIMultiDict(stored.headers)
        headers[HEADER_REQUEST_ID] = call.request_id
        headers[HEADER_HOST] = self.parts.context.host.name
        headers[HEADER_KEY_STATE] = KEY_STATE_REPLAYED
        return web.Response(status=stored.status, headers=headers, body=stored.body)

    async def _async_deliver(
        self, request: web.BaseRequest, call: Call, reply: Reply, allowance: Allowance
    ) -> web.StreamResponse:
        """Pass an answer on; give its place back when it has ended."""
        headers = self._headers(call, reply)
        if reply.body is not None:
            call.received_bytes = len(reply.body)
            reply.upstream.release()
            outcome = _outcome_of_status(reply.upstream.status)
            give_back(
                self.parts,
                reply.placement,
                outcome,
                reply.latency_seconds,
                run_over=True,
            )
            return small_answer(reply.upstream, headers, reply.body, call.method)
        try:
            response = await async_begin_stream(request, reply.upstream, headers)
        except BaseException:
            reply.upstream.close()
            give_back(self.parts, reply.placement, Outcome.CANCELLED, 0.0)
            raise
        relay = DownloadRelay(self.parts, request, call, allowance)
        await relay.async_run(reply, response)
        return response

    def _headers(self, call: Call, reply: Reply) -> CIMultiDict[str]:
        """Return the headers for the caller."""
        host = self.parts.context.host.name
        headers = answer_headers(reply.upstream, call.request_id, host)
        if call.key_state is not None:
            headers[HEADER_KEY_STATE] = call.key_state
        return headers

    def _answer_unexpected(
        self,
        request: web.BaseRequest,
        call: Call | None,
        request_id: str,
        error: Exception,
    ) -> web.Response:
        """Answer an error that nobody foresaw; it counts like any failed request."""
        self.reports.unexpected(call, request_id, error)
        if request.writer.output_size > 0:
            break_off(request)
            raise ConnectionResetError("The answer has begun") from error
        unexpected = GreengagepointError("An unexpected error was caught")
        return self._problem(call, request_id, unexpected)

    def _problem(
        self, call: Call | None, request_id: str, error: GreengagepointError
    ) -> web.Response:
        """Return the problem answer, which tells of a claim that only memory holds.

        A repeat through another host would not find that claim and might run, so the
        caller of a request that may have run has to know.
        """
        response = problem_response(error, request_id)
        if call is not None and call.key_state and error.ran is not Ran.NOT_RUN:
            response.headers[HEADER_KEY_STATE] = call.key_state
        return response


def _outcome_of_status(status: int) -> Outcome:
    """Return how a whole answer counts for the backend server's health."""
    return Outcome.FAILED if status in (500, 502, 503, 504) else Outcome.ANSWERED
