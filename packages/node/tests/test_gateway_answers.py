"""What callers get when a backend server misbehaves.

A caller sends one request. Its server truncates the answer, resets, answers for another
request, twice, without proof, or not at all. The caller must see its own whole answer
or a failure, never a part or another's; and what may run once must not run twice, which
is why an unsafe request is sent on only after an answer that says that nothing ran.
"""

import asyncio
import gc
import socket
import struct

import pytest
from deployment import async_until
from gateway_world import HOST, NAMES, async_world

from greengagepoint.config.watchers import CURRENT_SECONDS
from greengagepoint.errors import ErrorKind
from greengagepoint.events import Event
from greengagepoint.placing.server_silence import AnswerTimes
from greengagepoint_node.gateway.tries import UNREACHED_MAX
from greengagepoint_standins.users_platform.backend import SIGNATURE, Manner


def set_manner(world, manner):
    for backend in world.backends:
        backend.manner = manner


def set_run_seconds(world, seconds):
    for row in world.daemon.view.servers.servers.values():
        row.service_seconds = seconds


@pytest.mark.parametrize(
    ("manner", "safe_status", "safe_ran", "unsafe_status", "unsafe_ran"),
    [
        (Manner.GOOD, 200, 1, 200, 1),
        (Manner.UNFRAMED, 200, 1, 200, 1),
        (Manner.FAILED, 500, 1, 500, 1),
        (Manner.SHED, 503, 0, 503, 0),
        (Manner.TRUNCATED, 502, 2, 502, 1),
        (Manner.RESET, 502, 2, 502, 1),
        (Manner.UNFRAMED_RESET, 502, 2, 502, 1),
        (Manner.UNSIGNED, 502, 2, 502, 1),
        (Manner.ENCODED, 502, 2, 502, 1),
        (Manner.FOREIGN, 502, 2, 502, 1),
        (Manner.GARBAGE, 502, 2, 502, 1),
        (Manner.SILENT, 504, 1, 504, 1),
    ],
)
async def test_callers_get_their_own_whole_answer_or_a_failure(
    manner, safe_status, safe_ran, unsafe_status, unsafe_ran
):
    async with async_world() as world:
        set_manner(world, manner)
        status, body, headers = await world.async_call("/safe/1")
        assert (status, world.ran()) == (safe_status, safe_ran)
        assert (status != 200) or body.endswith(b" /safe/1")
        assert (headers.get(NAMES.signature) == SIGNATURE) == (status in (200, 500))
        status, _, headers = await world.async_call("/unsafe/1", "POST", data=b"x" * 99)
        assert (status, world.ran()) == (unsafe_status, safe_ran + unsafe_ran)
        assert ("Retry-After" in headers) == (status == 503)


async def test_a_reset_of_an_idle_connection_writes_no_trace():
    # Servers crash and reset the connections that hosts keep to them. Callers have
    # their answers by then; a trace of twelve lines for each connection would bury the
    # lines that tell why the next callers failed.
    traces = []
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, context: traces.append(context["message"]))
    async with async_world() as world:
        set_manner(world, Manner.GOOD_RESET)
        for number in range(4):
            status, _, _ = await world.async_call(f"/safe/{number}")
            assert status == 200
            await asyncio.sleep(0.2)
    gc.collect()
    assert traces == []


async def test_a_safe_request_is_answered_by_another_server():
    async with async_world() as world:
        world.backends[0].manner = Manner.RESET
        results = [await world.async_call(f"/safe/{number}") for number in range(12)]
        assert {status for status, _, _ in results} == {200}
        assert world.events.of(Event.REQUEST_RETRIED)


async def test_a_safe_request_leaves_a_server_that_answers_nobody():
    # A server went dark: its connections stay open and nothing comes. A caller who had
    # to wait for the end of its time would get nothing; half of it is enough to see
    # that this server answers nobody, and the other half to be served by another.
    async with async_world() as world:
        set_run_seconds(world, 0.05)
        world.backends[0].manner = Manner.SILENT
        results = [await world.async_call(f"/safe/{number}") for number in range(8)]
        assert {status for status, _, _ in results} == {200}
        suspected = world.events.of(Event.BACKEND_SERVER_SUSPECTED)
        assert [row["outcome"] for row in suspected] == ["timed_out"]


@pytest.mark.parametrize(
    ("path", "method"), [("/safe/1", "GET"), ("/unsafe/1", "POST")]
)
async def test_a_try_without_a_connection_uses_up_no_retry(path, method):
    # A server crashes and refuses connections while the other ones turn away half of
    # what they get, so the budget of retries is used up. Nothing of the first try has
    # reached a server, and the caller is served by the next one.
    async with async_world() as world:
        world.daemon.retries.slack = world.daemon.retries.ratio = 0.0
        await world.backends[0].async_stop()
        results = [await world.async_call(path, method) for _ in range(4)]
        assert {status for status, _, _ in results} == {200}
        assert world.events.of(Event.REQUEST_RETRIED)


async def test_a_server_that_is_seldom_heard_of_is_left_to_end_a_long_run():
    # A host of a large fleet meets each server once in many seconds. A run that is cold
    # for its key takes seven tenths of the caller's time. Given up at half of it, the
    # run would be thrown away, and its repeat elsewhere could not end in time.
    async with async_world(seconds=0.7) as world:
        set_run_seconds(world, 0.05)
        world.daemon.placer.answers["booking", "north"] = AnswerTimes(0.1, 0.8)
        status, _, _ = await world.async_call("/safe/1")
        assert (status, world.ran()) == (200, 1)
        assert not world.events.of(Event.BACKEND_SERVER_SUSPECTED)


async def test_a_silent_server_is_not_given_up_while_there_is_no_other():
    # The only server is slow, and has answered nobody for half of the request's time.
    # Giving it up then would tell the caller of a failure while the server is at work,
    # and the answer that comes a moment later would be lost.
    async with async_world(servers=1) as world:
        set_run_seconds(world, 0.05)
        set_manner(world, Manner.SILENT)
        status, _, _ = await world.async_call("/safe/1")
        (failed,) = world.events.of(Event.REQUEST_FAILED)
        assert (status, world.ran()) == (504, 1)
        assert failed["seconds"] >= 0.9


async def test_a_silent_server_is_not_given_up_when_retries_are_used_up():
    async with async_world() as world:
        set_run_seconds(world, 0.05)
        set_manner(world, Manner.SILENT)
        world.daemon.retries.slack = 0.0
        status, _, _ = await world.async_call("/safe/1")
        (failed,) = world.events.of(Event.REQUEST_FAILED)
        assert (status, world.ran()) == (504, 1)
        assert failed["seconds"] >= 0.9


async def test_a_stopping_host_leaves_a_silent_server_its_time():
    # The host stops while a server is slow. A second try that is shed would leave the
    # caller with a failure of the host's own for a request that was being worked on.
    async with async_world() as world:
        set_run_seconds(world, 0.05)
        set_manner(world, Manner.SILENT)
        call = asyncio.create_task(world.async_call("/safe/1"))
        await async_until(lambda: world.ran() == 1)
        stop = asyncio.create_task(world.daemon.async_stop())
        status, _, _ = await call
        assert (status, world.ran()) == (504, 1)
        await stop


async def test_an_unsafe_request_stays_with_a_server_that_is_silent():
    async with async_world() as world:
        set_run_seconds(world, 0.05)
        set_manner(world, Manner.SILENT)
        status, _, _ = await world.async_call("/unsafe/1", "POST")
        assert (status, world.ran()) == (504, 1)
        assert world.events.of(Event.BACKEND_SERVER_SUSPECTED)


async def test_a_second_answer_left_on_a_connection_reaches_nobody():
    # The server answers each request twice. The second answer waits on the connection
    # and would be taken for the answer to whatever is sent next.
    async with async_world(servers=1) as world:
        set_manner(world, Manner.TWICE)
        for number in range(8):
            status, body, _ = await world.async_call(f"/unsafe/{number}", "POST")
            assert (status, body) == (200, f"i-0 /unsafe/{number}".encode())


async def test_what_is_sent_to_a_server_is_what_the_caller_sent():
    async with async_world(servers=1) as world:
        await world.async_call(
            "/unsafe/a%2Fb?x=%20y&x", "PUT", data=b"body", headers={"X-Other": "1"}
        )
        seen = world.backends[0].ran[0]
        assert (seen.method, seen.target) == ("PUT", "/unsafe/a%2Fb?x=%20y&x")
        assert seen.body == b"body"
        assert seen.headers["host"] == HOST
        assert seen.headers["x-other"] == "1"
        assert seen.headers[NAMES.request_id.lower()] == "id-1"
        assert seen.headers[NAMES.target_instance.lower()] == "i-0"
        assert 900 < int(seen.headers[NAMES.deadline_ms.lower()]) <= 1000


@pytest.mark.parametrize(
    ("path", "changes", "status"),
    [
        ("/nowhere/", {}, 404),
        ("/safe/1", {"Host": "b.example"}, 404),
        ("/safe/1", {NAMES.request_id: ""}, 400),
    ],
)
async def test_what_no_route_allows_is_refused_and_not_sent(path, changes, status):
    async with async_world(servers=1) as world:
        found, _, _ = await world.async_call(path, headers=changes)
        assert found == status
        assert not world.backends[0].received


async def test_the_line_of_an_unknown_path_keeps_the_name_of_its_event():
    # A caller complains of a 404. On-call looks for lines called request_refused, and
    # found none: the name that the caller had asked for stood in its place.
    async with async_world(servers=1) as world:
        await world.async_call("/safe/1", headers={"Host": "b.example"})
        (row,) = world.events.of(Event.REQUEST_REFUSED)
        assert (row["authority"], row["path"]) == ("b.example", "/safe/1")
        assert not row.keys() & {"time", "host", "level", "event", "name"}


async def test_a_host_that_knows_no_configuration_says_come_back_not_unknown():
    # A host starts while the store is down. A 404 would tell callers that their route
    # does not exist, and they would give up.
    async with async_world(servers=1) as world:
        world.daemon.view.routes = None
        status, _, headers = await world.async_call("/safe/1")
        assert (status, "Retry-After" in headers) == (503, True)


async def test_a_host_with_old_news_says_come_back_not_unknown():
    # Operators add a route, and one host is cut off or slow to hear of it. Its 404
    # would be the last word to a caller of that route; after a 503 it tries a host that
    # knows.
    async with async_world(servers=1) as world:
        await async_until(world.daemon.gossip.ages.is_current)
        following = world.daemon.tasks[0]
        following.cancel()
        await asyncio.wait({following})
        world.daemon.gossip.ages.store_at -= CURRENT_SECONDS
        status, _, headers = await world.async_call("/nowhere/")
        assert (status, "Retry-After" in headers) == (503, True)
        refused = world.events.of(Event.REQUEST_REFUSED)[-1]
        assert (refused["kind"], refused["configuration"]) == (ErrorKind.NOT_READY, 1)
        assert (await world.async_call("/safe/1"))[0] == 200


async def test_a_route_timeout_is_answered_when_it_is_over():
    async with async_world(servers=1, timeout_seconds=0.2) as world:
        set_manner(world, Manner.SILENT)
        began = asyncio.get_running_loop().time()
        status, _, _ = await world.async_call("/safe/1")
        assert status == 504
        assert asyncio.get_running_loop().time() - began < 0.5


async def test_an_address_that_another_server_took_runs_nothing():
    # A server ended and its address went to another one. The request names whom it is
    # meant for, so the other one refuses it, and the caller hears that nothing ran.
    async with async_world(servers=1) as world:
        world.backends[0].instance = "i-9"
        status, _, _ = await world.async_call("/unsafe/1", "POST")
        assert (status, world.ran()) == (503, 0)


async def test_a_server_that_is_gone_is_not_run_and_spared():
    async with async_world(servers=1) as world:
        await world.backends[0].async_stop()
        status, _, _ = await world.async_call("/unsafe/1", "POST")
        assert status == 503
        assert world.events.of(Event.BACKEND_SERVER_SUSPECTED)


async def test_a_caller_that_leaves_ends_the_run():
    # A driver gives up and closes the connection. Work that goes on for nobody takes
    # the slot of a caller who still waits.
    async with async_world(servers=1, seconds=5.0, timeout_seconds=None) as world:
        host, _, port = world.daemon.settings.front_address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        head = f"GET /safe/1 HTTP/1.1\r\nHost: {HOST}\r\n{NAMES.request_id}: z\r\n\r\n"
        writer.write(head.encode())
        await async_until(lambda: world.backends[0].ran)
        writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        writer.transport.abort()
        async with asyncio.timeout(0.5):
            await async_until(lambda: world.backends[0].cancelled)


async def test_an_idle_connection_outlives_the_first_request_timer():
    # A caller keeps its connection after an answer. The timer against connections that
    # never send anything must end with the first request; when it did not, it cut off
    # whatever ran on the connection twenty seconds later.
    async with async_world(servers=1) as world:
        await world.async_call("/safe/1")
        connections = list(world.daemon.front.server.connections)
        assert connections
        assert all(row.first_request_timer is None for row in connections)


async def test_a_long_run_on_an_idle_server_is_waited_for():
    # Nobody else sends to the server, so it answers nobody while it runs one request
    # that takes longer than most. Sent to a second server, it would run twice.
    async with async_world(seconds=0.7) as world:
        status, _, _ = await world.async_call("/safe/1")
        assert (status, world.ran()) == (200, 1)


async def test_no_server_fits_is_refused_at_once():
    async with async_world(servers=1, seconds=0.2) as world:
        row = world.daemon.view.servers.servers["i-0"]
        row.take_report(4, 20, world.daemon.clock.monotonic())
        began = asyncio.get_running_loop().time()
        status, _, headers = await world.async_call("/safe/1")
        assert status == 503
        assert float(headers["Retry-After"]) >= 0.3
        assert asyncio.get_running_loop().time() - began < 0.15
        assert world.ran() == 0


async def test_a_refusal_tells_what_decided_it():
    # A caller complains of a 503. On-call has the line of its id only, and must see
    # from it whether servers were full, how sure that was, and by which configuration.
    async with async_world(servers=2) as world:
        now = world.daemon.clock.monotonic()
        world.daemon.placer.waiting.tokens = 0.0
        for row in world.daemon.view.servers.servers.values():
            row.take_report(4, 30, now)
        status, _, _ = await world.async_call("/safe/1")
        (row,) = world.events.of(Event.REQUEST_REFUSED)
        assert (status, row["kind"]) == (503, "overloaded")
        assert (row["servers"], row["configuration"], row["revision"]) == (2, 1, 1)
        assert row["shortest_wait"] > row["longest_wait"] > 0
        assert 0 <= row["report_age"] < 1


@pytest.mark.parametrize(
    ("path", "method"), [("/safe/1", "GET"), ("/unsafe/1", "POST")]
)
async def test_servers_without_a_connection_do_not_use_up_the_tries(path, method):
    # Two of three servers have crashed, and their entries are still there. A caller's
    # request finds one after the other closed. None has got it, so it may go on to the
    # third one; refused, the caller would have to come back beside an idle server.
    async with async_world(servers=3) as world:
        for backend in world.backends[:2]:
            await backend.async_stop()
        status, _, _ = await world.async_call(path, method)
        attempts = world.events.of(Event.REQUEST_RETRIED)
        assert [row["outcome"] for row in attempts] == ["unreachable"] * 2
        assert (status, world.ran()) == (200, 1)


async def test_one_request_is_not_tried_at_closed_servers_without_end():
    # All servers of a zone are gone. Callers are told soon that nothing ran.
    async with async_world(servers=8) as world:
        for backend in world.backends:
            await backend.async_stop()
        status, _, headers = await world.async_call("/safe/1")
        assert status == 503
        assert "Retry-After" in headers
        assert len(world.events.of(Event.REQUEST_RETRIED)) == UNREACHED_MAX
