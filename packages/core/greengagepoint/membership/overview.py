"""Sum up zones and regions, and swap the sums between delegates of zones."""

from collections.abc import Iterable, Iterator
from operator import attrgetter
from typing import Final

import msgspec

from greengagepoint.membership.messages import (
    Claim,
    Contact,
    HostState,
    Overview,
    RegionSum,
    ZoneDigest,
)
from greengagepoint.membership.rendezvous import ranked
from greengagepoint.membership.tables import Heard, MembershipTables, Send
from greengagepoint.protocols import Random

DELEGATES: Final = 2
OVERVIEW_SECONDS: Final = 2.0
SUMS_PER_OVERVIEW: Final = 5
ITEMS_PER_MESSAGE: Final = 4
# Each item carries its contacts each so many times, and more often when they are new
# here, so that they spread as fast as its beat.
ITEMS_PER_CONTACTS: Final = 8
CONTACTS_SENDS: Final = 12
# Sums reach every host of 4,900 by gossip in some tens of seconds.
ITEM_STALE_SECONDS: Final = 60.0
CONTACT_FORGET_SECONDS: Final = 120.0


def delegates(tables: MembershipTables) -> list[Claim]:
    """Return who answers for this host's zone; two views of it do no harm."""
    me = tables.me
    claims = [row.claim for row in tables.detailed()]
    claims.append(me)
    able = [
        claim
        for claim in claims
        if claim.state is HostState.ALIVE
        and (claim.region, claim.zone) == (me.region, me.zone)
    ]
    return ranked(me.zone, able, attrgetter("name"))[:DELEGATES]


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
    _sum_zone(tables, chosen, now)
    _sum_region(tables, now)
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


def take_in(
    tables: MembershipTables,
    zones: Iterable[ZoneDigest],
    regions: Iterable[RegionSum],
    now: float,
) -> None:
    """Keep the newest beat of each digest and sum."""
    for zone in zones:
        if zone.region == tables.me.region:
            _keep(tables, tables.zones, (zone.region, zone.zone), zone, now)
    for region in regions:
        _keep(tables, tables.regions, region.region, region, now)


def take_items(
    tables: MembershipTables,
) -> tuple[tuple[ZoneDigest, ...], tuple[RegionSum, ...]]:
    """Return the next few digests and sums in turn, to travel with a probe."""
    if tables.detail_everywhere:
        return (), ()
    rows = [*tables.zones.values(), *tables.regions.values()]
    chosen = []
    for _ in range(min(ITEMS_PER_MESSAGE, len(rows))):
        tables.items_sent += 1
        index = tables.items_sent % len(rows)
        turn = tables.items_sent // len(rows) + index
        row = rows[index]
        chosen.append(_item(row, full=_due(row, turn % ITEMS_PER_CONTACTS == 0)))
    zones = tuple(item for item in chosen if isinstance(item, ZoneDigest))
    return zones, tuple(item for item in chosen if isinstance(item, RegionSum))


def fresh(heard: Heard, now: float) -> bool:
    """Tell whether a digest or sum is still kept up."""
    return now - heard.heard_at < ITEM_STALE_SECONDS


def _keep(
    tables: MembershipTables,
    held: dict,
    key: object,
    item: ZoneDigest | RegionSum,
    now: float,
) -> None:
    """Hold an item if its beat is newer."""
    row = held.get(key)
    if row is None:
        row = held[key] = Heard(item, now)
    elif item.beat > row.item.beat:
        row.item = item
        row.heard_at = now
    if item.contacts and item.contacts_beat > row.contacts_beat:
        row.contacts_beat = item.contacts_beat
        row.contacts = item.contacts
        row.contacts_sends = CONTACTS_SENDS
        tables.version += 1
        for contact in item.contacts:
            tables.learn_address(contact.name, contact.peer_address)


def _item(row: Heard, *, full: bool) -> ZoneDigest | RegionSum:
    """Return an item to send, with the newest contacts or with none."""
    return msgspec.structs.replace(
        row.item,
        contacts_beat=row.contacts_beat,
        contacts=row.contacts if full else (),
    )


def _due(row: Heard, turn: bool) -> bool:
    """Tell whether an item is to carry its contacts this time."""
    new = row.contacts_sends > 0
    row.contacts_sends -= new
    return new or turn


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
    """Build an overview; the first zone and the first sum carry their contacts."""
    rows = list(tables.zones.values())
    tables.items_sent += 1
    turn = tables.items_sent % len(rows) if rows else 0
    zones = tuple(
        _item(row, full=_due(row, index == turn)) for index, row in enumerate(rows)
    )
    regions = tuple(
        _item(row, full=_due(row, index == 0)) for index, row in enumerate(sums)
    )
    return Overview(zones=zones, regions=regions, reply=reply)


def _contacts(claims: Iterable[Claim]) -> tuple[Contact, ...]:
    """Return how to reach some hosts."""
    return tuple(
        Contact(
            claim.name,
            claim.incarnation,
            claim.zone,
            claim.address,
            claim.peer_address,
        )
        for claim in claims
    )


def _sum_zone(tables: MembershipTables, chosen: list[Claim], now: float) -> None:
    """Write this zone's digest with a newer beat."""
    me = tables.me
    claims = [row.claim for row in tables.detailed()]
    alive = [claim for claim in claims if claim.state is not HostState.GONE]
    alive.append(me)
    serving = sum(not claim.leaving for claim in alive)
    key = (me.region, me.zone)
    before = tables.zones.get(key)
    contacts = _contacts(chosen)
    beat, changed = _next_beat(before, contacts)
    item = ZoneDigest(me.region, me.zone, beat, len(alive), serving, changed, contacts)
    _keep(tables, tables.zones, key, item, now)


def _sum_region(tables: MembershipTables, now: float) -> None:
    """Write this region's sum with a newer beat, from the digests of its zones."""
    me = tables.me
    zones = [heard for heard in tables.zones.values() if fresh(heard, now)]
    zones.sort(key=lambda heard: heard.item.zone)
    contacts = tuple(zone.contacts[0] for zone in zones if zone.contacts)
    contacts = contacts[: DELEGATES + 1]
    beat, changed = _next_beat(tables.regions.get(me.region), contacts)
    item = RegionSum(
        me.region,
        beat,
        sum(zone.item.alive for zone in zones),
        sum(zone.item.serving for zone in zones),
        changed,
        contacts,
    )
    _keep(tables, tables.regions, me.region, item, now)


def _next_beat(before: Heard | None, contacts: tuple[Contact, ...]) -> tuple[int, int]:
    """Return the next beat of an item and the beat at which its contacts changed."""
    if before is None:
        return 1, 1
    beat = before.item.beat + 1
    same = before.contacts == contacts
    return beat, before.contacts_beat if same else beat


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
