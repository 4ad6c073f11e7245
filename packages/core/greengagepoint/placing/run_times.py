"""Learn how long warm and cold runs of each route take.

The label of a run is a belief: a server may have evicted a key that this host thinks
is warm, and may have run a key for a peer. The warm run time is therefore a low
quantile of the runs believed warm, and the cold one is learned from runs much longer
than that.
"""

from dataclasses import dataclass, field
from typing import Final, NamedTuple

# Shares of the latency goal that are assumed before the first run. At both customers a
# cold run takes about the goal and a warm one a third of it.
WARM_GOAL_SHARE: Final = 0.33
COLD_GOAL_SHARE: Final = 1.0
# Stays among the truly warm runs while they are four in ten of those believed warm.
WARM_QUANTILE: Final = 0.4
# Mistaking a cold run for a short one makes callers late, so the estimate is above the
# median of the runs that are cold.
COLD_QUANTILE: Final = 0.6
# A cold run takes 3.3 warm ones. Runs of one kind differ by about a quarter.
COLD_WARM_RATIO: Final = 1.8
# The larger step corrects the assumed values within about 20 runs.
FIRST_RUNS: Final = 40
FIRST_STEP: Final = 0.15
STEP: Final = 0.05
# One cold run changes the mean by 7% of a warm run.
MEAN_WEIGHT: Final = 0.03
# Reports of queues are old, and the runs ahead may be cold. Without a correction, hosts
# expect answers of full servers in time under overload, and those servers shed. Steps
# in the same direction grow: a host of 82 sees few answers in the seconds of a surge.
WAIT_STEP_MIN: Final = 0.03
WAIT_STEP_MAX: Final = 0.2
WAIT_STEP_GROWTH: Final = 1.2
WAIT_FACTOR_MIN: Final = 0.7
WAIT_FACTOR_MAX: Final = 6.0
RUN_SECONDS_MIN: Final = 0.001
ROUTES_MAX: Final = 1_000
KEPT_SECONDS: Final = 300.0


class RunEstimate(NamedTuple):
    """Hold the run times of a route at a server of the usual pace, in seconds.

    ``mean`` is the time by which each request ahead delays a new one, times the slots:
    the mean run time of the service, corrected for the waits that were measured.
    """

    warm: float
    cold: float
    mean: float


@dataclass(slots=True)
class RouteRuns:
    """Track the run times of one service and route prefix, in seconds.

    ``used_at`` is the monotonic time of the last run.
    """

    warm: float
    cold: float
    count: int = 0
    used_at: float = 0.0

    def record(self, seconds: float, *, believed_warm: bool) -> bool:
        """Record a run; return True if it counts as cold."""
        is_cold = seconds > COLD_WARM_RATIO * self.warm
        step = FIRST_STEP if self.count < FIRST_RUNS else STEP
        self.count += 1
        if believed_warm:
            self.warm = _follow(self.warm, seconds, WARM_QUANTILE, step)
        if is_cold:
            self.cold = _follow(self.cold, seconds, COLD_QUANTILE, step)
        self.cold = max(self.cold, self.warm)
        return is_cold


@dataclass(slots=True)
class WaitFactor:
    """Track what the expected waits at a service are multiplied with."""

    factor: float = 1.0
    step: float = WAIT_STEP_MIN
    was_longer: bool | None = None

    def record(self, *, was_longer: bool) -> None:
        """Move the factor one step, so that as many answers come early as late."""
        if was_longer == self.was_longer:
            self.step = min(WAIT_STEP_MAX, self.step * WAIT_STEP_GROWTH)
        else:
            self.step = max(WAIT_STEP_MIN, self.step / 2)
        self.was_longer = was_longer
        self.factor *= 1 + self.step if was_longer else 1 - self.step
        self.factor = min(WAIT_FACTOR_MAX, max(WAIT_FACTOR_MIN, self.factor))


@dataclass(slots=True)
class RunTimes:
    """Hold the run times of all routes, and the mean run time of each service."""

    routes: dict[tuple[str, str], RouteRuns] = field(default_factory=dict)
    means: dict[str, float] = field(default_factory=dict)
    wait_factors: dict[str, WaitFactor] = field(default_factory=dict)

    def estimate(self, service: str, prefix: str, goal_seconds: float) -> RunEstimate:
        """Return the run times of a route with a latency goal."""
        runs = self.routes.get((service, prefix))
        if runs is None:
            warm = WARM_GOAL_SHARE * goal_seconds
            cold = COLD_GOAL_SHARE * goal_seconds
            return RunEstimate(warm, cold, self._mean(service, warm))
        return RunEstimate(runs.warm, runs.cold, self._mean(service, runs.warm))

    def record_wait(self, service: str, *, was_longer: bool) -> None:
        """Record whether a request that found a queue took longer than expected."""
        factor = self.wait_factors.setdefault(service, WaitFactor())
        factor.record(was_longer=was_longer)

    def record(
        self,
        service: str,
        prefix: str,
        goal_seconds: float,
        seconds: float,
        now: float,
        *,
        believed_warm: bool,
    ) -> bool:
        """Record a run without a wait; return True if it counts as cold.

        ``seconds`` is the run time at the usual pace of the server.
        """
        seconds = max(RUN_SECONDS_MIN, seconds)
        runs = self.routes.get((service, prefix))
        if runs is None:
            runs = self._add(service, prefix, goal_seconds)
        runs.used_at = now
        is_cold = runs.record(seconds, believed_warm=believed_warm)
        # A run that waited in a queue unknown to this host counts as cold at most.
        run = runs.cold if is_cold else runs.warm
        mean = self.means.get(service, runs.warm)
        self.means[service] = mean + MEAN_WEIGHT * (run - mean)
        return is_cold

    def evict(self, now: float) -> None:
        """Drop routes without runs, which may have been removed, and their services."""
        oldest = now - KEPT_SECONDS
        self.routes = {
            key: runs for key, runs in self.routes.items() if runs.used_at >= oldest
        }
        services = {service for service, _ in self.routes}
        for former in self.means.keys() - services:
            del self.means[former]
        for former in self.wait_factors.keys() - services:
            del self.wait_factors[former]

    def _mean(self, service: str, default: float) -> float:
        """Return the mean run time of a service, corrected for measured waits."""
        factor = self.wait_factors.get(service)
        mean = self.means.get(service, default)
        return mean * factor.factor if factor is not None else mean

    def _add(self, service: str, prefix: str, goal_seconds: float) -> RouteRuns:
        """Add a route with the assumed run times; the oldest one makes room."""
        if len(self.routes) >= ROUTES_MAX:
            del self.routes[next(iter(self.routes))]
        runs = RouteRuns(WARM_GOAL_SHARE * goal_seconds, COLD_GOAL_SHARE * goal_seconds)
        self.routes[service, prefix] = runs
        return runs


def _follow(estimate: float, seconds: float, quantile: float, step: float) -> float:
    """Move an estimate one step toward a quantile of the recorded values."""
    change = quantile if seconds > estimate else quantile - 1
    return max(RUN_SECONDS_MIN, estimate * (1 + step * change))
