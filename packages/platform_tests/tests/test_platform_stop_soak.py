"""One seed of the soak test of stops; more are run by hand."""

from pathlib import Path

from greengagepoint_standins.users_platform.stop_soak import async_play

ROOT = Path(__file__).parents[3]


async def test_requests_are_answered_while_hosts_are_stopped_in_series():
    assert await async_play(8, ROOT) == []
