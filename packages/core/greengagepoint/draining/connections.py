"""Tell what a connection of a stopping host still owes its caller."""

from enum import StrEnum
from typing import NamedTuple


class ConnectionPhase(StrEnum):
    """How far a connection is with the requests that were read from it."""

    IDLE = "idle"
    ANSWERING = "answering"
    SENDING = "sending"


class ConnectionState(NamedTuple):
    """What was read from a connection or written to it and is not finished.

    ``unanswered`` are whole requests without an answer, and ``is_busy`` tells that one
    is being handled or that the rest of a rejected body is being read. ``unsent_bytes``
    are those of answers that the caller's link has not taken yet.
    """

    unanswered: int
    is_busy: bool
    unsent_bytes: int

    @property
    def phase(self) -> ConnectionPhase:
        """Return how far the connection is."""
        if self.unanswered or self.is_busy:
            return ConnectionPhase.ANSWERING
        if self.unsent_bytes:
            return ConnectionPhase.SENDING
        return ConnectionPhase.IDLE
