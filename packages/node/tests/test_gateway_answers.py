"""Check the responses to callers when backend servers misbehave.

Servers truncate answers, reset connections, answer for another request, twice, without
a signature, or not at all. The caller must get its own whole answer or an error, never
a truncated answer or another caller's. Unsafe requests must not run twice: they are
retried only after an answer that says that nothing ran.
"""

import asyncio
import gc
import socket
import struct

import pytest
from deployment import async_until
from gateway_world import HOST, NAMES, async_environment

from greengagepoint.config.watchers import CURRENT_SECONDS
from greengagepoint.errors import ErrorKind
from greengagepoint.events import Event
from greengagepoint.placing.server_silence import AnswerTimes
from greengagepoint_node.gateway.tries import UNREACHED_MAX
from greengagepoint_standins.users_platform.backend import SIGNATURE, Manner


def set_manner(env, manner):
    for backend in env.backends:
        backend.manner = manner


def set_service_seconds(env, seconds):
    for row in env.daemon.view.servers.servers.values():
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
    async with async_environment() as env:
        set_manner(env, manner)
        status, body, headers = await env.async_call("/safe/1")
        assert (status, env.ran()) == (safe_status, safe_ran)
        assert (status != 200) or body.endswith(b" /safe/1")
        assert (headers.get(NAMES.signature) == SIGNATURE) == (status in (200, 500))
        for number, path in enumerate(("/unsafe/1", "/upload/1"), 1):
            status, _, headers = await env.async_call(path, "POST", data=b"x" * 99)
            ran = safe_ran + number * unsafe_ran
            assert (status, env.ran()) == (unsafe_status, ran)
            assert ("Retry-After" in headers) == (status == 503)


async def test_a_reset_of_an_idle_connection_logs_no_traceback():
    # Crashing servers reset idle connections whose requests are answered already. A
    # twelve-line traceback for each would bury the log lines of later failures.
    traces = []
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, context: traces.append(context["message"]))
    async with async_environment() as env:
        set_manner(env, Manner.GOOD_RESET)
        for number in range(4):
            status, _, _ = await env.async_call(f"/safe/{number}")
            assert status == 200
            await asyncio.sleep(0.2)
    gc.collect()
    assert traces == []


async def test_a_safe_request_is_answered_by_another_server():
    async with async_environment() as env:
        env.backends[0].manner = Manner.RESET
        results = [await env.async_call(f"/safe/{number}") for number in range(12)]
        assert {status for status, _, _ in results} == {200}
        assert env.events.of(Event.REQUEST_RETRIED)


async def test_a_safe_request_moves_away_from_a_silent_server():
    # A hung server keeps its connections open and sends nothing. Half of the request's
    # time is enough to detect that, and the rest to get an answer from another server.
    async with async_environment() as env:
        set_service_seconds(env, 0.05)
        env.backends[0].manner = Manner.SILENT
        results = [await env.async_call(f"/safe/{number}") for number in range(8)]
        assert {status for status, _, _ in results} == {200}
        suspected = env.events.of(Event.BACKEND_SERVER_SUSPECTED)
        assert [row["outcome"] for row in suspected] == ["timed_out"]


@pytest.mark.parametrize(
    ("path", "method"), [("/safe/1", "GET"), ("/unsafe/1", "POST")]
)
async def test_an_attempt_without_a_connection_uses_no_retry_budget(path, method):
    # A crashed server refuses connections while the retry budget is empty, because the
    # others shed half of their requests. The first attempt delivered nothing, so the
    # request still goes to the next server.
    async with async_environment() as env:
        env.daemon.retries.slack = env.daemon.retries.ratio = 0.0
        await env.backends[0].async_stop()
        results = [await env.async_call(path, method) for _ in range(4)]
        assert {status for status, _, _ in results} == {200}
        assert env.events.of(Event.REQUEST_RETRIED)


async def test_a_long_request_is_not_abandoned_at_a_rarely_used_server():
    # In a large fleet a host uses each server once in many seconds. A request with a
    # cold key takes seven tenths of its deadline. Abandoned at half of it, the work
    # would be lost, and a retry elsewhere could not finish in time.
    async with async_environment(seconds=0.7) as env:
        set_service_seconds(env, 0.05)
        env.daemon.placer.answer_times_by_group["booking", "north"] = AnswerTimes(
            0.1, 0.8
        )
        status, _, _ = await env.async_call("/safe/1")
        assert (status, env.ran()) == (200, 1)
        assert not env.events.of(Event.BACKEND_SERVER_SUSPECTED)


async def test_the_only_server_is_not_abandoned_when_silent():
    # The only server is slow and has answered nothing for half of the request's time.
    # Abandoning it would lose an answer that may come a moment later.
    async with async_environment(servers=1) as env:
        set_service_seconds(env, 0.05)
        set_manner(env, Manner.SILENT)
        status, _, _ = await env.async_call("/safe/1")
        (failed,) = env.events.of(Event.REQUEST_FAILED)
        assert (status, env.ran()) == (504, 1)
        assert failed["seconds"] >= 0.9


async def test_a_silent_server_is_not_abandoned_without_retry_budget():
    async with async_environment() as env:
        set_service_seconds(env, 0.05)
        set_manner(env, Manner.SILENT)
        env.daemon.retries.slack = 0.0
        status, _, _ = await env.async_call("/safe/1")
        (failed,) = env.events.of(Event.REQUEST_FAILED)
        assert (status, env.ran()) == (504, 1)
        assert failed["seconds"] >= 0.9


async def test_a_stopping_host_does_not_abandon_a_silent_server():
    # The host stops while a server is slow. If a second attempt were shed, the host
    # would answer with an error although the first server was still working.
    async with async_environment() as env:
        set_service_seconds(env, 0.05)
        set_manner(env, Manner.SILENT)
        call = asyncio.create_task(env.async_call("/safe/1"))
        await async_until(lambda: env.ran() == 1)
        stop = asyncio.create_task(env.daemon.async_stop())
        status, _, _ = await call
        assert (status, env.ran()) == (504, 1)
        await stop


async def test_an_unsafe_request_stays_with_a_server_that_is_silent():
    async with async_environment() as env:
        set_service_seconds(env, 0.05)
        set_manner(env, Manner.SILENT)
        status, _, _ = await env.async_call("/unsafe/1", "POST")
        assert (status, env.ran()) == (504, 1)
        assert env.events.of(Event.BACKEND_SERVER_SUSPECTED)


async def test_a_duplicate_answer_on_a_connection_is_not_relayed():
    # The server answers each request twice. The second answer stays on the connection
    # and must not be read as the answer to the next request.
    async with async_environment(servers=1) as env:
        set_manner(env, Manner.TWICE)
        for number in range(8):
            status, body, _ = await env.async_call(f"/unsafe/{number}", "POST")
            assert (status, body) == (200, f"i-0 /unsafe/{number}".encode())


async def test_a_request_is_relayed_unchanged():
    async with async_environment(servers=1) as env:
        await env.async_call(
            "/unsafe/a%2Fb?x=%20y&x", "PUT", data=b"body", headers={"X-Other": "1"}
        )
        seen = env.backends[0].ran[0]
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
async def test_an_invalid_request_is_rejected_and_not_sent(path, changes, status):
    async with async_environment(servers=1) as env:
        found, _, _ = await env.async_call(path, headers=changes)
        assert found == status
        assert not env.backends[0].received


async def test_log_fields_of_an_unknown_path_do_not_replace_the_event_name():
    # The requested host name was logged under the key of the event's name, so that
    # operators found no request_refused line for a 404.
    async with async_environment(servers=1) as env:
        await env.async_call("/safe/1", headers={"Host": "b.example"})
        (row,) = env.events.of(Event.REQUEST_REFUSED)
        assert (row["authority"], row["path"]) == ("b.example", "/safe/1")
        assert not row.keys() & {"time", "host", "level", "event", "name"}


async def test_a_host_without_configuration_answers_503_and_not_404():
    # A host starts while the store is down. Callers would not retry after a 404.
    async with async_environment(servers=1) as env:
        env.daemon.view.routes = None
        status, _, headers = await env.async_call("/safe/1")
        assert (status, "Retry-After" in headers) == (503, True)


async def test_a_host_with_an_outdated_view_answers_503_and_not_404():
    # A route is added and one host is partitioned or late to get it. Callers don't
    # retry after a 404; after a 503 they try another host.
    async with async_environment(servers=1) as env:
        await async_until(env.daemon.gossip.ages.is_current)
        following = env.daemon.tasks[0]
        following.cancel()
        await asyncio.wait({following})
        env.daemon.gossip.ages.store_at -= CURRENT_SECONDS
        status, _, headers = await env.async_call("/nowhere/")
        assert (status, "Retry-After" in headers) == (503, True)
        refused = env.events.of(Event.REQUEST_REFUSED)[-1]
        assert (refused["kind"], refused["configuration"]) == (ErrorKind.NOT_READY, 1)
        assert (await env.async_call("/safe/1"))[0] == 200


async def test_a_route_timeout_ends_the_request():
    async with async_environment(servers=1, timeout_seconds=0.2) as env:
        set_manner(env, Manner.SILENT)
        began = asyncio.get_running_loop().time()
        status, _, _ = await env.async_call("/safe/1")
        assert status == 504
        assert asyncio.get_running_loop().time() - began < 0.5


async def test_a_server_at_a_reused_address_runs_nothing():
    # A server exited and another one reuses its address. The request names its target
    # instance, so the new server rejects it, and the caller learns that nothing ran.
    async with async_environment(servers=1) as env:
        env.backends[0].instance = "i-9"
        status, _, _ = await env.async_call("/unsafe/1", "POST")
        assert (status, env.ran()) == (503, 0)


async def test_an_unreachable_server_is_suspected_and_nothing_has_run():
    async with async_environment(servers=1) as env:
        await env.backends[0].async_stop()
        status, _, _ = await env.async_call("/unsafe/1", "POST")
        assert status == 503
        assert env.events.of(Event.BACKEND_SERVER_SUSPECTED)


async def test_a_caller_that_disconnects_cancels_its_request():
    # Work for a disconnected caller would occupy a slot that others wait for.
    async with async_environment(servers=1, seconds=5.0, timeout_seconds=None) as env:
        host, _, port = env.daemon.settings.front_address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        head = f"GET /safe/1 HTTP/1.1\r\nHost: {HOST}\r\n{NAMES.request_id}: z\r\n\r\n"
        writer.write(head.encode())
        await async_until(lambda: env.backends[0].ran)
        writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        writer.transport.abort()
        async with asyncio.timeout(0.5):
            await async_until(lambda: env.backends[0].cancelled)


async def test_an_idle_connection_outlives_the_first_request_timer():
    # The timer that closes connections without any request must stop at the first
    # request. Otherwise it cuts off what runs on the connection twenty seconds later.
    async with async_environment(servers=1) as env:
        await env.async_call("/safe/1")
        connections = list(env.daemon.front.server.connections)
        assert connections
        assert all(row.first_request_timer is None for row in connections)


async def test_a_long_request_on_an_idle_server_is_not_sent_twice():
    # A server with a single slow request answers nothing meanwhile. Sent to a second
    # server, the request would run twice.
    async with async_environment(seconds=0.7) as env:
        status, _, _ = await env.async_call("/safe/1")
        assert (status, env.ran()) == (200, 1)


async def test_a_request_without_a_suitable_server_is_rejected_at_once():
    async with async_environment(servers=1, seconds=0.2) as env:
        row = env.daemon.view.servers.servers["i-0"]
        row.apply_report(4, 20, env.daemon.clock.monotonic())
        began = asyncio.get_running_loop().time()
        status, _, headers = await env.async_call("/safe/1")
        assert status == 503
        assert float(headers["Retry-After"]) >= 0.3
        assert asyncio.get_running_loop().time() - began < 0.15
        assert env.ran() == 0


async def test_a_rejection_logs_the_inputs_of_its_decision():
    # The log line of a 503 must show on its own whether servers were full, how old the
    # load reports were, and which configuration was used.
    async with async_environment(servers=2) as env:
        now = env.daemon.clock.monotonic()
        env.daemon.placer.wait_allowance.tokens = 0.0
        for row in env.daemon.view.servers.servers.values():
            row.apply_report(4, 30, now)
        status, _, _ = await env.async_call("/safe/1")
        (row,) = env.events.of(Event.REQUEST_REFUSED)
        assert (status, row["kind"]) == (503, "overloaded")
        assert (row["servers"], row["configuration"], row["revision"]) == (2, 1, 1)
        assert row["shortest_wait"] > row["longest_wait"] > 0
        assert 0 <= row["report_age"] < 1


@pytest.mark.parametrize(
    ("path", "method"), [("/safe/1", "GET"), ("/unsafe/1", "POST")]
)
async def test_unreachable_servers_do_not_count_as_attempts(path, method):
    # Two of three servers have crashed but are still listed. Neither got the request,
    # so it must go on to the third one instead of being rejected.
    async with async_environment(servers=3) as env:
        for backend in env.backends[:2]:
            await backend.async_stop()
        status, _, _ = await env.async_call(path, method)
        attempts = env.events.of(Event.REQUEST_RETRIED)
        assert [row["outcome"] for row in attempts] == ["unreachable"] * 2
        assert (status, env.ran()) == (200, 1)


async def test_attempts_at_unreachable_servers_are_limited():
    # All servers of a zone are lost. Callers must learn soon that nothing ran.
    async with async_environment(servers=8) as env:
        for backend in env.backends:
            await backend.async_stop()
        status, _, headers = await env.async_call("/safe/1")
        assert status == 503
        assert "Retry-After" in headers
        assert len(env.events.of(Event.REQUEST_RETRIED)) == UNREACHED_MAX
