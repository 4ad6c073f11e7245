"""Backend servers that ask a host for rest in a rejection, on three real daemons."""

import asyncio
from pathlib import Path

import pytest

from greengagepoint_standins.users_platform.crash_loop import async_calling
from greengagepoint_standins.users_platform.daemons import async_fleet
from greengagepoint_standins.users_platform.signal_checks import (
    REST_REQUESTS_MAX,
    most_in_a_rest,
)
from greengagepoint_standins.users_platform.signal_fleet import (
    async_linked_servers,
    create_callers,
    hosts_by_request,
)

ROOT = Path(__file__).parents[3]
KEYS = 20
RUN_SECONDS = 0.02
REST_SECONDS = 3
RESTING_SECONDS = 8.0


@pytest.fixture
async def fleet(tmp_path):
    async with async_fleet(ROOT, tmp_path) as running:
        yield running


@pytest.mark.parametrize(
    ("servers", "resting", "per_second"),
    [(12, 1, 60.0), (12, 6, 60.0), (2, 2, 30.0)],
    ids=["one of twelve", "half of twelve", "all servers"],
)
async def test_a_server_that_asks_for_rest_gets_it(fleet, servers, resting, per_second):
    async with async_linked_servers(fleet, servers, RUN_SECONDS):
        callers = create_callers(fleet, KEYS, per_second)
        chosen = fleet.backends[:resting]
        async with async_calling(*callers):
            await asyncio.sleep(1.0)
            for backend in chosen:
                backend.ask_for_rest(str(REST_SECONDS))
            await asyncio.sleep(RESTING_SECONDS)
        hosts = hosts_by_request(callers)
        most = [most_in_a_rest(backend, hosts) for backend in chosen]
        assert max(most) <= REST_REQUESTS_MAX, most
        assert all(backend.rests for backend in chosen)
