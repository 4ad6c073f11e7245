"""Run all systems of membership over the tables, and read views from them."""

from typing import Final

from greengagepoint.hosts import HostIdentity
from greengagepoint.membership import items, overview, probing, regions
from greengagepoint.membership.messages import Claim, Contact, HostState
from greengagepoint.membership.tables import MembershipTables, Send
from greengagepoint.protocols import Random

# The walks over all rows that need not be done each tick.
SURVEY_SECONDS: Final = 2.0
GONE_FORGET_SECONDS: Final = 3600.0


def run(tables: MembershipTables, now: float, random: Random) -> list[Send]:
    """Run one tick and return what to send."""
    gap = now - tables.ran_at
    tables.ran_at = now
    if gap > probing.PAUSE_SECONDS:
        probing.forgive(tables, gap)
    sends = list(probing.run_probes(tables, now, random))
    sends += overview.run_overview(tables, now, random)
    if now - tables.surveyed_at >= SURVEY_SECONDS:
        tables.surveyed_at = now
        regions.run_mode(tables, now)
        regions.run_regions(tables, now)
        _forget_gone(tables, now)
    return sends


def identity(claim: Claim) -> HostIdentity:
    """Return the identity of the host that a claim is about."""
    return HostIdentity(
        claim.name,
        claim.incarnation,
        claim.region,
        claim.zone,
        claim.address,
        claim.peer_address,
    )


def live_hosts(tables: MembershipTables, now: float) -> tuple[HostIdentity, ...]:
    """Return hosts held alive or only suspected, and not leaving, this one included.

    In a large system these are the hosts of this zone and contacts of all others.
    """
    claims = [row.claim for row in tables.detailed()]
    hosts = {
        claim.name: identity(claim)
        for claim in (tables.me, *claims)
        if claim.state is not HostState.GONE and not claim.leaving
    }
    for host in _contacts(tables, now):
        hosts.setdefault(host.name, host)
    return tuple(hosts[name] for name in sorted(hosts))


def serving_hosts(tables: MembershipTables, now: float) -> tuple[HostIdentity, ...]:
    """Return live hosts that look-ups may name: not suspected, not leaving."""
    doubtful = {
        name
        for name, row in tables.members.items()
        if row.listed_leaving or row.claim.state is not HostState.ALIVE
    }
    return tuple(host for host in live_hosts(tables, now) if host.name not in doubtful)


def candidate_hosts(
    tables: MembershipTables, live: tuple[HostIdentity, ...]
) -> tuple[HostIdentity, ...]:
    """Return live hosts, and listed ones without a row, whose incarnation is 0."""
    names = {host.name for host in live}
    listed = tuple(
        HostIdentity(
            host.name, 0, host.region, host.zone, host.address, host.peer_address
        )
        for host in tables.listed.values()
        if host.name not in names
        and host.name not in tables.members
        and not host.leaving
    )
    return live + listed


def known_hosts(tables: MembershipTables) -> tuple[Claim, ...]:
    """Return the claims held about all hosts, those gone and leaving included."""
    claims = [tables.me, *(row.claim for row in tables.members.values())]
    return tuple(sorted(claims, key=lambda claim: claim.name))


def _contacts(tables: MembershipTables, now: float) -> list[HostIdentity]:
    """Return the contacts of zones and regions that are not tracked in detail."""
    if tables.detail_everywhere:
        return []
    me = tables.me
    found = []
    for (region, zone), heard in tables.zones.items():
        if items.fresh(heard, now) and zone != me.zone:
            found += [_remote(contact, region) for contact in heard.contacts]
    for region, heard in tables.regions.items():
        if items.fresh(heard, now) and region != me.region:
            found += [_remote(contact, region) for contact in heard.contacts]
    return found


def _remote(contact: Contact, region: str) -> HostIdentity:
    """Return a contact's identity."""
    return HostIdentity(
        contact.name,
        contact.incarnation,
        region,
        contact.zone,
        contact.address,
        contact.peer_address,
    )


def _forget_gone(tables: MembershipTables, now: float) -> None:
    """Drop hosts long gone that the host list does not name any more."""
    for name, row in list(tables.members.items()):
        old = now - row.claimed_at > GONE_FORGET_SECONDS
        gone = row.claim.state is HostState.GONE
        if gone and old and name not in tables.listed:
            del tables.members[name]
