"""Keep the latest events of one host in a bounded ring."""

from collections import deque
from collections.abc import Callable, Iterable, Iterator
from heapq import merge
from typing import Any, Final, NamedTuple

from greengagepoint.events import Event, Occurrence
from greengagepoint.timeline.hlc import HybridClock, Stamp

RING_EVENTS: Final = 4096

FIELD_REQUEST_ID: Final = "request_id"
FIELD_TEAM: Final = "team"
FIELD_SITE: Final = "site"


class EventFilter(NamedTuple):
    """Which events are asked for; a condition that is None holds for all.

    ``since`` is exclusive, so the last stamp seen asks for what came after it.
    """

    request_id: str | None = None
    team: str | None = None
    site: str | None = None
    kind: Event | None = None
    since: tuple[int, int] | None = None

    def matches(self, occurrence: Occurrence) -> bool:
        """Tell whether an event meets all conditions."""
        if self.since is not None and tuple(occurrence.clock) <= tuple(self.since):
            return False
        if self.kind is not None and occurrence.event != self.kind:
            return False
        wanted = (
            (FIELD_REQUEST_ID, self.request_id),
            (FIELD_TEAM, self.team),
            (FIELD_SITE, self.site),
        )
        fields = occurrence.fields
        return all(value is None or fields.get(key) == value for key, value in wanted)


ALL_EVENTS: Final = EventFilter()


class EventRing:
    """Hold at most ``capacity`` events and count those that were overwritten."""

    def __init__(self, capacity: int = RING_EVENTS) -> None:
        self.events: deque[Occurrence] = deque(maxlen=capacity)
        self.overwritten = 0

    def append(self, occurrence: Occurrence) -> None:
        """Add an event, dropping the oldest when the ring is full."""
        if len(self.events) == self.events.maxlen:
            self.overwritten += 1
        self.events.append(occurrence)

    def select(self, wanted: EventFilter = ALL_EVENTS) -> Iterator[Occurrence]:
        """Yield matching events, oldest first."""
        return (event for event in self.events if wanted.matches(event))


class EventRecorder:
    """Stamp the events of one host and keep them in its ring.

    ``wall_milliseconds`` tells the host's wall clock.
    """

    def __init__(
        self,
        host: str,
        wall_milliseconds: Callable[[], int],
        capacity: int = RING_EVENTS,
    ) -> None:
        self.host = host
        self.wall_milliseconds = wall_milliseconds
        self.clock = HybridClock()
        self.ring = EventRing(capacity)

    def record(self, event: Event, **fields: Any) -> Occurrence:
        """Stamp an event, keep it and return it."""
        stamp = self.clock.issue(self.wall_milliseconds())
        occurrence = Occurrence(stamp, self.host, event, fields)
        self.ring.append(occurrence)
        return occurrence

    def stamp(self) -> Stamp:
        """Return a stamp for a message about to be sent."""
        return self.clock.issue(self.wall_milliseconds())

    def observe(self, stamp: tuple[int, int]) -> bool:
        """Follow the stamp of a message received, so that its effects sort after it."""
        return self.clock.observe(Stamp(*stamp), self.wall_milliseconds())


def order_key(occurrence: Occurrence) -> tuple[int, int, str, int]:
    """Return the key that orders events of all hosts in the same way everywhere."""
    milliseconds, counter = occurrence.clock
    return (milliseconds, counter, occurrence.host, int(occurrence.event))


def merge_events(rings: Iterable[Iterable[Occurrence]]) -> list[Occurrence]:
    """Merge the events of many hosts in order, each event once."""
    merged: dict[tuple[int, int, str, int], Occurrence] = {}
    ordered = (sorted(ring, key=order_key) for ring in rings)
    for occurrence in merge(*ordered, key=order_key):
        merged.setdefault(order_key(occurrence), occurrence)
    return list(merged.values())
