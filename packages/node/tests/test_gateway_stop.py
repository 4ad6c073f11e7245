"""Check what callers see of a planned stop, from the signal to the exit."""

import asyncio

import pytest
from deployment import async_until
from gateway_world import async_environment


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
    ("after", "status"), [(0.1, 200), (0.6, 200), (1.15, 503)], ids=str
)
async def test_a_late_request_is_answered_or_rejected_but_never_cut_off(after, status):
    # Callers cache addresses for seconds, so some send while the host stops. One whose
    # request is in transit when the socket closes would not learn whether it ran. So
    # the host listens until it exits, and at the end rejects requests.
    async with async_environment(servers=1) as env:
        stop = asyncio.create_task(env.daemon.async_stop())
        for _ in range(int(after / 0.3)):
            await env.async_call("/safe/1")
            await asyncio.sleep(0.3)
        await asyncio.sleep(after % 0.3)
        found, _, headers = await env.async_call("/unsafe/1", "POST")
        assert found == status
        assert headers["Connection"] == "close"
        await stop


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
