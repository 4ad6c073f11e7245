"""Backend servers that name a request limit in their answers, on three real daemons."""

import asyncio
from pathlib import Path

import pytest

from greengagepoint_standins.users_platform.crash_loop import async_calling
from greengagepoint_standins.users_platform.daemons import async_fleet
from greengagepoint_standins.users_platform.signal_checks import (
    LIMIT_WINDOW_SECONDS,
    allowed_requests,
    counted_arrivals,
    limit_periods,
    most_in_window,
)
from greengagepoint_standins.users_platform.signal_fleet import (
    async_linked_servers,
    create_callers,
    hosts_by_request,
)

ROOT = Path(__file__).parents[3]
LIMIT = 2.0
KEYS = 20
RUN_SECONDS = 0.02
# The first three seconds after a limit is named do not count.
LIMITED_SECONDS = 12.0


@pytest.fixture
async def fleet(tmp_path):
    async with async_fleet(ROOT, tmp_path) as running:
        yield running


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
    async with async_linked_servers(fleet, servers, RUN_SECONDS):
        callers = create_callers(fleet, KEYS, per_second)
        arrivals = await async_name_limits(fleet.backends[:limited], callers)
    most = [most_in_window(row, LIMIT_WINDOW_SECONDS) for row in arrivals]
    assert max(most) <= allowed_requests(LIMIT), most
