"""Admit, hold and reject requests when a service lacks capacity."""

import asyncio
import math
from collections.abc import Callable, Sequence
from typing import Final

from greengagepoint.admission.levels import AdmissionLevels, ServiceLevel
from greengagepoint.admission.pressure import Pressures, ServicePressure
from greengagepoint.admission.waiting import Urgency, Waiting, wait_until
from greengagepoint.errors import ErrorKind
from greengagepoint.events import Event
from greengagepoint.placing.ranking import unit_hash
from greengagepoint.placing.tables import Server
from greengagepoint.placing.typical_load import RUN_SECONDS_START
from greengagepoint.protocols import Clock
from greengagepoint.routing.tables import Route
from greengagepoint_node.context import EventSink
from greengagepoint_node.gateway.call import Call
from greengagepoint_node.gateway.counters import GatewayCounters
from greengagepoint_node.gateway.load_reports import LoadReport
from greengagepoint_node.gateway.refusals import Refusal
from greengagepoint_node.gateway.view import FleetView
from greengagepoint_node.gateway.wait_room import WaitEnd, WaitRoom

# A pass over 3,000 servers takes 3 ms, and load reports stay in use for seconds.
STEP_SECONDS: Final = 0.5
# Smaller changes of the admitted share are not logged, relative to its last value.
LOGGED_CHANGE_MIN: Final = 0.2
INVALID_LOG_SECONDS: Final = 60.0


class AdmissionControl:
    """Decide which requests of this host's callers are sent to servers, and when.

    Does nothing unless it is ``enabled`` and callers compete: where all are equally
    urgent, a rejection helps no other caller as much as a late answer helps this one.
    ``home`` is this host's region.
    """

    def __init__(
        self,
        home: str,
        view: FleetView,
        counters: GatewayCounters,
        clock: Clock,
        events: EventSink,
        *,
        enabled: bool,
    ) -> None:
        self.view = view
        self.enabled = enabled
        self.counters = counters
        self.clock = clock
        self.events = events
        self.levels = AdmissionLevels(Pressures(home))
        self.room = WaitRoom(view, clock)
        self.stepped_at = -math.inf
        self.logged_shares: dict[str, float] = {}
        self.invalid_logged_at = -math.inf
        self.invalid_logged = 0
        self.numbers = 0

    @property
    def is_on(self) -> bool:
        """Return True if enabled and callers of different urgency compete."""
        return self.enabled and self.view.servers.demand.competing_callers

    async def async_admit(self, call: Call) -> None:
        """Return if a request may be sent to a server, or raise Refusal."""
        if not self.is_on:
            return
        decision = self.levels.decide(
            call.service,
            call.rank,
            account_name(call),
            unit_hash(f"admission\0{call.request_id}"),
            self.clock.monotonic(),
        )
        if decision.admitted or decision.level is None:
            return
        self.counters.admission_rejected[call.service, str(call.rank)] += 1
        raise _rejection(call, decision.level, decision.probability)

    async def async_wait(
        self, call: Call, refusal: Refusal, began: float | None
    ) -> float:
        """Return when a request should try again for a server, or raise ``refusal``.

        ``began`` is when the request began to wait, None if it has not; that time is
        returned.
        """
        if not (self.is_on and refusal.may_wait):
            if began is not None:
                self.record_wait(call, began, WaitEnd.UNAVAILABLE)
            raise refusal
        now = self.clock.monotonic()
        if began is None:
            self._record_busy(call, refusal, now)
        row = self._create_row(call, now if began is None else began)
        if row.until > now:
            began = now if began is None else began
            end = await self._async_wait_for_turn(call, row, began)
            if end is WaitEnd.TRY_AGAIN:
                return began
            self.record_wait(call, began, end)
        elif began is not None:
            self.record_wait(call, began, WaitEnd.EXPIRED)
        self._delay_retry(call, refusal)
        raise refusal

    def _record_busy(self, call: Call, refusal: Refusal, now: float) -> None:
        """Record the shortest wait that a request found when all servers were busy."""
        wait = refusal.inputs.get("shortest_wait")
        if isinstance(wait, float | int):
            servers = self.view.servers
            self.levels.pressures.record_busy(servers, call.service, wait, now)

    async def _async_wait_for_turn(
        self, call: Call, row: Waiting, began: float
    ) -> WaitEnd:
        """Wait for the next turn of a request, or the end of its wait."""
        try:
            return await self.room.async_wait(row, call.route)
        except asyncio.CancelledError:
            self.record_wait(call, began, WaitEnd.CANCELLED)
            raise

    def _delay_retry(self, call: Call, refusal: Refusal) -> None:
        """Raise the Retry-After of a refusal to that of the admission level."""
        level = self.levels.services.get(call.service)
        if level is not None:
            probability = level.plan.probability(call.rank, account_name(call))
            seconds = level.retry_seconds(probability)
            refusal.retry_after = max(refusal.retry_after or 0.0, seconds)

    def record_wait(self, call: Call, began: float, end: WaitEnd) -> None:
        """Count and log the end of a request's wait for a server."""
        seconds = self.clock.monotonic() - began
        self.counters.waits[call.service, end] += 1
        self.counters.wait_time.add(seconds)
        self.events.record(
            Event.REQUEST_WAITED,
            request_id=call.request_id,
            service=call.service,
            rank=call.rank,
            outcome=end,
            seconds=round(seconds, 3),
            waiting=len(self.room.queue.rows),
        )

    def notice_response(self, server: Server, load: LoadReport | None) -> None:
        """Record the load of a server, and let a waiting request try again."""
        if not self.is_on:
            return
        if load is not None:
            held, now = load.running + load.waiting, self.clock.monotonic()
            self.levels.pressures.record_load(server, held, now)
        self.room.notice_response(server.service)

    def reject_late(self, may_send: Callable[[str, Route, float], bool]) -> None:
        """Reject the waiting requests that a stopping host must not send.

        ``may_send`` is called with the service, the route and the end of a request.
        """
        self.room.end_where(
            lambda row, route: not may_send(row.service, route, row.urgency.ends_at),
            WaitEnd.HOST_LEAVING,
        )

    def stop(self) -> None:
        """Reject the waiting requests, for a host that rejects new ones."""
        self.room.close()

    def recent(self) -> list[ServicePressure]:
        """Return the figures to share with peers, none while the mode is off."""
        if not self.is_on:
            return []
        return self.levels.pressures.recent(self.clock.monotonic())

    def take(self, reports: Sequence[ServicePressure]) -> None:
        """Merge the figures of a peer."""
        routes = self.view.routes
        if not reports or not self.is_on or routes is None:
            return
        now = self.clock.monotonic()
        pressures = self.levels.pressures
        pressures.take(reports, self.view.servers, routes.service_goals, now)
        self.counters.pressures_invalid = pressures.invalid
        if pressures.invalid == self.invalid_logged:
            return
        if now - self.invalid_logged_at < INVALID_LOG_SECONDS:
            return
        self.invalid_logged, self.invalid_logged_at = pressures.invalid, now
        self.events.record(Event.PRESSURE_INVALID, figures=pressures.invalid)

    def tick(self, now: float) -> None:
        """Measure the pressures and update the levels every half second."""
        if not self.is_on:
            if self.levels.services:
                self.levels.clear()
                self.counters.admission_levels.clear()
            return
        routes = self.view.routes
        if routes is None or now - self.stepped_at < STEP_SECONDS:
            return
        self.stepped_at = now
        self.levels.step(self.view.servers, routes.service_goals, now)
        self.counters.admission_levels = {
            (service,): row.plan.level
            for service, row in self.levels.services.items()
            if row.plan.by_rank
        }
        for service, row in self.levels.services.items():
            self._log(service, row)

    def _create_row(self, call: Call, began: float) -> Waiting:
        """Return the row of a request in the queue."""
        self.numbers += 1
        level = self.levels.services.get(call.service)
        probability = 1.0
        if level is not None:
            probability = level.plan.probability(call.rank, account_name(call))
        until = wait_until(
            call.arrived_at,
            call.ends_at,
            call.route.goal_seconds,
            self._run_seconds(call.service),
            began,
        )
        urgency = Urgency(call.rank, 1 - probability, call.ends_at, self.numbers)
        return Waiting(urgency, call.service, until)

    def _run_seconds(self, service: str) -> float:
        """Return the expected run time of a request, the longest over the regions."""
        servers = self.view.servers
        typical = (
            servers.typical.get((service, region))
            for region in servers.regions_of(service)
        )
        return max(
            (row.run_seconds for row in typical if row and row.run_seconds),
            default=RUN_SECONDS_START,
        )

    def _log(self, service: str, row: ServiceLevel) -> None:
        """Log a level whose admitted share changed, with the inputs and their age."""
        share = row.control.share
        logged = self.logged_shares.get(service, 1.0)
        change = abs(share - logged)
        if change < LOGGED_CHANGE_MIN * logged and (share < 1) == (logged < 1):
            return
        self.logged_shares[service] = share
        self.events.record(
            Event.ADMISSION_LEVEL_CHANGED,
            service=service,
            share=round(share, 3),
            **_level_inputs(row),
        )


def account_name(call: Call) -> str:
    """Return the name of a caller's account, empty without one."""
    return call.account.name if call.account is not None else ""


def _rejection(call: Call, level: ServiceLevel, probability: float) -> Refusal:
    """Return the refusal of a request that the admission level rejects."""
    return Refusal(
        ErrorKind.OVERLOADED,
        503,
        f"rejected by admission level: {call.service}",
        level.retry_seconds(probability),
        {
            "rank": call.rank,
            "account": account_name(call) or None,
            "probability": round(probability, 3),
            **_level_inputs(level),
        },
    )


def _level_inputs(level: ServiceLevel) -> dict[str, float | int | None]:
    """Return a level and the figures behind it as log fields."""
    merged = level.pressure
    fields: dict[str, float | int | None] = {"level": round(level.plan.level, 3)}
    if merged is None:
        return {**fields, "pressure": None}
    return {
        **fields,
        "pressure": round(merged.pressure, 3),
        "pressure_age": round(merged.oldest_age, 3),
        "pressure_regions": merged.regions,
        "peer_share": None if merged.share is None else round(merged.share, 3),
    }
