"""Abandon an attempt at a silent server in favor of another server."""

import asyncio
from typing import Protocol

from greengagepoint.placing.server_silence import can_answer_in_time
from greengagepoint.placing.tables import Server
from greengagepoint.protocols import Clock
from greengagepoint.reachability.probing import overdue_seconds
from greengagepoint_node.gateway.call import Call
from greengagepoint_node.gateway.exchange import OutgoingRequest, Verdict
from greengagepoint_node.gateway.placing import Placer
from greengagepoint_node.gateway.reach_monitor import ReachMonitor
from greengagepoint_node.gateway.tries import Attempts


class ServerSelector(Protocol):
    """Select servers for retries."""

    clock: Clock
    placer: Placer
    leaving: bool
    monitor: ReachMonitor

    def next_server(
        self, call: Call, attempts: Attempts, last: Verdict | None
    ) -> Server | None:
        """Return the next server, or None if the request is not retried."""


class OverdueWatch:
    """Watch one attempt for silence of its server until cancelled."""

    def __init__(
        self,
        selector: ServerSelector,
        call: Call,
        server: Server,
        outgoing: OutgoingRequest,
        attempts: Attempts,
    ) -> None:
        self.selector = selector
        self.call = call
        self.server = server
        self.outgoing = outgoing
        self.attempts = attempts
        self.began = selector.clock.monotonic()
        placer = selector.placer
        seconds = placer.silence_timeout(server, outgoing.seconds, self.began)
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(seconds, self._handle_silence)
        self.link_timer = loop.call_later(
            overdue_seconds(placer.answer_times(server).mean),
            selector.monitor.note_overdue,
            self.began,
        )
        self.task: asyncio.Task[None] | None = None

    def cancel(self) -> None:
        """Stop watching."""
        self.timer.cancel()
        self.link_timer.cancel()
        if self.task is not None:
            self.task.cancel()

    def _handle_silence(self) -> None:
        """Suspect a server that has answered no request since the attempt began.

        If it has, the request may still have been lost with the host's links.
        """
        if self.server.answered_at >= self.began:
            if self.selector.monitor.may_have_lost(self.began):
                self._move_to_successor()
            return
        now = self.selector.clock.monotonic()
        self.selector.placer.suspect(self.server, Verdict.TIMED_OUT, now)
        self.selector.monitor.note_doubt(self.began)
        self.task = asyncio.get_running_loop().create_task(self._async_move())

    async def _async_move(self) -> None:
        """Tell whether the server or the host's link is silent, then give way."""
        await self.selector.monitor.async_resolve_doubt()
        self._move_to_successor()

    def _move_to_successor(self) -> None:
        """Send the request to another server if one is available.

        Otherwise the attempt goes on: the server may only be slow, and failing the
        request now would lose its answer. A stopping host always lets it go on, since
        the second attempt may fail as well.
        """
        if self.selector.leaving or not self.call.route.repeatable:
            return
        if not self.attempts.has_attempts_left(self.call.route.attempts_max):
            return
        left = self.outgoing.time_left.seconds()
        if not can_answer_in_time(left, self.selector.placer.answer_times(self.server)):
            return
        if self.selector.monitor.is_cut_off:
            self.outgoing.abandon_for(None)
            return
        successor = self.selector.next_server(
            self.call, self.attempts, Verdict.TIMED_OUT
        )
        if successor is not None:
            self.outgoing.abandon_for(successor)
