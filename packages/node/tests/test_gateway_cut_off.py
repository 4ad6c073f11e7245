"""Hosts that lose their links to all backend servers."""

import asyncio

import pytest
from cut_links import Cut, async_fleet

CUTS = [Cut.HANGS, Cut.RESETS, Cut.REFUSES_NEW]
PATHS = [("/safe/", "GET"), ("/unsafe/", "POST"), ("/pack/", "GET")]
CALLS = 24
# The time within which callers are to be served again after the cut began.
DETECTION_SECONDS = 3.0


async def async_call_all(host, first=0, count=CALLS):
    """Return the statuses of requests of all kinds, sent one after the other."""
    statuses = []
    for number in range(first, first + count):
        path, method = PATHS[number % len(PATHS)]
        status, _, _ = await host.async_call(f"{path}{number}", method)
        statuses.append(status)
    return statuses


async def async_keep_calling(host, seconds):
    """Send requests all the while, as callers do."""
    ends_at = asyncio.get_running_loop().time() + seconds
    calls = []
    while asyncio.get_running_loop().time() < ends_at:
        calls.append(asyncio.create_task(async_call_all(host, len(calls), 1)))
        await asyncio.sleep(0.05)
    await asyncio.gather(*calls)


@pytest.mark.parametrize("cut", CUTS)
async def test_callers_of_a_host_cut_off_from_all_servers_are_served(cut):
    async with async_fleet() as fleet:
        host = fleet.hosts[0]
        assert set(await async_call_all(host)) == {200}
        fleet.cut(cut, 0)
        if cut is Cut.REFUSES_NEW:
            fleet.close_kept()
        await async_keep_calling(host, DETECTION_SECONDS)
        assert set(await async_call_all(host)) == {200}
