"""A backend server sends answers without end."""

import asyncio

import pytest
from deployment import async_until
from gateway_world import NAMES, async_environment

from greengagepoint.events import Event
from greengagepoint.overload.held_bytes import (
    ANSWER_FLOOR_BYTES,
    MEBIBYTE,
    DropReason,
    HeldLimits,
    Holding,
)
from greengagepoint_node.gateway.exchange import Verdict
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


@pytest.mark.parametrize("kind", ENDLESS_BODIES)
async def test_a_repeatable_request_goes_to_another_server(monkeypatch, kind):
    endless = EndlessAnswers(*ENDLESS_BODIES[kind])
    async with async_environment(timeout_seconds=TIMEOUT_SECONDS) as env:
        bad = env.backends[0]

        async def async_answer(backend, request, writer):
            answer = endless.async_answer if backend is bad else async_whole(10)
            return await answer(backend, request, writer)

        monkeypatch.setitem(ANSWERS, Manner.GOOD, async_answer)
        for number in range(8):
            status, body, _ = await env.async_call(f"/safe/{number}", deadline_ms=30000)
            assert (status, len(body)) == (200, 10)
            if bad.ran:
                break
        assert bad.ran
        (row,) = env.events.of(Event.ANSWER_DROPPED)
        is_declared = "length of" in kind
        assert row["reason"] == (
            DropReason.LENGTH_TOO_LONG if is_declared else DropReason.TOO_LONG
        )
        assert row["server"] == bad.address
        assert row["length"] == (10**12 if is_declared else -1)
        assert (row["bytes"] > row["bound"]) != is_declared
        assert row["request_id"].startswith("id-")
        verdict = Verdict.NOT_HELD if is_declared else Verdict.BROKEN
        assert env.daemon.counters.tries["booking", verdict] == 1
        suspected = env.events.of(Event.BACKEND_SERVER_SUSPECTED)
        assert bool(suspected) is not is_declared
        assert env.daemon.counters.answers_dropped == {(str(row["reason"]),): 1}
        assert env.daemon.bodies.held.total == 0


# Longer than what is held whatever the others take.
LONG_BYTES = ANSWER_FLOOR_BYTES + 1


def async_whole(size):
    async def async_answer(backend, request, writer):
        writer.write(backend.head(request, "200 OK", size) + b"." * size)
        await writer.drain()
        return True

    return async_answer


class SlowAnswers:
    """Answer with a body of the size in the target, its last byte once released."""

    def __init__(self):
        self.released = asyncio.Event()

    async def async_answer(self, backend, request, writer):
        size = int(request.target.rpartition("/")[2])
        writer.write(backend.head(request, "200 OK", size) + b"." * (size - 1))
        await writer.drain()
        if size > ANSWER_FLOOR_BYTES:
            await self.released.wait()
        writer.write(b".")
        await writer.drain()
        return True


async def test_the_largest_answer_gives_way_and_the_others_are_served(monkeypatch):
    # Whichever answer came last would else end for the bytes of a larger one.
    slow = SlowAnswers()
    monkeypatch.setitem(ANSWERS, Manner.GOOD, slow.async_answer)
    async with async_environment(4, timeout_seconds=TIMEOUT_SECONDS) as env:
        held = env.daemon.bodies.held
        held.limits = HeldLimits(4 * MEBIBYTE, 4 * MEBIBYTE)

        async def async_call(size):
            return await env.async_call(f"/unsafe/{size}", "POST", 30000, data=b"a")

        large = asyncio.create_task(async_call(3 * MEBIBYTE))
        await async_until(lambda: held.total > 2 * MEBIBYTE)
        others = [asyncio.create_task(async_call(LONG_BYTES)) for _ in range(2)]
        assert (await large)[0] == 502
        (row,) = env.events.of(Event.ANSWER_DROPPED)
        assert row["reason"] is DropReason.NO_ROOM
        assert 2 * MEBIBYTE < row["bytes"] <= 3 * MEBIBYTE
        assert (await async_call(ANSWER_FLOOR_BYTES))[0] == 200
        slow.released.set()
        answers = [await other for other in others]
        assert [len(body) for status, body, _ in answers if status == 200] == [
            LONG_BYTES
        ] * 2
        await async_until(lambda: held.total == 0)
        assert len(env.events.of(Event.ANSWER_DROPPED)) == 1
        held.limits = HeldLimits(0, 4 * MEBIBYTE)
        assert (await async_call(ANSWER_FLOOR_BYTES))[0] == 200


async def test_a_long_length_without_a_body_is_no_long_answer(monkeypatch):
    async def async_head(backend, request, writer):
        writer.write(backend.head(request, "200 OK", 10**12))
        await writer.drain()
        return True

    monkeypatch.setitem(ANSWERS, Manner.GOOD, async_head)
    async with async_environment(1) as env:
        assert (await env.async_call("/safe/1", "HEAD"))[0] == 200
        assert not env.events.of(Event.ANSWER_DROPPED)


@pytest.mark.parametrize("leaves", [False, True])
async def test_bytes_are_given_back_once_written_or_given_up(monkeypatch, leaves):
    # Bytes that stay counted would let the host reject good answers later.
    slow = SlowAnswers()
    monkeypatch.setitem(ANSWERS, Manner.GOOD, slow.async_answer)
    async with async_environment(1, timeout_seconds=TIMEOUT_SECONDS) as env:
        held = env.daemon.bodies.held
        call = asyncio.create_task(
            env.async_call(f"/safe/{LONG_BYTES}", deadline_ms=30000)
        )
        await async_until(lambda: held.total > MEBIBYTE // 2)
        if leaves:
            call.cancel()
        else:
            slow.released.set()
            assert (await call)[0] == 200
        await async_until(lambda: held.total == 0 and not held.arriving)


def fill_budget(env):
    """Hold an answer that is whole and takes all of the budget."""
    held = env.daemon.bodies.held
    holding = Holding()
    held.grow(holding, held.limits.answer_bytes)
    held.finish(holding)


@pytest.mark.parametrize(
    ("method", "path"), [("GET", "/safe/1"), ("POST", "/unsafe/1")]
)
async def test_slow_readers_cost_others_no_ordinary_answer(monkeypatch, method, path):
    # Whole answers of slow readers filled the budget, and requests that ran got 502.
    monkeypatch.setitem(ANSWERS, Manner.GOOD, async_whole(900_000))
    async with async_environment(1) as env:
        fill_budget(env)
        status, body, _ = await env.async_call(path, method)
        assert (status, len(body)) == (200, 900_000)


async def test_an_answer_that_gives_way_is_no_fault_of_its_server(monkeypatch):
    # Sound servers were suspected for a budget that others had filled.
    monkeypatch.setitem(ANSWERS, Manner.GOOD, async_whole(LONG_BYTES))
    async with async_environment() as env:
        fill_budget(env)
        assert (await env.async_call("/unsafe/1", "POST"))[0] == 502
        assert env.events.of(Event.ANSWER_DROPPED)
        assert not env.events.of(Event.BACKEND_SERVER_SUSPECTED)


async def test_a_rejection_whose_body_is_not_held_still_says_not_run(monkeypatch):
    # With a full budget the caller was told that its request may have run.
    async def async_reject(backend, request, writer):
        head = backend.head(request, "503 Full", LONG_BYTES, signed=False)
        field = f"{NAMES.not_executed}: 1\r\n\r\n".encode()
        writer.write(head[:-2] + field + b"." * LONG_BYTES)
        await writer.drain()
        return True

    monkeypatch.setitem(ANSWERS, Manner.GOOD, async_reject)
    async with async_environment() as env:
        fill_budget(env)
        assert (await env.async_call("/unsafe/1", "POST"))[0] == 503
