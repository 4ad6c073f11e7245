"""Reserve the bytes of request bodies before they are read."""

from typing import Final

from greengagepoint.errors import ErrorKind
from greengagepoint.events import Event
from greengagepoint.overload.held_uploads import (
    HeldUploads,
    Upload,
    UploadLimits,
    UploadReason,
    create_upload_limits,
)
from greengagepoint_node.context import EventSink
from greengagepoint_node.gateway.refusals import Refusal

UPLOAD_RETRY_SECONDS: Final = 0.25


class UploadBodies:
    """Admit request bodies that the host can hold."""

    def __init__(self, limits: UploadLimits, events: EventSink) -> None:
        self.held = HeldUploads(limits)
        self.events = events

    def open(self, request_id: str) -> "UploadBody":
        """Return the body of a request, of which nothing is held yet."""
        return UploadBody(self, request_id)

    def record_rejected(self, body: "UploadBody", size: int, reason: str) -> None:
        """Log that an upload is not read."""
        self.events.record(
            Event.UPLOAD_REJECTED,
            request_id=body.request_id,
            reason=reason,
            bytes=size,
            bound=self.held.limits.upload_bytes,
            budget=self.held.limits.budget_bytes,
            held=self.held.total,
        )


class UploadBody(Upload):
    """The body of one request, to be released after its last attempt."""

    __slots__ = ("bodies", "request_id")

    def __init__(self, bodies: UploadBodies, request_id: str) -> None:
        super().__init__()
        self.bodies = bodies
        self.request_id = request_id

    def reserve(self, length: int) -> None:
        """Reserve the declared length, or raise Refusal."""
        self._check(self.bodies.held.reserve(self, length), length)

    def grow(self, size: int) -> None:
        """Hold more bytes, or raise Refusal."""
        self._check(self.bodies.held.grow(self, size), self.received)

    def release(self) -> None:
        """Give back the bytes, once."""
        self.bodies.held.release(self)

    def _check(self, reason: UploadReason | None, size: int) -> None:
        """Raise Refusal if there is a reason not to read a body of this size."""
        if reason is None:
            return
        self.bodies.record_rejected(self, size, reason)
        raise upload_refusal(reason)


def upload_refusal(reason: UploadReason) -> Refusal:
    """Return the refusal of a request whose body this host can't hold."""
    if reason is UploadReason.TOO_LONG:
        return Refusal(
            ErrorKind.BODY_TOO_LARGE, 413, f"the body is {reason}", is_unread=True
        )
    return Refusal(
        ErrorKind.OVERLOADED,
        503,
        str(reason),
        UPLOAD_RETRY_SECONDS,
        can_run_elsewhere=True,
        is_unread=True,
    )


def create_upload_bodies(memory_mb: float, events: EventSink) -> UploadBodies:
    """Return the uploads that a host with this much memory holds."""
    return UploadBodies(create_upload_limits(memory_mb), events)
