"""Time out transfers that stall, not those that make progress."""

import asyncio
from typing import Final

import aiohttp

# The largest value of the store, 1.4 MB as sent, takes 2.3 s on a link of 5 Mbit/s, and
# several times that beside answers to callers. A transfer from a peer or store that
# only trickles is abandoned after this time.
TRANSFER_SECONDS_MAX: Final = 20.0
# A twelfth of a link of 5 Mbit/s, the slowest link of any host.
SEND_BYTES_PER_SECOND_MIN: Final = 50_000


async def async_read_answer(
    content: aiohttp.StreamReader, time_limit: asyncio.Timeout, idle_seconds: float
) -> bytes:
    """Read to the end, and extend the timeout with each piece that arrives.

    With one timeout for the whole answer, a host with a slow link would abandon each
    large value near its end and start again, and never complete one; its callers would
    get 404 on new routes. A stalled connection still times out after ``idle_seconds``.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + TRANSFER_SECONDS_MAX
    pieces: list[bytes] = []
    while piece := await content.readany():
        pieces.append(piece)
        if not time_limit.expired():
            time_limit.reschedule(min(deadline, loop.time() + idle_seconds))
    return b"".join(pieces)


def send_seconds(size: int) -> float:
    """Return the seconds to allow for sending bytes, on top of the usual timeout."""
    return size / SEND_BYTES_PER_SECOND_MIN
