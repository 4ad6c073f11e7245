"""A caller sends a request with parts that do not end."""

import asyncio
import contextlib

import pytest
from gateway_world import HOST, NAMES, async_environment
from raw_caller import async_connection, async_read_answer, request

# The bound is below this; the rest is in the sockets and buffers of both ends.
SENT_BYTES_MAX = 16 * 1024 * 1024
TOO_MANY_BYTES = 8 * SENT_BYTES_MAX
PIECE = b"x" * 65_536
HEAD = (
    f"POST /unsafe/1 HTTP/1.1\r\nHost: {HOST}\r\n{NAMES.request_id}: id-1\r\n"
    f"{NAMES.deadline_ms}: 30000\r\n"
).encode()
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
HEADERS = b"X-A: b\r\n" * 8_000
ENDLESS_PARTS = {
    "empty lines": (b"", b"\r\n" * 32_768, None),
    "one header line": (HEAD + b"X-Note: ", PIECE, 400),
    "header lines": (HEAD, HEADERS, 400),
    "an extension": (CHUNKED + b"5;", PIECE, 400),
    "extensions": (CHUNKED, (b"1;" + b"x" * 4_000 + b"\r\na\r\n") * 16, 400),
    "trailers": (CHUNKED + b"0\r\n", HEADERS, 400),
}


@pytest.mark.parametrize("kind", ENDLESS_PARTS)
async def test_endless_parts_are_cut_off_after_bounded_bytes(kind):
    first, piece, status = ENDLESS_PARTS[kind]
    sent = 0
    async with async_environment(1, timeout_seconds=30.0) as env:
        async with async_connection(env) as (reader, writer):
            answer = asyncio.create_task(reader.read())
            with contextlib.suppress(ConnectionError):
                writer.write(first)
                while sent < TOO_MANY_BYTES and not answer.done():
                    writer.write(piece)
                    await writer.drain()
                    sent += len(piece)
            assert sent < SENT_BYTES_MAX
            with contextlib.suppress(ConnectionError):
                data = await answer
                assert not data or int(data.split(b" ")[1]) == status
        assert not env.ran()
        assert (await env.async_call("/safe/1"))[0] == 200


async def test_small_chunks_are_no_endless_request():
    async with (
        async_environment(1, timeout_seconds=30.0) as env,
        async_connection(env) as (reader, writer),
    ):
        chunk = b"1\r\na\r\n"
        for number in range(2):
            writer.write(CHUNKED)
            for _ in range(100):
                writer.write(chunk * 4_000)
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            headers, _ = await async_read_answer(reader)
            assert headers[":status"] == "200"
            assert len(env.backends[0].ran) == number + 1


async def test_a_request_before_an_endless_one_is_answered():
    # Closing the connection at once would lose an answer that is still due.
    async with (
        async_environment(1, 0.3, timeout_seconds=30.0) as env,
        async_connection(env) as (reader, writer),
    ):
        body = b"Content-Length: 0\r\n\r\n"
        writer.write(HEAD + body)
        with contextlib.suppress(ConnectionError):
            writer.write(b"\r\n" * 1_000_000)
        headers, _ = await async_read_answer(reader)
        assert headers[":status"] == "200"


async def test_all_requests_before_an_endless_one_are_answered():
    # The connection closed after the first answer, though servers ran the others too.
    async with (
        async_environment(1, 0.3, timeout_seconds=30.0) as env,
        async_connection(env) as (reader, writer),
    ):
        writer.write(b"".join(request(number) for number in range(3)))
        with contextlib.suppress(ConnectionError):
            writer.write(b"\r\n" * 1_000_000)
        for _ in range(3):
            headers, _ = await async_read_answer(reader)
            assert headers[":status"] == "200"
        with contextlib.suppress(ConnectionResetError):
            assert await reader.read() == b""
        assert env.ran() == 3


async def test_an_upload_behind_an_upgrade_request_is_read():
    # Its body was counted as bytes beside the body of the request before it.
    async with (
        async_environment(1, 0.3, timeout_seconds=30.0) as env,
        async_connection(env) as (reader, writer),
    ):
        upgrade = request(1).replace(
            b"\r\n\r\n", b"\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n"
        )
        writer.write(upgrade)
        await asyncio.sleep(0.05)
        writer.write(request(2, "POST", "/unsafe/", body=b"x" * 3_000_000))
        for _ in range(2):
            headers, _ = await async_read_answer(reader)
            assert headers[":status"] == "200"
        assert env.ran() == 2
