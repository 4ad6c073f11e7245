"""Give up a try at a silent server for another server."""

import asyncio
from typing import Protocol

from greengagepoint.placing.server_silence import can_answer_in_time
from greengagepoint.placing.tables import Server
from greengagepoint.protocols import Clock
from greengagepoint_node.gateway.call import Call
from greengagepoint_node.gateway.exchange import Sending, Verdict
from greengagepoint_node.gateway.placing import Placer
from greengagepoint_node.gateway.tries import Tries


class Successors(Protocol):
    """Know where a request may be sent once more."""

    clock: Clock
    placer: Placer
    leaving: bool

    def next_server(
        self, call: Call, tries: Tries, last: Verdict | None
    ) -> Server | None:
        """Return the next server, or None where the request is not sent again."""


class OverdueWatch:
    """Watch one try from its start until it is cancelled."""

    def __init__(
        self,
        successors: Successors,
        call: Call,
        server: Server,
        sending: Sending,
        tries: Tries,
    ) -> None:
        self.successors = successors
        self.call = call
        self.server = server
        self.sending = sending
        self.tries = tries
        self.began = successors.clock.monotonic()
        placer = successors.placer
        seconds = placer.silence_timeout(server, sending.seconds, self.began)
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(seconds, self._note_silence)

    def cancel(self) -> None:
        """Stop watching."""
        self.timer.cancel()

    def _note_silence(self) -> None:
        """Give up a server that has answered nobody since the try began."""
        if self.server.answered_at >= self.began:
            return
        now = self.successors.clock.monotonic()
        self.successors.placer.suspect(self.server, Verdict.TIMED_OUT, now)
        self._give_up()

    def _give_up(self) -> None:
        """Send the request to another server if there is one that takes it.

        The server may only be slow, so it keeps a request that no other server would
        take: a failure told while it works would lose its answer. A host that stops
        leaves it all its time, since the second try may fail as well.
        """
        if self.successors.leaving or not self.call.route.repeatable:
            return
        if not self.tries.may_go_on(self.call.route.attempts_max):
            return
        left = self.sending.time_left.seconds()
        if not can_answer_in_time(
            left, self.successors.placer.answer_times(self.server)
        ):
            return
        successor = self.successors.next_server(
            self.call, self.tries, Verdict.TIMED_OUT
        )
        if successor is not None:
            self.sending.give_up_for(successor)
