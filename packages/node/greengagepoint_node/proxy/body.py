"""Read the caller's body: kept when small, streamed when large."""

import asyncio
from collections.abc import AsyncIterator
from typing import NamedTuple

import aiohttp
from aiohttp import web

from greengagepoint.errors import ErrorKind, RequestError
from greengagepoint_node.http.reading import async_send_continue
from greengagepoint_node.proxy.call import Call, body_streams


class BodyLimits(NamedTuple):
    """Bounds on a caller's body; ``piece_seconds`` is the longest silence."""

    max_bytes: int
    piece_seconds: float


class StreamedBody:
    """A body that is passed on while it comes; ``error`` tells why it stopped."""

    def __init__(
        self, request: web.BaseRequest, call: Call, limits: BodyLimits
    ) -> None:
        self.request = request
        self.call = call
        self.limits = limits
        self.error: RequestError | None = None

    def __aiter__(self) -> AsyncIterator[bytes]:
        """Return the iterator over the pieces."""
        return self.pieces()

    async def pieces(self) -> AsyncIterator[bytes]:
        """Yield the body piece by piece."""
        self.call.streamed = True
        try:
            await async_send_continue(self.request)
            while piece := await _async_read_piece(self.request, self.limits):
                self.call.sent_bytes += len(piece)
                if self.call.sent_bytes > self.limits.max_bytes:
                    raise _too_large(self.limits)
                yield piece
        except RequestError as error:
            # The HTTP client wraps whatever stops a body, so the reason is kept here.
            self.error = error
            raise


async def async_read_body(
    request: web.BaseRequest, call: Call, limits: BodyLimits, remaining: float
) -> bytes | StreamedBody | None:
    """Return the body that is to be sent on; ``remaining`` is seconds to read it."""
    if not request.can_read_body:
        return None
    if (request.content_length or 0) > limits.max_bytes:
        raise _too_large(limits)
    if body_streams(request):
        return StreamedBody(request, call, limits)
    await async_send_continue(request)
    try:
        async with asyncio.timeout(remaining):
            call.body = await _async_read_pieces(request, limits)
    except TimeoutError as error:
        raise RequestError(
            "The body did not end before the deadline", ErrorKind.SLOW_SENDER
        ) from error
    call.sent_bytes = len(call.body)
    return call.body


async def _async_read_pieces(request: web.BaseRequest, limits: BodyLimits) -> bytes:
    """Return a short body whole."""
    pieces = []
    while piece := await _async_read_piece(request, limits):
        pieces.append(piece)
    return b"".join(pieces)


async def _async_read_piece(request: web.BaseRequest, limits: BodyLimits) -> bytes:
    """Return the next piece, or empty at the end."""
    try:
        async with asyncio.timeout(limits.piece_seconds):
            return await request.content.readany()
    except TimeoutError as error:
        raise RequestError(
            f"No part of the body came within {limits.piece_seconds} seconds",
            ErrorKind.SLOW_SENDER,
        ) from error
    except (aiohttp.ClientError, aiohttp.web.RequestPayloadError) as error:
        raise RequestError(f"The body broke off: {error}") from error


def _too_large(limits: BodyLimits) -> RequestError:
    """Return the error for a body over the bound."""
    return RequestError(
        f"The body is over {limits.max_bytes} bytes", ErrorKind.BODY_TOO_LARGE
    )
