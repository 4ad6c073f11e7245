"""Synchronize the rows of backend servers with the records."""

from greengagepoint.balancing.tables import (
    BackendRow,
    BackendTable,
    LeavingSource,
    Pool,
    RowKey,
)
from greengagepoint.configuration import Configuration
from greengagepoint.records.schemas import BackendServer, DrainTarget
from greengagepoint.steering.schedule import wall_milliseconds


def sync_rows(
    table: BackendTable, configuration: Configuration, now: float, now_wall_ms: int
) -> None:
    """Add and update rows and mark leaving ones according to the records.

    Cheap if no site or drain record has changed and no planned drain has begun, so
    it may run on each tick and after each change of the configuration.
    """
    due = table.next_drain_wall_ms
    if _is_up_to_date(table, configuration) and (due is None or now_wall_ms < due):
        table.synced_configuration = configuration
        return
    is_initial = not table.rows
    servers = _configured_servers(configuration)
    for key, server in servers.items():
        _sync_row(table, key, server, now, is_initial)
    for key, row in list(table.rows.items()):
        if key not in servers:
            row.leaving.add(LeavingSource.RECORD_REMOVED)
    _mark_drains(table, configuration, now_wall_ms)
    drop_removed_rows(table)
    _index_pools(table)
    table.synced_configuration = configuration


def _is_up_to_date(table: BackendTable, configuration: Configuration) -> bool:
    """Return True if the sites and drains are the same as at the last update.

    Most changes affect neither sites nor drains. Unchanged records are the same
    objects, so comparing a thousand sites takes microseconds. Iterating over the rows
    of all their servers would block the daemon for about 60 ms per change.
    """
    synced_configuration = table.synced_configuration
    if synced_configuration is configuration:
        return True
    return (
        synced_configuration.sites == configuration.sites
        and synced_configuration.drains == configuration.drains
    )


def drop_removed_rows(table: BackendTable) -> None:
    """Drop rows whose record was removed and that have no requests in flight."""
    removed_keys = [
        key
        for key, row in table.rows.items()
        if LeavingSource.RECORD_REMOVED in row.leaving and row.in_flight == 0
    ]
    for key in removed_keys:
        row = table.rows.pop(key)
        pool = table.pools.get(key[:2])
        if pool is not None and row in pool.rows:
            pool.rows.remove(row)


def set_listed_leaving(table: BackendTable, names: frozenset[str]) -> None:
    """Set which backend servers are leaving according to the host list."""
    for row in table.rows.values():
        row.pool.active = True
        if row.name in names:
            row.leaving.add(LeavingSource.HOST_LIST)
        else:
            row.leaving.discard(LeavingSource.HOST_LIST)


def _configured_servers(configuration: Configuration) -> dict[RowKey, BackendServer]:
    """Return the backend servers in the records."""
    return {
        (server.service, site.name, server.name): server
        for site in configuration.sites.values()
        for server in site.backend_servers
    }


def _sync_row(
    table: BackendTable,
    key: RowKey,
    server: BackendServer,
    now: float,
    is_initial: bool,
) -> None:
    """Create or update the row of one backend server.

    A new address means a new backend server with cold caches, so its row is replaced.
    Rows created when this host starts skip slow start, because the servers are not
    new.
    """
    row = table.rows.get(key)
    if row is not None and row.address == server.address:
        row.slots = server.slots
        row.connections = server.connections
        if LeavingSource.RECORD_REMOVED in row.leaving:
            row.leaving.discard(LeavingSource.RECORD_REMOVED)
            row.drained_event_emitted = False
        return
    table.rows[key] = BackendRow(
        name=server.name,
        service=server.service,
        site=key[1],
        address=server.address,
        slots=server.slots,
        connections=server.connections,
        window_started_at=now,
        slow_start_from=None if is_initial else now,
    )


def _mark_drains(
    table: BackendTable, configuration: Configuration, now_wall_ms: int
) -> None:
    """Mark rows with a drain in progress and compute when the next drain begins."""
    draining: set[str] = set()
    table.next_drain_wall_ms = None
    for drain in configuration.drains.values():
        if drain.target_kind is not DrainTarget.BACKEND_SERVER:
            continue
        start = wall_milliseconds(drain.start_at)
        if start <= now_wall_ms:
            draining.add(drain.target)
            continue
        due = table.next_drain_wall_ms
        table.next_drain_wall_ms = start if due is None else min(due, start)
    for row in table.rows.values():
        if row.name in draining or f"{row.site}/{row.name}" in draining:
            row.leaving.add(LeavingSource.DRAIN_RECORD)
        elif LeavingSource.DRAIN_RECORD in row.leaving:
            row.leaving.discard(LeavingSource.DRAIN_RECORD)
            row.drained_event_emitted = False


def _index_pools(table: BackendTable) -> None:
    """Group rows into pools, keeping the statistics of existing pools."""
    for pool in table.pools.values():
        pool.rows = []
        pool.active = True
    for (service, site, _name), row in sorted(table.rows.items()):
        pool = table.pools.setdefault((service, site), Pool())
        pool.rows.append(row)
        row.pool = pool
    for key in [key for key, pool in table.pools.items() if not pool.rows]:
        del table.pools[key]
