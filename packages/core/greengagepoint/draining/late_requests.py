"""Decide which requests a stopping host still sends to backend servers.

A request that a server works on when the host exits gets no answer, and its caller
can't know whether it ran. One that is rejected has not run, and its caller goes to
another host at once.
"""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final, NamedTuple

from greengagepoint.draining.shutdown import Shutdown

# A cold run takes up to four warm ones, and all runs of late may have been warm.
RUN_TIME_MARGIN: Final = 4.0
# The longest run decays over about a hundred runs; cold runs are more frequent.
LONGEST_DECAY: Final = 0.01
ROUTES_MAX: Final = 1_000


class LateReason(StrEnum):
    """Why a stopping host sends a request or rejects it."""

    ENDS_BEFORE_EXIT = "ends before exit"
    EXPECTED_BEFORE_EXIT = "expected before exit"
    MAY_OUTLAST_HOST = "may outlast host"


class LateRequest(NamedTuple):
    """What decides about a request; times are monotonic seconds.

    ``ends_at`` is the earlier of the caller's deadline and the timeout of the route.
    ``longest_run_seconds`` is the longest recent run of the route, None if there was
    none, and ``transfer_seconds`` what a large answer takes to the caller.
    """

    ends_at: float
    is_repeatable: bool
    longest_run_seconds: float | None
    transfer_seconds: float = 0.0


class LateDecision(NamedTuple):
    """Whether a request may be sent, why, and what decided it, in seconds.

    ``ends_at`` is the monotonic time at which the request ends if it is sent,
    ``seconds_left`` the time in which its answer has to be ready, ``seconds_to_end``
    that to its own end.
    """

    may_send: bool
    reason: LateReason
    ends_at: float
    seconds_left: float
    seconds_to_end: float
    longest_run_seconds: float | None
    seconds_since_signal: float


@dataclass(slots=True)
class LongestRuns:
    """Track the longest recent run of each service and route prefix, in seconds."""

    routes: dict[tuple[str, str], float] = field(default_factory=dict)

    def record(self, service: str, prefix: str, seconds: float) -> None:
        """Record a run, or the time after which one was given up."""
        key = (service, prefix)
        longest = self.routes.get(key, seconds)
        if key not in self.routes and len(self.routes) >= ROUTES_MAX:
            del self.routes[next(iter(self.routes))]
        decayed = longest + (seconds - longest) * LONGEST_DECAY
        self.routes[key] = max(seconds, decayed)

    def find(self, service: str, prefix: str) -> float | None:
        """Return the longest recent run of a route, None if there was none."""
        return self.routes.get((service, prefix))


def decide(shutdown: Shutdown, request: LateRequest, now: float) -> LateDecision:
    """Return whether a request may be sent to a server at ``now``.

    The timeout of a route and the caller's deadline bound a run, whatever its server
    does; runs seen so far do not. A request that may not be repeated is therefore sent
    only if these end before the exit. A repeatable one is also sent if it is expected
    to be answered in time, and ends before the exit if it is not: its caller can repeat
    it then.
    """
    answer_by = shutdown.answer_by - request.transfer_seconds
    reason = _reason(request, answer_by, now)
    return LateDecision(
        reason is not LateReason.MAY_OUTLAST_HOST,
        reason,
        min(request.ends_at, answer_by),
        answer_by - now,
        request.ends_at - now,
        request.longest_run_seconds,
        now - shutdown.signalled_at,
    )


def _reason(request: LateRequest, answer_by: float, now: float) -> LateReason:
    """Return why a request may be sent or not."""
    if request.ends_at <= answer_by:
        return LateReason.ENDS_BEFORE_EXIT
    longest = request.longest_run_seconds
    if not request.is_repeatable or longest is None:
        return LateReason.MAY_OUTLAST_HOST
    if now + RUN_TIME_MARGIN * longest <= answer_by:
        return LateReason.EXPECTED_BEFORE_EXIT
    return LateReason.MAY_OUTLAST_HOST
