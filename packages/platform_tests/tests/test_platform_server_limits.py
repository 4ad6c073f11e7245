"""Backend servers that name a request limit in their answers, on three real daemons."""

import asyncio
from pathlib import Path

import pytest

from greengagepoint_standins.users_platform.backend import PlatformBackend
from greengagepoint_standins.users_platform.crash_loop import Caller, async_calling
from greengagepoint_standins.users_platform.daemons import async_fleet
from greengagepoint_standins.users_platform.signal_checks import (
    LIMIT_WINDOW_SECONDS,
    allowed_requests,
    counted_arrivals,
    limit_periods,
    most_in_window,
)

ROOT = Path(__file__).parents[3]
LIMIT = 2.0
KEYS = 20
RUN_SECONDS = 0.02
# The first three seconds after a limit is named do not count.
LIMITED_SECONDS = 12.0
ZONES = ("z-a", "z-b")


@pytest.fixture
async def fleet(tmp_path):
    async with async_fleet(ROOT, tmp_path) as running:
        yield running


async def async_use_servers(fleet, count):
    """Run ``count`` servers in turn in each zone instead of the fleet's own."""
    former, fleet.backends = fleet.backends, []
    for number in range(count):
        backend = PlatformBackend(f"s-{number:02}", seconds=RUN_SECONDS)
        await backend.async_start()
        fleet.backends.append(backend)
        fleet.enter(backend, ZONES[number % len(ZONES)])
    for backend in former:
        fleet.store.items.remove(f"servers/{backend.instance}")
        await backend.async_stop()
    await fleet.async_until(fleet.async_all_know)


def callers_of(fleet, per_second):
    return [
        Caller(
            fleet, fleet.nodes, lambda number: f"/bays/{number}", str(key), KEYS / rate
        )
        for key, rate in ((number, per_second) for number in range(KEYS))
    ]


def hosts_by_request(callers):
    return {row.request_id: row.host for caller in callers for row in caller.outcomes}


async def async_name_limits(backends, callers):
    """Let servers name limits for a while; return their arrivals that count."""
    async with async_calling(*callers):
        await asyncio.sleep(1.0)
        for backend in backends:
            backend.name_limit(str(LIMIT))
        await asyncio.sleep(LIMITED_SECONDS)
    hosts = hosts_by_request(callers)
    return [
        counted_arrivals(backend, limit_periods(backend)[0], hosts)
        for backend in backends
    ]


@pytest.mark.parametrize(
    ("servers", "limited", "per_second"),
    [(12, 1, 60), (2, 2, 30)],
    ids=["one server of twelve", "all servers"],
)
async def test_hosts_together_keep_the_limit_that_a_server_names(
    fleet, servers, limited, per_second
):
    await async_use_servers(fleet, servers)
    callers = callers_of(fleet, per_second)
    arrivals = await async_name_limits(fleet.backends[:limited], callers)
    most = [most_in_window(row, LIMIT_WINDOW_SECONDS) for row in arrivals]
    assert max(most) <= allowed_requests(LIMIT), most
