"""Decide which bodies of requests a host reads, within their share of its memory."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Final, NamedTuple

from greengagepoint.overload.held_bytes import (
    COPIES,
    FLOOR_BYTES,
    SHARES,
    create_total,
)

# An upload is joined from its pieces.
UPLOAD_COPIES: Final = 2
# Two uploads of the longest kind may be held at once.
UPLOADS_AT_ONCE: Final = 2


class UploadLimits(NamedTuple):
    """Limits on uploads: of all together and of each one, in bytes."""

    budget_bytes: int
    upload_bytes: int


def create_upload_limits(memory_mb: float) -> UploadLimits:
    """Return the limits of a host with this much memory, 0 if it is unknown."""
    budget = create_total(memory_mb) * COPIES // SHARES // UPLOAD_COPIES
    return UploadLimits(budget, budget // UPLOADS_AT_ONCE)


class UploadReason(StrEnum):
    """Why an upload is not read."""

    TOO_LONG = "longer than this host can hold"
    NO_ROOM = "no room beside other uploads"


@dataclass(slots=True, eq=False)
class Upload:
    """The bytes that are reserved for one upload, and how many were received."""

    size: int = 0
    received: int = 0
    is_released: bool = False


class HeldUploads:
    """The bytes that a host holds of all uploads, within their budget.

    An upload is admitted before its first byte if its length is known. Uploads up to
    ``FLOOR_BYTES`` are always admitted, and one that was admitted never gives way.
    """

    def __init__(self, limits: UploadLimits) -> None:
        self.limits = limits
        self.total = 0

    def reserve(self, upload: Upload, length: int) -> UploadReason | None:
        """Reserve the declared length, or release and return why it can't be held."""
        return self._extend(upload, length)

    def grow(self, upload: Upload, size: int) -> UploadReason | None:
        """Hold so many more bytes, or release all and return why they can't be held."""
        upload.received += size
        return self._extend(upload, upload.received)

    def release(self, upload: Upload) -> None:
        """Give back the bytes after the last attempt, or once it was given up."""
        if upload.is_released:
            return
        upload.is_released = True
        self.total -= upload.size

    def _extend(self, upload: Upload, size: int) -> UploadReason | None:
        """Hold ``size`` bytes of an upload in all."""
        if upload.is_released or size <= upload.size:
            return None
        more = size - upload.size
        if size > FLOOR_BYTES:
            reason = self._find_obstacle(size, more)
            if reason is not None:
                self.release(upload)
                return reason
        upload.size = size
        self.total += more
        return None

    def _find_obstacle(self, size: int, more: int) -> UploadReason | None:
        """Return why an upload of this size can't be held, or None."""
        if size > self.limits.upload_bytes:
            return UploadReason.TOO_LONG
        if self.total + more > self.limits.budget_bytes:
            return UploadReason.NO_ROOM
        return None
