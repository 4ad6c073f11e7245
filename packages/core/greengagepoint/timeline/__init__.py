"""The time line: events of all hosts in one order."""

from greengagepoint.timeline.hlc import HybridClock, Stamp
from greengagepoint.timeline.ring import (
    EventFilter,
    EventRecorder,
    EventRing,
    merge_events,
)

__all__ = [
    "EventFilter",
    "EventRecorder",
    "EventRing",
    "HybridClock",
    "Stamp",
    "merge_events",
]
