"""Keep the rows of backend servers in step with the records."""

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
    """Add, change and mark rows as the records say.

    Cheap when neither the records nor the set of begun drains has changed, so it
    may run each tick and right after a change of configuration.
    """
    due = table.next_drain_wall_ms
    if _is_known(table, configuration) and (due is None or now_wall_ms < due):
        table.synced = configuration
        return
    first = not table.rows
    wanted = _wanted(configuration)
    for key, server in wanted.items():
        _sync_row(table, key, server, now, first)
    for key, row in list(table.rows.items()):
        if key not in wanted:
            row.leaving.add(LeavingSource.RECORD_REMOVED)
    _mark_drains(table, configuration, now_wall_ms)
    drop_gone_rows(table)
    _index_pools(table)
    table.synced = configuration


def _is_known(table: BackendTable, configuration: Configuration) -> bool:
    """Tell whether the rows say what these records say.

    Most changes touch neither sites nor drains. Records that no change touched are
    the same objects, so comparing a thousand sites takes microseconds, where walking
    the rows of all their servers would stall the daemon for some 60 ms a change.
    """
    synced = table.synced
    if synced is configuration:
        return True
    return synced.sites == configuration.sites and synced.drains == configuration.drains


def drop_gone_rows(table: BackendTable) -> None:
    """Forget rows that no record names once nothing is in flight to them."""
    gone = [
        key
        for key, row in table.rows.items()
        if LeavingSource.RECORD_REMOVED in row.leaving and row.in_flight == 0
    ]
    for key in gone:
        row = table.rows.pop(key)
        pool = table.pools.get(key[:2])
        if pool is not None and row in pool.rows:
            pool.rows.remove(row)


def set_listed_leaving(table: BackendTable, names: frozenset[str]) -> None:
    """Take over from the host list which backend servers are leaving."""
    for row in table.rows.values():
        row.pool.active = True
        if row.name in names:
            row.leaving.add(LeavingSource.HOST_LIST)
        else:
            row.leaving.discard(LeavingSource.HOST_LIST)


def _wanted(configuration: Configuration) -> dict[RowKey, BackendServer]:
    """Return the backend servers that the records name."""
    return {
        (server.service, site.name, server.name): server
        for site in configuration.sites.values()
        for server in site.backend_servers
    }


def _sync_row(
    table: BackendTable, key: RowKey, server: BackendServer, now: float, first: bool
) -> None:
    """Make or change the row of one backend server.

    A row with a new address is a new backend server: its caches are cold. Rows
    made at this host's own start don't ramp, for the servers are not new.
    """
    row = table.rows.get(key)
    if row is not None and row.address == server.address:
        row.slots = server.slots
        row.connections = server.connections
        if LeavingSource.RECORD_REMOVED in row.leaving:
            row.leaving.discard(LeavingSource.RECORD_REMOVED)
            row.drained_told = False
        return
    table.rows[key] = BackendRow(
        name=server.name,
        service=server.service,
        site=key[1],
        address=server.address,
        slots=server.slots,
        connections=server.connections,
        window_from=now,
        slow_start_from=None if first else now,
    )


def _mark_drains(
    table: BackendTable, configuration: Configuration, now_wall_ms: int
) -> None:
    """Mark rows under a drain that has begun and find when the next one begins."""
    begun: set[str] = set()
    table.next_drain_wall_ms = None
    for drain in configuration.drains.values():
        if drain.target_kind is not DrainTarget.BACKEND_SERVER:
            continue
        start = wall_milliseconds(drain.start_at)
        if start <= now_wall_ms:
            begun.add(drain.target)
            continue
        due = table.next_drain_wall_ms
        table.next_drain_wall_ms = start if due is None else min(due, start)
    for row in table.rows.values():
        if row.name in begun or f"{row.site}/{row.name}" in begun:
            row.leaving.add(LeavingSource.DRAIN_RECORD)
        elif LeavingSource.DRAIN_RECORD in row.leaving:
            row.leaving.discard(LeavingSource.DRAIN_RECORD)
            row.drained_told = False


def _index_pools(table: BackendTable) -> None:
    """Group rows into pools, keeping what the pools have measured."""
    for pool in table.pools.values():
        pool.rows = []
        pool.active = True
    for (service, site, _name), row in sorted(table.rows.items()):
        pool = table.pools.setdefault((service, site), Pool())
        pool.rows.append(row)
        row.pool = pool
    for key in [key for key, pool in table.pools.items() if not pool.rows]:
        del table.pools[key]
