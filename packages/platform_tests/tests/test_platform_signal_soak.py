"""One seed of the soak test of servers that say something about themselves.

More seeds are run by hand.
"""

from pathlib import Path

from greengagepoint_standins.users_platform.signal_soak import async_play

ROOT = Path(__file__).parents[3]


async def test_signals_of_servers_are_honored_during_random_faults():
    assert await async_play(1, ROOT) == []
