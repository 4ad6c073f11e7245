"""Tell which regions can be reached, and how much is tracked in detail."""

from collections.abc import Iterable
from typing import Final

from greengagepoint.hosts import HostIdentity
from greengagepoint.membership.items import fresh
from greengagepoint.membership.messages import HostState
from greengagepoint.membership.tables import (
    DETAIL_HOSTS_MAX,
    DETAIL_HOSTS_RETURN,
    MembershipTables,
    RegionChange,
)

REGION_SILENT_SECONDS: Final = 10.0
# Until digests and sums have had time to come in, the length of the host list tells
# how large the system is; later it doesn't count, as it may name hosts long gone.
LIST_TRUSTED_SECONDS: Final = 60.0


def population(tables: MembershipTables, now: float) -> int:
    """Estimate how many hosts there are, from rows, digests and sums."""
    digested = {key for key, heard in tables.zones.items() if fresh(heard, now)} - {
        (tables.me.region, tables.me.zone)
    }
    summed = {
        region
        for region, heard in tables.regions.items()
        if fresh(heard, now) and region != tables.me.region
    }
    single = sum(
        row.claim.state is not HostState.GONE
        and row.claim.region not in summed
        and (row.claim.region, row.claim.zone) not in digested
        for row in tables.members.values()
    )
    by_zone = sum(tables.zones[key].item.alive for key in digested)
    by_region = sum(tables.regions[region].item.alive for region in summed)
    return 1 + single + by_zone + by_region


def serving_population(
    tables: MembershipTables, serving: Iterable[HostIdentity], now: float
) -> int:
    """Return about how many hosts serve in all, at least one.

    ``serving`` are those held serving one by one. In a large system they are only this
    zone's and some contacts: a limit that is split over these alone would let the
    fleet as a whole pass many times as much.
    """
    me = tables.me
    if tables.detail_everywhere:
        return max(1, sum(1 for _ in serving))
    count = sum((host.region, host.zone) == (me.region, me.zone) for host in serving)
    count += sum(
        heard.item.serving
        for key, heard in tables.zones.items()
        if key != (me.region, me.zone) and fresh(heard, now)
    )
    count += sum(
        heard.item.serving
        for region, heard in tables.regions.items()
        if region != me.region and fresh(heard, now)
    )
    if now - tables.started_at < LIST_TRUSTED_SECONDS:
        count = max(count, len(tables.listed))
    return max(1, count)


def run_mode(tables: MembershipTables, now: float) -> None:
    """Track all hosts in detail in a small system, and only this zone in a large one.

    Each host decides for itself; hosts of both modes answer each other's probes.
    """
    hosts = population(tables, now)
    if now - tables.started_at < LIST_TRUSTED_SECONDS:
        hosts = max(hosts, len(tables.listed))
    limit = DETAIL_HOSTS_MAX if tables.detail_everywhere else DETAIL_HOSTS_RETURN
    everywhere = hosts <= limit
    if everywhere != tables.detail_everywhere:
        tables.detail_everywhere = everywhere
        tables.order.clear()
        tables.joined_at = now
        tables.version += 1


def run_regions(tables: MembershipTables, now: float) -> None:
    """Note regions that went out of reach or came back."""
    regions = {row.claim.region for row in tables.members.values()}
    regions.update(host.region for host in tables.listed.values())
    regions.update(tables.regions)
    regions.discard(tables.me.region)
    for region in sorted(regions):
        reachable = _reachable(tables, region, now)
        if reachable == (region not in tables.unreachable):
            continue
        if reachable:
            tables.unreachable.discard(region)
        else:
            tables.unreachable.add(region)
        tables.version += 1
        tables.changes.append(RegionChange(region, reachable))


def _reachable(tables: MembershipTables, region: str, now: float) -> bool:
    """Tell whether any host of a region was heard, or a sum of it is kept up.

    In detail, silence alone is not enough: in a region of one host the next probe may
    simply not be due, so its hosts must be suspected as well.
    """
    heard = tables.regions.get(region)
    if not tables.detail_everywhere:
        return fresh(heard, now) if heard else now - tables.started_at < 60
    # A region that the host list has only now named was never silent: counted from
    # the start of this host, its traffic would be moved away before it could answer.
    known_at = tables.region_known_at.setdefault(region, now)
    last = tables.region_heard_at.get(region, known_at)
    if now - last < REGION_SILENT_SECONDS:
        return True
    return any(
        row.claim.state is HostState.ALIVE and row.claim.region == region
        for row in tables.members.values()
    )
