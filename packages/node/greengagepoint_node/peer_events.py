"""Keep a flood of peer messages out of the log and the time line."""

import time
from collections.abc import Callable
from typing import Any, Final

from greengagepoint.events import Event
from greengagepoint_node.context import EventSink

MAX_EVENTS_PER_SECOND: Final = 5
WINDOW_SECONDS: Final = 1.0


class EventWindow:
    """Events of one number in the present second, and those left out."""

    __slots__ = ("count", "left_out", "started")

    def __init__(self, now: float) -> None:
        self.started = now
        self.count = 0
        self.left_out = 0


class LimitedEvents:
    """Record at most ``MAX_EVENTS_PER_SECOND`` of each number.

    Garbage on the peer port, or a region that is gone, would otherwise overwrite the
    time line's ring within seconds, and with it the events that tell why. The next
    event that is recorded has the number of those ``left_out``.
    """

    def __init__(
        self, events: EventSink, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self.events = events
        self.clock = clock
        self.windows: dict[Event, EventWindow] = {}

    def record(self, event: Event, **fields: Any) -> None:
        """Record an event, or count it as left out."""
        now = self.clock()
        window = self.windows.setdefault(event, EventWindow(now))
        if now - window.started >= WINDOW_SECONDS:
            window.started = now
            window.count = 0
        if window.count >= MAX_EVENTS_PER_SECOND:
            window.left_out += 1
            return
        window.count += 1
        if window.left_out:
            fields["left_out"] = window.left_out
            window.left_out = 0
        self.events.record(event, **fields)
