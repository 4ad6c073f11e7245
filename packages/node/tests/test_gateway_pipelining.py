"""What callers get who send several requests on a connection without waiting.

A caller sends its second request while the first one runs. Handled one after the other,
the second would begin when the first is answered, and be late for that alone. So those
that may be repeated begin at once and are answered in order; one that may run only once
waits, because its caller sends it again when the connection closes before its turn.
"""

import asyncio

import pytest
from deployment import async_until
from gateway_world import NAMES, async_world
from raw_caller import async_connection, async_read_answer, request, targets

from greengagepoint_standins.users_platform.backend import Manner


@pytest.mark.parametrize("together", [True, False], ids=["one packet", "several"])
async def test_waiting_requests_begin_before_the_first_is_answered(together):
    async with async_world(servers=1, seconds=90, timeout_seconds=None) as world:
        async with async_connection(world) as (_, writer):
            if together:
                writer.write(b"".join(request(number) for number in range(3)))
            for number in range(0 if together else 3):
                writer.write(request(number))
                await async_until(lambda count=number: len(targets(world)) > count)
            await async_until(lambda: len(targets(world)) == 3)
        # The caller has gone, and none of its requests has to be worked on any more.
        await async_until(lambda: len(world.backends[0].cancelled) == 3)
        await async_until(lambda: world.daemon.gateway.in_flight == 0)


async def test_answers_come_in_the_order_of_the_requests():
    async with async_world(servers=2) as world:
        world.backends[0].seconds = 0.2
        async with async_connection(world) as (reader, writer):
            writer.write(b"".join(request(number) for number in range(12)))
            for number in range(12):
                headers, body = await async_read_answer(reader)
                assert headers[NAMES.request_id.lower()] == f"id-{number}"
                assert body.endswith(f" /safe/{number}")
        assert len({body.ran[0].target for body in world.backends}) == 2


async def test_what_may_run_once_waits_its_turn_and_holds_up_those_behind_it():
    async with async_world(servers=1, seconds=0.05) as world:
        async with async_connection(world) as (reader, writer):
            writer.write(
                request(0) + request(1) + request(2, "POST", "/unsafe/") + request(3)
            )
            bodies = [(await async_read_answer(reader))[1] for _ in range(4)]
        assert [body.split()[1] for body in bodies] == targets(world)[:4]
        assert targets(world)[2:] == ["/unsafe/2", "/safe/3"]


async def test_a_stopping_host_answers_what_it_has_begun():
    async with async_world(servers=1, seconds=0.3) as world:
        async with async_connection(world) as (reader, writer):
            writer.write(request(0) + request(1))
            await async_until(lambda: len(targets(world)) == 2)
            stop = asyncio.create_task(world.daemon.async_stop())
            first, _ = await async_read_answer(reader)
            second, body = await async_read_answer(reader)
        assert "connection" not in first
        assert (second["connection"], body) == ("close", "i-0 /safe/1")
        await stop


async def test_one_connection_has_so_many_requests_under_way_at_most():
    async with async_world(servers=8) as world:
        for backend in world.backends:
            backend.manner = Manner.SILENT
        async with async_connection(world) as (_, writer):
            writer.write(b"".join(request(number) for number in range(40)))
            await async_until(lambda: world.daemon.gateway.in_flight >= 9)
            assert world.daemon.gateway.in_flight == 9
