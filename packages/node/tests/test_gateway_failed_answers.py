"""A request whose answer fails leaves the others on its connection alone."""

import asyncio

import pytest
from aiohttp import web
from gateway_world import NAMES, async_environment
from raw_caller import async_connection, async_read_answer, request

from greengagepoint.events import Event

FAILED = 1
COUNT = 4
SECONDS = 3.0


async def async_raise(answer, request, arrived_at):
    raise KeyError("missing")


async def async_lose_a_connection(answer, request, arrived_at):
    raise ConnectionResetError("Another connection of the host broke")


async def async_time_out(answer, request, arrived_at):
    raise TimeoutError


async def async_await_cancelled_work(answer, request, arrived_at):
    work = asyncio.create_task(asyncio.sleep(SECONDS))
    asyncio.get_running_loop().call_soon(work.cancel)
    await work


async def async_answer_unwritable(answer, request, arrived_at):
    response = await answer(request, arrived_at)
    response.headers["X-Note"] = "a\x01b"
    return response


async def async_answer_chunked_unwritable(answer, request, arrived_at):
    response = web.Response(headers={"X-Note": "a\x01b"}, body=b"abc")
    response.enable_chunked_encoding()
    return response


async def async_answer_nothing(answer, request, arrived_at):
    return None


def let_one_fail(env, failure):
    """Let the answer to one request fail; the others are answered by servers."""
    gateway = env.daemon.gateway
    answer = gateway.async_answer

    async def async_answer(request, arrived_at):
        if request.headers[NAMES.request_id] == f"id-{FAILED}":
            return await failure(answer, request, arrived_at)
        return await answer(request, arrived_at)

    gateway.async_answer = async_answer


FAILURES = [
    (async_raise, "500", "handler"),
    (async_lose_a_connection, "500", "handler"),
    (async_time_out, "500", "handler"),
    (async_await_cancelled_work, "500", "handler"),
    (async_answer_unwritable, "502", "write"),
    (async_answer_chunked_unwritable, "502", "write"),
]


@pytest.mark.parametrize(("failure", "status", "phase"), FAILURES)
@pytest.mark.parametrize("method", ["GET", "POST"])
async def test_a_failed_answer_costs_no_other_request_its_own(
    method, failure, status, phase
):
    # One failure ended the connection with all requests on it.
    path = {"GET": "/safe/", "POST": "/unsafe/"}[method]
    async with async_environment() as env, async_connection(env) as (reader, writer):
        let_one_fail(env, failure)
        writer.write(b"".join(request(row, method, path) for row in range(COUNT)))
        async with asyncio.timeout(SECONDS):
            answers = [await async_read_answer(reader) for _ in range(COUNT)]
            # The connection is kept.
            writer.write(request(COUNT, method, path))
            answers.append(await async_read_answer(reader))
        heads = [head for head, _ in answers]
        statuses = [head[":status"] for head in heads]
        assert statuses == ["200", status, "200", "200", "200"]
        ids = [head[NAMES.request_id.lower()] for head in heads]
        assert ids == [f"id-{row}" for row in range(COUNT + 1)]
        (told,) = env.events.of(Event.ANSWER_NOT_WRITTEN)
        assert told["request_id"] == f"id-{FAILED}"
        assert (told["phase"], told["bytes_written"]) == (phase, 0)


async def test_a_handler_without_an_answer_costs_no_other_request_its_own():
    async with async_environment() as env, async_connection(env) as (reader, writer):
        let_one_fail(env, async_answer_nothing)
        writer.write(b"".join(request(row) for row in range(COUNT)))
        async with asyncio.timeout(SECONDS):
            answers = [await async_read_answer(reader) for _ in range(COUNT)]
        statuses = [head[":status"] for head, _ in answers]
        assert statuses == ["200", "500", "200", "200"]


async def test_a_failed_answer_to_a_request_in_part_closes_its_connection():
    # The rest of the body would be taken for the next request.
    async with async_environment() as env, async_connection(env) as (reader, writer):
        let_one_fail(env, async_raise)
        whole = request(FAILED, "POST", "/unsafe/", body=b"x" * 100)
        writer.write(whole[:-50])
        async with asyncio.timeout(SECONDS):
            head, _ = await async_read_answer(reader)
            assert (head[":status"], head["connection"]) == ("500", "close")


async def test_an_answer_that_fails_after_its_first_byte_is_seen_as_broken():
    async def async_break(answer, request, arrived_at):
        response = web.StreamResponse(headers={"Content-Length": "100"})
        await response.prepare(request)
        await response.write(b"part")
        raise KeyError("missing")

    async with async_environment() as env, async_connection(env) as (reader, writer):
        let_one_fail(env, async_break)
        writer.write(request(FAILED, "POST", "/unsafe/"))
        async with asyncio.timeout(SECONDS):
            received = await reader.read()
        assert received.endswith(b"\r\n\r\npart")
        (told,) = env.events.of(Event.ANSWER_NOT_WRITTEN)
        assert told["bytes_written"] == len(received)


async def test_a_caller_that_leaves_is_not_told_as_a_failed_answer():
    async with async_environment(seconds=0.2) as env:
        async with async_connection(env) as (_, writer):
            writer.write(request(0) + request(1))
            await asyncio.sleep(0.1)
        await asyncio.sleep(0.3)
        assert env.daemon.gateway.in_flight == 0
        assert not env.events.of(Event.ANSWER_NOT_WRITTEN)
        assert len(env.events.of(Event.REQUEST_CANCELLED)) == 2


@pytest.mark.parametrize(
    "change", [(f"{NAMES.request_id}: id-1\r\n", ""), ("id-1\r\n", "id-\xff\r\n")]
)
@pytest.mark.parametrize("method", ["GET", "POST"])
async def test_a_rejected_request_costs_no_other_one_its_answer(method, change):
    # A 400 closed the connection, with requests behind it that servers had begun.
    path = {"GET": "/safe/", "POST": "/unsafe/"}[method]
    old, new = (text.encode("latin-1") for text in change)
    requests = [request(row, method, path) for row in range(COUNT)]
    requests[1] = requests[1].replace(old, new)
    async with (
        async_environment(seconds=0.1) as env,
        async_connection(env) as (reader, writer),
    ):
        writer.write(b"".join(requests))
        async with asyncio.timeout(SECONDS):
            answers = [await async_read_answer(reader) for _ in requests]
        statuses = [head[":status"] for head, _ in answers]
        assert statuses == ["200", "400", "200", "200"]
        assert env.ran() == COUNT - 1


async def test_a_rejected_body_that_was_not_read_closes_its_connection():
    # Its unread bytes would be taken for the next request.
    async with async_environment() as env, async_connection(env) as (reader, writer):
        head = request(0, "POST", "/unsafe/", body=b"x" * 9).replace(
            f"{NAMES.request_id}: id-0\r\n".encode(), b""
        )
        writer.write(head[:-9])
        async with asyncio.timeout(SECONDS):
            rejected, _ = await async_read_answer(reader)
            assert rejected[":status"] == "400"
            assert rejected["connection"] == "close"
            writer.write(b"x" * 9)
            assert await reader.read() == b""
