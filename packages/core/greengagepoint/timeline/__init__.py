"""The time line: events of all hosts in one order."""

from greengagepoint.timeline.hlc import HybridClock, Stamp
from greengagepoint.timeline.render import render_html, render_text
from greengagepoint.timeline.ring import (
    EventFilter,
    EventRecorder,
    EventRing,
    merge_events,
)
from greengagepoint.timeline.wire import decode, encode, from_lines, parse_kind

__all__ = [
    "EventFilter",
    "EventRecorder",
    "EventRing",
    "HybridClock",
    "Stamp",
    "decode",
    "encode",
    "from_lines",
    "merge_events",
    "parse_kind",
    "render_html",
    "render_text",
]
