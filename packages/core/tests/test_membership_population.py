"""Tests of how many hosts a host of a large system takes to be serving."""

import pytest

from greengagepoint.hosts import HostIdentity
from greengagepoint.membership.items import keep
from greengagepoint.membership.messages import RegionSum, ZoneDigest
from greengagepoint.membership.regions import LIST_TRUSTED_SECONDS, serving_population
from greengagepoint.membership.tables import MembershipTables
from greengagepoint.protocols import ListedHost

HEARD = 1000.0


def host(name: str, region: str, zone: str) -> HostIdentity:
    return HostIdentity(name, 1, region, zone, f"{name}:80", f"{name}:81")


SERVING = (host("me", "r1", "a"), host("h2", "r1", "a"), host("contact", "r1", "b"))


def tables_of(*, large: bool, started: float = 0.0) -> MembershipTables:
    tables = MembershipTables(SERVING[0], started)
    tables.detail_everywhere = not large
    for zone, serving in (("a", 2), ("b", 119)):
        item = ZoneDigest("r1", zone, 1, 120, serving, 0, ())
        keep(tables, tables.zones, ("r1", zone), item, HEARD)
    for region, serving in (("r1", 240), ("r2", 4_000)):
        item = RegionSum(region, 1, 4_200, serving, 0, ())
        keep(tables, tables.regions, region, item, HEARD)
    return tables


@pytest.mark.parametrize(
    ("large", "now", "started", "listed", "count"),
    [
        (True, HEARD, 0.0, 0, 2 + 119 + 4_000),
        (True, HEARD + 61, 0.0, 0, 2),
        (True, HEARD + 61, HEARD + 60, 4_899, 4_899),
        (True, HEARD + 61 + LIST_TRUSTED_SECONDS, HEARD + 61, 4_899, 2),
        (False, HEARD, 0.0, 500, 3),
    ],
)
def test_serving_hosts_of_the_fleet(large, now, started, listed, count):
    """A team's rate is split over all hosts that serve.

    In a large system a host sees its own zone and some contacts one by one. Were the
    rate split over these, the fleet would pass it many times over. So digests and
    sums count, while they are fresh, and the host list just after a start.
    """
    tables = tables_of(large=large, started=started)
    for number in range(listed):
        name = f"l{number}"
        tables.listed[name] = ListedHost(name, "", "x:1", "r2", "c", leaving=False)
    assert serving_population(tables, SERVING, now) == count


def test_a_host_alone_counts_itself():
    tables = MembershipTables(SERVING[0], 0.0)
    assert serving_population(tables, (), 100.0) == 1
