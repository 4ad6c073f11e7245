"""Check what callers see of a planned stop, from the signal to the exit."""

import asyncio
import socket
from contextlib import suppress

import pytest
from deployment import async_until
from gateway_world import NAMES, async_environment
from raw_caller import request, targets

from greengagepoint_node.gateway.pipelining import PipelinedRequestHandler, find_header

# The host closes 0.15 s after the last of the calls.
LATE_SECONDS = 0.1
PLAYS_MAX = 5


async def test_a_request_in_flight_gets_its_whole_answer():
    async with async_environment(servers=1, seconds=0.5) as env:
        call = asyncio.create_task(env.async_call("/safe/1"))
        await async_until(lambda: env.backends[0].ran)
        stop = asyncio.create_task(env.daemon.async_stop())
        status, body, headers = await call
        assert (status, body) == (200, b"i-0 /safe/1")
        assert headers["Connection"] == "close"
        await stop


@pytest.mark.parametrize(
    ("path", "method", "after", "status"),
    [
        ("/unsafe/1", "POST", 0.1, 200),
        ("/unsafe/1", "POST", 0.4, 200),
        ("/unsafe/1", "POST", 0.8, 503),
        ("/unsafe/1", "POST", 1.15, 503),
        ("/safe/2", "GET", 0.6, 200),
        ("/safe/2", "GET", 1.15, 503),
    ],
)
async def test_a_late_request_is_answered_or_rejected_but_never_cut_off(
    path, method, after, status
):
    # Callers cache addresses for seconds, so some send while the host stops. One whose
    # request is in transit when the socket closes would not learn whether it ran. So
    # the host listens until it exits, and at the end rejects requests.
    for _ in range(PLAYS_MAX):
        answer = await async_call_while_stopping(path, method, after)
        if answer is not None:
            break
    assert answer is not None
    found, headers = answer
    assert found == status
    assert headers["Connection"] == "close"


async def async_call_while_stopping(path, method, after):
    """Return the answer to a call ``after`` seconds into a stop, None if it was late.

    A call that a stalled event loop delays may meet a host that has closed.
    """
    async with async_environment(servers=1) as env:
        loop = asyncio.get_running_loop()
        stop = asyncio.create_task(env.daemon.async_stop())
        began = loop.time()
        for _ in range(int(after / 0.3)):
            await env.async_call("/safe/1")
            await asyncio.sleep(0.3)
        await asyncio.sleep(after % 0.3)
        is_late = loop.time() - began > after + LATE_SECONDS
        answer = None
        if not is_late:
            found, _, headers = await env.async_call(path, method)
            answer = found, headers
        await stop
        return answer


async def test_a_stopping_host_is_not_ready_and_not_listed():
    async with async_environment(servers=1) as env:
        daemon = env.daemon
        assert daemon.directory.addresses("north") == [daemon.settings.front_address]
        stop = asyncio.create_task(daemon.async_stop())
        await asyncio.sleep(0.05)
        ready = f"http://{daemon.settings.ready_address}/ready"
        async with env.session.get(ready) as answer:
            assert answer.status == 503
        assert daemon.directory.addresses("north") == []
        await stop


async def test_a_stop_ends_within_its_time_limit():
    async with async_environment(servers=1, seconds=30.0, timeout_seconds=None) as env:
        call = asyncio.create_task(env.async_call("/safe/1", deadline_ms=20_000))
        await async_until(lambda: env.backends[0].ran)
        began = asyncio.get_running_loop().time()
        await env.daemon.async_stop()
        assert asyncio.get_running_loop().time() - began <= 2.1
        call.cancel()


async def async_exit(daemon):
    """Stop a host, and drop what its process would drop at its exit."""
    await daemon.async_stop()
    for connection in daemon.front.server.connections:
        if connection.transport is not None:
            connection.transport.abort()


async def test_a_connection_accepted_as_the_host_closes_is_not_left_unanswered(
    monkeypatch,
):
    """A request that was read on a connection accepted last got no answer."""
    read, answered = [], []
    receive = PipelinedRequestHandler.data_received

    def receive_recorded(connection, data):
        read.append(find_header(data, NAMES.request_id))
        receive(connection, data)

    monkeypatch.setattr(PipelinedRequestHandler, "data_received", receive_recorded)
    async with async_environment(servers=1) as env:
        host, _, port = env.daemon.settings.front_address.rpartition(":")
        stop = asyncio.create_task(async_exit(env.daemon))

        async def async_call(number):
            with suppress(ConnectionError):
                reader, writer = await asyncio.open_connection(host, int(port))
                await asyncio.sleep(0.02)
                writer.write(request(number))
                if await reader.read(1):
                    answered.append(f"id-{number}")
                writer.close()

        async with asyncio.TaskGroup() as calls:
            number = 0
            while not stop.done():
                for _ in range(4):
                    number += 1
                    calls.create_task(async_call(number))
                await asyncio.sleep(0.002)
        await stop
        assert read
        assert sorted(read) == sorted(answered)


async def test_a_connection_that_is_swept_before_its_task_begins_is_served(monkeypatch):
    """Closed before it began to wait, a connection discarded what it read."""
    accept = PipelinedRequestHandler.connection_made

    def accept_while_closing(connection, transport):
        accept(connection, transport)
        connection.server.close_answered()

    monkeypatch.setattr(
        PipelinedRequestHandler, "connection_made", accept_while_closing
    )
    async with async_environment(servers=1) as env:
        assert (await env.async_call("/safe/1"))[0] == 200


async def test_a_connection_in_the_accept_queue_is_answered_as_the_host_closes():
    """The kernel reset connections that waited to be accepted as the socket closed."""
    async with async_environment(servers=1) as env:
        host, _, port = env.daemon.settings.front_address.rpartition(":")
        # Blocking calls, so that the event loop accepts none of them before the close.
        callers = [socket.create_connection((host, int(port))) for _ in range(20)]
        for number, caller in enumerate(callers, 1):
            caller.sendall(request(number))
        await env.daemon.front.async_stop_accepting()
        for caller in callers:
            reader, writer = await asyncio.open_connection(sock=caller)
            assert (await reader.readuntil(b"\r\n")).startswith(b"HTTP/1.1 200 ")
            writer.close()


async def async_read_slowly(reader, seconds):
    """Read answers in small pieces for so long, and then the rest."""
    text = b""
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    while piece := await reader.read(16_384):
        text += piece
        if loop.time() < until:
            await asyncio.sleep(0.05)
    return text


@pytest.mark.parametrize("requests", [1, 2], ids=["one", "pipelined"])
async def test_an_answer_in_a_send_buffer_is_sent_before_the_exit(requests):
    """The process exited while a caller on a slow link was still reading."""
    size = 8_000_000 // requests
    async with async_environment(servers=1, timeout_seconds=5.0) as env:
        env.daemon.settings = env.daemon.settings._replace(stop_seconds=4.0)
        host, _, port = env.daemon.settings.front_address.rpartition(":")
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
        sock.connect((host, int(port)))
        reader, writer = await asyncio.open_connection(sock=sock)
        for number in range(requests):
            writer.write(request(f"{number}?bytes={size}", path="/pack/"))
        await async_until(lambda: len(targets(env)) == requests)
        reading = asyncio.create_task(async_read_slowly(reader, 2.5))
        await async_exit(env.daemon)
        assert len(await reading) > requests * size
        writer.close()
