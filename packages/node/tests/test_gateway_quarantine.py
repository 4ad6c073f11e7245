"""What callers get whose requests end the servers that run them."""

import asyncio

import pytest
from deployment import async_until
from gateway_world import async_world

from greengagepoint.events import Event
from greengagepoint.quarantine.rules import REFUSED_SECONDS
from greengagepoint_node.gateway.facts import Changes, RemovedKey
from greengagepoint_standins.users_platform.backend import Manner

FATAL = "/safe/fatal"
# Callers who were refused together are told times that differ by a quarter.
SPREAD = 0.25


def set_manner(world, manner):
    for backend in world.backends:
        backend.manner = manner


async def async_refused(world, path=FATAL, **fields):
    """Let three servers end beneath a request, and all others answer well again."""
    set_manner(world, Manner.FATAL)
    while world.ran() < 3:
        assert (await world.async_call(path, **fields))[0] == 502
    set_manner(world, Manner.GOOD)


def forget_ended(world):
    """Let the entries of the servers that ended lapse."""
    view = world.daemon.view
    for backend in world.backends:
        if backend.stopped.is_set():
            gone = RemovedKey(backend.instance, view.revision + 1)
            view.apply(Changes((gone,), gone.revision), world.clock.monotonic())


def told(world, event):
    return [row["content"] for row in world.events.of(event)]


@pytest.mark.parametrize(
    ("path", "method", "body", "calls"),
    [(FATAL, "GET", None, 2), ("/unsafe/fatal", "POST", b"order", 3)],
)
async def test_a_refused_request_has_not_run_and_is_told_when_to_return(
    path, method, body, calls
):
    async with async_world(servers=5) as world:
        await async_refused(world, path, method=method, data=body)
        assert world.count == calls
        status, _, headers = await world.async_call(path, method, data=body)
        assert (status, world.ran()) == (503, 3)
        seconds = float(headers["Retry-After"])
        assert seconds == pytest.approx(REFUSED_SECONDS[0], rel=SPREAD + 0.05)
        assert len(told(world, Event.REQUEST_QUARANTINED)) == 1
        row = world.events.of(Event.REQUEST_REFUSED)[-1]
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
    async with async_world(servers=5) as world:
        await async_refused(world)
        assert (await world.async_call(FATAL))[0] == 503
        assert (await world.async_call(**other))[0] == 200


async def test_a_request_that_is_answered_in_between_stays_served():
    async with async_world(servers=8) as world:
        for _ in range(3):
            set_manner(world, Manner.FATAL)
            assert (await world.async_call(FATAL, "POST"))[0] == 502
            set_manner(world, Manner.GOOD)
            assert (await world.async_call(FATAL, "POST"))[0] == 200
        assert told(world, Event.REQUEST_QUARANTINED) == []


@pytest.mark.parametrize(
    ("manner", "status", "refused_seconds"),
    [(Manner.GOOD, 200, 0.0), (Manner.FATAL, 502, REFUSED_SECONDS[1])],
)
async def test_it_is_tried_again_once_the_refusal_has_lapsed(
    manner, status, refused_seconds
):
    async with async_world(servers=6) as world:
        await async_refused(world)
        set_manner(world, manner)
        forget_ended(world)
        world.clock.ahead += REFUSED_SECONDS[0] + 0.1
        before = world.ran()
        assert (await world.async_call(FATAL))[0] == status
        assert world.ran() == before + 1
        content = told(world, Event.REQUEST_QUARANTINED)[0]
        held = world.daemon.quarantine.table.held(world.clock.monotonic())
        assert held.get(content, 0.0) == pytest.approx(refused_seconds, abs=1.0)
        if not refused_seconds:
            await async_until(lambda: told(world, Event.REQUEST_RELEASED) == [content])


async def test_copies_of_a_suspected_request_run_one_at_a_time():
    async with async_world(servers=6) as world:
        set_manner(world, Manner.FATAL)
        assert (await world.async_call(FATAL))[0] == 502
        set_manner(world, Manner.GOOD)
        for backend in world.backends:
            backend.seconds = 0.3
        calls = [world.async_call(FATAL) for _ in range(4)]
        statuses = [status for status, _, _ in await asyncio.gather(*calls)]
        assert sorted(statuses) == [200, 503, 503, 503]
        assert (await world.async_call(FATAL))[0] == 200


async def test_a_suspected_request_leaves_the_servers_of_its_key():
    key = {"Cookie": "X-Greengagepoint-Affinity-Key=7"}
    async with async_world(servers=8, affinity=True) as world:
        set_manner(world, Manner.FATAL)
        assert (await world.async_call(FATAL, headers=key))[0] == 502
        set_manner(world, Manner.GOOD)
        ranked = [await world.async_call("/safe/1", headers=key) for _ in range(3)]
        assert {status for status, _, _ in ranked} == {200}
        chosen = []
        place = world.daemon.placer.place

        def record_key(call, tried, now):
            chosen.append(call.key)
            return place(call, tried, now)

        world.daemon.placer.place = record_key
        assert (await world.async_call(FATAL, headers=key))[0] == 200
        assert (await world.async_call(FATAL, headers=key))[0] == 200
        assert [key.endswith("\0" + "7") for key in chosen] == [False, True]


@pytest.mark.parametrize("bystander", [True, False])
async def test_a_caller_that_leaves_before_its_server_ends_is_found_out(bystander):
    async with async_world(servers=1, seconds=0.3) as world:
        server = world.backends[0]
        paths = [FATAL, "/safe/other"] if bystander else [FATAL]
        calls = [asyncio.create_task(world.async_call(path)) for path in paths]
        await async_until(lambda: len(server.ran) == len(paths))
        calls[0].cancel()
        await async_until(lambda: server.cancelled)
        await server.async_crash()
        if not bystander:
            # The next request finds nobody at the server's address.
            assert (await world.async_call("/safe/next"))[0] == 503
        await asyncio.wait(calls)
        suspects = world.daemon.quarantine.table.suspects
        await async_until(lambda: len(suspects) == len(paths))


async def test_a_caller_that_leaves_a_sound_server_is_not_suspected():
    async with async_world(servers=1, seconds=0.3) as world:
        server = world.backends[0]
        call = asyncio.create_task(world.async_call(FATAL))
        await async_until(lambda: server.ran)
        call.cancel()
        await async_until(lambda: server.cancelled)
        watches = world.daemon.gateway.server_crashes.watches
        await async_until(lambda: watches)
        await async_until(lambda: not watches)
        assert not world.daemon.quarantine.table.suspects


async def test_peers_messages_that_can_not_be_read_are_rejected():
    async with async_world(servers=1) as world:
        url = f"http://{world.daemon.settings.peer_address}/v1/quarantine"
        async with world.session.post(url, data=b"\xc1") as answer:
            assert answer.status == 400
        assert world.events.of(Event.PEER_MESSAGE_REJECTED)
