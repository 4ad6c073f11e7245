"""Memory of a daemon while a large answer goes to a caller that stalls."""

import asyncio
import collections
import tracemalloc

from deployment import async_until
from hostile import async_raw_deployment, held, raw_request

PACK_BYTES = 30_000_000
BOUND_BYTES = 3_000_000
PIECE = b"p" * 65_536
QUIET_LOOKS = 20


async def test_a_pack_to_a_stalled_caller_stays_out_of_memory() -> None:
    """An inspector's link stalls in the middle of a drawing pack.

    The host stops reading from the backend server once its buffers are full, goes on
    when the inspector does, and passes on every byte without ever holding more than
    a bounded part of them. One that gives up frees the buffers and the place.
    """
    async with async_raw_deployment() as running:
        sent = 0

        async def async_send(head, writer):
            nonlocal sent
            sent = 0
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % PACK_BYTES)
            for start in range(0, PACK_BYTES, len(PIECE)):
                writer.write(PIECE[: PACK_BYTES - start])
                await writer.drain()
                sent = min(PACK_BYTES, start + len(PIECE))

        running.backend.answer = async_send
        host, port = running.daemon.identity.address.split(":")
        tracemalloc.start()
        try:
            for reads_on in (True, False):
                before, _ = tracemalloc.get_traced_memory()
                tracemalloc.reset_peak()
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(raw_request(b"/s/booking/pack"))
                await reader.readuntil(b"\r\n\r\n")
                levels = collections.deque([-1], maxlen=QUIET_LOOKS)

                def is_stalled(levels=levels) -> bool:
                    levels.append(sent)
                    return len(levels) == QUIET_LOOKS and len(set(levels)) == 1

                await async_until(is_stalled)
                assert sent < PACK_BYTES
                received = 0
                while reads_on and (piece := await reader.read(len(PIECE))):
                    received += len(piece)
                writer.transport.abort()
                await async_until(lambda: not held(running.deployment))
                _, peak = tracemalloc.get_traced_memory()
                assert peak - before < BOUND_BYTES
                assert received == (PACK_BYTES if reads_on else 0)
        finally:
            tracemalloc.stop()
