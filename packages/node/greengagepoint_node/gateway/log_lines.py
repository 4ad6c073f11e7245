"""Write numbered events as JSON lines without blocking on their reader."""

import os
import queue
import threading
from typing import Any, Final

import msgspec

from greengagepoint.events import CATALOGUE, Event
from greengagepoint.protocols import Clock

# A few hundred kilobytes. A slow reader loses lines, which are counted, and delays no
# request.
LINES_MAX: Final = 2_000
CLOSE_SECONDS: Final = 0.3

encode = msgspec.json.Encoder().encode


class LineWriter:
    """Queue lines for a writer thread; drop and count lines that do not fit."""

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.lines: queue.Queue[bytes | None] = queue.Queue(LINES_MAX)
        self.dropped = 0
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def write(self, line: bytes) -> None:
        """Queue one line, which includes its line break."""
        try:
            self.lines.put_nowait(line)
        except queue.Full:
            self.dropped += 1

    def close(self) -> None:
        """Write the queued lines, unless the reader has stopped reading."""
        try:
            self.lines.put(None, timeout=CLOSE_SECONDS)
        except queue.Full:
            return
        self.thread.join(CLOSE_SECONDS)

    def _run(self) -> None:
        """Write queued lines until the writer is closed."""
        while (line := self.lines.get()) is not None:
            view = memoryview(line)
            while view:
                view = view[os.write(self.descriptor, view) :]


class EventLogger:
    """Write events as lines of a host's log."""

    def __init__(self, host: str, clock: Clock, writer: LineWriter) -> None:
        self.host = host
        self.clock = clock
        self.writer = writer
        self.reported_dropped = 0

    def record(self, event: Event, **fields: Any) -> None:
        """Write one event."""
        row: dict[str, Any] = {
            "time": self.clock.wall_milliseconds() / 1000,
            "host": self.host,
            "level": CATALOGUE[event].level,
            "event": int(event),
            "name": event.name.lower(),
        }
        if self.writer.dropped > self.reported_dropped:
            row["lines_dropped"] = self.writer.dropped
            self.reported_dropped = self.writer.dropped
        row.update(fields)
        self.writer.write(encode(row) + b"\n")
