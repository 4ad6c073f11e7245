"""A planned stop: what callers see from the signal to the end of the process."""

import asyncio

import pytest
from deployment import async_until
from gateway_world import async_world


async def test_a_request_in_flight_is_answered_whole():
    async with async_world(servers=1, seconds=0.5) as world:
        call = asyncio.create_task(world.async_call("/safe/1"))
        await async_until(lambda: world.backends[0].ran)
        stop = asyncio.create_task(world.daemon.async_stop())
        status, body, headers = await call
        assert (status, body) == (200, b"i-0 /safe/1")
        assert headers["Connection"] == "close"
        await stop


@pytest.mark.parametrize(
    ("after", "status"), [(0.1, 200), (0.6, 200), (1.15, 503)], ids=str
)
async def test_a_caller_that_comes_late_is_served_or_refused_never_cut(after, status):
    # Callers keep addresses for seconds, so some come while the host stops. One whose
    # request is on its way when the socket closes gets no answer, and can't know
    # whether it ran. So the host listens to its end, and says at last that it did not.
    async with async_world(servers=1) as world:
        stop = asyncio.create_task(world.daemon.async_stop())
        for _ in range(int(after / 0.3)):
            await world.async_call("/safe/1")
            await asyncio.sleep(0.3)
        await asyncio.sleep(after % 0.3)
        found, _, headers = await world.async_call("/unsafe/1", "POST")
        assert found == status
        assert headers["Connection"] == "close"
        await stop


async def test_a_stopping_host_is_not_ready_and_not_named():
    async with async_world(servers=1) as world:
        daemon = world.daemon
        assert daemon.directory.addresses("north") == [daemon.settings.front_address]
        stop = asyncio.create_task(daemon.async_stop())
        await asyncio.sleep(0.05)
        ready = f"http://{daemon.settings.ready_address}/ready"
        async with world.session.get(ready) as answer:
            assert answer.status == 503
        assert daemon.directory.addresses("north") == []
        await stop


async def test_a_stop_takes_no_longer_than_it_may():
    async with async_world(servers=1, seconds=30.0, timeout_seconds=None) as world:
        call = asyncio.create_task(world.async_call("/safe/1", deadline_ms=20_000))
        await async_until(lambda: world.backends[0].ran)
        began = asyncio.get_running_loop().time()
        await world.daemon.async_stop()
        assert asyncio.get_running_loop().time() - began <= 2.1
        call.cancel()
