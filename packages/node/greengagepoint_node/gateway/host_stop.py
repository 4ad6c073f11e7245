"""Stop a host: reject, close what owes nothing, and tell when it may exit."""

import asyncio
from collections import Counter
from collections.abc import Sequence
from typing import Final

from greengagepoint.draining.connections import ConnectionPhase
from greengagepoint.draining.shutdown import (
    Shutdown,
    ShutdownInputs,
    ShutdownPhase,
    advance,
    create_shutdown,
)
from greengagepoint.events import Event
from greengagepoint.protocols import Clock
from greengagepoint_node.context import EventSink
from greengagepoint_node.gateway.admission import AdmissionControl
from greengagepoint_node.gateway.handler import Gateway
from greengagepoint_node.gateway.listeners import Listener
from greengagepoint_node.http.server import ProblemRequestHandler

POLL_SECONDS: Final = 0.05


class HostStop:
    """Run the stop of one host, from its signal until the process may exit.

    ``listeners`` are those of callers, of other hosts and of the platform.
    """

    def __init__(
        self,
        gateway: Gateway,
        admission: AdmissionControl,
        listeners: Sequence[Listener],
        clock: Clock,
        events: EventSink,
    ) -> None:
        self.gateway = gateway
        self.admission = admission
        self.listeners = listeners
        self.clock = clock
        self.events = events

    async def async_run(self, grace_seconds: float, delay_seconds: float) -> None:
        """Return once all that was read is answered, or the grace is nearly over.

        ``delay_seconds`` is how late the event loop ran when the signal came.
        """
        shutdown = create_shutdown(self.clock.monotonic(), grace_seconds, delay_seconds)
        self.gateway.late.shutdown = shutdown
        self.admission.reject_late(self.gateway.late.may_send)
        while shutdown.phase is not ShutdownPhase.ENDED:
            left = self._connections_left(shutdown.phase)
            before = shutdown.phase
            if advance(shutdown, self._inputs(left, delay_seconds)) is not before:
                await self._async_enter(shutdown, left)
            # After a stall, what was read meanwhile is answered in the next steps.
            slept_at = self.clock.monotonic()
            await asyncio.sleep(POLL_SECONDS)
            delay_seconds = self.clock.monotonic() - slept_at - POLL_SECONDS

    def _connections_left(self, phase: ShutdownPhase) -> list[ProblemRequestHandler]:
        """Return the open connections, without those that may be closed by now."""
        servers = [listener.server for listener in self.listeners]
        if phase is ShutdownPhase.CLOSING:
            return [row for server in servers for row in server.close_answered()]
        return [row for server in servers for row in server.connections]

    def _inputs(
        self, connections: list[ProblemRequestHandler], delay_seconds: float
    ) -> ShutdownInputs:
        """Return what this host knows of itself."""
        return ShutdownInputs(
            self.clock.monotonic(),
            self.gateway.last_request_at,
            self.gateway.in_flight,
            [connection.state() for connection in connections],
            delay_seconds,
        )

    async def _async_enter(
        self, shutdown: Shutdown, connections: list[ProblemRequestHandler]
    ) -> None:
        """Do what begins with a phase."""
        if shutdown.phase is ShutdownPhase.REJECTING:
            self.gateway.rejecting = True
            self.admission.stop()
        elif shutdown.phase is ShutdownPhase.CLOSING:
            self._record(Event.CONNECTIONS_CLOSING, shutdown, connections)
            for listener in self.listeners:
                await listener.async_stop_accepting()
        else:
            self._record_unanswered(connections)
            self._record(Event.DAEMON_STOPPED, shutdown, connections)

    def _record(
        self,
        event: Event,
        shutdown: Shutdown,
        connections: list[ProblemRequestHandler],
    ) -> None:
        """Log a step of the stop, and what decided it."""
        states = [connection.state() for connection in connections]
        phases = Counter(state.phase for state in states)
        self.events.record(
            event,
            reason=shutdown.reason,
            in_flight=self.gateway.in_flight,
            **{phase: phases[phase] for phase in ConnectionPhase},
            unsent_bytes=sum(state.unsent_bytes for state in states),
            last_request_age=round(
                self.clock.monotonic() - self.gateway.last_request_at, 3
            ),
            loop_delay=round(shutdown.loop_delay_seconds, 3),
            seconds=round(self.clock.monotonic() - shutdown.began_at, 3),
        )

    def _record_unanswered(self, connections: list[ProblemRequestHandler]) -> None:
        """Log each request that goes without its whole answer, and why it was sent.

        One without a decision was sent before the stop, or never.
        """
        outgoing = {row.request_id: row for row in self.gateway.outgoing}
        for connection in connections:
            state = connection.state()
            for request_id in connection.unanswered_ids() or [""]:
                sent = outgoing.get(request_id)
                decision = self.gateway.late.decisions.get(request_id)
                self.events.record(
                    Event.REQUEST_UNANSWERED,
                    request_id=request_id,
                    phase=state.phase,
                    bytes=state.unsent_bytes,
                    is_sent=sent is not None and sent.is_sent,
                    seconds_to_end=round(sent.time_left.seconds(), 3) if sent else None,
                    decision=decision.reason if decision is not None else None,
                )
