"""Ask backend servers for their load and pass on what they say."""

from typing import Final

from greengagepoint.balancing.messages import LoadReports, PoolLoad, ServerLoad
from greengagepoint.balancing.reports import InvalidLoadError, check_load, report
from greengagepoint.balancing.sharing import (
    ASK_SECONDS,
    POOLS_A_MESSAGE_MAX,
    SHARE_SECONDS,
    USED_SECONDS,
    WANTED_SECONDS,
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

LISTENERS_AT_FULL_RATE: Final = 16


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

    All reports for one host go in one message each ``SHARE_SECONDS``, less often
    when many hosts want them, so that an asker's messages a second are bounded. That
    a server leaves is told at the next tick, for until then the others send to it.
    """
    urgent = _newly_leaving(sharing, table)
    listeners = len({host for hosts in sharing.wanted.values() for host in hosts})
    interval = SHARE_SECONDS * max(1.0, listeners / LISTENERS_AT_FULL_RATE)
    is_due = now - sharing.shared_at >= interval
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
    rows = [row for pool in table.pools.values() if pool.active for row in pool.rows]
    rows += [table.rows[key] for key in sharing.told_leaving if key in table.rows]
    leaving = {
        (row.service, row.site, row.name)
        for row in rows
        if row.reported_own and LeavingSource.OWN_SIGNAL in row.leaving
    }
    for key in leaving - sharing.told_leaving:
        pools.add(key[:2])
    sharing.told_leaving = leaving
    return pools


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
