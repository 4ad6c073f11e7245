"""One seed of the soak of fatal requests; more are played by hand."""

from pathlib import Path

from greengagepoint_standins.users_platform.crash_loop_soak import async_play

ROOT = Path(__file__).parents[3]


async def test_fatal_requests_beside_random_faults():
    assert await async_play(1, ROOT) == []
