"""Note when the first byte of each request of a connection came.

Counted is what passes from the moment in which the event loop hands bytes over: the
rest of the head and the body that are still coming, and the wait behind requests before
it. Not counted is what passes before: on the network, in the kernel's buffer while the
loop is busy or while reading is paused because 32 requests wait. The kernel does not
tell when it took in a stream's bytes; the histogram of the loop's lag shows that time.

Where it can't be told whether a chunk's last bytes begin a request, they count as none.
So a time may come out late by the pause between two chunks of one head, and an idle
connection never counts as a request that is late.
"""

from collections import deque
from typing import Any, Final, NamedTuple

from aiohttp.streams import EMPTY_PAYLOAD, StreamReader

BLANK_LINE: Final = b"\r\n\r\n"
NEW_LINE: Final = b"\r\n"


class OpenBody(NamedTuple):
    """A body that is still coming, and how much of it came before this chunk."""

    chunked: bool
    payload: StreamReader
    bytes_before: int


class ArrivalQueue(deque[tuple[Any, StreamReader]]):
    """The requests of a connection that wait, with the times of their first bytes.

    The HTTP library appends each request as its head is complete, and takes it out when
    its turn comes. ``times`` are monotonic seconds, in the order of the requests;
    ``turn_at`` is that of the request whose turn it is.
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
        """Take in a request whose head is complete."""
        self.times.append(self.chunk_at if self.begun_at is None else self.begun_at)
        self.begun_at = None
        self.newest = row
        deque.append(self, row)

    def popleft(self) -> tuple[Any, StreamReader]:
        """Return the request whose turn it is."""
        self.turn_at = self.times.popleft()
        return deque.popleft(self)

    def end_chunk(self, data: bytes) -> None:
        """Note whether the last bytes of a chunk have begun a request."""
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
        if not _is_between(data, body_bytes):
            self.begun_at = self.chunk_at

    def _begin_body(self, message: Any, payload: StreamReader) -> int:
        """Return the bytes of a new request's body, 0 where its end shows itself."""
        self.body = None
        if payload is EMPTY_PAYLOAD:
            return 0
        if not payload.is_eof():
            self.body = OpenBody(message.chunked, payload, payload.total_bytes)
            return 0
        return 0 if message.chunked else payload.total_bytes

    def _continue_body(self, body: OpenBody) -> int:
        """Return how many bytes of a chunk are known to belong to the open body."""
        total = body.payload.total_bytes
        ended = body.payload.is_eof()
        self.body = None if ended else body._replace(bytes_before=total)
        return 0 if body.chunked else total - body.bytes_before


def _is_between(data: bytes, body_bytes: int) -> bool:
    """Tell whether a chunk ends with a request, or with line ends behind it.

    ``body_bytes`` is the length of the request's body where it has been read whole
    from this chunk, and its end can't be seen.
    """
    text_bytes = len(data.rstrip(NEW_LINE))
    if not body_bytes:
        return not text_bytes or BLANK_LINE in data[text_bytes:]
    ends_at = len(data) - body_bytes
    earliest = text_bytes - body_bytes
    if data.find(BLANK_LINE, max(0, earliest - len(BLANK_LINE)), ends_at) >= 0:
        return True
    # The blank line may have begun in the chunk before.
    ends = range(max(1, earliest), min(ends_at + 1, len(BLANK_LINE)))
    return any(BLANK_LINE.endswith(data[:end]) for end in ends)
