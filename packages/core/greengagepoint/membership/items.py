"""Keep digests and sums of other zones and regions, and pass them on."""

from collections.abc import Iterable
from typing import Final

import msgspec

from greengagepoint.membership.messages import RegionSum, ZoneDigest
from greengagepoint.membership.tables import Heard, MembershipTables

ITEMS_PER_MESSAGE: Final = 4
# Each item carries its contacts each so many times, and more often when they are new
# here, so that they spread as fast as its beat.
ITEMS_PER_CONTACTS: Final = 8
CONTACTS_SENDS: Final = 12
# Sums reach every host of 4,900 by gossip in some tens of seconds.
ITEM_STALE_SECONDS: Final = 60.0


def take_in(
    tables: MembershipTables,
    zones: Iterable[ZoneDigest],
    regions: Iterable[RegionSum],
    now: float,
) -> None:
    """Keep the newest beat of each digest and sum."""
    for zone in zones:
        if zone.region == tables.me.region:
            keep(tables, tables.zones, (zone.region, zone.zone), zone, now)
    for region in regions:
        keep(tables, tables.regions, region.region, region, now)


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
        chosen.append(
            item_to_send(row, full=contacts_due(row, turn % ITEMS_PER_CONTACTS == 0))
        )
    zones = tuple(item for item in chosen if isinstance(item, ZoneDigest))
    return zones, tuple(item for item in chosen if isinstance(item, RegionSum))


def fresh(heard: Heard, now: float) -> bool:
    """Tell whether a digest or sum is still kept up."""
    return now - heard.heard_at < ITEM_STALE_SECONDS


def keep(
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


def item_to_send(row: Heard, *, full: bool) -> ZoneDigest | RegionSum:
    """Return an item to send, with the newest contacts or with none."""
    return msgspec.structs.replace(
        row.item,
        contacts_beat=row.contacts_beat,
        contacts=row.contacts if full else (),
    )


def contacts_due(row: Heard, turn: bool) -> bool:
    """Tell whether an item is to carry its contacts this time."""
    new = row.contacts_sends > 0
    row.contacts_sends -= new
    return new or turn
