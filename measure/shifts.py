"""Measure shifts onto cold caches: by the clock alone and held back."""

from dataclasses import dataclass, field
from statistics import median
from typing import Final, NamedTuple

from greengagepoint.configuration import EMPTY, Configuration
from greengagepoint.records.schemas import Shift, Site
from greengagepoint.steering.shifts import (
    merge_progress,
    progress,
    scheduled_fraction,
)
from greengagepoint.steering.shifts import (
    run as run_shifts,
)
from greengagepoint.steering.tables import SteeringTable
from measure.figure import Figure

HOSTS: Final = 12
REQUESTS_A_SECOND: Final = 400.0
SLOTS: Final = 60
WARM_SECONDS: Final = 0.050
COLD_FACTOR: Final = 6.0
# Part of the cold objects that one request warms.
WARMED_BY_REQUEST: Final = 1 / 10_000
RAMP_SECONDS: Final = 20
START_SECONDS: Final = 5.0
TICK_SECONDS: Final = 0.5
MEASURING_LAG_TICKS: Final = 4
LAST_SECONDS: Final = 900.0
OVERLOAD_SECONDS: Final = 0.5
CLOCK_ERRORS: Final = (-2.0, 2.0, 0.5, -0.5, 1.0, -1.0)
TOLD: Final = 2


class Outcome(NamedTuple):
    """What a shift did at its destination.

    ``late`` counts requests that met a response time over ``OVERLOAD_SECONDS``;
    ``spread`` is the widest gap between two hosts' fractions.
    """

    slowest_seconds: float
    late: float
    finished_seconds: float
    spread: float


@dataclass(slots=True)
class Destination:
    """A site with cold caches, slots and a queue, as a flow of requests."""

    warmth: float = 0.0
    queue: float = 0.0
    seen: list[float] = field(default_factory=list)

    def step(self, fraction: float) -> float:
        """Serve one tick; return the response time of requests that come in it."""
        rate = REQUESTS_A_SECOND * fraction
        service = WARM_SECONDS * (1.0 + (COLD_FACTOR - 1.0) * (1.0 - self.warmth))
        served_rate = SLOTS / service
        arrived = self.queue + rate * TICK_SECONDS
        served = min(arrived, served_rate * TICK_SECONDS)
        self.queue = arrived - served
        self.warmth += (1.0 - self.warmth) * min(1.0, served * WARMED_BY_REQUEST)
        response = service + self.queue / served_rate
        if rate > 0:
            self.seen.append(response)
        return response

    def measured(self) -> float | None:
        """Return the response time as a host has measured it lately."""
        if len(self.seen) <= MEASURING_LAG_TICKS:
            return None
        return median(self.seen[-MEASURING_LAG_TICKS:])


def run() -> list[Figure]:
    """Shift all traffic of a service onto cold caches; compare the two ways."""
    held = replay(holding=True)
    clock = replay(holding=False)
    name = "by the clock alone"
    return [
        Figure(
            "shift onto cold caches: slowest response",
            held.slowest_seconds,
            "s",
            clock.slowest_seconds,
            name,
        ),
        Figure(
            f"shift onto cold caches: requests over {OVERLOAD_SECONDS} s",
            held.late,
            "requests",
            clock.late,
            name,
        ),
        Figure(
            "shift onto cold caches: time to the target",
            held.finished_seconds,
            "s",
            clock.finished_seconds,
            name,
        ),
        Figure(
            "shift: widest gap between hosts, clocks 4 s apart",
            held.spread,
            "fraction",
            clock.spread,
            name,
        ),
        *_restart(),
    ]


def replay(*, holding: bool) -> Outcome:
    """Run one shift over hosts whose clocks differ."""
    destination = Destination()
    tables = [SteeringTable() for _ in range(HOSTS)]
    slowest = late = finished = spread = 0.0
    for tick in range(int(LAST_SECONDS / TICK_SECONDS)):
        now = tick * TICK_SECONDS
        fractions = _step(tables, destination, now, holding=holding)
        mean = sum(fractions) / HOSTS
        response = destination.step(mean)
        slowest = max(slowest, response)
        if response > OVERLOAD_SECONDS:
            late += REQUESTS_A_SECOND * mean * TICK_SECONDS
        spread = max(spread, max(fractions) - min(fractions))
        if min(fractions) < 1.0:
            finished = now - START_SECONDS
    return Outcome(slowest, late, finished, spread)


def _step(
    tables: list[SteeringTable], destination: Destination, now: float, *, holding: bool
) -> list[float]:
    """Move the shift one tick on all hosts; return their fractions."""
    records = _records() if now > 0 else EMPTY._replace(generation=1)
    seen = destination.measured() if holding else None
    times = {"old": WARM_SECONDS, "new": seen}

    def service_time(_service: str | None, site: str) -> float | None:
        return times[site]

    for number, table in enumerate(tables):
        wall_ms = round((now + CLOCK_ERRORS[number % len(CLOCK_ERRORS)]) * 1000)
        run_shifts(
            table,
            records,
            frozenset(),
            lambda _service, site: times[site],
            now,
            wall_ms,
        )
    if holding and now % 1.0 == 0:
        _tell(tables, now)
    return [_fraction(table) for table in tables]


def _tell(tables: list[SteeringTable], now: float) -> None:
    """Let each host tell two others how far it has come."""
    for number, table in enumerate(tables):
        message = progress(table)
        if message is None:
            continue
        for step in range(1, TOLD + 1):
            other = (number + step * (1 + int(now) % 5)) % HOSTS
            if other != number:
                merge_progress(tables[other], f"h{number}", message, now)


def _restart() -> list[Figure]:
    """Return how far a restarted host jumps from the others in mid-ramp."""
    destination = Destination()
    tables = [SteeringTable() for _ in range(HOSTS)]
    now = 0.0
    while now < START_SECONDS + RAMP_SECONDS:
        fractions = _step(tables, destination, now, holding=True)
        destination.step(sum(fractions) / HOSTS)
        now += TICK_SECONDS
    others = median(fractions[1:])
    row = next(iter(tables[0].shifts.values()))
    by_schedule = scheduled_fraction(row, round(now * 1000))
    tables[0] = SteeringTable()
    for _ in range(8):
        fractions = _step(tables, destination, now, holding=True)
        destination.step(sum(fractions) / HOSTS)
        now += TICK_SECONDS
    jump = abs(fractions[0] - median(fractions[1:]))
    return [
        Figure(
            "shift: gap of a host restarted in mid-ramp",
            jump,
            "fraction",
            abs(by_schedule - others),
            "by the schedule",
        ),
    ]


def _records() -> Configuration:
    """Return the record of a shift of all traffic and its sites."""
    sites = {
        name: Site(name=name, region=name, zone="a", capacity=SLOTS)
        for name in ("old", "new")
    }
    shift = Shift(
        name="s",
        service="booking",
        from_site="old",
        to_site="new",
        fraction=1.0,
        start_at=f"1970-01-01T00:00:{int(START_SECONDS):02}Z",
        ramp_seconds=RAMP_SECONDS,
    )
    return EMPTY._replace(generation=2, sites=sites, shifts={"s": shift})


def _fraction(table: SteeringTable) -> float:
    """Return how far a host has come."""
    return max((row.fraction for row in table.shifts.values()), default=0.0)
