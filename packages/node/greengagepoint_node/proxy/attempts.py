"""Try backend servers until one answers or the request may not be sent again."""

import asyncio
import re
from collections.abc import Awaitable
from typing import Final, Protocol, TypeVar

import aiohttp
import msgspec
from aiohttp import web

from greengagepoint.balancing.tables import Outcome
from greengagepoint.delivery.outcomes import (
    CONSEQUENCES,
    UNAVAILABLE_STATUSES,
    WireOutcome,
    combine,
    may_retry,
)
from greengagepoint.errors import ErrorKind, Ran, RequestError
from greengagepoint.events import Event
from greengagepoint.overload.retries import retry_delay
from greengagepoint_node.http.const import HEADER_LOAD
from greengagepoint_node.proxy.body import StreamedBody
from greengagepoint_node.proxy.call import Call
from greengagepoint_node.proxy.exchange import (
    WireError,
    async_exchange,
    request_headers,
)
from greengagepoint_node.proxy.hedging import HedgeAllowance, async_hedged
from greengagepoint_node.proxy.parts import Parts
from greengagepoint_node.proxy.placement import Placement, async_place, give_back
from greengagepoint_node.proxy.relay import is_small
from greengagepoint_node.proxy.sessions import LeftError

ATTEMPTS_MAX: Final = 3
BACK_OFF_SHARE: Final = 0.1
RETRY_AFTER: Final = re.compile("[0-9]{1,6}")

BALANCING_OUTCOMES: Final[dict[WireOutcome, Outcome]] = {
    WireOutcome.SHED: Outcome.SHED,
    WireOutcome.CONNECT_REFUSED: Outcome.REFUSED,
    WireOutcome.CONNECT_TIMEOUT: Outcome.REFUSED,
    WireOutcome.RESET_BEFORE_SENDING: Outcome.CANCELLED,
    WireOutcome.DEADLINE_BEFORE_SENDING: Outcome.CANCELLED,
    WireOutcome.CANCELLED_BEFORE_SENDING: Outcome.CANCELLED,
    WireOutcome.CANCELLED_AFTER_SENDING: Outcome.CANCELLED,
}


T = TypeVar("T")


class Allowance(HedgeAllowance, Protocol):
    """Allow retries and hedges out of a shared budget."""

    def spend(self) -> bool:
        """Take one retry from the budget; tell whether there was one."""


class Reply(msgspec.Struct):
    """An answer that may be passed on; ``body`` is set when it was read whole."""

    placement: Placement
    upstream: aiohttp.ClientResponse
    latency_seconds: float
    body: bytes | None = None


class Tries(msgspec.Struct):
    """What earlier tries of one request left behind."""

    tried: frozenset[str] = frozenset()
    ran: Ran = Ran.NOT_RUN
    last: WireError | None = None
    count: int = 0


class Attempt:
    """One request and what its tries share."""

    def __init__(
        self,
        parts: Parts,
        request: web.BaseRequest,
        call: Call,
        body: bytes | StreamedBody | None,
        allowance: Allowance,
    ) -> None:
        self.parts = parts
        self.request = request
        self.call = call
        self.body = body
        self.allowance = allowance
        self.tries = Tries()


async def async_attempt(
    parts: Parts,
    request: web.BaseRequest,
    call: Call,
    body: bytes | StreamedBody | None,
    allowance: Allowance,
) -> Reply:
    """Return the first answer that may be passed on, or raise RequestError."""
    attempt = Attempt(parts, request, call, body, allowance)
    tries = attempt.tries
    while True:
        placement = await _async_place(parts, call, tries)
        try:
            # Two copies would each get a part of a body that can be read only once.
            if call.may_be_hedged and not isinstance(body, StreamedBody):
                return await _async_try_hedged(attempt, placement)
            return await _async_try(attempt, placement)
        except WireError as error:
            if _body_error(body) is not None:
                raise _body_stopped(body, tries) from error
            if not _may_send_again(call, error, tries, allowance):
                raise as_request_error(error, tries.ran) from error
            await _async_back_off(attempt, placement, error)


async def _async_back_off(
    attempt: Attempt, placement: Placement, error: WireError
) -> None:
    """Wait a short random time, so that failed requests don't return together."""
    context = attempt.parts.context
    context.events.record(
        Event.REQUEST_RETRIED,
        request_id=attempt.call.request_id,
        outcome=error.outcome,
        backend_server=placement.row.name,
    )
    left = attempt.call.remaining(context.clock.monotonic())
    delay = retry_delay(attempt.tries.count, context.random)
    await asyncio.sleep(min(delay, max(0.0, left) * BACK_OFF_SHARE))


async def _async_try_hedged(attempt: Attempt, placement: Placement) -> Reply:
    """Try one server, and a second one if the first is slow."""
    parts, call, tries = attempt.parts, attempt.call, attempt.tries

    async def async_second() -> Reply:
        tried = tries.tried | {placement.row.name}
        other = await async_place(parts, call, tried)
        parts.context.events.record(
            Event.REQUEST_HEDGED,
            request_id=call.request_id,
            backend_server=other.row.name,
        )
        return await _async_try(attempt, other)

    def discard(reply: Reply) -> None:
        reply.upstream.close()
        give_back(parts, reply.placement, Outcome.CANCELLED, 0.0)

    return await async_hedged(
        lambda: _async_try(attempt, placement),
        async_second,
        attempt.allowance,
        discard,
    )


async def _async_try(attempt: Attempt, placement: Placement) -> Reply:
    """Send the request once; give the place back unless an answer came."""
    parts = attempt.parts
    try:
        return await _async_send(attempt, placement)
    except WireError as error:
        _note_failure(parts, placement, error, attempt.tries)
        raise
    except BaseException:
        give_back(parts, placement, Outcome.CANCELLED, 0.0)
        raise


async def _async_place(parts: Parts, call: Call, tries: Tries) -> Placement:
    """Find a place; when there is none, an earlier try's failure tells more."""
    try:
        return await async_place(parts, call, tries.tried)
    except RequestError as error:
        if tries.last is None:
            raise
        raise as_request_error(tries.last, tries.ran) from error


async def _async_send(attempt: Attempt, placement: Placement) -> Reply:
    """Send the request once and return its answer, read whole when small."""
    parts, call, tries = attempt.parts, attempt.call, attempt.tries
    clock = parts.context.clock
    now = clock.monotonic()
    permit = placement.permit

    def may_start() -> bool:
        # A drain may have begun while the connection was made; the request would still
        # be there when the server goes.
        if placement.row.leaving:
            raise LeftError
        # The process may have been paused since it got the permit, and the lender
        # may count the unit as free by now.
        return clock.monotonic() <= permit.start_by

    seconds = min(call.ends_at, permit.end_by) - now
    call.attempts += 1
    placement.ends_at = now + seconds
    tries.count += 1
    parts.context.events.record(
        Event.REQUEST_SENT,
        request_id=call.request_id,
        site=permit.site,
        backend_server=placement.row.name,
    )
    upstream = await async_exchange(
        parts.sessions,
        call,
        placement.row.address,
        request_headers(attempt.request, call, now),
        attempt.body,
        seconds,
        may_start,
    )
    latency = clock.monotonic() - now
    parts.report_load(placement.row, upstream.headers.get(HEADER_LOAD), now + latency)
    reply = Reply(placement, upstream, latency)
    _check_unavailable(call, upstream, tries)
    if is_small(upstream, call.method):
        reply.body = await _async_read_whole(parts, upstream, call, placement)
    return reply


def _check_unavailable(
    call: Call, upstream: aiohttp.ClientResponse, tries: Tries
) -> None:
    """Turn an "unavailable" answer into a failed try while another may follow."""
    if upstream.status not in UNAVAILABLE_STATUSES or not call.route.repeatable:
        return
    if tries.count >= ATTEMPTS_MAX:
        return
    upstream.close()
    raise WireError(
        WireOutcome.ANSWERED_UNAVAILABLE, f"Answered with status {upstream.status}"
    )


async def _async_read_whole(
    parts: Parts, upstream: aiohttp.ClientResponse, call: Call, placement: Placement
) -> bytes:
    """Read a small answer; nothing of it has reached the caller if that fails."""
    if upstream.content.at_eof() and upstream.content_length in (None, 0):
        upstream.release()
        return b""
    ends_at = min(call.ends_at, placement.permit.end_by)
    try:
        if _has_come_whole(upstream, call):
            return await upstream.read()
        return await async_within(parts, ends_at, upstream.read())
    except TimeoutError as error:
        upstream.close()
        raise WireError(
            WireOutcome.HEADERS_TIMEOUT, "The answer did not end before the deadline"
        ) from error
    except (aiohttp.ClientError, OSError) as error:
        upstream.close()
        raise WireError(
            WireOutcome.RESET_AFTER_SENDING, "The answer broke off before its end"
        ) from error


def _has_come_whole(upstream: aiohttp.ClientResponse, call: Call) -> bool:
    """Tell whether reading the answer waits for nothing, so needs no timeout."""
    sending = call.streamed or call.body is not None
    return upstream.content.is_eof() and not sending


def _note_failure(
    parts: Parts, placement: Placement, error: WireError, tries: Tries
) -> None:
    """Record a failed try in the tables and in what is known of the request."""
    outcome = BALANCING_OUTCOMES.get(error.outcome, Outcome.FAILED)
    give_back(parts, placement, outcome, 0.0)
    tries.ran = combine(tries.ran, CONSEQUENCES[error.outcome].ran)
    tries.tried |= {placement.row.name}
    tries.last = error


def _may_send_again(
    call: Call, error: WireError, tries: Tries, allowance: Allowance
) -> bool:
    """Tell whether the request may and should be sent again."""
    if tries.count >= ATTEMPTS_MAX or call.streamed:
        return False
    if not may_retry(error.outcome, repeatable=call.route.repeatable):
        return False
    return allowance.spend()


def as_request_error(error: WireError, ran: Ran) -> RequestError:
    """Return what the caller is told of the last failed try."""
    consequence = CONSEQUENCES[error.outcome]
    kind = consequence.kind or ErrorKind.BACKEND_RESET
    retry_after = None
    if error.retry_after is not None and RETRY_AFTER.fullmatch(error.retry_after):
        retry_after = int(error.retry_after)
    return RequestError(error.detail, kind, ran=ran, retry_after_seconds=retry_after)


def _body_error(body: bytes | StreamedBody | None) -> RequestError | None:
    """Return why the caller's body stopped, if it did."""
    return body.error if isinstance(body, StreamedBody) else None


def _body_stopped(body: bytes | StreamedBody | None, tries: Tries) -> RequestError:
    """Return the caller's own fault, with what is known of the run.

    The backend server got part of the body and may have begun, so the request does
    not count as not run.
    """
    error = _body_error(body)
    assert error is not None
    return RequestError(error.detail, error.kind, ran=tries.ran)


async def async_within(parts: Parts, ends_at: float, awaitable: Awaitable[T]) -> T:
    """Await until a monotonic time; raise TimeoutError after it."""
    async with asyncio.timeout(ends_at - parts.context.clock.monotonic()):
        return await awaitable
