"""Tests of what the daemon takes to be the size of a large fleet."""

import pytest
from deployment import async_deployment

from greengagepoint.membership.items import keep
from greengagepoint.membership.messages import RegionSum
from greengagepoint.protocols import ListedHost

FLEET = 4_800


@pytest.fixture
async def daemon():
    async with async_deployment() as deployment:
        yield next(iter(deployment.daemons.values()))


async def test_limits_and_pace_follow_the_whole_fleet(daemon):
    """A daemon of a large fleet sees few hosts one by one and hears of the others.

    Team rates are split, and the pace of usage writes chosen, by the whole fleet:
    by the hosts seen alone each team could send many times its rate, and the fleet
    would write usage to the store more often than it can take.
    """
    tables = daemon.membership.tables
    now = daemon.clock.monotonic()
    tables.detail_everywhere = False
    item = RegionSum("far", 1, FLEET, FLEET, 0, ())
    keep(tables, tables.regions, "far", item, now)
    tables.version += 1
    daemon.membership._report()
    assert daemon.admission.serving_hosts() > FLEET
    assert daemon.usage.population() > FLEET


async def test_holders_of_usage_come_from_the_host_list_too(daemon):
    tables = daemon.membership.tables
    listed = ListedHost("far-1", "x:1", "x:2", "far", "far-a", leaving=False)
    tables.listed = {**tables.listed, "far-1": listed}
    assert "far-1" in {host.name for host in daemon.usage.candidates()}
    before = daemon.usage.candidates()
    tables.listed = dict(tables.listed)
    assert daemon.usage.candidates() is before
    tables.listed = {}
    assert "far-1" not in {host.name for host in daemon.usage.candidates()}
