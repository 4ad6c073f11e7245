"""Report what happens to the configuration as numbered events."""

from collections.abc import Sequence
from typing import Final

from greengagepoint.config.entries import Entry
from greengagepoint.config.log import ConfigLog
from greengagepoint.config.state import Fork
from greengagepoint.errors import ErrorKind, RecordError, StoreError
from greengagepoint.events import Event
from greengagepoint_node.context import EventSink

STORE_SOURCE: Final = "store"
USED_FOR: Final = "configuration"


class ConfigReports:
    """Record events, those that last only when they begin or end.

    ``store_reverted`` tells that the store holds less than what is in force, or
    another history, so that nothing can be written.
    """

    def __init__(self, events: EventSink) -> None:
        self.events = events
        self.store_available = True
        self.store_reverted = False
        self.invalid_detail = ""
        self.reported_forks: set[Fork] = set()
        self.reported_faults: set[tuple[str | None, str]] = set()

    def in_force(self, log: ConfigLog, source: str) -> None:
        """Report a new generation and who it came from."""
        fields = {"generation": log.generation, "digest": log.digest}
        if source != STORE_SOURCE:
            self.events.record(Event.CONFIGURATION_FROM_PEER, peer=source, **fields)
        self.events.record(Event.CONFIGURATION_IN_FORCE, source=source, **fields)

    def faults(self, faults: Sequence[RecordError]) -> None:
        """Report each record of which an older document stays in force, once."""
        for fault in faults:
            key = (fault.record, fault.detail)
            if key in self.reported_faults:
                continue
            self.reported_faults.add(key)
            too_new = fault.kind is ErrorKind.RECORD_SCHEMA_UNKNOWN
            self.events.record(
                Event.RECORD_TOO_NEW if too_new else Event.RECORD_REFUSED,
                record=fault.record,
                detail=fault.detail,
            )

    def refused(self, error: RecordError, author: str) -> None:
        """Report a change that an operator may not make."""
        conflict = error.kind is ErrorKind.RECORD_CONFLICT
        self.events.record(
            Event.CONFIGURATION_CONFLICT if conflict else Event.RECORD_REFUSED,
            record=error.record,
            author=author,
            detail=error.detail,
        )

    def settled(self, entry: Entry) -> None:
        """Report a write of which the reply was lost and that took effect."""
        self.events.record(
            Event.STORE_WRITE_SETTLED,
            used_for=USED_FOR,
            write_id=entry.write_id,
            generation=entry.generation,
        )

    def store(self, error: StoreError | None) -> None:
        """Report when the store fails and when it answers again."""
        if error is not None and error.kind is ErrorKind.STORE_ANSWER_INVALID:
            if error.detail != self.invalid_detail:
                self.invalid_detail = error.detail
                self.events.record(
                    Event.STORE_ANSWER_INVALID, used_for=USED_FOR, detail=error.detail
                )
            return
        if error is None:
            self.invalid_detail = ""
        available = error is None
        if available is self.store_available:
            return
        self.store_available = available
        self.events.record(
            Event.STORE_AVAILABLE if available else Event.STORE_UNAVAILABLE,
            used_for=USED_FOR,
        )

    def reverted(self, reverted: bool, log: ConfigLog) -> None:
        """Report when the store has gone back."""
        if reverted and not self.store_reverted:
            self.events.record(
                Event.STORE_REVERTED,
                generation=log.generation,
                digest=log.digest,
                source=STORE_SOURCE,
            )
        self.store_reverted = reverted

    def fork(self, fork: Fork | None) -> None:
        """Report another history that the store or a peer has offered, once."""
        if fork is None or fork in self.reported_forks:
            return
        self.reported_forks.add(fork)
        self.events.record(
            Event.STORE_REVERTED, generation=fork.generation, source=fork.source
        )

    def internal(self, error: Exception) -> None:
        """Report a fault of this code, which would vanish with its task."""
        self.events.record(Event.INTERNAL_ERROR, used_for=USED_FOR, error=repr(error))
