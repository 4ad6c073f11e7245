"""Measure the request rate and the mean run time of each service on one host."""

import math
from dataclasses import dataclass, field
from typing import Final

# With 1 s, the sum of a region with 16 requests per second varies by 20%; with 10 s, a
# wave with a period of 36 s loses half of its amplitude.
RATE_SECONDS: Final = 4.0
# Before this, a rate is the chance of a single request.
MEASURE_SECONDS_MIN: Final = 1.0
# A host with one request in two seconds averages over 80 s.
RUNS_AVERAGED: Final = 40
RUN_SECONDS_MAX: Final = 60.0


@dataclass(slots=True)
class RequestRate:
    """Hold a sum of requests that decays exponentially, valid at time ``at``."""

    total: float = 0.0
    at: float = 0.0

    def count(self, now: float) -> None:
        """Add one request."""
        self.total = self.decayed(now) + 1.0
        self.at = now

    def decayed(self, now: float) -> float:
        """Return the sum as it has decayed until now."""
        return self.total * math.exp(-max(0.0, now - self.at) / RATE_SECONDS)


@dataclass(slots=True)
class MeanRun:
    """Hold the moving mean of run times in seconds."""

    seconds: float = 0.0
    runs: int = 0

    def record(self, seconds: float) -> None:
        """Add one run time."""
        self.runs = min(RUNS_AVERAGED, self.runs + 1)
        seconds = min(max(0.0, seconds), RUN_SECONDS_MAX)
        self.seconds += (seconds - self.seconds) / self.runs


@dataclass(slots=True)
class ServiceRates:
    """Hold the rates and run times by service; times are monotonic seconds.

    ``started_at`` is when counting began, None before that.
    """

    rates: dict[str, RequestRate] = field(default_factory=dict)
    runs: dict[str, MeanRun] = field(default_factory=dict)
    started_at: float | None = None

    def start(self, now: float) -> None:
        """Begin to count, unless that has begun."""
        if self.started_at is None:
            self.started_at = now

    def count(self, service: str, now: float) -> None:
        """Count a request of a caller."""
        self.start(now)
        rate = self.rates.get(service)
        if rate is None:
            rate = self.rates[service] = RequestRate()
        rate.count(now)

    def record_run(self, service: str, seconds: float) -> None:
        """Record the run time of a request that did not wait."""
        run = self.runs.get(service)
        if run is None:
            run = self.runs[service] = MeanRun()
        run.record(seconds)

    def per_second(self, service: str, now: float) -> float | None:
        """Return the request rate of a service, None before it can be measured."""
        if self.started_at is None or now - self.started_at < MEASURE_SECONDS_MIN:
            return None
        rate = self.rates.get(service)
        if rate is None:
            return 0.0
        # The sum has not reached its mean yet on a host that has just started.
        filled = 1 - math.exp((self.started_at - now) / RATE_SECONDS)
        return rate.decayed(now) / (RATE_SECONDS * filled)

    def run_seconds(self, service: str) -> float:
        """Return the mean run time of a service, 0 if there is none."""
        run = self.runs.get(service)
        return run.seconds if run is not None else 0.0

    def retain(self, services: set[str]) -> None:
        """Drop the state of other services."""
        self.rates = {name: row for name, row in self.rates.items() if name in services}
        self.runs = {name: row for name, row in self.runs.items() if name in services}
