"""Choose servers by expected finish, learn run times, and explain the choices."""

from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Final

from greengagepoint.placing.choice import (
    Finish,
    NoServerAvailable,
    Permissions,
    ServerCriteria,
)
from greengagepoint.placing.finish import Reason, choose_by_finish
from greengagepoint.placing.ranking import RankCache
from greengagepoint.placing.run_times import RunTimes
from greengagepoint.placing.spilling import RemoteRegion
from greengagepoint.placing.tables import Server, ServerTable
from greengagepoint_node.gateway.call import Call
from greengagepoint_node.gateway.counters import SECONDS_BOUNDS
from greengagepoint_node.gateway.finish_fields import LogFields, finish_fields
from greengagepoint_node.gateway.load_reports import LoadReport
from greengagepoint_node.histogram import Histogram

# A request takes 8 ms from the caller, and its answer 8 ms back to it.
CALLER_ROUND_TRIP_SECONDS: Final = 0.016
# Well above the number of requests in flight on a host.
REQUESTS_MAX: Final = 10_000
# A run may have waited if more requests were ahead; the estimate is seldom whole.
AHEAD_MAX: Final = 0.5
EVICT_INTERVAL_SECONDS: Final = 30.0
WARM: Final = "warm"
COLD: Final = "cold"


@dataclass(slots=True)
class Expectation:
    """Hold the choice of a server and the finish expected at ``chosen_at``."""

    reason: Reason
    finish: Finish
    chosen_at: float
    server: Server | None = None
    ahead: float = 0.0


class FinishPlacing:
    """Choose by expected finish and compare the expectations with the outcomes.

    ``choices`` counts by service and reason, ``runs`` by service, belief and
    measurement. ``excess`` holds the seconds by which answers came after their expected
    finish.
    """

    def __init__(self) -> None:
        self.run_times = RunTimes()
        self.expected: dict[str, Expectation] = {}
        self.choices: Counter[tuple[str, str]] = Counter()
        self.runs: Counter[tuple[str, str, str]] = Counter()
        self.excess = Histogram(SECONDS_BOUNDS)
        self.evicted_at = float("-inf")

    def choose(
        self,
        call: Call,
        table: ServerTable,
        ranks: RankCache,
        criteria: ServerCriteria,
        remote_regions: Sequence[RemoteRegion],
        permissions: Permissions,
        may_spill: Callable[[Server], bool],
        now: float,
    ) -> Server | NoServerAvailable:
        """Return the server for a request with a key, or why there is none."""
        goal = call.route.goal_seconds
        spent = now - call.arrived_at + CALLER_ROUND_TRIP_SECONDS
        explained: list[Expectation] = []
        choice = choose_by_finish(
            table,
            ranks,
            criteria._replace(goal_seconds=goal - spent),
            remote_regions,
            permissions,
            may_spill,
            self.run_times.estimate(call.service, call.route.prefix, goal),
            now,
            lambda reason, finish: explained.append(Expectation(reason, finish, now)),
        )
        for expectation in explained:
            self.choices[call.service, expectation.reason] += 1
        self.expected.pop(call.request_id, None)
        if explained and isinstance(choice, Server):
            self._expect(call, choice, explained[0], now)
        return choice

    def record_run(
        self,
        call: Call,
        server: Server,
        seconds: float,
        round_trip_seconds: float,
        report: LoadReport | None,
        now: float,
    ) -> bool | None:
        """Learn from an answered attempt that took ``seconds``.

        Return True if its run was cold, or None if its time contains a wait.
        """
        expected = self._find(call.request_id, server)
        if expected is None:
            return None
        taken = now - expected.chosen_at
        excess = taken - expected.finish.seconds
        self.excess.add(max(0.0, excess))
        if expected.ahead > AHEAD_MAX:
            self.run_times.record_wait(call.service, was_longer=excess > 0)
        if expected.ahead > AHEAD_MAX or (report is not None and report.waiting):
            return None
        pace = report.pace if report is not None else None
        believed_warm = expected.finish.is_warm
        is_cold = self.run_times.record(
            call.service,
            call.route.prefix,
            call.route.goal_seconds,
            (seconds - round_trip_seconds) / (pace or server.expected_pace(now)),
            now,
            believed_warm=believed_warm,
        )
        belief, measured = (
            (WARM if believed_warm else COLD),
            (COLD if is_cold else WARM),
        )
        self.runs[call.service, belief, measured] += 1
        return is_cold

    def record_shed(self, call: Call, server: Server) -> None:
        """Learn from an attempt that a full server rejected."""
        if self._find(call.request_id, server) is not None:
            self.run_times.record_wait(call.service, was_longer=True)

    def log_fields(self, request_id: str, server: Server) -> LogFields:
        """Return the log fields of a request's choice; empty if it has none."""
        found = self._find(request_id, server)
        if found is None:
            return {}
        return {"choice": found.reason, **finish_fields(found.finish)}

    def end(self, request_id: str) -> None:
        """Drop the expectation of a finished request."""
        self.expected.pop(request_id, None)

    def tick(self, now: float) -> None:
        """Drop the run times of routes that have no requests any more."""
        if now - self.evicted_at >= EVICT_INTERVAL_SECONDS:
            self.evicted_at = now
            self.run_times.evict(now)

    def _expect(
        self, call: Call, server: Server, expectation: Expectation, now: float
    ) -> None:
        """Keep the expectation of a request until it ends."""
        expectation.server = server
        expectation.ahead = server.requests_ahead(now)
        if len(self.expected) >= REQUESTS_MAX:
            del self.expected[next(iter(self.expected))]
        self.expected[call.request_id] = expectation

    def _find(self, request_id: str, server: Server) -> Expectation | None:
        """Return the expectation of a request at a server, or None."""
        found = self.expected.get(request_id)
        return found if found is not None and found.server is server else None
