"""Assign pools to the hosts that poll them and manage subscriptions to reports."""

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

POLLERS_PER_SERVER: Final = 2
RECENT_USE_SECONDS: Final = 10.0
POLL_INTERVAL_SECONDS: Final = 1.0
SHARE_INTERVAL_SECONDS: Final = 2.0
SUBSCRIPTION_RENEWAL_SECONDS: Final = 20.0
SUBSCRIPTION_EXPIRY_SECONDS: Final = 50.0
POOLS_PER_MESSAGE_MAX: Final = 200


class PollerView(NamedTuple):
    """Pollers of each pool, cached for one set of hosts and records.

    ``names`` maps (region, zone) to the names of the hosts there.
    """

    hosts: Sequence[HostIdentity]
    configuration: Configuration
    names: dict[tuple[str, str], list[str]]
    pollers: dict[PoolKey, tuple[str, ...]]


@dataclass(slots=True)
class SharingTable:
    """Polling and subscription state of one host; times are monotonic seconds.

    ``subscribers`` maps a pool to the hosts that receive its load reports and the
    time when each subscription expires. ``polled_at`` is when a row was last polled.
    ``sent_subscriptions`` holds the pools last requested from each poller and when.
    ``announced_leaving`` holds the rows that peers already know to be leaving.
    ``shared_at`` is when reports were last sent at the regular interval.
    """

    subscribers: dict[PoolKey, dict[str, float]] = field(default_factory=dict)
    polled_at: dict[RowKey, float] = field(default_factory=dict)
    sent_subscriptions: dict[str, tuple[frozenset[PoolKey], float]] = field(
        default_factory=dict
    )
    announced_leaving: set[RowKey] = field(default_factory=set)
    shared_at: float = 0.0
    view: PollerView | None = None


def pollers(
    sharing: SharingTable,
    pool: PoolKey,
    configuration: Configuration,
    hosts: Sequence[HostIdentity],
) -> tuple[str, ...]:
    """Return the hosts that poll a pool's servers, by rendezvous hashing.

    They are chosen from the site's zone, else from its region, else from all hosts.
    Hosts with different views of the live hosts may choose different pollers. This
    only adds some polls, because a host polls every pool that it has a subscription
    for.
    """
    view = _poller_view(sharing, configuration, hosts)
    found = view.pollers.get(pool)
    if found is None:
        service, site = pool
        ranked = rank(f"{service}/{site}", _nearest_host_names(view, site))
        found = view.pollers[pool] = tuple(ranked[:POLLERS_PER_SERVER])
    return found


def used_pools(table: BackendTable, now: float) -> frozenset[PoolKey]:
    """Return the pools that this host has recently sent requests to."""
    return frozenset(
        key
        for key, pool in table.pools.items()
        # A pool stays active for longer than it counts as used.
        if pool.active
        and any(row.in_flight or _is_recently_used(row, now) for row in pool.rows)
    )


def subscriptions_to_send(
    sharing: SharingTable,
    pools_in_use: Iterable[PoolKey],
    configuration: Configuration,
    hosts: Sequence[HostIdentity],
    own_name: str,
    now: float,
) -> dict[str, LoadWanted]:
    """Return the subscriptions to send by poller; add this host's own to the table.

    A poller gets a message when pools are added and each
    ``SUBSCRIPTION_RENEWAL_SECONDS``, because a message may be lost or the poller may
    have restarted.
    """
    subscriptions: dict[str, set[PoolKey]] = {}
    for pool in pools_in_use:
        for name in pollers(sharing, pool, configuration, hosts):
            subscriptions.setdefault(name, set()).add(pool)
    own = subscriptions.pop(own_name, set())
    for pool in own:
        sharing.subscribers.setdefault(pool, {})[own_name] = (
            now + SUBSCRIPTION_EXPIRY_SECONDS
        )
    messages: dict[str, LoadWanted] = {}
    for name, pools in subscriptions.items():
        sent, sent_at = sharing.sent_subscriptions.get(name, (frozenset(), 0.0))
        if pools <= sent and now - sent_at < SUBSCRIPTION_RENEWAL_SECONDS:
            continue
        sharing.sent_subscriptions[name] = (frozenset(pools), now)
        names = sorted(pools)[:POOLS_PER_MESSAGE_MAX]
        messages[name] = LoadWanted(tuple(PoolName(*pool) for pool in names))
    for name in [
        name for name in sharing.sent_subscriptions if name not in subscriptions
    ]:
        del sharing.sent_subscriptions[name]
    return messages


def record_subscription(
    sharing: SharingTable, sender: str, message: LoadWanted, now: float
) -> None:
    """Record or renew a peer's subscription to the load of some pools."""
    for pool in message.pools[:POOLS_PER_MESSAGE_MAX]:
        key = (pool.service, pool.site)
        sharing.subscribers.setdefault(key, {})[sender] = (
            now + SUBSCRIPTION_EXPIRY_SECONDS
        )


def _poller_view(
    sharing: SharingTable, configuration: Configuration, hosts: Sequence[HostIdentity]
) -> PollerView:
    """Return the view for these hosts and records, rebuilt if either changed."""
    view = sharing.view
    has_same_hosts = view is not None and view.hosts is hosts
    if has_same_hosts and view.configuration is configuration:
        return view
    view = PollerView(hosts, configuration, {}, {})
    for host in hosts:
        view.names.setdefault((host.region, host.zone), []).append(host.name)
    sharing.view = view
    return view


def _nearest_host_names(view: PollerView, site_name: str) -> list[str]:
    """Return the hosts in a site's zone, else in its region, else all hosts."""
    site = view.configuration.sites.get(site_name)
    if site is None:
        return []
    hosts_in_zone = view.names.get((site.region, site.zone))
    if hosts_in_zone:
        return list(hosts_in_zone)
    hosts_in_region = [
        name
        for (region, _zone), names in view.names.items()
        if region == site.region
        for name in names
    ]
    return hosts_in_region or [host.name for host in view.hosts]


def _is_recently_used(row: BackendRow, now: float) -> bool:
    """Return True if a request was recently sent to a server."""
    return row.started_at is not None and now - row.started_at < RECENT_USE_SECONDS
