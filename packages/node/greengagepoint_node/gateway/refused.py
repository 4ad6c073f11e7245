"""Tell of the store's items that are refused, within bounds."""

from collections import Counter
from typing import Final

from greengagepoint.errors import RecordError
from greengagepoint.events import Event
from greengagepoint.overload.token_bucket import TokenBucket, take
from greengagepoint_node.context import EventSink
from greengagepoint_node.gateway.facts import ItemRefusedError, RefusedFor

# A writer out of order may write without a pause; its lines would crowd out those that
# tell why requests failed. The counter holds them all.
LINES_PER_SECOND: Final = 10.0
LINES_AT_ONCE: Final = 200.0
# A key or value of megabytes would be a line of megabytes.
TEXT_MAX: Final = 200


class RefusedItems:
    """Count refused items by reason and log each once."""

    def __init__(self, events: EventSink, counts: Counter[tuple[str]]) -> None:
        self.events = events
        self.counts = counts
        self.lines: TokenBucket | None = None

    def note(self, key: str, error: RecordError, now: float) -> None:
        """Take in that an item was refused."""
        reason = RefusedFor.UNREADABLE
        if isinstance(error, ItemRefusedError):
            reason = error.reason
        self.counts[(str(reason),)] += 1
        self.lines = self.lines or TokenBucket(LINES_AT_ONCE, now)
        if take(self.lines, LINES_PER_SECOND, LINES_AT_ONCE, now) > 0:
            return
        self.events.record(
            Event.RECORD_REFUSED,
            key=key[:TEXT_MAX],
            reason=reason,
            field=(error.field or "")[:TEXT_MAX],
            detail=error.detail[:TEXT_MAX],
        )
