"""One try at a backend server: send the request and wait for the answer's headers."""

import asyncio
from collections.abc import AsyncIterable, Callable
from typing import Final

import aiohttp
from aiohttp import web
from multidict import CIMultiDict
from yarl import URL

from greengagepoint.delivery.outcomes import WireOutcome, classify_answer
from greengagepoint.delivery.resume import REPLACED_HEADERS
from greengagepoint_node.http.const import (
    HEADER_DEADLINE_MS,
    HEADER_KEY,
    HEADER_RAN,
    HEADER_REQUEST_ID,
    HEADER_TEAM,
    HOP_BY_HOP_HEADERS,
)
from greengagepoint_node.proxy.call import Call
from greengagepoint_node.proxy.headers import connection_headers, unsendable_header
from greengagepoint_node.proxy.relay import is_framed
from greengagepoint_node.proxy.sessions import (
    BackendSessions,
    BrokenOffError,
    LapsedError,
    LeftError,
    SendOnce,
    SpoiltConnectionError,
)

DROPPED_REQUEST_HEADERS = HOP_BY_HOP_HEADERS | {
    "host",
    "expect",
    HEADER_DEADLINE_MS.lower(),
    HEADER_REQUEST_ID.lower(),
    HEADER_TEAM.lower(),
    HEADER_RAN.lower(),
}

DETAILS: Final[dict[WireOutcome, str]] = {
    WireOutcome.CONNECT_REFUSED: "The backend server did not accept a connection",
    WireOutcome.DEADLINE_BEFORE_SENDING: "The permit lapsed before sending",
    WireOutcome.RESET_BEFORE_SENDING: "No usable connection to the backend server",
    WireOutcome.RESET_AFTER_SENDING: "The backend server closed the connection",
    WireOutcome.GARBAGE: "The backend server's answer is not valid HTTP",
}

Body = bytes | AsyncIterable[bytes] | None


class WireError(Exception):
    """End one try; ``outcome`` tells what was seen on the wire."""

    def __init__(
        self, outcome: WireOutcome, detail: str, retry_after: str | None = None
    ) -> None:
        super().__init__(detail)
        self.outcome = outcome
        self.detail = detail
        self.retry_after = retry_after


def request_headers(
    request: web.BaseRequest, call: Call, now: float
) -> CIMultiDict[str]:
    """Return the headers for the backend server."""
    named = connection_headers(request.headers)
    headers: CIMultiDict[str] = CIMultiDict()
    dropped = DROPPED_REQUEST_HEADERS | named
    if call.range_headers is not None:
        dropped |= REPLACED_HEADERS
    for name, value in request.headers.items():
        if name.lower() not in dropped:
            headers.add(name, value)
    headers.update(call.range_headers or {})
    headers[HEADER_REQUEST_ID] = call.request_id
    headers[HEADER_TEAM] = call.team
    headers[HEADER_DEADLINE_MS] = str(max(1, int(call.remaining(now) * 1000)))
    if call.key is not None:
        headers[HEADER_KEY] = call.key
    return headers


async def async_exchange(
    sessions: BackendSessions,
    call: Call,
    address: str,
    headers: CIMultiDict[str],
    body: Body,
    seconds: float,
    may_start: Callable[[], bool],
) -> aiohttp.ClientResponse:
    """Send the request once and return the answer with its body still to come.

    ``may_start`` is asked right before the first byte. Raise WireError unless the
    answer may be passed on.
    """
    if seconds <= 0:
        raise WireError(
            WireOutcome.DEADLINE_BEFORE_SENDING, "The deadline passed before sending"
        )
    url = _url(address, call.target)
    try:
        async with asyncio.timeout(seconds):
            upstream = await sessions.session.request(
                call.method,
                url,
                headers=headers,
                data=body,
                allow_redirects=False,
                middlewares=(SendOnce(may_start),),
            )
    except TimeoutError as error:
        raise _timed_out(error) from error
    except aiohttp.ClientError as error:
        raise _broken(_outcome_of(error), error) from error
    except OSError as error:
        raise _broken(WireOutcome.RESET_AFTER_SENDING, error) from error
    except ValueError as error:
        # aiohttp raises it for an answer whose headers contradict each other.
        raise _broken(WireOutcome.GARBAGE, error) from error
    return _checked(upstream, call)


def _url(address: str, target: str) -> URL:
    """Return the URL of a target, as it was written by the caller."""
    # Parsing the joined text would cost twice as much for the same parts.
    path, _, query = target.partition("?")
    return URL.build(
        scheme="http", authority=address, path=path, query_string=query, encoded=True
    )


def _checked(upstream: aiohttp.ClientResponse, call: Call) -> aiohttp.ClientResponse:
    """Return the answer if it may be passed on; else release it and raise."""
    outcome = classify_answer(upstream.status, upstream.headers.get(HEADER_RAN))
    if outcome is WireOutcome.SHED:
        upstream.close()
        raise WireError(
            outcome,
            "The backend server shed the request before running it",
            upstream.headers.get("Retry-After"),
        )
    if outcome is WireOutcome.GARBAGE:
        upstream.close()
        raise WireError(outcome, f"The answer's status {upstream.status} is invalid")
    if not is_framed(upstream, call.method):
        upstream.close()
        raise WireError(
            WireOutcome.GARBAGE, "The answer has neither a length nor chunks"
        )
    name = unsendable_header(upstream.headers)
    if name is not None:
        upstream.close()
        raise WireError(
            WireOutcome.GARBAGE, f"The answer's header {name[:50]} is invalid"
        )
    return upstream


def _timed_out(error: TimeoutError) -> WireError:
    """Return the outcome of a timeout: while connecting nothing was sent."""
    if isinstance(error, aiohttp.ConnectionTimeoutError):
        return WireError(
            WireOutcome.CONNECT_TIMEOUT, "The connection was not made in time"
        )
    return WireError(WireOutcome.HEADERS_TIMEOUT, "No answer came before the deadline")


def _outcome_of(error: aiohttp.ClientError) -> WireOutcome:
    """Return what a client error says of the wire.

    Only a failed connect proves that no byte was sent. All else may have reached the
    backend server, whatever the message claims.
    """
    if isinstance(error, aiohttp.ClientConnectorError):
        return WireOutcome.CONNECT_REFUSED
    if isinstance(error, LapsedError):
        return WireOutcome.DEADLINE_BEFORE_SENDING
    if isinstance(error, SpoiltConnectionError | LeftError):
        return WireOutcome.RESET_BEFORE_SENDING
    if isinstance(error, BrokenOffError):
        return WireOutcome.RESET_AFTER_SENDING
    return WireOutcome.GARBAGE


def _broken(outcome: WireOutcome, error: Exception) -> WireError:
    """Return the failed try.

    The library's own text names internal addresses and quotes the backend server's
    bytes, so callers are told the outcome only.
    """
    return WireError(outcome, f"{DETAILS[outcome]} ({type(error).__name__})")
