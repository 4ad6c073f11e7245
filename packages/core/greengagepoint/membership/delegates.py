"""Choose delegates of a zone, and sum up the zone and its region."""

from collections.abc import Iterable
from operator import attrgetter
from typing import Final

from greengagepoint.membership.items import fresh, keep
from greengagepoint.membership.messages import (
    Claim,
    Contact,
    HostState,
    RegionSum,
    ZoneDigest,
)
from greengagepoint.membership.tables import Heard, MembershipTables
from greengagepoint.rendezvous import rank

DELEGATES: Final = 2
REGION_CONTACTS: Final = 3


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
    return rank(me.zone, able, attrgetter("name"))[:DELEGATES]


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


def sum_zone(tables: MembershipTables, chosen: list[Claim], now: float) -> None:
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
    keep(tables, tables.zones, key, item, now)


def sum_region(tables: MembershipTables, now: float) -> None:
    """Write this region's sum with a newer beat, from the digests of its zones."""
    me = tables.me
    zones = [heard for heard in tables.zones.values() if fresh(heard, now)]
    zones.sort(key=lambda heard: heard.item.zone)
    contacts = tuple(zone.contacts[0] for zone in zones if zone.contacts)
    contacts = contacts[:REGION_CONTACTS]
    beat, changed = _next_beat(tables.regions.get(me.region), contacts)
    item = RegionSum(
        me.region,
        beat,
        sum(zone.item.alive for zone in zones),
        sum(zone.item.serving for zone in zones),
        changed,
        contacts,
    )
    keep(tables, tables.regions, me.region, item, now)


def _next_beat(before: Heard | None, contacts: tuple[Contact, ...]) -> tuple[int, int]:
    """Return the next beat of an item and the beat at which its contacts changed."""
    if before is None:
        return 1, 1
    beat = before.item.beat + 1
    same = before.contacts == contacts
    return beat, before.contacts_beat if same else beat
