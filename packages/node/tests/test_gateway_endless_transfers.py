"""The store or a peer sends answers without end."""

import asyncio
import contextlib

import aiohttp
import pytest

from greengagepoint.errors import StoreError
from greengagepoint_node.gateway.peer_session import (
    create_peer_session,
    create_report_session,
)
from greengagepoint_node.gateway.store_http import HttpCaller
from greengagepoint_node.gateway.store_types import Connection
from greengagepoint_node.gateway.transfer import async_read_answer
from greengagepoint_node.proxy.bounded_connections import TRANSFER_BYTES_MAX

SECONDS = 30.0
SENT_BYTES_MAX = TRANSFER_BYTES_MAX + 16 * 1024 * 1024
TOO_MANY_BYTES = 4 * SENT_BYTES_MAX
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
PIECE = b"x" * 65_536
ENDLESS_PARTS = {
    "no length": (HEAD + b"\r\n", PIECE),
    "a length of 10^12": (HEAD + b"Content-Length: 1000000000000\r\n\r\n", PIECE),
    "chunks": (CHUNKED, b"10000\r\n" + PIECE + b"\r\n"),
    "an extension": (CHUNKED + b"5;", PIECE),
    "interim answers": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 1_000),
    "empty lines": (b"", b"\r\n" * 32_768),
    "trailers": (CHUNKED + b"0\r\n", b"X-A: b\r\n" * 8_000),
}


async def async_call_store(address):
    caller = HttpCaller(address, SECONDS, "X-Era")
    try:
        answer = await caller.async_call(
            "GET", "/", None, None, SECONDS, Connection.KEPT
        )
        return answer.body
    finally:
        await caller.async_close()


async def async_exchange(address):
    async with (
        asyncio.timeout(SECONDS) as limit,
        create_peer_session() as session,
        session.post(f"http://{address}/", data=b"a") as answer,
    ):
        return await async_read_answer(answer.content, limit, SECONDS)


async def async_report(address):
    async with (
        create_report_session() as session,
        session.post(f"http://{address}/", data=b"a") as answer,
    ):
        return await answer.read()


@contextlib.asynccontextmanager
async def async_server(first, piece, size):
    """Send ``first``, then pieces up to a size; yield its address and what was sent."""
    sent = [0]

    async def async_serve(reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(first)
            while sent[0] < size:
                writer.write(piece)
                await writer.drain()
                sent[0] += len(piece)
        writer.close()

    server = await asyncio.start_server(async_serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    try:
        yield f"{host}:{port}", sent
    finally:
        server.close()


CALLS = [async_call_store, async_exchange, async_report]


@pytest.mark.parametrize("kind", ENDLESS_PARTS)
@pytest.mark.parametrize("async_call", CALLS)
async def test_endless_answers_are_cut_off_after_bounded_bytes(async_call, kind):
    # The process would be killed above its memory, with all requests that it has.
    async with async_server(*ENDLESS_PARTS[kind], TOO_MANY_BYTES) as (address, sent):
        with pytest.raises((aiohttp.ClientError, StoreError)):
            await async_call(address)
        assert sent[0] < SENT_BYTES_MAX


@pytest.mark.parametrize("async_call", CALLS)
async def test_a_large_answer_is_read_whole(async_call):
    size = TRANSFER_BYTES_MAX // 2
    first = HEAD + f"Content-Length: {size}\r\n\r\n".encode()
    async with async_server(first, PIECE, size) as (address, _):
        assert len(await async_call(address)) == size
