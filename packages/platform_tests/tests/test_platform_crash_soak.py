"""One seed of the soak test of requests that crash servers.

More seeds are run by hand.
"""

from pathlib import Path

from greengagepoint_standins.users_platform.crash_loop_soak import async_play

ROOT = Path(__file__).parents[3]


async def test_crashing_requests_during_random_faults():
    assert await async_play(1, ROOT) == []
