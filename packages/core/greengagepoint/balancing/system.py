"""Run the periodic work on backend servers: ejection, slow start, leaving."""

from typing import Final, NamedTuple

from greengagepoint.balancing.reports import DISTRUST_BELOW
from greengagepoint.balancing.rows import drop_gone_rows
from greengagepoint.balancing.tables import (
    BackendRow,
    BackendTable,
    LeavingSource,
    Pool,
)
from greengagepoint.events import Event

EJECTION_SECONDS: Final = 5.0
EJECTION_MAX_SECONDS: Final = 60.0
EJECTED_FRACTION_MAX: Final = 1 / 3
EJECTIONS_FORGOTTEN_SECONDS: Final = 300.0
WARM_WINDOW_SECONDS: Final = 10.0


class BackendEvent(NamedTuple):
    """Something that happened to a backend server and is worth an event."""

    event: Event
    service: str
    site: str
    backend_server: str
    detail: str


def run(table: BackendTable, now: float) -> list[BackendEvent]:
    """Eject, readmit and age rows; return what happened."""
    events: list[BackendEvent] = []
    gone = False
    for pool in table.pools.values():
        if not pool.active:
            continue
        for row in pool.rows:
            _readmit(row, now, events)
            _age_connections(row, now)
            _tell_changes(row, events)
            gone = gone or LeavingSource.RECORD_REMOVED in row.leaving
        _eject(pool, now, events)
        pool.active = not all(_is_at_rest(row) for row in pool.rows)
    if gone:
        drop_gone_rows(table)
    return events


def _is_at_rest(row: BackendRow) -> bool:
    """Tell whether a row stays as it is until it is used, reported or changed.

    Walking the rows of all sites each tick would take several times the processor
    time that control may take, mostly for sites to which this host sends nothing.
    """
    busy = row.in_flight or row.warm or row.window_peak
    failing = row.ejection_wanted or row.ejected_until is not None
    return not busy and not failing


def ejected_max(servers: int) -> int:
    """Return how many of a pool's servers may be ejected at once.

    When most servers fail, the cause is more likely a bad request or a cut link
    than the servers; ejecting them all would turn a partial failure into a whole
    one.
    """
    if servers < 2:
        return 0
    return max(1, int(servers * EJECTED_FRACTION_MAX))


def _eject(pool: Pool, now: float, events: list[BackendEvent]) -> None:
    """Eject rows that failed too often, the worst first, within the bound."""
    staying = [row for row in pool.rows if not row.leaving]
    ejected = sum(row.ejected_until is not None for row in staying)
    wanted = [row for row in staying if row.ejection_wanted]
    wanted.sort(key=lambda row: -row.failure_rate)
    for row in wanted[: max(0, ejected_max(len(staying)) - ejected)]:
        if now - row.readmitted_at > EJECTIONS_FORGOTTEN_SECONDS:
            row.ejections = 0
        row.ejections += 1
        seconds = min(EJECTION_MAX_SECONDS, EJECTION_SECONDS * row.ejections)
        row.ejected_until = now + seconds
        row.ejection_wanted = False
        detail = f"{row.failures_in_row} failures in a row; {seconds:.0f} s"
        events.append(_event(Event.BACKEND_SERVER_EJECTED, row, detail))


def _readmit(row: BackendRow, now: float, events: list[BackendEvent]) -> None:
    """Readmit an ejected row when its time is over, with slow start."""
    until = row.ejected_until
    if until is None:
        return
    if now < until:
        return
    row.ejected_until = None
    row.readmitted_at = now
    row.failures_in_row = 0
    row.failure_rate = 0.0
    row.slow_start_from = now
    events.append(_event(Event.BACKEND_SERVER_READMITTED, row, "slow start"))


def _age_connections(row: BackendRow, now: float) -> None:
    """Lower the estimate of open connections to the newest window's peak."""
    if now - row.window_from < WARM_WINDOW_SECONDS:
        return
    row.warm = max(row.window_peak, row.in_flight)
    row.window_peak = row.in_flight
    row.window_from = now


def _tell_changes(row: BackendRow, events: list[BackendEvent]) -> None:
    """Tell once when a row begins to leave, is empty, or is distrusted."""
    if bool(row.leaving) != row.leaving_told:
        row.leaving_told = bool(row.leaving)
        if row.leaving:
            sources = ", ".join(sorted(row.leaving))
            events.append(_event(Event.BACKEND_SERVER_LEAVING, row, sources))
    if row.leaving and row.in_flight == 0 and not row.drained_told:
        row.drained_told = True
        events.append(_event(Event.BACKEND_SERVER_DRAINED, row, ""))
    distrusted = row.trust < DISTRUST_BELOW
    if distrusted != row.distrust_told:
        row.distrust_told = distrusted
        if distrusted:
            detail = f"trust {row.trust:.2f}"
            events.append(_event(Event.LOAD_REPORT_DISTRUSTED, row, detail))


def _event(event: Event, row: BackendRow, detail: str) -> BackendEvent:
    """Build an event about a row."""
    return BackendEvent(event, row.service, row.site, row.name, detail)
