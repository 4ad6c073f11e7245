"""The event sink: the ring of the time line and the log."""

from typing import Any

from greengagepoint.events import Event
from greengagepoint.timeline.ring import EventRecorder
from greengagepoint_node.logs import log_event


class LoggedEvents:
    """Record events in the ring and write them to the log."""

    def __init__(self, recorder: EventRecorder) -> None:
        self.recorder = recorder

    def record(self, event: Event, **fields: Any) -> None:
        """Record that an event happened now on this host."""
        log_event(self.recorder.record(event, **fields))
