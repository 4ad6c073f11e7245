"""Choose the owners of sites and this host's witnesses from the live hosts."""

from collections.abc import Iterable, Sequence

from greengagepoint.caps.const import OWNERS_PER_SITE, WITNESSES_PER_OWNER
from greengagepoint.caps.ledger import owner_key, owner_name, owners_by_key
from greengagepoint.caps.tables import CapsTable, Site
from greengagepoint.hosts import HostIdentity
from greengagepoint.rendezvous import rank


def update_live(table: CapsTable, hosts: Iterable[HostIdentity], now: float) -> None:
    """Set the live hosts; this host counts as live unless it is leaving."""
    live = {host.name: host for host in hosts}
    live.pop(table.host.name, None)
    if not table.leaving:
        live[table.host.name] = table.host
    if live != table.live:
        table.live = live
        table.live_version += 1
        table.region_hosts = _by_region(live.values())
    _record_seen(table, now)


def _by_region(
    hosts: Iterable[HostIdentity],
) -> dict[str, tuple[HostIdentity, ...]]:
    """Group hosts by region."""
    groups: dict[str, list[HostIdentity]] = {}
    for host in hosts:
        groups.setdefault(host.region, []).append(host)
    return {region: tuple(group) for region, group in groups.items()}


def is_live(table: CapsTable, key: str) -> bool:
    """Return True if this incarnation of a host is in the live view."""
    host = table.live.get(owner_name(key))
    return host is not None and owner_key(host.name, host.incarnation) == key


def _record_seen(table: CapsTable, now: float) -> None:
    """Record when each owner in the ledger was last seen live.

    In a large fleet a witness may not have the owner in its view, so an owner that
    requests a vouch counts as seen, too.
    """
    for key in table.ledger.owners:
        if is_live(table, key):
            table.seen_at[key] = now
        else:
            table.seen_at.setdefault(key, now)
    for key in table.seen_at.keys() - table.ledger.owners.keys():
        del table.seen_at[key]


def owners_of(table: CapsTable, key: str) -> tuple[str, ...]:
    """Return the owners of a limit according to the last ledger read.

    The result is cached per ledger read. A large region's ledger has hundreds of
    owners, and scanning them for each site in use at each tick took a fifth of the
    control time.
    """
    if table.owners_ledger is not table.ledger:
        table.owners = owners_by_key(table.ledger)
        table.owners_ledger = table.ledger
    return table.owners.get(key, ())


def refresh_owners(table: CapsTable, site: Site) -> None:
    """Choose a site's owners and the order in which this host asks them for loans.

    Hosts with different views may choose different owners. That costs messages or
    moves a share, but breaks no limit, as rights come from the ledger alone.
    """
    if site.owners_version == table.live_version:
        return
    by_name = {host.name: host for host in table.region_hosts.get(site.region, ())}
    names = rank(site.name, by_name)[:OWNERS_PER_SITE]
    site.owners = tuple(by_name[name] for name in names)
    # Each borrower has its own order, which spreads the load over the lenders.
    order = rank(f"{site.name}/{table.host.name}", names)
    site.lenders = tuple(by_name[name] for name in order if name != table.host.name)
    site.owners_version = table.live_version


def fair_units(site: Site, name: str) -> int:
    """Return an owner's units when a site's limit is split evenly over its owners."""
    names = [host.name for host in site.owners]
    if name not in names:
        return 0
    part, rest = divmod(site.limit, len(names))
    return part + (names.index(name) < rest)


def choose_witnesses(table: CapsTable, current: Sequence[str]) -> tuple[str, ...]:
    """Return this host's witnesses, with lost ones replaced by live hosts.

    Witnesses are spread over availability zones. There are never fewer than before,
    as without a witness that can vote nobody could reclaim this host's share.
    """
    kept = [key for key in current if is_live(table, key)]
    lost = [key for key in current if key not in kept]
    peers = {
        host.name: host
        for host in table.region_hosts.get(table.host.region, ())
        if host.name != table.host.name
    }
    used = {owner_name(key) for key in kept}
    zones = [peers[name].zone for name in used if name in peers]
    candidates = [n for n in rank(table.host.name, peers) if n not in used]
    while candidates and len(kept) < WITNESSES_PER_OWNER:
        name = min(candidates, key=lambda n: _zone_order(table, zones, peers[n].zone))
        candidates.remove(name)
        zones.append(peers[name].zone)
        kept.append(owner_key(name, peers[name].incarnation))
    names = {owner_name(key) for key in kept}
    spare = [key for key in lost if owner_name(key) not in names]
    return tuple(sorted([*kept, *spare[: max(0, len(current) - len(kept))]]))


def _zone_order(table: CapsTable, zones: list[str], zone: str) -> tuple[int, bool]:
    """Return a sort key: zones with few witnesses first, then zones not this host's."""
    return zones.count(zone), zone == table.host.zone
