"""Run the periodic tasks for backend servers: ejection, slow start, leaving."""

from typing import Final, NamedTuple

from greengagepoint.balancing.reports import DISTRUST_THRESHOLD
from greengagepoint.balancing.rows import drop_removed_rows
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
EJECTION_COUNT_RESET_SECONDS: Final = 300.0
WARM_WINDOW_SECONDS: Final = 10.0


class BackendEvent(NamedTuple):
    """State change of a backend server, to be recorded as an event."""

    event: Event
    service: str
    site: str
    backend_server: str
    detail: str


def run(table: BackendTable, now: float) -> list[BackendEvent]:
    """Eject and readmit servers, update their state and return the events."""
    events: list[BackendEvent] = []
    has_removed_rows = False
    for pool in table.pools.values():
        if not pool.active:
            continue
        for row in pool.rows:
            _readmit(row, now, events)
            _lower_warm_connections(row, now)
            _emit_state_events(row, events)
            has_removed_rows = (
                has_removed_rows or LeavingSource.RECORD_REMOVED in row.leaving
            )
        _eject(pool, now, events)
        pool.active = not all(_is_idle(row) for row in pool.rows)
    if has_removed_rows:
        drop_removed_rows(table)
    return events


def _is_idle(row: BackendRow) -> bool:
    """Return True if a row needs no periodic work until its next use or change.

    Checking the rows of all sites on each tick would take several times the processor
    time that control may use, mostly for sites to which this host sends no requests.
    """
    busy = row.in_flight or row.warm_connections or row.peak_in_flight
    failing = row.ejection_pending or row.ejected_until is not None
    return not busy and not failing


def ejected_max(servers: int) -> int:
    """Return how many of a pool's servers may be ejected at once.

    When most servers fail, a bad request or a broken link is a more likely cause
    than the servers. Ejecting them all would turn a partial failure into a complete
    one.
    """
    if servers < 2:
        return 0
    return max(1, int(servers * EJECTED_FRACTION_MAX))


def _eject(pool: Pool, now: float, events: list[BackendEvent]) -> None:
    """Eject servers pending ejection, highest failure rate first, up to the limit."""
    not_leaving = [row for row in pool.rows if not row.leaving]
    ejected = sum(row.ejected_until is not None for row in not_leaving)
    pending = [row for row in not_leaving if row.ejection_pending]
    pending.sort(key=lambda row: -row.failure_rate)
    for row in pending[: max(0, ejected_max(len(not_leaving)) - ejected)]:
        if now - row.readmitted_at > EJECTION_COUNT_RESET_SECONDS:
            row.ejections = 0
        row.ejections += 1
        seconds = min(EJECTION_MAX_SECONDS, EJECTION_SECONDS * row.ejections)
        row.ejected_until = now + seconds
        row.ejection_pending = False
        detail = f"{row.consecutive_failures} failures in a row; {seconds:.0f} s"
        events.append(_event(Event.BACKEND_SERVER_EJECTED, row, detail))


def _readmit(row: BackendRow, now: float, events: list[BackendEvent]) -> None:
    """Readmit a server when its ejection ends and begin slow start."""
    until = row.ejected_until
    if until is None:
        return
    if now < until:
        return
    row.ejected_until = None
    row.readmitted_at = now
    row.consecutive_failures = 0
    row.failure_rate = 0.0
    row.slow_start_from = now
    events.append(_event(Event.BACKEND_SERVER_READMITTED, row, "slow start"))


def _lower_warm_connections(row: BackendRow, now: float) -> None:
    """Lower the estimate of open connections to the peak of the last window."""
    if now - row.window_started_at < WARM_WINDOW_SECONDS:
        return
    row.warm_connections = max(row.peak_in_flight, row.in_flight)
    row.peak_in_flight = row.in_flight
    row.window_started_at = now


def _emit_state_events(row: BackendRow, events: list[BackendEvent]) -> None:
    """Emit one event each when a server starts leaving, is drained or is distrusted."""
    if bool(row.leaving) != row.leaving_event_emitted:
        row.leaving_event_emitted = bool(row.leaving)
        if row.leaving:
            sources = ", ".join(sorted(row.leaving))
            events.append(_event(Event.BACKEND_SERVER_LEAVING, row, sources))
    if row.leaving and row.in_flight == 0 and not row.drained_event_emitted:
        row.drained_event_emitted = True
        events.append(_event(Event.BACKEND_SERVER_DRAINED, row, ""))
    distrusted = row.trust < DISTRUST_THRESHOLD
    if distrusted != row.distrust_event_emitted:
        row.distrust_event_emitted = distrusted
        if distrusted:
            detail = f"trust {row.trust:.2f}"
            events.append(_event(Event.LOAD_REPORT_DISTRUSTED, row, detail))


def _event(event: Event, row: BackendRow, detail: str) -> BackendEvent:
    """Build an event for a server."""
    return BackendEvent(event, row.service, row.site, row.name, detail)
