"""Decide which reads a host makes that follows the store itself.

A watch waits on a kept connection, which may go silent without a reset. A check is
answered at once, over a new connection, and tells the same.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Final

# An answer that is later than this after the end of its watch may never come. A store
# that is fifty times slower than usual answers within it.
ANSWER_SECONDS: Final = 0.2


class Read(StrEnum):
    """A way to ask the store what has changed."""

    WATCH = "watch"
    CHECK = "check"


@dataclass(slots=True)
class ReadPlan:
    """The reads of one host; times are monotonic seconds.

    ``needs_check`` is set while no answer has come since the host began to read the
    store, or since a read failed.
    """

    watch_seconds: float
    needs_check: bool = True
    watch_began_at: float | None = None
    is_checking: bool = False

    def begin(self) -> None:
        """Begin to read the store; what kept connections are worth is unknown."""
        self.needs_check = True
        self.cancel()

    def cancel(self) -> None:
        """Record that no read runs any more."""
        self.watch_began_at = None
        self.is_checking = False

    def next_read(self, now: float) -> Read | None:
        """Return the read to start now, or None to wait for those that run."""
        if self.is_checking:
            return None
        if self.needs_check:
            return Read.CHECK
        if self.watch_began_at is None:
            return Read.WATCH
        return Read.CHECK if now >= self.overdue_at() else None

    def overdue_at(self) -> float:
        """Return when the watch that runs should have been answered."""
        assert self.watch_began_at is not None
        return self.watch_began_at + self.watch_seconds + ANSWER_SECONDS

    def start(self, read: Read, now: float) -> None:
        """Record that a read starts."""
        if read is Read.CHECK:
            self.is_checking = True
        else:
            self.watch_began_at = now

    def end(self, read: Read, *, answered: bool) -> None:
        """Record that a read has ended; an answer makes the other one needless."""
        if answered:
            self.cancel()
        elif read is Read.CHECK:
            self.is_checking = False
        else:
            self.watch_began_at = None
        self.needs_check = not answered
