"""Keep the admission plan of each service, and decide about requests by it."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from greengagepoint.admission.demand import RecentDemand
from greengagepoint.admission.plan import ADMIT_ALL, AdmissionPlan, create_plan
from greengagepoint.admission.pressure import MergedPressure, Pressures
from greengagepoint.admission.retry_after import retry_seconds
from greengagepoint.admission.share import (
    LATE_PRESSURE_LIMIT,
    PRESSURE_LIMIT,
    ShareControl,
)
from greengagepoint.placing.tables import ServerTable


@dataclass(slots=True)
class ServiceLevel:
    """Hold the admission state of one service."""

    goal_seconds: float = 1.0
    control: ShareControl = field(default_factory=ShareControl)
    demand: RecentDemand = field(default_factory=RecentDemand)
    plan: AdmissionPlan = ADMIT_ALL
    pressure: MergedPressure | None = None

    def step(self, pressure: MergedPressure | None, now: float) -> None:
        """Advance the share and the plan to ``now``."""
        self.pressure = pressure
        rates = self.demand.read(now)
        self.control.step(
            pressure and pressure.pressure,
            pressure and pressure.share,
            now,
            PRESSURE_LIMIT if len(rates) > 1 else LATE_PRESSURE_LIMIT,
        )
        self.plan = create_plan(rates, self.control.share)

    def retry_seconds(self, probability: float) -> float:
        """Return when a rejected caller should try again, in seconds."""
        pressure = self.pressure.pressure if self.pressure is not None else 0.0
        return retry_seconds(pressure, self.goal_seconds, probability)


class Decision(NamedTuple):
    """Whether a request is admitted, the probability of that, and the level behind it.

    ``level`` is None for a service that is not known yet.
    """

    admitted: bool
    probability: float = 1.0
    level: ServiceLevel | None = None


@dataclass(slots=True)
class AdmissionLevels:
    """Hold the admission state of all services; times are monotonic seconds."""

    pressures: Pressures
    services: dict[str, ServiceLevel] = field(default_factory=dict)

    def step(self, table: ServerTable, goals: Mapping[str, float], now: float) -> None:
        """Measure the pressures and advance all services; drop removed ones."""
        self.services = {
            service: self.services.get(service) or ServiceLevel() for service in goals
        }
        shares = {name: row.control.base for name, row in self.services.items()}
        self.pressures.measure(goals, shares, now)
        for service, row in self.services.items():
            row.goal_seconds = goals[service]
            row.step(self.pressures.merge(table, service, now), now)

    def clear(self) -> None:
        """Drop all state, for a deployment that no longer needs admission."""
        self.services = {}
        self.pressures = Pressures(self.pressures.home, invalid=self.pressures.invalid)

    def decide(
        self, service: str, rank: int, account: str, draw: float, now: float
    ) -> Decision:
        """Decide about a request and record it; ``draw`` is from 0 to less than 1."""
        row = self.services.get(service)
        if row is None:
            return Decision(admitted=True)
        row.demand.record(rank, account, now)
        probability = row.plan.probability(rank, account)
        return Decision(draw < probability, probability, row)
