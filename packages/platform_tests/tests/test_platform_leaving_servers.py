"""Backend servers that say in their answers that they leave, on three real daemons."""

import asyncio
from pathlib import Path

import pytest

from greengagepoint_standins.users_platform.crash_loop import async_calling
from greengagepoint_standins.users_platform.daemons import async_fleet
from greengagepoint_standins.users_platform.signal_checks import late_arrivals
from greengagepoint_standins.users_platform.signal_fleet import (
    async_linked_servers,
    create_callers,
    hosts_by_request,
)

ROOT = Path(__file__).parents[3]
SERVERS = 6
KEYS = 20
CALLERS_PER_SECOND = 60.0
RUN_SECONDS = 0.02
DRAIN_SECONDS = 2.5
STORE_DOWN = 503
BORN = 1_700_000_000_000


@pytest.fixture
async def fleet(tmp_path):
    async with async_fleet(ROOT, tmp_path) as running:
        yield running


def keep_entry(fleet, leaving):
    """Leave the server's entry as it is, ready."""


def write_entry_again(fleet, leaving):
    """Write the server's entry again, still ready, as by its next heartbeat."""
    fleet.enter(leaving, "z-a", sequence=2, born=BORN)


def remove_and_write_entry(fleet, leaving):
    """Let the server's entry lapse and come back, still ready."""
    fleet.store.items.remove(f"servers/{leaving.instance}")
    fleet.enter(leaving, "z-a", sequence=3, born=BORN)


def stop_store(fleet, leaving):
    """Take the store away, so that no entry changes."""
    fleet.store.control.status = STORE_DOWN


@pytest.mark.parametrize(
    "change_entry", [keep_entry, write_entry_again, remove_and_write_entry, stop_store]
)
async def test_a_server_that_says_that_it_leaves_gets_nothing_more(fleet, change_entry):
    async with async_linked_servers(fleet, SERVERS, RUN_SECONDS):
        callers = create_callers(fleet, KEYS, CALLERS_PER_SECOND)
        leaving = fleet.backends[0]
        fleet.enter(leaving, "z-a", born=BORN)
        async with async_calling(*callers):
            await asyncio.sleep(1.0)
            leaving.announce_leaving(leaving=True)
            await asyncio.sleep(1.0)
            change_entry(fleet, leaving)
            await asyncio.sleep(DRAIN_SECONDS + 2.0)
        late = late_arrivals(leaving, hosts_by_request(callers), DRAIN_SECONDS)
        assert leaving.leaving_told
        assert late == []
