"""The limit on the number of callers' connections."""

import asyncio
import contextlib
import json

import pytest
from aiohttp import web

from greengagepoint.events import Event
from greengagepoint_node.http.server import (
    EXCESS_CONNECTIONS_MAX,
    ProblemRequestHandler,
    ProblemServer,
    ProblemServerRunner,
    Routes,
    ServerLimits,
    create_dispatcher,
)
from greengagepoint_standins.timed_network import EventList

LIMIT = 3
TIMEOUT_SECONDS = 20.0


class LoopbackServer:
    """A server on loopback and the connections that a test has opened to it."""

    def __init__(self):
        self.events = EventList()
        self.port = 0
        self.streams = []

    async def async_open(self):
        stream = await asyncio.open_connection("127.0.0.1", self.port)
        self.streams.append(stream)
        return stream

    async def async_get(self, stream, path="/s/booking/bays"):
        """Return the status and the JSON body, or None if the connection is closed."""
        reader, writer = stream
        writer.write(f"GET {path} HTTP/1.1\r\nHost: host\r\n\r\n".encode())
        async with asyncio.timeout(TIMEOUT_SECONDS):
            try:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
            except (asyncio.IncompleteReadError, ConnectionResetError):
                return None
            length = int(head.lower().partition("content-length: ")[2].split()[0])
            body = await reader.readexactly(length)
        return int(head.split()[1]), json.loads(body) if length else {}


@pytest.fixture
async def loopback():
    async def async_answer(request):
        return web.Response(body=b"{}")

    loopback = LoopbackServer()
    limits = ServerLimits(8192, 50, TIMEOUT_SECONDS, LIMIT)
    routes = Routes({("GET", "/healthz"): async_answer}, async_answer)
    server = ProblemServer(create_dispatcher(routes), loopback.events, limits)
    runner = ProblemServerRunner(server)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    loopback.port = runner.addresses[0][1]
    loopback.runner = runner
    yield loopback
    for _, writer in loopback.streams:
        writer.close()
    await runner.cleanup()


async def test_a_request_on_a_connection_above_the_limit_is_rejected(loopback):
    """Callers hold the maximum number of connections, and one more is opened.

    Its request is rejected at once as overloaded and not run, and the connection is
    closed. Existing connections and health probes are still served. After one of the
    connections is closed, the next caller is served.
    """
    held = [await loopback.async_open() for _ in range(LIMIT)]
    assert [(await loopback.async_get(one))[0] for one in held] == [200] * LIMIT
    excess = await loopback.async_open()
    status, problem = await loopback.async_get(excess)
    assert (status, problem["kind"], problem["ran"]) == (503, "overloaded", "not_run")
    assert await excess[0].read() == b""
    assert loopback.events == [Event.REQUEST_REFUSED]
    probe = await loopback.async_open()
    assert (await loopback.async_get(probe, "/healthz"))[0] == 200
    assert (await loopback.async_get(held[0]))[0] == 200
    for reader, writer in (held[0], probe):
        writer.close()
        await reader.read()
    assert (await loopback.async_get(await loopback.async_open()))[0] == 200


async def test_connections_far_above_the_limit_are_closed_at_once(loopback):
    """Many connections are opened that send nothing. Beyond the limit and the allowed
    excess each is closed at once, so that the host keeps free file descriptors.
    """
    connections_max = LIMIT + EXCESS_CONNECTIONS_MAX
    for _ in range(connections_max):
        await loopback.async_open()
    assert await loopback.async_get(await loopback.async_open()) is None


async def test_what_is_read_while_a_server_closes_is_answered(loopback, monkeypatch):
    """A connection that was accepted last discarded the request that it read."""
    read = []
    receive = ProblemRequestHandler.data_received

    def receive_recorded(connection, data):
        read.append(data)
        receive(connection, data)

    monkeypatch.setattr(ProblemRequestHandler, "data_received", receive_recorded)
    answered = []

    async def async_call():
        with contextlib.suppress(OSError):
            stream = await loopback.async_open()
            await asyncio.sleep(0.01)
            if await loopback.async_get(stream, "/healthz"):
                answered.append(stream)

    async def async_close():
        await asyncio.sleep(0.1)
        await loopback.runner.async_close_answered()
        await loopback.runner.cleanup()

    async with asyncio.TaskGroup() as calls:
        closing = asyncio.create_task(async_close())
        while not closing.done():
            calls.create_task(async_call())
            await asyncio.sleep(0.001)
    assert read
    assert len(answered) == len(read)
