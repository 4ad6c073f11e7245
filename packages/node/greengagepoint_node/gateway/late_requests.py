"""Check each request of a stopping host before it is sent, and log what decided."""

from typing import Final

from greengagepoint.draining.late_requests import (
    LateDecision,
    LateReason,
    LateRequest,
    LongestRuns,
    decide,
)
from greengagepoint.draining.shutdown import Shutdown
from greengagepoint.events import Event
from greengagepoint.protocols import Clock
from greengagepoint.routing.tables import RequestKind, Route
from greengagepoint_node.context import EventSink
from greengagepoint_node.gateway.call import Call
from greengagepoint_node.gateway.counters import GatewayCounters
from greengagepoint_node.gateway.exchange import Exchange, Verdict
from greengagepoint_node.gateway.refusals import Refusal, host_leaving_refusal

# 540 KB over a link of 10 Mbit/s take 0.45 s, and twice that beside others.
DOWNLOAD_SECONDS: Final = 1.0


class LateRequests:
    """Reject requests that may outlast this host; permit all before its stop.

    ``decisions`` are those on requests in flight, by request id.
    """

    def __init__(
        self,
        longest_runs: LongestRuns,
        counters: GatewayCounters,
        clock: Clock,
        events: EventSink,
    ) -> None:
        self.longest_runs = longest_runs
        self.counters = counters
        self.clock = clock
        self.events = events
        self.shutdown: Shutdown | None = None
        self.decisions: dict[str, LateDecision] = {}

    def may_send(self, service: str, route: Route, ends_at: float) -> bool:
        """Return True if a request that ends at ``ends_at`` may be sent now."""
        decision = self._decide(service, route, ends_at)
        return decision is None or decision.may_send

    def check_arrival(self, call: Call) -> None:
        """Raise Refusal for a request that must not be sent, before its body is read.

        One that may be sent is decided on when it is.
        """
        if not self.may_send(call.service, call.route, call.ends_at):
            self.admit(call, 0)
            raise late_refusal()

    def admit(self, call: Call, attempt: int) -> Call | None:
        """Return the call with its end before the exit, or None if it can't be sent.

        The host may have begun to stop since the request arrived, and a wait, a slow
        body or a failed attempt may have taken the time that was left.
        """
        decision = self._decide(call.service, call.route, call.ends_at)
        if decision is None:
            return call
        known = self.decisions.get(call.request_id)
        if known is None or known.reason is not decision.reason:
            # A request that waits for a server is decided on at each of its turns.
            self._record(call, attempt, decision)
        if not decision.may_send:
            return None
        self.decisions[call.request_id] = decision
        return call._replace(ends_at=decision.ends_at)

    def check_before_send(self, call: Call) -> Exchange | None:
        """Return why a request must not be sent after all, or None.

        The signal may have come while the connection was made.
        """
        decision = self._decide(call.service, call.route, call.ends_at)
        if decision is None or decision.reason is LateReason.ENDS_BEFORE_EXIT:
            return None
        return Exchange(Verdict.HOST_LEAVING, "the host began to stop while connecting")

    def end(self, request_id: str) -> None:
        """Drop the decision on a request that has ended."""
        self.decisions.pop(request_id, None)

    def _decide(
        self, service: str, route: Route, ends_at: float
    ) -> LateDecision | None:
        """Return the decision on a request, or None if this host is not stopping."""
        if self.shutdown is None:
            return None
        is_download = route.kind is RequestKind.DOWNLOAD
        request = LateRequest(
            ends_at,
            route.repeatable,
            self.longest_runs.find(service, route.prefix),
            DOWNLOAD_SECONDS if is_download else 0.0,
        )
        return decide(self.shutdown, request, self.clock.monotonic())

    def _record(self, call: Call, attempt: int, decision: LateDecision) -> None:
        """Count a decision, and log it with its inputs.

        Requests that end before the exit in any case are only counted.
        """
        assert self.shutdown is not None
        self.counters.late_requests[call.service, decision.reason] += 1
        if decision.reason is LateReason.ENDS_BEFORE_EXIT:
            return
        longest = decision.longest_run_seconds
        self.events.record(
            Event.LATE_REQUEST_DECIDED,
            request_id=call.request_id,
            route=call.route.name,
            service=call.service,
            attempt=attempt,
            may_send=decision.may_send,
            reason=decision.reason,
            seconds_left=round(decision.seconds_left, 3),
            seconds_to_end=round(decision.seconds_to_end, 3),
            longest_run=None if longest is None else round(longest, 3),
            since_signal=round(decision.seconds_since_signal, 3),
            loop_delay=round(self.shutdown.loop_delay_seconds, 3),
        )


def late_refusal() -> Refusal:
    """Return the refusal of a request that may outlast this host."""
    reason = "the request may outlast this host, which is about to exit"
    return host_leaving_refusal(reason)
