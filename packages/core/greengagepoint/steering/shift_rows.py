"""Keep the rows of shifts in step with records, drains and failed regions."""

from typing import Final, NamedTuple

from greengagepoint.configuration import Configuration
from greengagepoint.records.schemas import Drain, DrainTarget, Shift
from greengagepoint.steering.schedule import wall_milliseconds
from greengagepoint.steering.tables import ShiftCause, ShiftRow, SteeringTable

DRAIN_RAMP_SECONDS: Final = 30.0
RETURN_RAMP_SECONDS: Final = 60.0
RAMP_MIN_SECONDS: Final = 1.0


class WantedShift(NamedTuple):
    """What the records or the state of a region ask for."""

    cause: ShiftCause
    service: str | None
    from_site: str
    to_site: str | None
    identity: str
    target: float
    ramp_seconds: float
    start_wall_ms: int


def sync_shifts(
    table: SteeringTable,
    configuration: Configuration,
    failed_regions: frozenset[str],
    now: float,
    now_wall_ms: int,
) -> None:
    """Add rows, take over changed ones and turn those no longer wanted back.

    A row whose record was replaced goes on from the fraction it has; one whose
    record is gone goes back to nothing at the same rate.
    """
    wanted = wanted_shifts(configuration, failed_regions, now_wall_ms)
    for name, shift in wanted.items():
        row = table.shifts.get(name)
        if row is None or _moves_elsewhere(row, shift):
            row = make_row(name, shift, now)
            row.resuming = _may_be_under_way(table, shift, now_wall_ms)
            table.shifts[name] = row
        elif row.identity != shift.identity:
            _take_over(row, shift)
    for name, row in table.shifts.items():
        if name not in wanted and row.identity:
            _turn_back(row)
    table.primed = table.primed or configuration.generation > 0


def wanted_shifts(
    configuration: Configuration, failed_regions: frozenset[str], now_wall_ms: int
) -> dict[str, WantedShift]:
    """Return the shifts that are asked for, by a name that is the same everywhere."""
    wanted = {
        f"shift/{name}": _scheduled(record)
        for name, record in configuration.shifts.items()
    }
    for name, drain in configuration.drains.items():
        if drain.target_kind is DrainTarget.SITE:
            wanted[f"drain/{name}"] = _drained(drain)
    if not failed_regions:
        return wanted
    for site in configuration.sites.values():
        if site.region in failed_regions:
            name = f"region/{site.region}/{site.name}"
            wanted[name] = _failed(site.name, now_wall_ms)
    return wanted


def make_row(name: str, shift: WantedShift, now: float) -> ShiftRow:
    """Return a row that has not moved anything yet."""
    return ShiftRow(
        name=name,
        cause=shift.cause,
        service=shift.service,
        from_site=shift.from_site,
        to_site=shift.to_site,
        identity=shift.identity,
        target=shift.target,
        rate=shift.target / shift.ramp_seconds,
        ramp_seconds=shift.ramp_seconds,
        start_wall_ms=shift.start_wall_ms,
        first_seen=now,
        last_run=now,
    )


def _turn_back(row: ShiftRow) -> None:
    """Let a shift that nothing asks for any more go back to nothing."""
    row.target = 0.0
    row.identity = ""
    row.resuming = False
    row.moving = False
    row.peer_fractions.clear()


def _may_be_under_way(
    table: SteeringTable, shift: WantedShift, now_wall_ms: int
) -> bool:
    """Tell whether other hosts may have moved traffic before this one started.

    Only rows of the first configuration after a start can be: a record that comes
    later is new to all hosts, and its ramp begins at nothing even where its start
    has passed, or the time that records take to arrive would be a jump.
    """
    if table.primed or shift.cause is ShiftCause.REGION_FAILED:
        return False
    return shift.start_wall_ms <= now_wall_ms


def _scheduled(record: Shift) -> WantedShift:
    """Return what an operator's shift asks for."""
    return WantedShift(
        cause=ShiftCause.SCHEDULED,
        service=record.service,
        from_site=record.from_site,
        to_site=record.to_site,
        identity=f"{record.start_at} {record.fraction} {record.ramp_seconds}",
        target=record.fraction,
        ramp_seconds=max(RAMP_MIN_SECONDS, float(record.ramp_seconds)),
        start_wall_ms=wall_milliseconds(record.start_at),
    )


def _drained(drain: Drain) -> WantedShift:
    """Return what the drain of a site asks for.

    Half the time until the site leaves is kept for requests to end in.
    """
    start = wall_milliseconds(drain.start_at)
    ramp = DRAIN_RAMP_SECONDS
    if drain.leave_at is not None:
        seconds = (wall_milliseconds(drain.leave_at) - start) / 1000
        ramp = max(RAMP_MIN_SECONDS, min(ramp, seconds / 2))
    return WantedShift(
        cause=ShiftCause.SITE_DRAINED,
        service=None,
        from_site=drain.target,
        to_site=None,
        identity=f"{drain.start_at} {drain.leave_at}",
        target=1.0,
        ramp_seconds=ramp,
        start_wall_ms=start,
    )


def _failed(site: str, now_wall_ms: int) -> WantedShift:
    """Return what a failed region asks for at one of its sites.

    Nothing can be sent there, so the whole moves at once; the ramp is for the way
    back, when the region's caches are cold.
    """
    return WantedShift(
        cause=ShiftCause.REGION_FAILED,
        service=None,
        from_site=site,
        to_site=None,
        identity="failed",
        target=1.0,
        ramp_seconds=RETURN_RAMP_SECONDS,
        start_wall_ms=now_wall_ms,
    )


def _moves_elsewhere(row: ShiftRow, shift: WantedShift) -> bool:
    """Tell whether a replaced record names other sites or another service."""
    return (row.service, row.from_site, row.to_site) != (
        shift.service,
        shift.from_site,
        shift.to_site,
    )


def _take_over(row: ShiftRow, shift: WantedShift) -> None:
    """Change a row to its replaced record, keeping what it has moved."""
    row.identity = shift.identity
    row.target = shift.target
    row.ramp_seconds = shift.ramp_seconds
    row.rate = max(row.fraction, shift.target) / shift.ramp_seconds
    row.start_wall_ms = shift.start_wall_ms
    row.moving = False
