"""Reject requests that crash backend servers, and detect such requests."""

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

REJECTION_REASONS: Final = {
    Verdict.QUARANTINED: "servers that ran this request ended",
    Verdict.WAITS: "servers that ran this request ended, and it is being tried",
}


class RequestQuarantine:
    """Apply and log the quarantine of one host.

    ``notify`` is called with the contents whose state changed, to update peers.
    """

    def __init__(self, table: Quarantine, clock: Clock, events: EventSink) -> None:
        self.table = table
        self.clock = clock
        self.events = events
        self.notify: Callable[[list[str]], None] = lambda contents: None
        self.quarantined: set[str] = set()

    def admit(self, identity: RequestIdentity, *, first: bool) -> Standing:
        """Return whether a request may be sent to a server now.

        ``first`` is true before the first attempt. Raises Refusal if the request may
        not be sent then.
        """
        if not self._may_be_suspected(identity):
            return FREE
        now = self.clock.monotonic()
        standing = self.table.standing(identity.fingerprint, now)
        if first and not standing.can_run:
            raise _create_refusal(identity, standing)
        return standing

    @contextlib.contextmanager
    def trial(self, identity: RequestIdentity, standing: Standing) -> Iterator[None]:
        """Keep copies of a suspected request from running while this one runs."""
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
        """Record a server crash with a request in flight."""
        incarnation = ServerIncarnation(server.instance, server.born)
        fingerprint = identity.fingerprint
        if self.table.note_end(fingerprint, incarnation, self.clock.monotonic()):
            self.announce_changes([fingerprint.content])

    def note_answer(self, identity: RequestIdentity) -> None:
        """Record that a server answered a request."""
        if not self._may_be_suspected(identity):
            return
        fingerprint = identity.fingerprint
        if self.table.note_answer(fingerprint, self.clock.monotonic()):
            self.announce_changes([fingerprint.content])

    def _may_be_suspected(self, identity: RequestIdentity) -> bool:
        """Return True if the request has to be hashed whole to check for suspicion.

        Mostly no request is suspected, and the hash is saved.
        """
        return bool(self.table.suspects) and self.table.has_suspect_head(identity.head)

    def lift(self, content: str) -> bool:
        """Clear a request for an operator; return True if it was suspected."""
        if not self.table.lift(content, self.clock.monotonic()):
            return False
        self.announce_changes([content])
        return True

    def announce_changes(self, contents: list[str]) -> None:
        """Notify peers of contents whose state changed, and log the changes."""
        self.notify(contents)
        self._log_changes(contents)

    def tick(self) -> None:
        """Expire old crashes, and log requests that are no longer quarantined."""
        self.table.tick(self.clock.monotonic())
        self._log_changes([*self.table.suspects, *self.quarantined])

    def _log_changes(self, contents: Iterable[str]) -> None:
        """Log which of the given contents entered or left quarantine."""
        now = self.clock.monotonic()
        for content in contents:
            until = self.table.quarantined_until(content)
            if until > now and content not in self.quarantined:
                self.quarantined.add(content)
                self._log(Event.REQUEST_QUARANTINED, content, round(until - now, 3))
            elif until <= now and content in self.quarantined:
                self.quarantined.discard(content)
                self._log(Event.REQUEST_RELEASED, content, None)

    def _log(self, event: Event, content: str, seconds: float | None) -> None:
        """Log a quarantine event with the crashes that count against the request."""
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


def _create_refusal(identity: RequestIdentity, standing: Standing) -> Refusal:
    """Return the rejection of a request that has not run."""
    inputs = {
        "content": identity.fingerprint.content,
        "caller": identity.fingerprint.caller,
        "ends": standing.ends,
        "last_end_age": round(standing.last_crash_seconds, 3),
    }
    reason = REJECTION_REASONS[standing.verdict]
    seconds = round(standing.retry_seconds, 3)
    return Refusal(ErrorKind.QUARANTINED, 503, reason, seconds, inputs)
