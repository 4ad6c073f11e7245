"""How many connections of callers a host takes."""

import asyncio
import json

import pytest
from aiohttp import web

from greengagepoint.events import Event
from greengagepoint_node.http.server import (
    REFUSED_CONNECTIONS_MAX,
    ProblemServer,
    ProblemServerRunner,
    Routes,
    ServerLimits,
    create_dispatcher,
)
from greengagepoint_standins.timed_network import EventList

LIMIT = 3
GUARD_SECONDS = 20.0


class Bench:
    """A server on loopback and the connections that a test has opened to it."""

    def __init__(self):
        self.events = EventList()
        self.port = 0
        self.streams = []

    async def async_open(self):
        stream = await asyncio.open_connection("127.0.0.1", self.port)
        self.streams.append(stream)
        return stream

    async def async_ask(self, stream, path="/s/booking/bays"):
        """Return the status and the members of a problem, or None when cut off."""
        reader, writer = stream
        writer.write(f"GET {path} HTTP/1.1\r\nHost: host\r\n\r\n".encode())
        async with asyncio.timeout(GUARD_SECONDS):
            try:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
            except (asyncio.IncompleteReadError, ConnectionResetError):
                return None
            length = int(head.lower().partition("content-length: ")[2].split()[0])
            body = await reader.readexactly(length)
        return int(head.split()[1]), json.loads(body) if length else {}


@pytest.fixture
async def bench():
    async def async_answer(request):
        return web.Response(body=b"{}")

    bench = Bench()
    limits = ServerLimits(8192, 50, GUARD_SECONDS, LIMIT)
    routes = Routes({("GET", "/healthz"): async_answer}, async_answer)
    server = ProblemServer(create_dispatcher(routes), bench.events, limits)
    runner = ProblemServerRunner(server)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    bench.port = runner.addresses[0][1]
    yield bench
    for _, writer in bench.streams:
        writer.close()
    await runner.cleanup()


async def test_a_connection_above_the_limit_is_refused_and_not_run(bench):
    """Callers hold as many connections as the host takes, and one more comes.

    Its request is refused at once, overloaded and not run, and its connection closed;
    those that were there go on, and probes of the process's health are still answered.
    When one of them leaves, the next caller is served.
    """
    held = [await bench.async_open() for _ in range(LIMIT)]
    assert [(await bench.async_ask(one))[0] for one in held] == [200] * LIMIT
    late = await bench.async_open()
    status, problem = await bench.async_ask(late)
    assert (status, problem["kind"], problem["ran"]) == (503, "overloaded", "not_run")
    assert await late[0].read() == b""
    assert bench.events == [Event.REQUEST_REFUSED]
    probe = await bench.async_open()
    assert (await bench.async_ask(probe, "/healthz"))[0] == 200
    assert (await bench.async_ask(held[0]))[0] == 200
    for reader, writer in (held[0], probe):
        writer.close()
        await reader.read()
    assert (await bench.async_ask(await bench.async_open()))[0] == 200


async def test_connections_far_above_the_limit_are_cut(bench):
    """A flood of connections comes that send nothing. Past the limit and the room for
    refusals each is cut at once, so that they can't take all of the host's descriptors.
    """
    room = LIMIT + REFUSED_CONNECTIONS_MAX
    for _ in range(room):
        await bench.async_open()
    assert await bench.async_ask(await bench.async_open()) is None
