"""Let a transfer last as long as it goes on, and end one that stands still."""

import asyncio
from typing import Final

import aiohttp

# The largest value of the store, 1.4 MB as it sends it, needs 2.3 s of a link of 5
# Mbit/s and some times that beside the answers to callers. A peer or store that sends a
# byte now and then is given up after this all the same.
TRANSFER_SECONDS_MAX: Final = 20.0
# A twelfth of a link of 5 Mbit/s, the smallest that hosts have.
SEND_BYTES_PER_SECOND_MIN: Final = 50_000


async def async_read_answer(
    content: aiohttp.StreamReader, limit: asyncio.Timeout, idle_seconds: float
) -> bytes:
    """Read to the end, and put the limit off with each piece that comes.

    Under a limit for the whole answer, a host with a small link gave up the last part
    of each large value and began anew, and so never had one; meanwhile its callers got
    404 on new routes. A connection that stands still ends as soon as before.
    """
    loop = asyncio.get_running_loop()
    last = loop.time() + TRANSFER_SECONDS_MAX
    pieces: list[bytes] = []
    while piece := await content.readany():
        pieces.append(piece)
        if not limit.expired():
            limit.reschedule(min(last, loop.time() + idle_seconds))
    return b"".join(pieces)


def send_seconds(size: int) -> float:
    """Return how long so many bytes may take to send, beside the usual wait."""
    return size / SEND_BYTES_PER_SECOND_MIN
