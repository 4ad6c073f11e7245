"""Connections to the store that go silent, on real daemons."""

import asyncio
import time
from pathlib import Path

import pytest

from greengagepoint_standins.users_platform.crash_loop import async_calling
from greengagepoint_standins.users_platform.daemons import async_fleet
from greengagepoint_standins.users_platform.signal_fleet import create_callers

ROOT = Path(__file__).parents[3]
KEYS = 20
CALLERS_PER_SECOND = 60.0
DRAIN_SECONDS = 2.0


@pytest.mark.parametrize("strangers", [True, False], ids=["alone", "with_peers"])
async def test_a_server_that_leaves_as_store_connections_go_silent(tmp_path, strangers):
    """A host whose watch hung sent to a leaving server until its calls timed out."""
    async with async_fleet(ROOT, tmp_path, strangers=strangers) as fleet:
        callers = create_callers(fleet, KEYS, CALLERS_PER_SECOND)
        leaving = fleet.backends[0]
        async with async_calling(*callers):
            await asyncio.sleep(1.0)
            fleet.store.silence_connections()
            fleet.enter(leaving, "z-a", "draining")
            told_at = time.monotonic()
            await asyncio.sleep(2 * DRAIN_SECONDS)
        ages = [row.at - told_at for row in leaving.received]
        assert any(age < 0.0 for age in ages)
        assert [age for age in ages if age > DRAIN_SECONDS] == []
