"""What a host reads, logs and counts of what its servers say about themselves."""

import asyncio

import pytest
from gateway_world import async_environment

from greengagepoint.backpressure.limits import LIMIT_MAX, read_limit
from greengagepoint.backpressure.rests import REST_MAX_SECONDS, read_rest
from greengagepoint.events import Event
from greengagepoint_node.gateway.server_quotas import QUOTAS_PATH
from greengagepoint_standins.users_platform.backend import Manner


@pytest.mark.parametrize(
    ("texts", "limit"),
    [
        ((), None),
        (("1.6",), 1.6),
        (("0",), 0.0),
        (("3", "2"), 2.0),
        (("x", "2"), 2.0),
        (("-1",), None),
        (("nan",), None),
        (("inf",), None),
        (("",), None),
        (("1e9",), LIMIT_MAX),
    ],
)
def test_the_lowest_valid_limit_is_read(texts, limit):
    assert read_limit(texts) == limit


async def async_call_with_limits(world, *limits):
    """Send one request for each value of the limit's header, None for no header.

    The host has been up for long, and the requests are far apart.
    """
    world.daemon.quotas.issuer.started_at = float("-inf")
    for limit in limits:
        # Quota is used in the same instant in which it is granted.
        world.clock.ahead += 10.0
        for backend in world.backends:
            backend.limits = (limit,) if limit is not None else ()
        await world.async_call("/safe/1")


def changes_of(world):
    rows = world.events.of(Event.BACKEND_SERVER_LIMITED)
    return [(row["before"], row["limit"], row["source"]) for row in rows]


async def test_a_named_changed_and_ended_limit_is_logged_once_each():
    async with async_environment(servers=1) as world:
        await async_call_with_limits(world, None, "20", "20", "10", None, None)
        assert changes_of(world) == [
            (None, 20.0, "answer"),
            (20.0, 10.0, "answer"),
            (10.0, None, "answer"),
        ]
        counted = world.daemon.counters.limit_changes
        assert counted == {
            ("booking", "named"): 1,
            ("booking", "changed"): 1,
            ("booking", "ended"): 1,
        }


async def test_a_limit_that_cannot_be_read_leaves_the_earlier_one():
    async with async_environment(servers=1) as world:
        await async_call_with_limits(world, "20", "nan", "nan")
        assert changes_of(world) == [(None, 20.0, "answer")]
        assert len(world.events.of(Event.LOAD_REPORT_INVALID)) == 1


@pytest.mark.parametrize("manner", [Manner.GOOD, Manner.SHED, Manner.FAILED])
async def test_a_limit_is_read_whatever_the_status_of_the_answer(manner):
    async with async_environment(servers=1) as world:
        world.backends[0].manner = manner
        await async_call_with_limits(world, "20")
        assert changes_of(world) == [(None, 20.0, "answer")]


async def test_an_answer_to_another_request_names_no_limit():
    async with async_environment(servers=1) as world:
        world.backends[0].manner = Manner.FOREIGN
        await async_call_with_limits(world, "20")
        assert changes_of(world) == []


async def test_limits_that_differ_little_are_applied_and_logged_once():
    async with async_environment(servers=1) as world:
        await async_call_with_limits(world, "20", "20", "19", "21", "19.5")
        assert changes_of(world) == [(None, 20.0, "answer")]
        (server,) = world.daemon.view.servers.servers.values()
        assert server.request_limit == 19.5


async def test_a_header_that_cannot_be_read_is_logged_once():
    async with async_environment(servers=1) as world:
        await async_call_with_limits(world, "nan", "nan", "many")
        assert len(world.events.of(Event.LOAD_REPORT_INVALID)) == 1


async def async_statuses(world, count, seconds):
    """Send requests that are ``seconds`` apart, and return their statuses."""
    statuses = []
    for _ in range(count):
        world.clock.ahead += seconds
        status, _, _ = await world.async_call("/safe/1")
        statuses.append(status)
    return statuses


async def test_callers_beyond_the_limits_of_all_servers_are_rejected_at_once():
    async with async_environment() as world:
        await async_call_with_limits(world, "0.5", "0.5", "0.5")
        ran = world.ran()
        began = world.clock.monotonic()
        statuses = await async_statuses(world, 20, 0.0)
        assert world.clock.monotonic() - began < 1.0
        assert statuses.count(503) >= 15
        assert world.ran() - ran == statuses.count(200)
        rejected = world.events.of(Event.REQUEST_REFUSED)[-1]
        assert rejected["limited_servers"] == rejected["servers"] == 2
        assert rejected["retry_after"] == 1.0


async def test_the_end_of_a_limit_of_zero_is_noticed():
    async with async_environment() as world:
        await async_call_with_limits(world, "0", "0", "0")
        for backend in world.backends:
            backend.limits = ()
        await async_statuses(world, 20, 1.0)
        assert await async_statuses(world, 20, 0.0) == [200] * 20


async def test_a_server_that_says_that_it_leaves_is_logged_once():
    async with async_environment(servers=1) as world:
        for leaving in (False, True, True):
            world.backends[0].leaving = leaving
            await world.async_call("/safe/1")
        (row,) = world.events.of(Event.BACKEND_SERVER_ANNOUNCED_LEAVING)
        assert row["instance"] == world.backends[0].instance
        assert row["source"] == "answer"
        assert world.daemon.counters.leaving_announced == {("booking",): 1}


@pytest.mark.parametrize(
    ("text", "seconds"),
    [
        ("3", 3.0),
        ("0.5", 0.5),
        ("0", 0.0),
        ("3600", REST_MAX_SECONDS),
        ("-1", None),
        ("nan", None),
        ("", None),
        ("Thu, 03 Dec 2026 14:00:00 GMT", None),
    ],
)
def test_a_rest_is_read_in_seconds(text, seconds):
    assert read_rest(text) == seconds


async def test_a_rest_that_a_server_asks_for_is_logged_with_its_end():
    async with async_environment(servers=1) as world:
        world.backends[0].manner = Manner.SHED
        world.backends[0].retry_after = "3"
        await world.async_call("/safe/1")
        (row,) = world.events.of(Event.BACKEND_SERVER_RESTING)
        assert (row["instance"], row["seconds"]) == ("i-0", 3.0)
        assert not world.events.of(Event.BACKEND_SERVER_RESTED)
        world.clock.ahead += 3.1
        world.daemon.signals.tick()
        assert len(world.events.of(Event.BACKEND_SERVER_RESTED)) == 1
        assert world.daemon.counters.rests == {("booking",): 1}


@pytest.mark.parametrize(
    "body", [b"", b"x", b"\x93\xa1a\x00\x95\xa1i\x00\xa1a\xc0\x00"]
)
async def test_a_malformed_ask_for_quota_is_rejected(body):
    async with async_environment(servers=1) as world:
        url = f"http://{world.daemon.settings.peer_address}{QUOTAS_PATH}"
        async with world.session.post(url, data=body) as answer:
            assert answer.status == 400


async def async_rejections(world, count):
    """Send requests to servers that all reject; return statuses and Retry-After."""
    rows = []
    for _ in range(count):
        status, _, headers = await world.async_call("/safe/1")
        rows.append((status, float(headers["Retry-After"])))
    return rows


async def test_callers_are_rejected_at_once_while_all_servers_rest():
    async with async_environment() as world:
        for backend, seconds in zip(world.backends, ("20", "30"), strict=True):
            backend.manner = Manner.SHED
            backend.retry_after = seconds
        await async_rejections(world, 2)
        received = [len(backend.received) for backend in world.backends]
        began = world.clock.monotonic()
        rows = await async_rejections(world, 30)
        assert world.clock.monotonic() - began < 5.0
        assert [len(backend.received) for backend in world.backends] == received
        assert {status for status, _ in rows} == {503}
        # None comes back before the first server wants requests, nor all at once.
        times = [seconds for _, seconds in rows]
        assert 15.0 <= min(times) <= max(times) - 5.0
        rejected = world.events.of(Event.REQUEST_REFUSED)[-1]
        assert rejected["resting_servers"] == rejected["servers"] == 2


async def test_a_server_is_used_again_after_its_rest():
    async with async_environment(servers=1) as world:
        (backend,) = world.backends
        backend.manner, backend.retry_after = Manner.SHED, "3"
        await async_rejections(world, 1)
        backend.manner = Manner.GOOD
        assert (await world.async_call("/safe/1"))[0] == 503
        world.clock.ahead += 3.1
        assert (await world.async_call("/safe/1"))[0] == 200


async def test_a_caller_is_told_to_return_soon_while_other_servers_take_requests():
    async with async_environment(servers=4, attempts_max=1) as world:
        resting = world.backends[:1]
        resting[0].manner, resting[0].retry_after = Manner.SHED, "30"
        rows = [await world.async_call("/safe/1") for _ in range(20)]
        waits = [
            float(head["Retry-After"]) for status, _, head in rows if status != 200
        ]
        assert len(waits) == len(resting[0].received) <= 1
        assert all(seconds < 1.0 for seconds in waits)


@pytest.mark.parametrize(
    ("path", "method"), [("/safe/1", "GET"), ("/unsafe/1", "POST")]
)
async def test_a_server_that_asks_for_rest_while_connecting_gets_nothing(path, method):
    async with async_environment() as world:
        with world.blocked_connections() as waiting:
            call = asyncio.create_task(world.async_call(path, method))
            await waiting.wait()
            rows = world.daemon.view.servers.servers.values()
            (chosen,) = [row for row in rows if row.in_flight]
            chosen.rest_until = world.clock.monotonic() + 30.0
        status, _, _ = await call
        (got,) = [row for row in world.backends if row.received]
        assert (status, got.instance != chosen.instance) == (200, True)


async def test_a_rest_of_no_time_is_none():
    async with async_environment(servers=1) as world:
        world.backends[0].manner = Manner.SHED
        world.backends[0].retry_after = "0"
        await async_rejections(world, 2)
        assert not world.events.of(Event.BACKEND_SERVER_RESTING)
        assert len(world.backends[0].received) == 2
