"""Callers send bodies that exceed the memory of a host together."""

import asyncio
import contextlib
import tracemalloc

import cut_links
import pytest
from deployment import async_until
from gateway_world import HOST, NAMES, async_environment
from yarl import URL

from greengagepoint.events import Event
from greengagepoint.overload.held_bytes import FLOOR_BYTES, MEBIBYTE
from greengagepoint.overload.held_uploads import UploadLimits, UploadReason
from greengagepoint.reachability.tracker import Reach
from greengagepoint_node.gateway import exchange

# A host with this memory holds 13.5 MiB of uploads, each of up to 6.75 MiB.
MEMORY_MB = 150
UPLOAD_BYTES = 6 * MEBIBYTE
# More than the buffers of a connection take.
LONG_BYTES = 24 * MEBIBYTE
UPLOADS_HELD = 2
UPLOADS = 8
TIMEOUT_SECONDS = 10.0
# Far less than the timeout, which a host that waits for the body would take.
AT_ONCE_SECONDS = 3.0
CHUNK = b"10000\r\n" + b"x" * 65_536 + b"\r\n"


class Caller:
    """A connection that sends the head of an upload, and its body when told."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    async def async_answer(self):
        """Return the status and the head of the answer."""
        async with asyncio.timeout(AT_ONCE_SECONDS):
            head = await self.reader.readuntil(b"\r\n\r\n")
        return int(head.split(b" ")[1]), head.lower()

    async def async_send(self, data):
        self.writer.write(data)
        await self.writer.drain()

    def close(self):
        self.writer.close()


@contextlib.asynccontextmanager
async def async_callers(env, count, framing, deadline_ms=10_000):
    """Open connections, and send the head of an upload on each."""
    callers = []
    try:
        for number in range(count):
            address, _, port = env.daemon.settings.front_address.rpartition(":")
            caller = Caller(*await asyncio.open_connection(address, int(port)))
            callers.append(caller)
            head = (
                f"POST /upload/{number} HTTP/1.1\r\nHost: {HOST}\r\n"
                f"{NAMES.request_id}: up-{number}\r\n"
                f"{NAMES.deadline_ms}: {deadline_ms}\r\n{framing}\r\n\r\n"
            )
            await caller.async_send(head.encode())
        yield callers
    finally:
        for caller in callers:
            caller.close()


def with_length(length):
    return f"Content-Length: {length}"


async def test_uploads_beyond_the_budget_are_rejected_unread():
    # Each was read whole, and all together ended the host.
    async with (
        async_environment(
            1, memory_mb=MEMORY_MB, timeout_seconds=TIMEOUT_SECONDS
        ) as env,
        async_callers(env, UPLOADS_HELD, with_length(UPLOAD_BYTES)) as held,
    ):
        await asyncio.gather(*[caller.async_send(b"x") for caller in held])
        await async_until(lambda: env.daemon.gateway.in_flight == UPLOADS_HELD)
        async with async_callers(env, UPLOADS, with_length(UPLOAD_BYTES)) as others:
            for status, head in [await other.async_answer() for other in others]:
                assert status == 503
                assert b"retry-after: " in head
                assert b"connection: close" in head
        assert len(env.events.of(Event.REQUEST_REFUSED)) == UPLOADS
        assert (await env.async_call("/safe/1"))[0] == 200
        for caller in held:
            await caller.async_send(b"x" * (UPLOAD_BYTES - 1))
            assert (await caller.async_answer())[0] == 200
        assert env.ran() == UPLOADS_HELD + 1


async def test_an_upload_that_can_never_fit_is_rejected_unread():
    async with (
        async_environment(
            1, memory_mb=MEMORY_MB, timeout_seconds=TIMEOUT_SECONDS
        ) as env,
        async_callers(env, 1, with_length(7 * MEBIBYTE)) as (caller,),
    ):
        status, head = await caller.async_answer()
        assert status == 413
        assert b"connection: close" in head
        assert not env.ran()


async def test_an_upload_without_length_is_rejected_once_it_does_not_fit():
    async with (
        async_environment(
            1, memory_mb=MEMORY_MB, timeout_seconds=TIMEOUT_SECONDS
        ) as env,
        async_callers(env, UPLOADS_HELD, with_length(UPLOAD_BYTES)) as held,
        async_callers(env, 1, "Transfer-Encoding: chunked") as (caller,),
    ):
        await asyncio.gather(*[each.async_send(b"x") for each in held])
        await async_until(lambda: env.daemon.gateway.in_flight == UPLOADS_HELD + 1)
        await caller.async_send(CHUNK * 32)
        assert (await caller.async_answer())[0] == 503
        assert not env.ran()


async def test_small_bodies_are_served_beside_a_full_budget():
    async with async_environment(1) as env:
        held = env.daemon.gateway.uploads.held
        held.limits = UploadLimits(0, 0)
        body = b"x" * FLOOR_BYTES
        assert (await env.async_call("/upload/1", "POST", data=body))[0] == 200
        assert (await env.async_call("/upload/2", "POST", data=body + b"x"))[0] == 413
        held.limits = UploadLimits(0, MEBIBYTE)
        assert (await env.async_call("/upload/3", "POST", data=body + b"x"))[0] == 503
        rows = env.events.of(Event.UPLOAD_REJECTED)
        assert [(row["request_id"], row["reason"]) for row in rows] == [
            ("id-2", UploadReason.TOO_LONG),
            ("id-3", UploadReason.NO_ROOM),
        ]
        assert rows[1]["bytes"] == FLOOR_BYTES + 1
        assert (rows[1]["held"], rows[1]["budget"]) == (0, 0)
        assert env.ran() == 1


@pytest.mark.parametrize(
    "end", ["served", "caller gone", "gone while it runs", "too slow", "unreachable"]
)
async def test_bytes_are_given_back_at_each_end(end):
    # Bytes that stay counted would let the host reject good uploads later.
    async with async_environment(
        0 if end == "unreachable" else 1,
        seconds=5.0 if end == "gone while it runs" else 0.0,
        memory_mb=MEMORY_MB,
        timeout_seconds=TIMEOUT_SECONDS,
    ) as env:
        held = env.daemon.gateway.uploads.held
        deadline_ms = 500 if end == "too slow" else 10_000
        framing = with_length(UPLOAD_BYTES)
        async with async_callers(env, 1, framing, deadline_ms) as (caller,):
            await async_until(lambda: held.total == UPLOAD_BYTES)
            if end == "caller gone":
                caller.close()
            elif end == "gone while it runs":
                await caller.async_send(b"x" * UPLOAD_BYTES)
                await async_until(lambda: env.ran() == 1)
                assert held.total == UPLOAD_BYTES
                caller.close()
            elif end == "too slow":
                assert (await caller.async_answer())[0] == 408
            else:
                await caller.async_send(b"x" * UPLOAD_BYTES)
                status = (await caller.async_answer())[0]
                assert status == (200 if end == "served" else 503)
            await async_until(lambda: held.total == 0)


async def test_a_server_that_reads_nothing_leaves_no_bytes(monkeypatch):
    # The transport kept its copy of the body until the server closed the connection.
    async with async_environment(1, timeout_seconds=1.0, attempts_max=1) as env:
        env.daemon.gateway.uploads.held.limits = UploadLimits(LONG_BYTES, LONG_BYTES)
        server = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0, limit=1)
        port = server.sockets[0].getsockname()[1]
        url = URL(f"http://127.0.0.1:{port}/")
        monkeypatch.setattr(exchange, "_url", lambda *_: url)
        async with async_callers(env, 1, with_length(LONG_BYTES), 1000) as (caller,):
            tracemalloc.start()
            try:
                for _ in range(LONG_BYTES // MEBIBYTE):
                    await caller.async_send(b"x" * MEBIBYTE)
                assert (await caller.async_answer())[0] == 504
                assert tracemalloc.get_traced_memory()[0] < 2 * MEBIBYTE
            finally:
                tracemalloc.stop()
                server.close()


async def test_a_relayed_body_is_held_by_both_hosts_until_the_answer():
    async with cut_links.async_fleet(("north",) * 2) as fleet:
        uploads = [host.daemon.gateway.uploads.held for host in fleet.hosts]
        fleet.hosts[0].daemon.monitor.reach.state = Reach.CUT_OFF
        fleet.hosts[0].daemon.monitor.async_probe = asyncio.Event().wait
        for backend in fleet.backends:
            backend.seconds = 0.5
        call = asyncio.create_task(
            fleet.hosts[0].async_call("/upload/1", "POST", data=b"x" * UPLOAD_BYTES)
        )
        await async_until(lambda: fleet.hosts[0].ran() == 1)
        assert [held.total for held in uploads] == [UPLOAD_BYTES] * 2
        assert (await call)[0] == 200
        await async_until(lambda: not any(held.total for held in uploads))


async def test_a_relayed_body_goes_to_a_host_that_can_hold_it():
    async with cut_links.async_fleet(("north",) * 4) as fleet:
        host, *peers, _ = fleet.hosts
        host.daemon.monitor.reach.state = Reach.CUT_OFF
        host.daemon.monitor.async_probe = asyncio.Event().wait
        for peer in peers:
            peer.daemon.gateway.uploads.held.limits = UploadLimits(0, UPLOAD_BYTES)
        for number in range(5):
            path = f"/upload/{number}"
            answer = await host.async_call(path, "POST", data=b"x" * UPLOAD_BYTES)
            assert answer[0] == 200
        assert host.ran() == 5
        uploads = [each.daemon.gateway.uploads.held for each in fleet.hosts]
        await async_until(lambda: not any(held.total for held in uploads))
