"""Decide who asks backend servers for their load and who is told."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Final, NamedTuple

import xxhash

from greengagepoint.balancing.messages import (
    LoadReports,
    LoadWanted,
    PoolLoad,
    PoolName,
    ServerLoad,
)
from greengagepoint.balancing.reports import InvalidLoadError, check_load, report
from greengagepoint.balancing.tables import (
    BackendRow,
    BackendTable,
    LeavingSource,
    Load,
    Pool,
    PoolKey,
    RowKey,
)
from greengagepoint.configuration import Configuration
from greengagepoint.hosts import HostIdentity

ASKERS_A_SERVER: Final = 2
USED_SECONDS: Final = 10.0
ASK_SECONDS: Final = 1.0
SHARE_SECONDS: Final = 2.0
WANT_SECONDS: Final = 20.0
WANTED_SECONDS: Final = 50.0
POOLS_A_MESSAGE_MAX: Final = 200


class AskerView(NamedTuple):
    """Who asks which pool, worked out for one view of the hosts and records.

    ``names`` maps (region, zone) to the hosts there.
    """

    hosts: Sequence[HostIdentity]
    configuration: Configuration
    names: dict[tuple[str, str], list[str]]
    askers: dict[PoolKey, tuple[str, ...]]


@dataclass(slots=True)
class SharingTable:
    """What one host asks for, and for whom.

    ``wanted`` maps a pool to the hosts that want its load and until when; ``asked``
    tells when a row was last asked. ``wants_sent`` is what each asker was last told
    and when; ``told_leaving`` the rows whose leaving the others have been told.
    """

    wanted: dict[PoolKey, dict[str, float]] = field(default_factory=dict)
    asked: dict[RowKey, float] = field(default_factory=dict)
    wants_sent: dict[str, tuple[frozenset[PoolKey], float]] = field(
        default_factory=dict
    )
    told_leaving: set[RowKey] = field(default_factory=set)
    shared_at: float = 0.0
    view: AskerView | None = None


def askers(
    sharing: SharingTable,
    pool: PoolKey,
    configuration: Configuration,
    hosts: Sequence[HostIdentity],
) -> tuple[str, ...]:
    """Return the hosts that ask a pool's servers, by rendezvous hashing.

    They are of the site's zone, else of its region, else any. Two hosts that see
    different live hosts may name others; that costs a few questions more, for
    whoever is told that a pool is wanted asks.
    """
    view = sharing.view
    if (
        view is None
        or view.hosts is not hosts
        or view.configuration is not configuration
    ):
        view = AskerView(hosts, configuration, {}, {})
        for host in hosts:
            view.names.setdefault((host.region, host.zone), []).append(host.name)
        sharing.view = view
    found = view.askers.get(pool)
    if found is None:
        names = _near_names(view, pool[1])
        names.sort(key=lambda name: xxhash.xxh64_intdigest(f"{name}|{pool}".encode()))
        found = view.askers[pool] = tuple(names[:ASKERS_A_SERVER])
    return found


def used_pools(table: BackendTable, now: float) -> frozenset[PoolKey]:
    """Return the pools that this host has sent requests to lately."""
    return frozenset(
        key
        for key, pool in table.pools.items()
        if any(row.in_flight or _is_used(row, now) for row in pool.rows)
    )


def wants_to_send(
    sharing: SharingTable,
    used: Iterable[PoolKey],
    configuration: Configuration,
    hosts: Sequence[HostIdentity],
    own_name: str,
    now: float,
) -> dict[str, LoadWanted]:
    """Return what to tell other askers; take own wishes into the table.

    An asker is told when the pools change and again each ``WANT_SECONDS``, as a
    message may be lost and an asker may have restarted.
    """
    wants: dict[str, set[PoolKey]] = {}
    for pool in used:
        for name in askers(sharing, pool, configuration, hosts):
            wants.setdefault(name, set()).add(pool)
    own = wants.pop(own_name, set())
    for pool in own:
        sharing.wanted.setdefault(pool, {})[own_name] = now + WANTED_SECONDS
    messages: dict[str, LoadWanted] = {}
    for name, pools in wants.items():
        sent, sent_at = sharing.wants_sent.get(name, (frozenset(), 0.0))
        if pools <= sent and now - sent_at < WANT_SECONDS:
            continue
        sharing.wants_sent[name] = (frozenset(pools), now)
        names = sorted(pools)[:POOLS_A_MESSAGE_MAX]
        messages[name] = LoadWanted(tuple(PoolName(*pool) for pool in names))
    for name in [name for name in sharing.wants_sent if name not in wants]:
        del sharing.wants_sent[name]
    return messages


def note_wanted(
    sharing: SharingTable, sender: str, message: LoadWanted, now: float
) -> None:
    """Remember that another host wants the load of some pools."""
    for pool in message.pools[:POOLS_A_MESSAGE_MAX]:
        key = (pool.service, pool.site)
        sharing.wanted.setdefault(key, {})[sender] = now + WANTED_SECONDS


def rows_to_ask(
    sharing: SharingTable, table: BackendTable, now: float
) -> list[BackendRow]:
    """Return the rows that are wanted and have no report of their own lately.

    An answer's header is as good as being asked, so a busy host asks nearly
    nothing.
    """
    _forget_old(sharing, now)
    due = []
    for key in sharing.wanted:
        pool = table.pools.get(key)
        for row in pool.rows if pool is not None else ():
            row_key = (row.service, row.site, row.name)
            heard = row.reported_at if row.reported_own else float("-inf")
            last = max(heard, sharing.asked.get(row_key, float("-inf")))
            if now - last >= ASK_SECONDS:
                sharing.asked[row_key] = now
                due.append(row)
    return due


def reports_to_send(
    sharing: SharingTable, table: BackendTable, own_name: str, now: float
) -> dict[str, LoadReports]:
    """Return what to tell the hosts that want load.

    All reports of one host go in one message each ``SHARE_SECONDS``; that a server
    leaves is told at the next tick, for until then the others send to it.
    """
    urgent = _newly_leaving(sharing, table)
    is_due = now - sharing.shared_at >= SHARE_SECONDS
    if is_due:
        sharing.shared_at = now
    loads: dict[str, list[PoolLoad]] = {}
    for key, hosts in sharing.wanted.items():
        if not is_due and key not in urgent:
            continue
        pool = table.pools.get(key)
        servers = _server_loads(pool, now) if pool is not None else ()
        if not servers:
            continue
        for host in hosts:
            if host != own_name:
                loads.setdefault(host, []).append(PoolLoad(*key, servers))
    return {
        host: LoadReports(tuple(pools[:POOLS_A_MESSAGE_MAX]))
        for host, pools in loads.items()
    }


def take_reports(
    table: BackendTable, message: LoadReports, now: float
) -> list[BackendRow]:
    """Take in shared reports; return the rows whose report cannot be true."""
    invalid: list[BackendRow] = []
    for pool in message.pools:
        for server in pool.servers:
            row = table.rows.get((pool.service, pool.site, server.name))
            if row is None:
                continue
            load = Load(server.in_flight, server.slots, server.queued, server.leaving)
            try:
                check_load(load)
            except InvalidLoadError:
                invalid.append(row)
                continue
            report(row, load, now, server.age_ms / 1000, own=False)
    return invalid


def _asker_view(
    sharing: SharingTable, configuration: Configuration, hosts: Sequence[HostIdentity]
) -> AskerView:
    """Return what is worked out for these hosts and records, anew if they changed."""
    view = sharing.view
    same = view is not None and view.hosts is hosts
    if same and view.configuration is configuration:
        return view
    view = AskerView(hosts, configuration, {}, {})
    for host in hosts:
        view.names.setdefault((host.region, host.zone), []).append(host.name)
    sharing.view = view
    return view


def _near_names(view: AskerView, site_name: str) -> list[str]:
    """Return the names of the hosts nearest to a site."""
    site = view.configuration.sites.get(site_name)
    if site is None:
        return []
    nearest = view.names.get((site.region, site.zone))
    if nearest:
        return list(nearest)
    near = [
        name
        for (region, _zone), names in view.names.items()
        if region == site.region
        for name in names
    ]
    return near or [host.name for host in view.hosts]


def _server_loads(pool: Pool, now: float) -> tuple[ServerLoad, ...]:
    """Return a pool's reports that came from the servers themselves.

    What other hosts told is left out: passed on and back it would never grow old.
    """
    return tuple(
        ServerLoad(
            row.name,
            max(0, round((now - row.reported_at) * 1000)),
            row.reported.in_flight,
            row.reported.slots,
            row.reported.queued,
            row.reported.leaving,
        )
        for row in pool.rows
        if row.reported is not None
        and row.reported_own
        and now - row.reported_at < USED_SECONDS
    )


def _newly_leaving(sharing: SharingTable, table: BackendTable) -> set[PoolKey]:
    """Return the pools of servers that have just said that they leave."""
    pools: set[PoolKey] = set()
    leaving = {
        key
        for key, row in table.rows.items()
        if row.reported_own and LeavingSource.OWN_SIGNAL in row.leaving
    }
    for key in leaving - sharing.told_leaving:
        pools.add(key[:2])
    sharing.told_leaving = leaving
    return pools


def _is_used(row: BackendRow, now: float) -> bool:
    """Tell whether a request was sent to a row lately."""
    return row.started_at is not None and now - row.started_at < USED_SECONDS


def _forget_old(sharing: SharingTable, now: float) -> None:
    """Forget wishes that have not been repeated."""
    for key, hosts in list(sharing.wanted.items()):
        for host in [host for host, until in hosts.items() if until <= now]:
            del hosts[host]
        if not hosts:
            del sharing.wanted[key]
    if len(sharing.asked) > 2 * POOLS_A_MESSAGE_MAX:
        oldest = now - WANTED_SECONDS
        sharing.asked = {
            key: asked for key, asked in sharing.asked.items() if asked > oldest
        }
