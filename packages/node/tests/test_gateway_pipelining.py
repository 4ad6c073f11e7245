"""Check the answers to pipelined requests.

Handled one after the other, a pipelined request would start when the one before it is
answered, and miss its latency goal. So repeatable requests start at once and are
answered in order. Others wait for their turn, because callers resend them when the
connection closes before they are answered.
"""

import asyncio

import pytest
from deployment import async_until
from gateway_world import NAMES, async_environment
from raw_caller import async_connection, async_read_answer, request, targets

from greengagepoint_standins.users_platform.backend import Manner


@pytest.mark.parametrize("together", [True, False], ids=["one packet", "several"])
async def test_waiting_requests_start_before_the_first_is_answered(together):
    async with async_environment(servers=1, seconds=90, timeout_seconds=None) as env:
        async with async_connection(env) as (_, writer):
            if together:
                writer.write(b"".join(request(number) for number in range(3)))
            for number in range(0 if together else 3):
                writer.write(request(number))
                await async_until(lambda count=number: len(targets(env)) > count)
            await async_until(lambda: len(targets(env)) == 3)
        # The caller has disconnected, so all of its requests are cancelled.
        await async_until(lambda: len(env.backends[0].cancelled) == 3)
        await async_until(lambda: env.daemon.gateway.in_flight == 0)


async def test_answers_come_in_the_order_of_the_requests():
    async with async_environment(servers=2) as env:
        env.backends[0].seconds = 0.2
        async with async_connection(env) as (reader, writer):
            writer.write(b"".join(request(number) for number in range(12)))
            for number in range(12):
                headers, body = await async_read_answer(reader)
                assert headers[NAMES.request_id.lower()] == f"id-{number}"
                assert body.endswith(f" /safe/{number}")
        assert len({body.ran[0].target for body in env.backends}) == 2


async def test_an_unsafe_request_waits_its_turn_and_blocks_later_ones():
    async with async_environment(servers=1, seconds=0.05) as env:
        async with async_connection(env) as (reader, writer):
            writer.write(
                request(0) + request(1) + request(2, "POST", "/unsafe/") + request(3)
            )
            bodies = [(await async_read_answer(reader))[1] for _ in range(4)]
        assert [body.split()[1] for body in bodies] == targets(env)[:4]
        assert targets(env)[2:] == ["/unsafe/2", "/safe/3"]


async def test_a_stopping_host_answers_started_requests():
    async with async_environment(servers=1, seconds=0.3) as env:
        async with async_connection(env) as (reader, writer):
            writer.write(request(0) + request(1))
            await async_until(lambda: len(targets(env)) == 2)
            stop = asyncio.create_task(env.daemon.async_stop())
            first, _ = await async_read_answer(reader)
            second, body = await async_read_answer(reader)
        assert "connection" not in first
        assert (second["connection"], body) == ("close", "i-0 /safe/1")
        await stop


async def test_requests_in_flight_per_connection_are_limited():
    async with async_environment(servers=8) as env:
        for backend in env.backends:
            backend.manner = Manner.SILENT
        async with async_connection(env) as (_, writer):
            writer.write(b"".join(request(number) for number in range(40)))
            await async_until(lambda: env.daemon.gateway.in_flight >= 9)
            assert env.daemon.gateway.in_flight == 9
