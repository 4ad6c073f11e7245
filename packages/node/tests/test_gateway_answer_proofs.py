"""Servers write answers that do not prove to belong to the request before them."""

import asyncio

import pytest
from deployment import async_until
from gateway_world import NAMES, async_environment

from greengagepoint.events import Event
from greengagepoint.routing.tables import ServicePolicy
from greengagepoint_node.gateway.pace_probe import STARTUP_SECONDS
from greengagepoint_standins.users_platform.backend import SIGNATURE, Manner

STATUSES = (
    "503 Service Unavailable",
    "429 Too Many Requests",
    "421 Misdirected Request",
    "400 Bad Request",
)
OWN, FOREIGN, ABSENT = "{id}", "id-of-another", None
# More than fits into the buffers of a connection.
LARGE_BODY = b"x" * 8_000_000


def answer(status, request_id, *headers):
    lines = [f"HTTP/1.1 {status}", "Content-Length: 0", *headers]
    if request_id is not None:
        lines.append(f"{NAMES.request_id}: {request_id}")
    return "\r\n".join([*lines, "", ""]).encode()


def rejection(status, request_id, *headers):
    return answer(status, request_id, f"{NAMES.not_executed}: 1", *headers)


async def async_open_connections(env):
    """Serve a request at each server, so that the next ones use kept connections."""
    for number in range(20):
        if all(backend.ran for backend in env.backends):
            break
        await env.async_call(f"/unsafe/warm-{number}", "POST")
    for backend in env.backends:
        backend.ran.clear()


@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize("request_id", [FOREIGN, ABSENT, ""])
async def test_a_late_rejection_of_another_request_repeats_no_unsafe_one(
    status, request_id
):
    # A second server ran the request while the first one was at work on it.
    async with async_environment(seconds=0.05) as env:
        await async_open_connections(env)
        for backend in env.backends:
            backend.late_answers = [rejection(status, request_id)]
        code, _, _ = await env.async_call("/unsafe/1", "POST", data=b"order")
        await asyncio.sleep(0.1)
        assert (code, env.ran()) == (502, 1)
        (event,) = env.events.of(Event.ANSWER_WITHOUT_PROOF)
        assert event["status"] == int(status[:3])
        assert event["echo"] == ("none" if request_id is None else "other")
        assert event["kept_connection"]
        assert len(env.daemon.view.servers.servers) == len(env.backends)


@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize("request_id", [FOREIGN, ABSENT])
async def test_a_late_rejection_of_another_request_ends_its_connection(
    status, request_id
):
    # The answers on it would have been read as those to the requests behind.
    async with async_environment(servers=1, seconds=0.02) as env:
        await async_open_connections(env)
        env.backends[0].late_answers = [rejection(status, request_id)]
        await env.async_call("/unsafe/1", "POST")
        code, body, _ = await env.async_call("/unsafe/2", "POST")
        assert (code, body) == (200, b"i-0 /unsafe/2")


@pytest.mark.parametrize("status", STATUSES)
async def test_a_rejection_that_names_the_request_is_repeated(status):
    # Without it, callers would be told 502 for what another server can still run.
    async with async_environment() as env:
        await async_open_connections(env)
        reject_all(env.backends[0], status)
        results = [
            await env.async_call(f"/unsafe/{number}", "POST") for number in range(8)
        ]
        assert {code for code, _, _ in results} == {200}
        assert env.events.of(Event.REQUEST_RETRIED)
        assert not env.events.of(Event.ANSWER_WITHOUT_PROOF)
        assert not env.backends[0].ran


def reject_all(backend, status):
    """Let a server reject all requests with a status, naming each."""

    async def async_reject(request, reader, writer):
        name = request.headers[NAMES.request_id.lower()]
        writer.write(rejection(status, name))
        return True

    backend._async_answer = async_reject


async def test_a_late_rejection_of_another_request_says_nothing_of_its_server():
    # The words in an answer without an id may be those of a server long gone.
    async with async_environment(servers=1) as env:
        await async_open_connections(env)
        words = ("Server-Leaving: 1", "Server-Limit: 1", "Retry-After: 5")
        env.backends[0].late_answers = [rejection(STATUSES[0], ABSENT, *words)]
        await env.async_call("/unsafe/1", "POST")
        assert not env.events.of(Event.BACKEND_SERVER_ANNOUNCED_LEAVING)
        assert not env.events.of(Event.BACKEND_SERVER_LIMITED)
        assert not env.events.of(Event.BACKEND_SERVER_RESTING)


async def test_a_misdirected_answer_without_an_id_ends_no_server():
    # The only server would have been given up until its next entry.
    async with async_environment(servers=1) as env:
        await async_open_connections(env)
        env.backends[0].late_answers = [answer(STATUSES[2], ABSENT)]
        code, _, _ = await env.async_call("/unsafe/1", "POST")
        assert code == 502
        code, _, _ = await env.async_call("/unsafe/2", "POST")
        assert code == 200


@pytest.mark.parametrize(
    ("request_id", "status"), [(OWN, 503), (FOREIGN, 502), (ABSENT, 502)]
)
async def test_an_answer_before_the_end_of_a_large_body_has_to_name_its_request(
    request_id, status
):
    # Bytes that arrive while a body is being written may belong to an earlier request.
    async with async_environment(servers=1) as env:
        await async_open_connections(env)
        env.backends[0].early_answers = [rejection(STATUSES[0], request_id)]
        code, _, _ = await env.async_call("/unsafe/1", "POST", data=LARGE_BODY)
        assert code == status
        code, body, _ = await env.async_call("/unsafe/2", "POST")
        assert (code, body) == (200, b"i-0 /unsafe/2")


@pytest.mark.parametrize("status", ["200 OK", "503 Service Unavailable"])
async def test_a_probe_takes_no_answer_to_a_request_for_its_own(status):
    # Its own answer, which has no id, was left for the next request on the connection.
    async with async_environment(servers=1) as env:
        await async_open_connections(env)
        server = env.backends[0]
        server.late_answers = [answer(status, FOREIGN, f"{NAMES.load}: 1,0,4,100")]
        server.seconds = 0.02
        policy = ServicePolicy(name="booking", health_path="/healthz")
        env.daemon.view.routes.services["booking"] = policy
        env.clock.ahead += STARTUP_SECONDS
        await async_until(lambda: env.events.of(Event.PACE_PROBE_FAILED))
        assert not env.daemon.pace_probe.answered
        code, body, _ = await env.async_call("/unsafe/1", "POST")
        assert (code, body) == (200, b"i-0 /unsafe/1")


@pytest.mark.parametrize(
    "status",
    ["503 Unavailable", "429 Too Many Requests", "408 Request Timeout"],
)
@pytest.mark.parametrize("signed", [False, True])
async def test_a_request_that_ran_is_never_answered_as_not_run(status, signed):
    # Callers take these statuses for a guarantee, and sent what had run again.
    async with async_environment() as env:
        for backend in env.backends:
            backend.manner = Manner.PLAIN
            backend.plain_status = status
            if signed:
                backend.plain_headers = (f"{NAMES.signature}: {SIGNATURE}",)
        code, body, headers = await env.async_call("/unsafe/1", "POST", data=b"order")
        assert (code, env.ran()) == (502, 1)
        assert b"may have run" in body
        assert NAMES.signature not in headers
        assert "Retry-After" not in headers
        (event,) = env.events.of(Event.REQUEST_FAILED)
        assert event["answered"] == int(status[:3])
        assert not env.events.of(Event.REQUEST_REFUSED)


@pytest.mark.parametrize("status", ["503 Unavailable", "429 Too Many Requests"])
async def test_a_server_s_answer_to_a_repeatable_request_is_unchanged(status):
    async with async_environment() as env:
        for backend in env.backends:
            backend.manner = Manner.PLAIN
            backend.plain_status = status
            backend.plain_headers = (f"{NAMES.signature}: {SIGNATURE}",)
        code, body, headers = await env.async_call("/safe/1")
        assert (code, body) == (int(status[:3]), b"no")
        assert headers[NAMES.signature] == SIGNATURE


@pytest.mark.parametrize("status", ["400 Bad Request", "404 Not Found", "500 Oops"])
async def test_a_failure_that_promises_nothing_is_unchanged(status):
    async with async_environment() as env:
        for backend in env.backends:
            backend.manner = Manner.PLAIN
            backend.plain_status = status
        code, body, _ = await env.async_call("/unsafe/1", "POST")
        assert (code, body, env.ran()) == (int(status[:3]), b"no", 1)


async def test_a_repeatable_request_goes_on_after_a_late_rejection():
    async with async_environment() as env:
        await async_open_connections(env)
        env.backends[0].late_answers = [rejection(STATUSES[0], ABSENT)] * 2
        results = [await env.async_call(f"/safe/{number}") for number in range(6)]
        assert {code for code, _, _ in results} == {200}
        assert [body.split()[1] for _, body, _ in results] == [
            f"/safe/{number}".encode() for number in range(6)
        ]
