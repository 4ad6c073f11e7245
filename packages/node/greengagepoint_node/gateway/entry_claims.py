"""Set aside servers' entries that contradict earlier ones of the same run."""

from typing import Final

from greengagepoint.events import Event
from greengagepoint.placing.server_claims import (
    Claim,
    ClaimField,
    Decision,
    ServerClaims,
)
from greengagepoint_node.context import EventSink
from greengagepoint_node.gateway.rejected_items import RejectedItems
from greengagepoint_node.gateway.store_types import (
    ItemRefusedError,
    RefusedFor,
    ServerEntry,
    StoreEntry,
)
from greengagepoint_node.gateway.writes import KeyWrites, Write

REASONS: Final = {
    ClaimField.BORN: RefusedFor.FIELD,
    ClaimField.ADDRESS: RefusedFor.ADDRESS,
    ClaimField.SERVICE: RefusedFor.SERVICE,
    ClaimField.ZONE: RefusedFor.ZONE,
}


class EntryClaims:
    """Return the entries that hold, and report each one that is set aside once."""

    def __init__(self, events: EventSink, rejected: RejectedItems) -> None:
        self.events = events
        self.rejected = rejected
        self.claims = ServerClaims()
        self.reported: dict[str, Write] = {}

    def settled_entry(
        self, key: str, writes: KeyWrites | None, now: float
    ) -> StoreEntry | None:
        """Return the active entry of a key, None if it has none or is set aside."""
        if writes is None:
            self.claims.forget(key)
            self.reported.pop(key, None)
            return None
        write = writes.active
        entry = write.entry
        if not isinstance(entry, ServerEntry):
            self.claims.withdraw(key)
            return entry
        claim = Claim(entry.born, entry.address, entry.service, entry.zone)
        decision = self.claims.decide(key, claim, now)
        if not decision.accepted:
            self._report_refusal(key, write, decision, now)
            return None
        self.reported.pop(key, None)
        if decision.field is not None:
            self._record_change(entry, decision)
        return entry

    def expired(self, now: float) -> list[str]:
        """Return the keys whose entries may have been set aside for long enough."""
        return self.claims.expired(now)

    def _report_refusal(
        self, key: str, write: Write, decision: Decision, now: float
    ) -> None:
        """Count and log once that an entry contradicts the one before it."""
        if self.reported.get(key) is write or decision.field is None:
            return
        self.reported[key] = write
        detail = f"{decision.field} differs within one run: {decision.former}"
        error = ItemRefusedError(detail, REASONS[decision.field], key)
        self.rejected.record_rejection(key, error, now)

    def _record_change(self, entry: ServerEntry, decision: Decision) -> None:
        """Log that an entry was accepted though it contradicts the one before it."""
        assert decision.former is not None
        self.events.record(
            Event.BACKEND_SERVER_CORRECTED,
            instance=entry.instance,
            field=decision.field,
            born=entry.born,
            address=entry.address,
            service=entry.service,
            zone=entry.zone,
            former_born=decision.former.born,
            former_address=decision.former.address,
            former_service=decision.former.service,
            former_zone=decision.former.zone,
        )
