"""Decide how many bytes of answers a host holds, and which answer gives way."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Final, NamedTuple

MEBIBYTE: Final = 1024 * 1024
# Used where the memory of the host is unknown.
MEMORY_MB_DEFAULT: Final = 200.0
# What the process needs without any answer: code, tables, connections.
PROCESS_BYTES: Final = 96 * MEBIBYTE
BUDGET_BYTES_MIN: Final = 4 * MEBIBYTE
# An answer is joined from its pieces, and copied when it is written.
COPIES: Final = 3
# Answers and uploads have a share each, so that neither ends the other.
SHARES: Final = 2
# Bodies of requests up to this size are held whatever the others take.
FLOOR_BYTES: Final = 64 * 1024
# Answers up to this size are, too: callers that read slowly may hold all of the budget
# for seconds, and the requests of others have run by the time their answers come.
ANSWER_FLOOR_BYTES: Final = MEBIBYTE


class HeldLimits(NamedTuple):
    """Limits on answers: of all together and of each one, in bytes."""

    budget_bytes: int
    answer_bytes: int


def create_total(memory_mb: float) -> int:
    """Return the bytes of answers and uploads that a host may hold together."""
    memory_bytes = int((memory_mb or MEMORY_MB_DEFAULT) * MEBIBYTE)
    return max(BUDGET_BYTES_MIN, (memory_bytes - PROCESS_BYTES) // COPIES)


def create_limits(memory_mb: float) -> HeldLimits:
    """Return the limits of a host with this much memory, 0 if it is unknown.

    One answer may take the whole share.
    """
    budget = create_total(memory_mb) // SHARES
    return HeldLimits(budget, budget)


class DropReason(StrEnum):
    """Why an answer is not held any longer."""

    TOO_LONG = "too long"
    LENGTH_TOO_LONG = "its length is too long"
    NO_ROOM = "largest of those that exceed the budget"


@dataclass(slots=True, eq=False)
class Holding:
    """The bytes that are held of one answer; ``dropped`` is set once it gave way."""

    size: int = 0
    is_whole: bool = False
    is_released: bool = False
    dropped: DropReason | None = None


class HeldBytes:
    """The bytes that a host holds of all answers, within its budget.

    Answers up to ``ANSWER_FLOOR_BYTES`` are always held. If the budget is exceeded, the
    largest answer that is still arriving gives way.
    """

    def __init__(self, limits: HeldLimits) -> None:
        self.limits = limits
        self.total = 0
        self.arriving: set[Holding] = set()

    def check_length(self, holding: Holding, length: int | None) -> None:
        """Drop an answer whose declared length can't be held."""
        if length is not None and length > self.limits.answer_bytes:
            self._drop(holding, DropReason.LENGTH_TOO_LONG)

    def grow(self, holding: Holding, size: int) -> Holding | None:
        """Hold so many more bytes of an answer; return the answer that gave way.

        That may be the answer itself.
        """
        if holding.is_released:
            return None
        holding.size += size
        self.total += size
        if holding.size > self.limits.answer_bytes:
            self._drop(holding, DropReason.TOO_LONG)
            return holding
        if holding.size > ANSWER_FLOOR_BYTES:
            self.arriving.add(holding)
        if self.total <= self.limits.budget_bytes:
            return None
        return self._make_room()

    def finish(self, holding: Holding) -> None:
        """Record that an answer is whole, and will be written to its caller."""
        holding.is_whole = True
        self.arriving.discard(holding)

    def release(self, holding: Holding) -> None:
        """Give back the bytes of an answer that was written or given up."""
        if holding.is_released:
            return
        holding.is_released = True
        self.total -= holding.size
        self.arriving.discard(holding)

    def _make_room(self) -> Holding | None:
        """Drop the largest arriving answer, and return it.

        The rest fits: it did before the last bytes, and the largest answer has more
        bytes than those.
        """
        if not self.arriving:
            return None
        largest = max(self.arriving, key=lambda holding: holding.size)
        self._drop(largest, DropReason.NO_ROOM)
        return largest

    def _drop(self, holding: Holding, reason: DropReason) -> None:
        """Give back the bytes of an answer for a reason."""
        holding.dropped = reason
        self.release(holding)
