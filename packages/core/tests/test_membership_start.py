"""A fleet that starts before the host list names it."""

import pytest

from greengagepoint.hosts import HostIdentity
from greengagepoint.membership import regions, seeds
from greengagepoint.membership.tables import MembershipTables
from greengagepoint.protocols import ListedHost

ME = HostIdentity("a", 1, "attiki", "attiki-a", "127.0.0.1:1", "127.0.0.1:2")
FAR = ListedHost("b", "127.0.0.1:3", "127.0.0.1:4", "sfax", "sfax-a", leaving=False)


@pytest.mark.parametrize(
    ("seconds_since_named", "unreachable"), [(0.0, set()), (11.0, {"sfax"})]
)
def test_a_region_is_silent_only_from_when_it_was_named(
    seconds_since_named: float, unreachable: set[str]
) -> None:
    """A host starts, and the lagging list names another region 30 seconds later.

    No caller's traffic is moved for a region that had no chance to answer; one that
    then stays silent is out of reach after the usual time.
    """
    tables = MembershipTables(ME, 0.0)
    seeds.apply_list(tables, [FAR])
    regions.run_regions(tables, 30.0)
    regions.run_regions(tables, 30.0 + seconds_since_named)
    assert tables.unreachable == unreachable


def test_a_host_that_knows_no_other_reads_the_list_often() -> None:
    tables = MembershipTables(ME, 0.0)
    assert seeds.list_period_seconds(tables) == seeds.LIST_SECONDS_ALONE
    seeds.apply_list(tables, [FAR])
    assert seeds.list_period_seconds(tables) >= seeds.LIST_SECONDS_MIN
