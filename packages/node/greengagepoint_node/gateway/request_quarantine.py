"""Refuse requests that end backend servers, and learn which they are."""

import contextlib
from collections.abc import Callable, Iterable, Iterator
from typing import Final

from greengagepoint.errors import ErrorKind
from greengagepoint.events import Event
from greengagepoint.placing.tables import Server
from greengagepoint.protocols import Clock
from greengagepoint.quarantine.quarantine import Quarantine
from greengagepoint.quarantine.tables import FREE, ServerIncarnation, Standing, Verdict
from greengagepoint_node.context import EventSink
from greengagepoint_node.gateway.identity import RequestIdentity
from greengagepoint_node.gateway.refusals import Refusal

REASONS: Final = {
    Verdict.QUARANTINED: "servers that ran this request ended",
    Verdict.WAITS: "servers that ran this request ended, and it is being tried",
}


class RequestQuarantine:
    """Hold the quarantine of one host; ``notify`` tells peers of changed contents."""

    def __init__(self, table: Quarantine, clock: Clock, events: EventSink) -> None:
        self.table = table
        self.clock = clock
        self.events = events
        self.notify: Callable[[list[str]], None] = lambda contents: None
        self.refused: set[str] = set()

    def admit(self, identity: RequestIdentity, *, first: bool) -> Standing:
        """Return whether a request may be sent to a server now.

        Raise Refusal where it may not and has not run: ``first`` is before its first
        try.
        """
        if not self._may_be_held(identity):
            return FREE
        now = self.clock.monotonic()
        standing = self.table.standing(identity.fingerprint, now)
        if first and not standing.can_run:
            raise _refusal(identity, standing)
        return standing

    @contextlib.contextmanager
    def trial(self, identity: RequestIdentity, standing: Standing) -> Iterator[None]:
        """Let no copy of a suspected request run while this one does."""
        if not standing.alone:
            yield
            return
        content = identity.fingerprint.content
        self.table.begin_trial(content, self.clock.monotonic())
        self.notify([content])
        try:
            yield
        finally:
            self.table.end_trial(content, self.clock.monotonic())

    def note_end(self, identity: RequestIdentity, server: Server) -> None:
        """Take in that a server ended with a request in flight."""
        incarnation = ServerIncarnation(server.instance, server.born)
        fingerprint = identity.fingerprint
        if self.table.note_end(fingerprint, incarnation, self.clock.monotonic()):
            self.changed([fingerprint.content])

    def note_answer(self, identity: RequestIdentity) -> None:
        """Take in that a server has answered a request."""
        if not self._may_be_held(identity):
            return
        fingerprint = identity.fingerprint
        if self.table.note_answer(fingerprint, self.clock.monotonic()):
            self.changed([fingerprint.content])

    def _may_be_held(self, identity: RequestIdentity) -> bool:
        """Tell whether it is worth to hash a whole request; mostly nothing is held."""
        return bool(self.table.suspects) and self.table.has_suspect_head(identity.head)

    def lift(self, content: str) -> bool:
        """Clear a request on an operator's word; tell whether anything was held."""
        if not self.table.lift(content, self.clock.monotonic()):
            return False
        self.changed([content])
        return True

    def changed(self, contents: list[str]) -> None:
        """Tell peers, and operators, of contents of which something new is known."""
        self.notify(contents)
        self._log_changes(contents)

    def tick(self) -> None:
        """Forget what is over, and log what is refused no more."""
        self.table.tick(self.clock.monotonic())
        self._log_changes([*self.table.suspects, *self.refused])

    def _log_changes(self, contents: Iterable[str]) -> None:
        """Log which of some contents are refused from now on, or no more."""
        now = self.clock.monotonic()
        for content in contents:
            until = self.table.quarantined_until(content)
            if until > now and content not in self.refused:
                self.refused.add(content)
                self._log(Event.REQUEST_QUARANTINED, content, round(until - now, 3))
            elif until <= now and content in self.refused:
                self.refused.discard(content)
                self._log(Event.REQUEST_RELEASED, content, None)

    def _log(self, event: Event, content: str, seconds: float | None) -> None:
        """Log a change of what is refused, with what is held against it."""
        suspect = self.table.suspects.get(content)
        ends = suspect.unsettled() if suspect is not None else {}
        now = self.clock.monotonic()
        self.events.record(
            event,
            content=content,
            callers=sorted({key.caller for key in ends}),
            instances=[key.incarnation.instance for key in ends],
            end_ages=[round(now - end.at, 3) for end in ends.values()],
            seconds=seconds,
        )


def _refusal(identity: RequestIdentity, standing: Standing) -> Refusal:
    """Return what a caller is told whose request has not run."""
    inputs = {
        "content": identity.fingerprint.content,
        "caller": identity.fingerprint.caller,
        "ends": standing.ends,
        "last_end_age": round(standing.last_crash_seconds, 3),
    }
    reason = REASONS[standing.verdict]
    seconds = round(standing.retry_seconds, 3)
    return Refusal(ErrorKind.QUARANTINED, 503, reason, seconds, inputs)
