"""Poll backend servers for their load and share the reports with peers."""

from typing import Final

from greengagepoint.balancing.messages import LoadReports, PoolLoad, ServerLoad
from greengagepoint.balancing.reports import (
    InvalidLoadError,
    check_load,
    record_load_report,
)
from greengagepoint.balancing.sharing import (
    POLL_INTERVAL_SECONDS,
    POOLS_PER_MESSAGE_MAX,
    RECENT_USE_SECONDS,
    SHARE_INTERVAL_SECONDS,
    SUBSCRIPTION_EXPIRY_SECONDS,
    SharingTable,
)
from greengagepoint.balancing.tables import (
    BackendRow,
    BackendTable,
    LeavingSource,
    Load,
    Pool,
    PoolKey,
)

SUBSCRIBERS_AT_FULL_RATE: Final = 16


def rows_to_poll(
    sharing: SharingTable, table: BackendTable, now: float
) -> list[BackendRow]:
    """Return the subscribed rows without a recent direct report and mark them polled.

    A load header in an answer counts as a report, so a host that sends many requests
    polls very little.
    """
    _remove_expired(sharing, now)
    due = []
    for key in sharing.subscribers:
        pool = table.pools.get(key)
        for row in pool.rows if pool is not None else ():
            row_key = (row.service, row.site, row.name)
            direct_report_at = (
                row.reported_at if row.reported_directly else float("-inf")
            )
            last_known_at = max(
                direct_report_at, sharing.polled_at.get(row_key, float("-inf"))
            )
            if now - last_known_at >= POLL_INTERVAL_SECONDS:
                sharing.polled_at[row_key] = now
                due.append(row)
    return due


def reports_to_send(
    sharing: SharingTable, table: BackendTable, own_name: str, now: float
) -> dict[str, LoadReports]:
    """Return the load reports to send, by subscribed host.

    All reports for one host go in one message each ``SHARE_INTERVAL_SECONDS``. With
    more than ``SUBSCRIBERS_AT_FULL_RATE`` subscribers the interval grows, which bounds
    a poller's messages per second. A server that starts leaving is announced at the
    next tick, because peers keep sending requests to it until then.
    """
    urgent = _newly_leaving_pools(sharing, table)
    subscriber_count = len(
        {host for hosts in sharing.subscribers.values() for host in hosts}
    )
    interval = SHARE_INTERVAL_SECONDS * max(
        1.0, subscriber_count / SUBSCRIBERS_AT_FULL_RATE
    )
    is_due = now - sharing.shared_at >= interval
    if is_due:
        sharing.shared_at = now
    loads: dict[str, list[PoolLoad]] = {}
    for key, hosts in sharing.subscribers.items():
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
        host: LoadReports(tuple(pools[:POOLS_PER_MESSAGE_MAX]))
        for host, pools in loads.items()
    }


def apply_shared_reports(
    table: BackendTable, message: LoadReports, now: float
) -> list[BackendRow]:
    """Apply a peer's load reports; return the rows whose report is out of range."""
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
            record_load_report(row, load, now, server.age_ms / 1000, direct=False)
    return invalid


def _server_loads(pool: Pool, now: float) -> tuple[ServerLoad, ...]:
    """Return a pool's recent reports that came directly from its servers.

    Reports received from peers are left out: forwarded back and forth between hosts,
    an old report would look new forever.
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
        and row.reported_directly
        and now - row.reported_at < RECENT_USE_SECONDS
    )


def _newly_leaving_pools(sharing: SharingTable, table: BackendTable) -> set[PoolKey]:
    """Return the pools of servers whose own leaving signal is new."""
    pools: set[PoolKey] = set()
    rows = [row for pool in table.pools.values() if pool.active for row in pool.rows]
    rows += [table.rows[key] for key in sharing.announced_leaving if key in table.rows]
    leaving = {
        (row.service, row.site, row.name)
        for row in rows
        if row.reported_directly and LeavingSource.OWN_SIGNAL in row.leaving
    }
    for key in leaving - sharing.announced_leaving:
        pools.add(key[:2])
    sharing.announced_leaving = leaving
    return pools


def _remove_expired(sharing: SharingTable, now: float) -> None:
    """Remove expired subscriptions and old poll times."""
    for key, hosts in list(sharing.subscribers.items()):
        for host in [host for host, until in hosts.items() if until <= now]:
            del hosts[host]
        if not hosts:
            del sharing.subscribers[key]
    if len(sharing.polled_at) > 2 * POOLS_PER_MESSAGE_MAX:
        oldest_kept = now - SUBSCRIPTION_EXPIRY_SECONDS
        sharing.polled_at = {
            key: polled_at
            for key, polled_at in sharing.polled_at.items()
            if polled_at > oldest_kept
        }
