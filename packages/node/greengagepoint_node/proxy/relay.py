"""Relay a backend server's answer to the caller, whole or visibly broken."""

import asyncio
from collections.abc import Callable
from typing import Final

import aiohttp
from aiohttp import hdrs, web
from multidict import CIMultiDict

from greengagepoint_node.http.const import (
    HEADER_HOST,
    HEADER_KEY_STATE,
    HEADER_LOAD,
    HEADER_RAN,
    HEADER_REQUEST_ID,
    HOP_BY_HOP_HEADERS,
)
from greengagepoint_node.proxy.headers import connection_headers, is_sendable

# An answer up to this size is read whole before the caller sees any of it, so that a
# truncated one still becomes a typed error.
SMALL_ANSWER_BYTES: Final = 64 * 1024

BODILESS_STATUSES: Final = frozenset({204, 304})
DROPPED_ANSWER_HEADERS: Final = HOP_BY_HOP_HEADERS | {
    HEADER_KEY_STATE.lower(),
    HEADER_LOAD.lower(),
    HEADER_RAN.lower(),
}


def has_body(method: str, status: int) -> bool:
    """Tell whether an answer carries a body."""
    return method != hdrs.METH_HEAD and status not in BODILESS_STATUSES


def is_framed(upstream: aiohttp.ClientResponse, method: str) -> bool:
    """Tell whether the end of the answer can be told from a broken connection.

    A body that only ends with the connection looks complete when it is cut off, so a
    caller would take part of a drawing pack for the whole of it.
    """
    if not has_body(method, upstream.status):
        return True
    if hdrs.CONTENT_LENGTH in upstream.headers:
        return True
    return upstream.headers.get(hdrs.TRANSFER_ENCODING, "").lower() == "chunked"


def answer_headers(
    upstream: aiohttp.ClientResponse, request_id: str, host: str
) -> CIMultiDict[str]:
    """Return the headers for the caller."""
    named = connection_headers(upstream.headers)
    headers: CIMultiDict[str] = CIMultiDict()
    for name, value in upstream.headers.items():
        lowered = name.lower()
        if lowered in DROPPED_ANSWER_HEADERS or lowered in named:
            continue
        headers.add(name, value)
    headers[HEADER_REQUEST_ID] = request_id
    headers[HEADER_HOST] = host
    return headers


def is_small(upstream: aiohttp.ClientResponse, method: str) -> bool:
    """Tell whether the answer is short enough to be read before it is passed on."""
    if not has_body(method, upstream.status):
        return True
    length = upstream.content_length
    return length is not None and length <= SMALL_ANSWER_BYTES


def small_answer(
    upstream: aiohttp.ClientResponse,
    headers: CIMultiDict[str],
    body: bytes,
    method: str,
) -> web.Response:
    """Return an answer whose body has been read whole."""
    carried = body if has_body(method, upstream.status) else None
    return web.Response(
        status=upstream.status, reason=_reason(upstream), headers=headers, body=carried
    )


async def async_begin_stream(
    request: web.BaseRequest,
    upstream: aiohttp.ClientResponse,
    headers: CIMultiDict[str],
) -> web.StreamResponse:
    """Send the headers of an answer whose body follows in pieces."""
    response = web.StreamResponse(
        status=upstream.status, reason=_reason(upstream), headers=headers
    )
    if hdrs.CONTENT_LENGTH not in headers:
        response.enable_chunked_encoding()
    await response.prepare(request)
    return response


async def async_copy_body(
    upstream: aiohttp.ClientResponse,
    response: web.StreamResponse,
    passed_on: Callable[[int], None],
) -> None:
    """Copy the body piece by piece; tell the bytes of each that was passed on.

    Memory stays bounded: a piece is at most what the client's read buffer holds, and
    the write waits until the caller has taken enough of the earlier ones.
    """
    unwatch = _watch_connection(upstream)
    try:
        async for piece in upstream.content.iter_any():
            await response.write(piece)
            passed_on(len(piece))
    finally:
        unwatch()


def _watch_connection(upstream: aiohttp.ClientResponse) -> Callable[[], None]:
    """Fail the body when its connection closes early; return the unsubscribe function.

    After a malformed chunk the library closes the connection without a word to the
    reader of the body, which would wait until the deadline.
    """
    content = upstream.content

    def fail(closed: asyncio.Future[None] | None) -> None:
        if closed is not None and not closed.cancelled():
            closed.exception()
        if not content.is_eof() and content.exception() is None:
            content.set_exception(
                aiohttp.ClientPayloadError("The connection closed before the end")
            )

    connection = upstream.connection
    if connection is None or connection.protocol is None:
        return _do_nothing
    closed = connection.protocol.closed
    if closed is None:
        fail(None)
        return _do_nothing
    closed.add_done_callback(fail)
    return lambda: closed.remove_done_callback(fail)


def _do_nothing() -> None:
    """Unsubscribe from nothing."""


def _reason(upstream: aiohttp.ClientResponse) -> str | None:
    """Return the reason phrase, or None for the usual one where it is invalid."""
    reason = upstream.reason
    return reason if reason and is_sendable(reason) else None


def break_off(request: web.BaseRequest) -> None:
    """Close the caller's connection so that a partial answer looks broken."""
    # Ending the response normally would finish the chunked body, and the caller
    # would take what it got for the whole answer.
    if request.transport is not None:
        request.transport.abort()
