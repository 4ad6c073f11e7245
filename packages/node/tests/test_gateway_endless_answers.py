"""A backend server sends answers without end."""

import asyncio

import pytest
from deployment import async_until
from gateway_world import async_environment

from greengagepoint_standins.users_platform.backend import ANSWERS, Manner

PIECE = b"x" * 65_536
CHUNK = b"10000\r\n" + PIECE + b"\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
# The bound for one answer, and what the sockets and buffers on both ends hold.
SENT_BYTES_MAX = 40 * 1024 * 1024
# Far beyond what a host can hold, so that a test ends without the fix as well.
TOO_MANY_BYTES = 4 * SENT_BYTES_MAX
TIMEOUT_SECONDS = 30.0

ENDLESS_BODIES = {
    "no length": (lambda head: head(None), PIECE),
    "a length of 10^12": (lambda head: head(10**12), PIECE),
    "chunks": (lambda head: head(None)[:-2] + CHUNKED, CHUNK),
}


class EndlessAnswers:
    """Send a body without end, and count the bytes that the host takes."""

    def __init__(self, begin, piece):
        self.begin = begin
        self.piece = piece
        self.sent = 0

    async def async_answer(self, backend, request, writer):
        writer.write(self.begin(lambda length: backend.head(request, "200 OK", length)))
        try:
            while self.sent < TOO_MANY_BYTES:
                writer.write(self.piece)
                await writer.drain()
                self.sent += len(self.piece)
        except ConnectionError:
            return False
        await asyncio.sleep(TIMEOUT_SECONDS)
        return False


@pytest.mark.parametrize("kind", ENDLESS_BODIES)
async def test_a_body_without_end_is_cut_off_after_bounded_bytes(monkeypatch, kind):
    # The host buffered it until the deadline and was killed above its memory.
    endless = EndlessAnswers(*ENDLESS_BODIES[kind])
    monkeypatch.setitem(ANSWERS, Manner.GOOD, endless.async_answer)
    async with async_environment(
        1, timeout_seconds=TIMEOUT_SECONDS, attempts_max=1
    ) as env:
        deadline_ms = int(1000 * TIMEOUT_SECONDS)
        call = asyncio.create_task(
            env.async_call("/unsafe/1", "POST", deadline_ms, data=b"a")
        )
        await async_until(lambda: call.done() or endless.sent >= TOO_MANY_BYTES)
        try:
            assert endless.sent < SENT_BYTES_MAX
            assert (await call)[0] == 502
        finally:
            call.cancel()
            await asyncio.wait([call])
