"""Choose who owns a site and who is witness, from the view of live hosts."""

from collections.abc import Iterable, Sequence

from greengagepoint.caps.const import OWNERS_A_SITE, WITNESSES
from greengagepoint.caps.ledger import owner_key, owner_name, owners_by_key
from greengagepoint.caps.tables import CapsTable, Site
from greengagepoint.hosts import HostIdentity
from greengagepoint.rendezvous import rank


def update_live(table: CapsTable, hosts: Iterable[HostIdentity], now: float) -> None:
    """Take the view of live hosts; this host counts as live unless it is leaving."""
    live = {host.name: host for host in hosts}
    live.pop(table.host.name, None)
    if not table.leaving:
        live[table.host.name] = table.host
    if live != table.live:
        table.live = live
        table.live_version += 1
        table.region_hosts = _by_region(live.values())
    _note_seen(table, now)


def _by_region(
    hosts: Iterable[HostIdentity],
) -> dict[str, tuple[HostIdentity, ...]]:
    """Group hosts by region."""
    groups: dict[str, list[HostIdentity]] = {}
    for host in hosts:
        groups.setdefault(host.region, []).append(host)
    return {region: tuple(group) for region, group in groups.items()}


def is_live(table: CapsTable, key: str) -> bool:
    """Tell whether this very incarnation of a host is seen live."""
    host = table.live.get(owner_name(key))
    return host is not None and owner_key(host.name, host.incarnation) == key


def _note_seen(table: CapsTable, now: float) -> None:
    """Note when each owner in the ledger was last seen live.

    In a large fleet a witness may not have the owner in its view, so an owner that
    asks it to vouch counts as seen, too.
    """
    for key in table.ledger.owners:
        if is_live(table, key):
            table.seen_at[key] = now
        else:
            table.seen_at.setdefault(key, now)
    for key in table.seen_at.keys() - table.ledger.owners.keys():
        del table.seen_at[key]


def owners_of(table: CapsTable, key: str) -> tuple[str, ...]:
    """Return who holds a part of a limit, by the ledger as last read.

    Worked out once a read: a large region's ledger has hundreds of owners, and looking
    through them for each site in use at each tick took a fifth of the time for
    control.
    """
    if table.owners_ledger is not table.ledger:
        table.owners = owners_by_key(table.ledger)
        table.owners_ledger = table.ledger
    return table.owners.get(key, ())


def refresh_owners(table: CapsTable, site: Site) -> None:
    """Work out a site's owners, and the order in which this host asks them.

    Hosts with different views may choose different owners. That costs messages or
    moves a share; rights come from the ledger alone.
    """
    if site.owners_version == table.live_version:
        return
    by_name = {host.name: host for host in table.region_hosts.get(site.region, ())}
    names = rank(site.name, by_name)[:OWNERS_A_SITE]
    site.owners = tuple(by_name[name] for name in names)
    # Each borrower has its own order, so that lenders share the work.
    order = rank(f"{site.name}/{table.host.name}", names)
    site.lenders = tuple(by_name[name] for name in order if name != table.host.name)
    site.owners_version = table.live_version


def fair_units(site: Site, name: str) -> int:
    """Return an owner's part of a site's limit when it is split evenly."""
    names = [host.name for host in site.owners]
    if name not in names:
        return 0
    part, rest = divmod(site.limit, len(names))
    return part + (names.index(name) < rest)


def choose_witnesses(table: CapsTable, current: Sequence[str]) -> tuple[str, ...]:
    """Return this host's witnesses: the current ones, the lost ones replaced.

    Spread over availability zones. Never fewer than before: with none left to vote,
    nobody could reclaim this host's share.
    """
    kept = [key for key in current if is_live(table, key)]
    lost = [key for key in current if key not in kept]
    others = {
        host.name: host
        for host in table.region_hosts.get(table.host.region, ())
        if host.name != table.host.name
    }
    used = {owner_name(key) for key in kept}
    zones = [others[name].zone for name in used if name in others]
    candidates = [n for n in rank(table.host.name, others) if n not in used]
    while candidates and len(kept) < WITNESSES:
        name = min(candidates, key=lambda n: _zone_order(table, zones, others[n].zone))
        candidates.remove(name)
        zones.append(others[name].zone)
        kept.append(owner_key(name, others[name].incarnation))
    names = {owner_name(key) for key in kept}
    spare = [key for key in lost if owner_name(key) not in names]
    return tuple(sorted([*kept, *spare[: max(0, len(current) - len(kept))]]))


def _zone_order(table: CapsTable, zones: list[str], zone: str) -> tuple[int, bool]:
    """Prefer zones with few witnesses, then other zones than this host's own."""
    return zones.count(zone), zone == table.host.zone
