"""Decide who asks backend servers for their load and who is told."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Final, NamedTuple

from greengagepoint.balancing.messages import (
    LoadWanted,
    PoolName,
)
from greengagepoint.balancing.tables import (
    BackendRow,
    BackendTable,
    PoolKey,
    RowKey,
)
from greengagepoint.configuration import Configuration
from greengagepoint.hosts import HostIdentity
from greengagepoint.rendezvous import rank

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
    view = _asker_view(sharing, configuration, hosts)
    found = view.askers.get(pool)
    if found is None:
        service, site = pool
        ranked = rank(f"{service}/{site}", _near_names(view, site))
        found = view.askers[pool] = tuple(ranked[:ASKERS_A_SERVER])
    return found


def used_pools(table: BackendTable, now: float) -> frozenset[PoolKey]:
    """Return the pools that this host has sent requests to lately."""
    return frozenset(
        key
        for key, pool in table.pools.items()
        # A pool stays active for longer than it counts as used.
        if pool.active and any(row.in_flight or _is_used(row, now) for row in pool.rows)
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


def _is_used(row: BackendRow, now: float) -> bool:
    """Tell whether a request was sent to a row lately."""
    return row.started_at is not None and now - row.started_at < USED_SECONDS
