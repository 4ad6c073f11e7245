"""Count and log rejected items of the store, with a limit on log lines."""

from collections import Counter
from typing import Final

from greengagepoint.errors import RecordError
from greengagepoint.events import Event
from greengagepoint.overload.token_bucket import TokenBucket, take
from greengagepoint_node.context import EventSink
from greengagepoint_node.gateway.store_types import ItemRefusedError, RefusedFor

# A faulty writer may write continuously, and its log lines would crowd out those that
# explain failed requests. The counter includes every rejected item.
LINES_PER_SECOND: Final = 10.0
LINES_BURST: Final = 200.0
# Characters; a key or value of megabytes would make a log line of megabytes.
TEXT_MAX: Final = 200


class RejectedItems:
    """Count rejected items by reason and log them within the rate limit."""

    def __init__(self, events: EventSink, counts: Counter[tuple[str]]) -> None:
        self.events = events
        self.counts = counts
        self.line_budget: TokenBucket | None = None

    def record_rejection(self, key: str, error: RecordError, now: float) -> None:
        """Count and log the rejection of an item."""
        reason = RefusedFor.UNREADABLE
        if isinstance(error, ItemRefusedError):
            reason = error.reason
        self.counts[(str(reason),)] += 1
        self.line_budget = self.line_budget or TokenBucket(LINES_BURST, now)
        if take(self.line_budget, LINES_PER_SECOND, LINES_BURST, now) > 0:
            return
        self.events.record(
            Event.RECORD_REFUSED,
            key=key[:TEXT_MAX],
            reason=reason,
            field=(error.field or "")[:TEXT_MAX],
            detail=error.detail[:TEXT_MAX],
        )
