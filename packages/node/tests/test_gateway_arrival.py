"""What counts as a request's time on a host before anything happens to it.

A caller's clock runs from when it sends. Its request comes in pieces, or waits behind
another one on its connection; counted only from there on, it would be sent to a backend
server after its caller has given up, with more time than the caller has left. A kept
connection is idle between requests, and that is nobody's time.
"""

import asyncio
import contextlib
import gc

import pytest
from deployment import async_until
from gateway_world import NAMES, async_world
from raw_caller import async_connection, async_read_answer, request, targets

from greengagepoint.errors import ErrorKind
from greengagepoint.events import Event
from greengagepoint_node.gateway.call import ANSWER_MARGIN_SECONDS
from greengagepoint_node.gateway.daemon import QUIET_SECONDS
from greengagepoint_standins.users_platform.backend import Manner

RUN_SECONDS = 0.1
REQUESTS = 20
LONG_BODY_BYTES = 400_000


@contextlib.asynccontextmanager
async def async_still_world(**changes):
    """Run a host whose clock moves only when a test sets it ahead."""
    async with async_world(**changes) as world:
        world.clock.stop()
        yield world


async def async_accepted(world):
    """Return the host's end of the caller's connection.

    Pieces are given to it as its socket would, so that the clock can be moved between
    them without waiting for the kernel.
    """
    connections = world.daemon.front.server.connections
    await async_until(lambda: connections)
    return connections[0]


def handed_on(world):
    """Return the seconds that the servers were given for each request."""
    name = NAMES.deadline_ms.lower()
    return [
        int(row.headers[name]) / 1000
        for backend in world.backends
        for row in backend.received
    ]


def seconds_left(*seconds):
    """Return what is handed on of some seconds that are left of a caller's deadline.

    Milliseconds are cut off, so one of them may be lost.
    """
    return [
        pytest.approx(value - ANSWER_MARGIN_SECONDS, abs=0.0011) for value in seconds
    ]


async def async_wait_behind(world, waiting, seconds):
    """Return the answers to a slow request that may run once and one behind it."""
    async with async_connection(world) as (reader, writer):
        writer.write(request(0, "POST", "/unsafe/") + waiting)
        await async_until(lambda: targets(world))
        world.clock.ahead += seconds
        return [await async_read_answer(reader) for _ in range(2)]


@pytest.mark.parametrize(
    ("waiting", "timeout_seconds", "seconds"),
    [
        (request(1, "POST", "/unsafe/", 2000), None, 5.0),
        (request(1, "GET", "/safe/", 2000), None, 5.0),
        (request(1, "POST", "/unsafe/", 2000, b"body"), None, 5.0),
        (request(1, "POST", "/unsafe/", 2000), None, 1.985),
        (request(1, "POST", "/unsafe/"), 2.0, 5.0),
    ],
    ids=["unsafe", "safe", "with a body", "too little left", "the route's timeout"],
)
async def test_what_waited_past_its_time_is_not_run(waiting, timeout_seconds, seconds):
    async with async_still_world(
        servers=1, seconds=RUN_SECONDS, timeout_seconds=timeout_seconds
    ) as world:
        (first, _), (second, _) = await async_wait_behind(world, waiting, seconds)
        assert (first[":status"], second[":status"]) == ("200", "503")
        assert "retry-after" in second
        assert len(world.backends[0].received) == 1
        (refused,) = world.events.of(Event.REQUEST_REFUSED)
        assert refused["kind"] is ErrorKind.DEADLINE_TOO_SHORT
        assert refused["seconds"] == seconds


@pytest.mark.parametrize(
    ("deadline_ms", "timeout_seconds", "left"),
    [(9000, None, 4.0), (90000, 9.0, 4.0 + ANSWER_MARGIN_SECONDS)],
    ids=["deadline", "the route's timeout"],
)
async def test_what_waited_a_part_of_its_time_is_handed_on_with_the_rest(
    deadline_ms, timeout_seconds, left
):
    async with async_still_world(
        servers=1, seconds=RUN_SECONDS, timeout_seconds=timeout_seconds
    ) as world:
        waiting = request(1, "POST", "/unsafe/", deadline_ms)
        _, (second, _) = await async_wait_behind(world, waiting, 5.0)
        assert second[":status"] == "200"
        assert handed_on(world)[1:] == seconds_left(left)


HEAD = request(1, "POST", "/unsafe/", 9000, b"body")
SAFE = request(2, "GET", "/safe/", 9000)


@pytest.mark.parametrize(
    ("pieces", "left"),
    [
        ([HEAD], [9]),
        ([HEAD[:1], HEAD[1:]], [7]),
        ([HEAD[:20], HEAD[20:40], HEAD[40:]], [5]),
        ([HEAD[:-4], b"bo", b"dy"], [5]),
        ([HEAD[:9], HEAD[9:-4], b"body"], [5]),
        ([HEAD, SAFE], [9, 9]),
        ([HEAD, SAFE[:9], SAFE[9:]], [9, 7]),
        ([HEAD + SAFE[:9], SAFE[9:]], [9, 7]),
        ([HEAD[:-2], b"dy" + SAFE[:9], SAFE[9:]], [7, 7]),
        ([SAFE, HEAD], [9, 9]),
        ([SAFE + HEAD[:9], HEAD[9:]], [9, 7]),
        ([b"\r\n", HEAD, b"\r\n", b"\r\n", SAFE], [9, 9]),
        ([HEAD + b"\r\n", SAFE + b"\r\n"], [9, 9]),
    ],
)
async def test_time_counts_from_the_first_byte_and_not_while_idle(pieces, left):
    async with async_still_world(servers=1, timeout_seconds=None) as world:
        async with async_connection(world) as (reader, _):
            connection = await async_accepted(world)
            for piece in pieces:
                connection.data_received(piece)
                # The handler may run, and an idle connection may wait for its next one.
                for _ in range(5):
                    await asyncio.sleep(0)
                await async_until(lambda: not is_complete(world, connection))
                world.clock.ahead += 2.0
            for _ in left:
                await async_read_answer(reader)
        assert handed_on(world) == seconds_left(*left)


def is_complete(world, connection):
    """Tell whether the host works on a request that has come whole."""
    current = connection._current_request
    return current is not None and current._payload.is_eof()


async def test_what_comes_behind_a_long_body_counts_from_its_chunk():
    # The host stops reading while the body is longer than its buffer, and reads what
    # follows only when the handler has taken that.
    async with async_still_world(servers=1, timeout_seconds=None) as world:
        async with async_connection(world) as (reader, _):
            connection = await async_accepted(world)
            body = b"x" * LONG_BODY_BYTES
            connection.data_received(request(1, "POST", "/unsafe/", 9000, body) + SAFE)
            world.clock.ahead += 2.0
            for _ in range(2):
                await async_read_answer(reader)
        assert len(world.backends[0].ran[0].body) == LONG_BODY_BYTES
        assert handed_on(world) == seconds_left(7, 7)


async def test_one_that_is_begun_early_counts_from_its_first_byte():
    async with (
        async_still_world(servers=1, seconds=90, timeout_seconds=None) as world,
        async_connection(world),
    ):
        connection = await async_accepted(world)
        connection.data_received(request(0) + SAFE[:9])
        world.clock.ahead += 2.0
        connection.data_received(SAFE[9:])
        await async_until(lambda: len(targets(world)) == 2)
        assert handed_on(world)[1:] == seconds_left(7)


async def test_what_is_logged_and_counted_begins_with_the_first_byte():
    async with async_still_world(servers=1, seconds=RUN_SECONDS) as world:
        await async_wait_behind(world, request(1, "POST", "/unsafe/", 2000), 5.0)
        durations = world.daemon.counters.durations["booking", "/unsafe/"]
        assert durations.total == pytest.approx(10.0)


async def test_a_stop_waits_from_the_last_request_that_was_handled():
    # The last request has waited for its turn. Counted from its first byte, the host
    # would be quiet at once, and close on the caller that sends its next one now.
    async with async_still_world(servers=1, seconds=RUN_SECONDS) as world:
        await async_wait_behind(world, request(1, "POST", "/unsafe/", 2000), 5.0)
        assert not world.daemon.gateway.is_quiet(QUIET_SECONDS)


def let_connecting_take(world, seconds):
    """Set the clock ahead while a connection to a server is opened or taken."""
    connector = world.daemon.sessions.session.connector
    connect = connector.connect

    async def async_connect(*arguments, **named):
        connection = await connect(*arguments, **named)
        world.clock.ahead += seconds
        return connection

    connector.connect = async_connect


async def test_what_connecting_takes_is_not_handed_on():
    async with async_still_world(servers=1, timeout_seconds=None) as world:
        let_connecting_take(world, 2.0)
        status, _, _ = await world.async_call("/unsafe/1", "POST", deadline_ms=9000)
        assert status == 200
        assert handed_on(world) == seconds_left(7)


async def test_what_connecting_takes_counts_for_each_try():
    async with async_still_world(servers=2, timeout_seconds=None) as world:
        for backend in world.backends:
            backend.manner = Manner.SHED
        let_connecting_take(world, 2.0)
        status, _, _ = await world.async_call("/unsafe/1", "POST", deadline_ms=9000)
        assert status == 503
        assert sorted(handed_on(world)) == seconds_left(5, 7)


async def test_a_request_whose_time_ends_while_connecting_is_not_sent():
    # The server did nothing wrong, and other callers can go on using it.
    async with async_still_world(servers=1, timeout_seconds=None) as world:
        let_connecting_take(world, 5.0)
        status, _, headers = await world.async_call("/unsafe/1", "POST")
        assert (status, world.backends[0].received) == (503, [])
        assert "Retry-After" in headers
        (refused,) = world.events.of(Event.REQUEST_REFUSED)
        assert refused["kind"] is ErrorKind.DEADLINE_TOO_SHORT
        assert not world.events.of(Event.BACKEND_SERVER_SUSPECTED)


async def test_a_request_leaves_nothing_for_the_collector_of_cycles():
    # What a request leaves in a cycle holds its headers and body until the collector
    # runs, and its runs take the time of the requests that come then.
    async with async_still_world(servers=1) as world:
        for _ in range(REQUESTS):
            await world.async_call("/safe/1")
        gc.collect()
        gc.disable()
        try:
            for _ in range(REQUESTS):
                await world.async_call("/safe/1")
            assert gc.collect() < REQUESTS
        finally:
            gc.enable()
