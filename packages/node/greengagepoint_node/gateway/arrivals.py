"""Record when the first byte of each request on a connection arrived.

Arrival is when the event loop delivers the bytes. The time to receive the rest of the
head and the body and to wait for earlier requests counts from there. Time on the
network and in the kernel's buffer is not included; bytes stay in the buffer while the
loop is busy, or while reading is paused because 32 requests wait. The kernel keeps no
arrival times of a stream's bytes; the histogram of the loop's lag shows that part.

If it is ambiguous whether the last bytes of a chunk start a request, they are taken not
to. An arrival time may therefore be late by the pause between two chunks of a head, but
the idle time of a connection never counts as part of a request.
"""

from collections import deque
from typing import Any, Final, NamedTuple

from aiohttp.streams import EMPTY_PAYLOAD, StreamReader

BLANK_LINE: Final = b"\r\n\r\n"
NEW_LINE: Final = b"\r\n"


class OpenBody(NamedTuple):
    """An incomplete body; ``bytes_before`` were received before this chunk."""

    chunked: bool
    payload: StreamReader
    bytes_before: int


class ArrivalQueue(deque[tuple[Any, StreamReader]]):
    """Waiting requests of a connection, with the arrival times of their first bytes.

    The HTTP library appends each request when its head is complete and pops it when
    its turn comes. ``times`` are monotonic seconds in the order of the requests;
    ``turn_at`` is the arrival time of the request that was popped last.
    """

    __slots__ = ("begun_at", "body", "chunk_at", "newest", "times", "turn_at")

    def __init__(self) -> None:
        super().__init__()
        self.times: deque[float] = deque()
        self.turn_at = 0.0
        self.chunk_at = 0.0
        self.begun_at: float | None = None
        self.newest: tuple[Any, StreamReader] | None = None
        self.body: OpenBody | None = None

    def append(self, row: tuple[Any, StreamReader]) -> None:
        """Append a request whose head is complete, and its arrival time."""
        self.times.append(self.chunk_at if self.begun_at is None else self.begun_at)
        self.begun_at = None
        self.newest = row
        deque.append(self, row)

    def popleft(self) -> tuple[Any, StreamReader]:
        """Pop the next request and its arrival time."""
        self.turn_at = self.times.popleft()
        return deque.popleft(self)

    def end_chunk(self, data: bytes) -> None:
        """Record the arrival time if the last bytes of a chunk start a request."""
        if self.newest is not None:
            message, payload = self.newest
            self.newest = None
            if payload is EMPTY_PAYLOAD and data.endswith(BLANK_LINE):
                self.body = None
                return
            body_bytes = self._begin_body(message, payload)
        elif self.body is not None:
            taken = self._continue_body(self.body)
            data, body_bytes = data[taken:], 0
        else:
            body_bytes = 0
        if self.begun_at is not None or self.body is not None or not data:
            return
        if not _ends_at_boundary(data, body_bytes):
            self.begun_at = self.chunk_at

    def _begin_body(self, message: Any, payload: StreamReader) -> int:
        """Return the length of a new request's body, 0 if its end can be parsed."""
        self.body = None
        if payload is EMPTY_PAYLOAD:
            return 0
        if not payload.is_eof():
            self.body = OpenBody(message.chunked, payload, payload.total_bytes)
            return 0
        return 0 if message.chunked else payload.total_bytes

    def _continue_body(self, body: OpenBody) -> int:
        """Return how many bytes of the chunk certainly belong to the open body."""
        total = body.payload.total_bytes
        ended = body.payload.is_eof()
        self.body = None if ended else body._replace(bytes_before=total)
        return 0 if body.chunked else total - body.bytes_before


def _ends_at_boundary(data: bytes, body_bytes: int) -> bool:
    """Return True if a chunk ends with a request, or with line ends after one.

    ``body_bytes`` is the length of the request's body if it was read completely from
    this chunk and has no parseable end.
    """
    text_bytes = len(data.rstrip(NEW_LINE))
    if not body_bytes:
        return not text_bytes or BLANK_LINE in data[text_bytes:]
    ends_at = len(data) - body_bytes
    earliest = text_bytes - body_bytes
    if data.find(BLANK_LINE, max(0, earliest - len(BLANK_LINE)), ends_at) >= 0:
        return True
    # The blank line may have started in the previous chunk.
    ends = range(max(1, earliest), min(ends_at + 1, len(BLANK_LINE)))
    return any(BLANK_LINE.endswith(data[:end]) for end in ends)
