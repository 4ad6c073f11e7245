"""Messages in which hosts tell each other how far shifts have come."""

from typing import Final

import msgspec
import xxhash


class ShiftStep(msgspec.Struct, frozen=True, array_like=True):
    """How far one host has come with one shift.

    ``version`` is the digest of the record's version; ``fraction`` is 0 to 1.
    """

    name: str
    version: int
    fraction: float


class ShiftProgress(
    msgspec.Struct, frozen=True, array_like=True, tag="steering.shift_progress"
):
    """How far the sender has come with each shift that is moving."""

    steps: tuple[ShiftStep, ...]


MESSAGES: Final = (ShiftProgress,)


def version_digest(identity: str) -> int:
    """Return a short digest of a shift's identity."""
    return xxhash.xxh32_intdigest(identity.encode())
