"""A backend server sends bytes without end beside the body of its answer."""

import asyncio

import pytest
from deployment import async_until
from gateway_world import async_environment
from test_gateway_endless_answers import (
    CHUNKED,
    TIMEOUT_SECONDS,
    TOO_MANY_BYTES,
    EndlessAnswers,
)

from greengagepoint_standins.users_platform.backend import ANSWERS, Manner

# The bound is below this; the rest is in the sockets and buffers of both ends.
SENT_BYTES_MAX = 16 * 1024 * 1024
FIRST = b"HTTP/1.1 200 OK\r\n"
HEADERS = b"X-A: b\r\n" * 8_000
ENDLESS_PARTS = {
    "one header line": (lambda head: FIRST + b"X-Note: ", b"x" * 65_536),
    "header lines": (lambda head: FIRST, HEADERS),
    "interim answers": (
        lambda head: b"",
        b"HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n" * 1_000,
    ),
    "empty lines": (lambda head: b"", b"\r\n" * 32_768),
    "an extension": (lambda head: head(None)[:-2] + CHUNKED + b"5;", b"x" * 65_536),
    "extensions": (
        lambda head: head(None)[:-2] + CHUNKED,
        (b"1;" + b"x" * 4_000 + b"\r\na\r\n") * 16,
    ),
    "trailers": (lambda head: head(None)[:-2] + CHUNKED + b"0\r\n", HEADERS),
    "one trailer": (
        lambda head: head(None)[:-2] + CHUNKED + b"0\r\nX-A: ",
        b"x" * 65_536,
    ),
}


@pytest.mark.parametrize("kind", ENDLESS_PARTS)
async def test_endless_parts_are_cut_off_after_bounded_bytes(monkeypatch, kind):
    # They kept the event loop busy until the deadline, for hundreds of megabytes.
    endless = EndlessAnswers(*ENDLESS_PARTS[kind])
    monkeypatch.setitem(ANSWERS, Manner.GOOD, endless.async_answer)
    async with async_environment(
        1, timeout_seconds=TIMEOUT_SECONDS, attempts_max=1
    ) as env:
        call = asyncio.create_task(
            env.async_call("/unsafe/1", "POST", 30_000, data=b"a")
        )
        await async_until(lambda: call.done() or endless.sent >= TOO_MANY_BYTES)
        try:
            assert endless.sent < SENT_BYTES_MAX
            assert (await call)[0] == 502
        finally:
            call.cancel()
            await asyncio.wait([call])


@pytest.mark.parametrize(("size", "count"), [(1, 100_000), (10, 30_000)])
async def test_small_chunks_are_no_endless_answer(monkeypatch, size, count):
    async def async_small(backend, request, writer):
        writer.write(backend.head(request, "200 OK", None)[:-2] + CHUNKED)
        chunk = b"%x\r\n" % size + b"a" * size + b"\r\n"
        for _ in range(100):
            writer.write(chunk * (count // 100))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    monkeypatch.setitem(ANSWERS, Manner.GOOD, async_small)
    async with async_environment(1, timeout_seconds=TIMEOUT_SECONDS) as env:
        for number in range(2):
            status, body, _ = await env.async_call(f"/safe/{number}", deadline_ms=30000)
            assert (status, len(body)) == (200, size * count)
