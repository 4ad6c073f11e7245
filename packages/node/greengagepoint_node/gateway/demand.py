"""Estimate how many slots the requests of this host keep busy, by service."""

import math
from typing import Final

# Traffic of a region swings by half within nine seconds on a bad day; a shorter memory
# follows the luck of a few hundred requests instead.
MEMORY_SECONDS: Final = 2.0
RUN_SECONDS_START: Final = 0.3
RUN_SECONDS_WEIGHT: Final = 0.05


class DemandMeter:
    """Sum the expected run time of arriving requests, forgetting old ones."""

    def __init__(self) -> None:
        self.busy: dict[str, float] = {}
        self.run_seconds: dict[tuple[str, str], float] = {}
        self.measured_at: float | None = None

    def expected_run(self, route: str, service: str) -> float:
        """Return how long a request of a route runs, in seconds."""
        return self.run_seconds.get((route, service), RUN_SECONDS_START)

    def take_arrival(self, route: str, service: str) -> None:
        """Count a request that arrived, whether it is served or not."""
        weight = self.expected_run(route, service) / MEMORY_SECONDS
        self.busy[service] = self.busy.get(service, 0.0) + weight

    def take_run(self, route: str, service: str, seconds: float) -> None:
        """Take in how long a request ran that did not wait for a slot."""
        known = self.expected_run(route, service)
        changed = known + RUN_SECONDS_WEIGHT * (seconds - known)
        self.run_seconds[(route, service)] = changed

    def tick(self, now: float) -> None:
        """Let old arrivals fade."""
        if self.measured_at is not None:
            kept = math.exp(-(now - self.measured_at) / MEMORY_SECONDS)
            self.busy = {name: value * kept for name, value in self.busy.items()}
        self.measured_at = now
