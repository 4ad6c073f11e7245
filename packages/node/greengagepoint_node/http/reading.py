"""Read the bodies that callers and operators send."""

import asyncio
from typing import Final

from aiohttp import HttpVersion11, hdrs, web

from greengagepoint.errors import ErrorKind, RequestError

CONTINUE_EXPECTED: Final = "100-continue"
CONTINUE: Final = b"HTTP/1.1 100 Continue\r\n\r\n"


async def async_invite_body(request: web.BaseRequest) -> None:
    """Tell a caller that waits for it that its body is wanted."""
    expected = request.headers.get(hdrs.EXPECT)
    if expected is None or expected.lower() != CONTINUE_EXPECTED:
        return
    if request.version != HttpVersion11:
        return
    await request.writer.write(CONTINUE)
    # What was written is not yet a part of the answer.
    request.writer.output_size = 0


async def async_read_whole(
    request: web.BaseRequest, max_bytes: int, seconds: float
) -> bytes:
    """Return the body, or raise because it is too large or comes too slowly."""
    if (request.content_length or 0) > max_bytes:
        raise _too_large(max_bytes)
    await async_invite_body(request)
    body = bytearray()
    try:
        async with asyncio.timeout(seconds):
            while piece := await request.content.readany():
                body += piece
                if len(body) > max_bytes:
                    raise _too_large(max_bytes)
    except TimeoutError as error:
        raise RequestError(
            f"The body did not come within {seconds} seconds", ErrorKind.SLOW_SENDER
        ) from error
    except web.RequestPayloadError as error:
        raise RequestError("The body broke off") from error
    return bytes(body)


def _too_large(max_bytes: int) -> RequestError:
    """Return the error for a body over the bound."""
    return RequestError(f"The body is over {max_bytes} bytes", ErrorKind.BODY_TOO_LARGE)
