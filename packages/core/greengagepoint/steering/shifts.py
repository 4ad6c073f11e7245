"""Move traffic between sites step by step, together with the other hosts."""

from statistics import median
from typing import Final, NamedTuple

from greengagepoint.configuration import Configuration
from greengagepoint.events import Event
from greengagepoint.steering import hold as holds
from greengagepoint.steering.hold import ServiceTime
from greengagepoint.steering.messages import (
    ShiftProgress,
    ShiftStep,
    version_digest,
)
from greengagepoint.steering.shift_rows import sync_shifts
from greengagepoint.steering.tables import (
    ShiftCause,
    ShiftRow,
    SteeringTable,
    index_shifts,
)

# Wall clocks of two hosts differ by less than this.
CLOCK_BOUND_SECONDS: Final = 2.0
STEP_MAX_SECONDS: Final = 2.0
AHEAD_MAX: Final = 0.1
PEER_FRESH_SECONDS: Final = 10.0
RESUME_WAIT_SECONDS: Final = 5.0


class ShiftEvent(NamedTuple):
    """Something that happened to a shift and is worth an event."""

    event: Event
    shift: str
    fraction: float
    detail: str


def run(
    table: SteeringTable,
    configuration: Configuration,
    failed_regions: frozenset[str],
    service_time: ServiceTime,
    now: float,
    now_wall_ms: int,
) -> list[ShiftEvent]:
    """Move each shift one step; return what happened."""
    sync_shifts(table, configuration, failed_regions, now, now_wall_ms)
    events: list[ShiftEvent] = []
    for row in list(table.shifts.values()):
        seconds = min(STEP_MAX_SECONDS, max(0.0, now - row.last_run))
        row.last_run = now
        if row.resuming:
            _resume(row, now, now_wall_ms)
        else:
            receiving = holds.receiving_seconds(row, configuration, service_time)
            _step(row, seconds, receiving, service_time, now, now_wall_ms, events)
        if not row.identity and row.fraction <= 0:
            del table.shifts[row.name]
    index_shifts(table)
    return events


def is_moving(table: SteeringTable) -> bool:
    """Tell whether any shift is on its way, so that answers are cached briefly."""
    return any(row.moving or row.resuming for row in table.shifts.values())


def progress(table: SteeringTable) -> ShiftProgress | None:
    """Return what to tell other hosts, or None while nothing moves.

    A host that stands still speaks up when another differs from it: else a host
    whose clock is ahead would move alone and never know.
    """
    steps = tuple(
        ShiftStep(row.name, version_digest(row.identity), row.fraction)
        for row in table.shifts.values()
        if not row.resuming and (row.moving or _peers_differ(row))
    )
    return ShiftProgress(steps) if steps else None


def merge_progress(
    table: SteeringTable, sender: str, message: ShiftProgress, now: float
) -> None:
    """Take in how far another host has come; other versions of a record are left."""
    for step in message.steps:
        row = table.shifts.get(step.name)
        if row is None or step.version != version_digest(row.identity):
            continue
        if 0.0 <= step.fraction <= 1.0:
            row.peer_fractions[sender] = (step.fraction, now)


def scheduled_fraction(row: ShiftRow, now_wall_ms: int) -> float:
    """Return how far a shift may have come by its schedule."""
    seconds = (now_wall_ms - row.start_wall_ms) / 1000
    return row.target * min(1.0, max(0.0, seconds / row.ramp_seconds))


def _peers_differ(row: ShiftRow) -> bool:
    """Tell whether any host heard from lately is elsewhere with a shift."""
    return any(
        abs(fraction - row.fraction) > AHEAD_MAX / 2
        for fraction, _heard_at in row.peer_fractions.values()
    )


def _resume(row: ShiftRow, now: float, now_wall_ms: int) -> None:
    """Find out after a restart how far a shift has come.

    The other hosts may have been held back, so their median goes before the
    schedule; starting from nothing would send traffic back to a site that is
    being emptied. The schedule serves where no other host answers in time.
    """
    heard = _peer_median(row, now)
    if heard is not None:
        row.fraction = heard
    elif now - row.first_seen < RESUME_WAIT_SECONDS:
        return
    else:
        row.fraction = scheduled_fraction(row, now_wall_ms)
    row.resuming = False
    row.moving = row.fraction != row.target


def _step(
    row: ShiftRow,
    seconds: float,
    receiving: float | None,
    service_time: ServiceTime,
    now: float,
    now_wall_ms: int,
    events: list[ShiftEvent],
) -> None:
    """Move one shift towards its target as far as time, peers and warmth allow."""
    goal = _goal(row, now, now_wall_ms)
    if goal == row.fraction:
        _stop_if_there(row, events)
        return
    rising = goal > row.fraction
    if not row.moving:
        row.moving = True
        other = row.from_site if rising else row.to_site
        other_seconds = service_time(row.service, other) if other else None
        holds.begin(row.hold, receiving, other_seconds)
        events.append(_begun(row))
    if row.cause is ShiftCause.REGION_FAILED and rising:
        row.fraction = goal
    else:
        step = row.rate * seconds * _pace(row, receiving, now, events)
        _move(row, goal, step)
    _stop_if_there(row, events)


def _move(row: ShiftRow, goal: float, step: float) -> None:
    """Move a fraction by a step at most, and not beyond the goal."""
    if goal > row.fraction:
        row.fraction = min(goal, row.fraction + step)
    else:
        row.fraction = max(goal, row.fraction - step)


def _goal(row: ShiftRow, now: float, now_wall_ms: int) -> float:
    """Return the fraction that a shift may reach now.

    A host whose clock is ahead, or that alone sees no slowing, may lead the
    median of the others by ``AHEAD_MAX`` at most. The schedule only bounds the way
    up: a clock set back never takes traffic back.
    """
    heard = _peer_median(row, now)
    if row.target < row.fraction:
        if heard is None:
            return row.target
        return min(row.fraction, max(row.target, heard - AHEAD_MAX))
    goal = row.target
    if row.cause is not ShiftCause.REGION_FAILED:
        goal = scheduled_fraction(row, now_wall_ms)
    if heard is not None:
        goal = min(goal, heard + AHEAD_MAX)
    return max(row.fraction, goal)


def _peer_median(row: ShiftRow, now: float) -> float | None:
    """Return the median fraction of the hosts heard from lately."""
    for host, (_fraction, heard_at) in list(row.peer_fractions.items()):
        if now - heard_at > PEER_FRESH_SECONDS:
            del row.peer_fractions[host]
    if not row.peer_fractions:
        return None
    return median(fraction for fraction, _heard_at in row.peer_fractions.values())


def _pace(
    row: ShiftRow, receiving: float | None, now: float, events: list[ShiftEvent]
) -> float:
    """Return the part of its rate that the receiving site allows; tell a hold once."""
    before = row.hold.held
    pace = holds.pace(row.hold, receiving, now)
    if row.hold.held and not before:
        seconds = receiving or 0.0
        baseline = row.hold.baseline or 0.0
        detail = f"service time {seconds:.4f} s, baseline {baseline:.4f} s"
        events.append(ShiftEvent(Event.SHIFT_HELD_BACK, row.name, row.fraction, detail))
    return pace


def _begun(row: ShiftRow) -> ShiftEvent:
    """Return the event for a shift that begins to move."""
    event = Event.SHIFT_STARTED
    if row.target < row.fraction:
        event = Event.SHIFT_REVERSED
    return ShiftEvent(event, row.name, row.fraction, f"to {row.target:.3f}")


def _stop_if_there(row: ShiftRow, events: list[ShiftEvent]) -> None:
    """Tell once that a shift has reached its target."""
    if not row.moving or row.fraction != row.target:
        return
    row.moving = False
    row.peer_fractions.clear()
    events.append(ShiftEvent(Event.SHIFT_FINISHED, row.name, row.fraction, row.cause))
