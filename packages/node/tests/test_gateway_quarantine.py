"""Check the responses to requests that crash servers."""

import asyncio

import pytest
from deployment import async_until
from gateway_world import async_environment

from greengagepoint.events import Event
from greengagepoint.quarantine.rules import QUARANTINE_SECONDS
from greengagepoint_node.gateway.store_types import Changes, RemovedKey
from greengagepoint_standins.users_platform.backend import Manner

FATAL = "/safe/fatal"
# Retry-After is spread by a quarter to either side.
SPREAD = 0.25


def set_manner(env, manner):
    for backend in env.backends:
        backend.manner = manner


async def async_quarantine(env, path=FATAL, **fields):
    """Crash three servers with a request, then let all others answer normally."""
    set_manner(env, Manner.FATAL)
    while env.ran() < 3:
        assert (await env.async_call(path, **fields))[0] == 502
    set_manner(env, Manner.GOOD)


def expire_crashed(env):
    """Remove the entries of crashed servers from the view."""
    view = env.daemon.view
    for backend in env.backends:
        if backend.stopped.is_set():
            removal = RemovedKey(backend.instance, view.revision + 1)
            view.apply(Changes((removal,), removal.revision), env.clock.monotonic())


def logged_contents(env, event):
    return [row["content"] for row in env.events.of(event)]


@pytest.mark.parametrize(
    ("path", "method", "body", "calls"),
    [(FATAL, "GET", None, 2), ("/unsafe/fatal", "POST", b"order", 3)],
)
async def test_a_quarantined_request_is_not_run_and_gets_a_retry_delay(
    path, method, body, calls
):
    async with async_environment(servers=5) as env:
        await async_quarantine(env, path, method=method, data=body)
        assert env.count == calls
        status, _, headers = await env.async_call(path, method, data=body)
        assert (status, env.ran()) == (503, 3)
        seconds = float(headers["Retry-After"])
        assert seconds == pytest.approx(QUARANTINE_SECONDS[0], rel=SPREAD + 0.05)
        assert len(logged_contents(env, Event.REQUEST_QUARANTINED)) == 1
        row = env.events.of(Event.REQUEST_REFUSED)[-1]
        assert (row["kind"], row["ends"]) == ("quarantined", 3)


@pytest.mark.parametrize(
    "other",
    [
        {"path": "/safe/other"},
        {"path": FATAL, "headers": {"Cookie": "user=2"}},
        {"path": FATAL, "headers": {"Authorization": "Bearer 2"}},
        {"path": FATAL, "data": b"other"},
    ],
)
async def test_other_requests_are_served(other):
    async with async_environment(servers=5) as env:
        await async_quarantine(env)
        assert (await env.async_call(FATAL))[0] == 503
        assert (await env.async_call(**other))[0] == 200


async def test_a_request_answered_between_crashes_is_not_quarantined():
    async with async_environment(servers=8) as env:
        for _ in range(3):
            set_manner(env, Manner.FATAL)
            assert (await env.async_call(FATAL, "POST"))[0] == 502
            set_manner(env, Manner.GOOD)
            assert (await env.async_call(FATAL, "POST"))[0] == 200
        assert logged_contents(env, Event.REQUEST_QUARANTINED) == []


@pytest.mark.parametrize(
    ("manner", "status", "refused_seconds"),
    [(Manner.GOOD, 200, 0.0), (Manner.FATAL, 502, QUARANTINE_SECONDS[1])],
)
async def test_a_request_is_tried_again_when_its_quarantine_expires(
    manner, status, refused_seconds
):
    async with async_environment(servers=6) as env:
        await async_quarantine(env)
        set_manner(env, manner)
        expire_crashed(env)
        env.clock.ahead += QUARANTINE_SECONDS[0] + 0.1
        before = env.ran()
        assert (await env.async_call(FATAL))[0] == status
        assert env.ran() == before + 1
        content = logged_contents(env, Event.REQUEST_QUARANTINED)[0]
        held = env.daemon.quarantine.table.held(env.clock.monotonic())
        assert held.get(content, 0.0) == pytest.approx(refused_seconds, abs=1.0)
        if not refused_seconds:
            await async_until(
                lambda: logged_contents(env, Event.REQUEST_RELEASED) == [content]
            )


async def test_copies_of_a_suspected_request_run_one_at_a_time():
    async with async_environment(servers=6) as env:
        set_manner(env, Manner.FATAL)
        assert (await env.async_call(FATAL))[0] == 502
        set_manner(env, Manner.GOOD)
        for backend in env.backends:
            backend.seconds = 0.3
        calls = [env.async_call(FATAL) for _ in range(4)]
        statuses = [status for status, _, _ in await asyncio.gather(*calls)]
        assert sorted(statuses) == [200, 503, 503, 503]
        assert (await env.async_call(FATAL))[0] == 200


async def test_a_suspected_request_avoids_the_servers_of_its_key():
    key = {"Cookie": "X-Greengagepoint-Affinity-Key=7"}
    async with async_environment(servers=8, affinity=True) as env:
        set_manner(env, Manner.FATAL)
        assert (await env.async_call(FATAL, headers=key))[0] == 502
        set_manner(env, Manner.GOOD)
        ranked = [await env.async_call("/safe/1", headers=key) for _ in range(3)]
        assert {status for status, _, _ in ranked} == {200}
        chosen = []
        place = env.daemon.placer.place

        def record_key(call, tried, now):
            chosen.append(call.key)
            return place(call, tried, now)

        env.daemon.placer.place = record_key
        assert (await env.async_call(FATAL, headers=key))[0] == 200
        assert (await env.async_call(FATAL, headers=key))[0] == 200
        assert [key.endswith("\0" + "7") for key in chosen] == [False, True]


@pytest.mark.parametrize("bystander", [True, False])
async def test_an_abandoned_request_that_crashes_its_server_is_suspected(bystander):
    async with async_environment(servers=1, seconds=0.3) as env:
        server = env.backends[0]
        paths = [FATAL, "/safe/other"] if bystander else [FATAL]
        calls = [asyncio.create_task(env.async_call(path)) for path in paths]
        await async_until(lambda: len(server.ran) == len(paths))
        calls[0].cancel()
        await async_until(lambda: server.cancelled)
        await server.async_crash()
        if not bystander:
            # The next request finds nothing listening at the server's address.
            assert (await env.async_call("/safe/next"))[0] == 503
        await asyncio.wait(calls)
        suspects = env.daemon.quarantine.table.suspects
        await async_until(lambda: len(suspects) == len(paths))


async def test_an_abandoned_request_at_a_healthy_server_is_not_suspected():
    async with async_environment(servers=1, seconds=0.3) as env:
        server = env.backends[0]
        call = asyncio.create_task(env.async_call(FATAL))
        await async_until(lambda: server.ran)
        call.cancel()
        await async_until(lambda: server.cancelled)
        watches = env.daemon.gateway.server_crashes.watches
        await async_until(lambda: watches)
        await async_until(lambda: not watches)
        assert not env.daemon.quarantine.table.suspects


async def test_undecodable_peer_messages_are_rejected():
    async with async_environment(servers=1) as env:
        url = f"http://{env.daemon.settings.peer_address}/v1/quarantine"
        async with env.session.post(url, data=b"\xc1") as answer:
            assert answer.status == 400
        assert env.events.of(Event.PEER_MESSAGE_REJECTED)
