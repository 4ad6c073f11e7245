"""Keep the connections of callers that are alive and pause reading."""

import asyncio
from socket import IPPROTO_TCP, TCP_USER_TIMEOUT

from greengagepoint.overload.slow_readers import reading_seconds


def allow_pause(transport: asyncio.BaseTransport | None, seconds_left: float) -> None:
    """Let the caller on a connection pause until the deadline of its request.

    The kernel resets a connection whose window stays closed for TCP_USER_TIMEOUT, even
    if the caller acknowledges each probe. The timeout is never shortened: requests
    with later deadlines may be waiting on the same connection.
    """
    sock = transport.get_extra_info("socket") if transport is not None else None
    if sock is None:
        return
    milliseconds = int(reading_seconds(seconds_left) * 1_000)
    if sock.getsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT) < milliseconds:
        sock.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, milliseconds)
