"""Swap digests and sums between delegates of zones."""

from collections.abc import Iterator
from typing import Final

from greengagepoint.membership.delegates import delegates, sum_region, sum_zone
from greengagepoint.membership.items import (
    ITEMS_PER_CONTACTS,
    contacts_due,
    item_to_send,
    take_in,
)
from greengagepoint.membership.messages import Overview
from greengagepoint.membership.tables import Heard, MembershipTables, Send
from greengagepoint.protocols import Random

OVERVIEW_SECONDS: Final = 2.0
SUMS_PER_OVERVIEW: Final = 5
CONTACT_FORGET_SECONDS: Final = 120.0


def run_overview(
    tables: MembershipTables, now: float, random: Random
) -> Iterator[Send]:
    """Keep up this zone's digest and region's sum if this host is a delegate."""
    if tables.detail_everywhere or now - tables.overview_at < OVERVIEW_SECONDS:
        return
    tables.overview_at = now
    _forget(tables, now)
    chosen = delegates(tables)
    if tables.me.name not in [claim.name for claim in chosen]:
        return
    sum_zone(tables, chosen, now)
    sum_region(tables, now)
    for target in _partners(tables, random):
        yield Send(target, _overview(tables, _chosen(tables, random), reply=True))


def receive(
    tables: MembershipTables, sender: str, message: Overview, now: float
) -> Iterator[Send]:
    """Take in another zone's digests and sums, and answer with the own ones."""
    tables.heard_at = now
    take_in(tables, message.zones, message.regions, now)
    if message.reply and not tables.detail_everywhere:
        yield Send(sender, _overview(tables, _freshest(tables), reply=False))


def _freshest(tables: MembershipTables) -> list[Heard]:
    """Return the sums that changed last, few enough for one message."""
    ordered = sorted(tables.regions.values(), key=lambda heard: -heard.heard_at)
    return ordered[:SUMS_PER_OVERVIEW]


def _chosen(tables: MembershipTables, random: Random) -> list[Heard]:
    """Return the own sum and a random choice of the others."""
    others = [
        heard for region, heard in tables.regions.items() if region != tables.me.region
    ]
    chosen = [tables.regions[tables.me.region]]
    for _ in range(min(SUMS_PER_OVERVIEW - 1, len(others))):
        chosen.append(others.pop(random.randrange(len(others))))
    return chosen


def _overview(tables: MembershipTables, sums: list[Heard], *, reply: bool) -> Overview:
    """Build an overview of this region's zones and some regions."""
    tables.overviews_sent += 1
    first = tables.overviews_sent % ITEMS_PER_CONTACTS
    rows = [*tables.zones.values(), *sums]
    items = [
        item_to_send(row, full=contacts_due(row, index % ITEMS_PER_CONTACTS == first))
        for index, row in enumerate(rows)
    ]
    count = len(tables.zones)
    return Overview(
        zones=tuple(items[:count]), regions=tuple(items[count:]), reply=reply
    )


def _partners(tables: MembershipTables, random: Random) -> list[str]:
    """Choose one host of another zone here and one of another region.

    A zone or region without a digest is reached through the host list.
    """
    me = tables.me
    near = [
        contact.name
        for heard in tables.zones.values()
        for contact in heard.contacts
        if heard.item.zone != me.zone
    ]
    near += [
        host.name
        for host in tables.listed.values()
        if host.region == me.region and (host.region, host.zone) not in tables.zones
    ]
    far = [
        contact.name
        for region, heard in tables.regions.items()
        for contact in heard.contacts
        if region != me.region
    ]
    # Listed hosts of all regions stay candidates, so that regions that were cut apart
    # until every contact had been replaced find each other again.
    listed = [host.name for host in tables.listed.values() if host.region != me.region]
    if listed and (not far or random.randrange(4) == 0):
        far = [listed[random.randrange(len(listed))]]
    groups = [group for group in (near, far) if group]
    return [group[random.randrange(len(group))] for group in groups]


def _forget(tables: MembershipTables, now: float) -> None:
    """Drop remote hosts that have not been heard for long."""
    for name, row in list(tables.members.items()):
        silent = now - max(row.heard_at, row.claimed_at)
        if not tables.in_detail(row.claim) and silent > CONTACT_FORGET_SECONDS:
            del tables.members[name]
            tables.version += 1
