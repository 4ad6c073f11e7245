"""Read request bodies of callers and operators."""

import asyncio
from typing import Final

from aiohttp import HttpVersion11, hdrs, web

from greengagepoint.errors import ErrorKind, RequestError

CONTINUE_EXPECTED: Final = "100-continue"
CONTINUE: Final = b"HTTP/1.1 100 Continue\r\n\r\n"


async def async_send_continue(request: web.BaseRequest) -> None:
    """Send "100 Continue" if the request expects it."""
    expected = request.headers.get(hdrs.EXPECT)
    if expected is None or expected.lower() != CONTINUE_EXPECTED:
        return
    if request.version != HttpVersion11:
        return
    await request.writer.write(CONTINUE)
    # The interim response does not count as output of the final one.
    request.writer.output_size = 0


async def async_read_body_bytes(
    request: web.BaseRequest, max_bytes: int, seconds: float
) -> bytes:
    """Return the body; raise RequestError if it is too large, late or incomplete."""
    if (request.content_length or 0) > max_bytes:
        raise _too_large(max_bytes)
    await async_send_continue(request)
    body = bytearray()
    try:
        async with asyncio.timeout(seconds):
            while chunk := await request.content.readany():
                body += chunk
                if len(body) > max_bytes:
                    raise _too_large(max_bytes)
    except TimeoutError as error:
        raise RequestError(
            f"The body was not received within {seconds} s", ErrorKind.SLOW_SENDER
        ) from error
    except web.RequestPayloadError as error:
        raise RequestError("The body is incomplete or malformed") from error
    return bytes(body)


def _too_large(max_bytes: int) -> RequestError:
    """Return the error for a body over the size limit."""
    return RequestError(f"The body is over {max_bytes} bytes", ErrorKind.BODY_TOO_LARGE)
