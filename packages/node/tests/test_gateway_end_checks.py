"""What is logged of requests that were in flight when a connection broke."""

import asyncio

import pytest
from deployment import async_until
from gateway_world import async_environment

from greengagepoint.events import Event
from greengagepoint_standins.users_platform.backend import Manner


def ended(world):
    return world.events.of(Event.BACKEND_SERVER_ENDED)


@pytest.mark.parametrize("manner", [Manner.RESET, Manner.TRUNCATED, Manner.GARBAGE])
async def test_a_server_that_only_breaks_a_connection_has_not_ended(manner):
    async with async_environment(servers=1) as world:
        world.backends[0].manner = manner
        assert (await world.async_call("/safe/1"))[0] == 502
        assert world.events.of(Event.REQUEST_RETRIED)[0]["outcome"] == "broken"
        assert not ended(world)


async def test_a_server_that_ends_is_told_with_all_that_it_had_in_flight():
    async with async_environment(servers=1, seconds=5.0) as world:
        server = world.backends[0]
        paths = ["/safe/1", "/safe/1", "/safe/2"]
        calls = [asyncio.create_task(world.async_call(path)) for path in paths]
        await async_until(lambda: len(server.ran) == len(calls))
        await server.async_crash()
        assert {status for status, _, _ in await asyncio.gather(*calls)} == {502}
        rows = ended(world)
        assert {row["instance"] for row in rows} == {"i-0"}
        # The same request comes under two ids.
        assert len({row["request_id"] for row in rows}) == 3
        assert len({(row["content"], row["caller"]) for row in rows}) == 2
