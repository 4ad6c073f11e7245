"""Read the bodies of answers within the bytes that a host may hold."""

from collections import Counter
from typing import Final

import aiohttp

from greengagepoint.events import Event
from greengagepoint.overload.held_bytes import (
    DropReason,
    HeldBytes,
    HeldLimits,
    Holding,
    create_limits,
)
from greengagepoint_node.context import EventSink
from greengagepoint_node.proxy.relay import has_body

UNKNOWN_LENGTH: Final = -1


class AnswerDroppedError(aiohttp.ClientError):
    """Tell that an answer was given up as the host can't hold it."""

    def __init__(self, reason: DropReason) -> None:
        super().__init__(reason)
        self.reason = reason


class HeldBody(Holding):
    """The body of one answer; its bytes are given back at the latest with it."""

    __slots__ = ("answer", "bodies", "pieces", "request_id", "server")

    def __init__(
        self,
        bodies: "AnswerBodies",
        answer: aiohttp.ClientResponse,
        request_id: str,
        server: str,
    ) -> None:
        super().__init__()
        self.bodies = bodies
        self.answer: aiohttp.ClientResponse | None = answer
        self.request_id = request_id
        self.server = server
        self.pieces: list[bytes] = []

    def release(self) -> None:
        """Give back the bytes, once."""
        self.bodies.held.release(self)

    def __del__(self) -> None:
        """Give back the bytes of an answer that was never written."""
        self.release()


class AnswerBodies:
    """Read bodies, and drop those that the host can't hold.

    ``dropped`` counts the dropped answers by (reason,).
    """

    def __init__(
        self,
        limits: HeldLimits,
        events: EventSink | None = None,
        dropped: Counter[tuple[str]] | None = None,
    ) -> None:
        self.held = HeldBytes(limits)
        self.events = events
        self.dropped = Counter() if dropped is None else dropped

    async def async_read(
        self, answer: aiohttp.ClientResponse, method: str, body: HeldBody
    ) -> bytes:
        """Return the whole body, or raise AnswerDroppedError.

        It is held until ``body`` is released.
        """
        content = answer.content
        if content.is_eof():
            self._grow(body, content.total_bytes)
            self.held.finish(body)
            data = await answer.read()
        else:
            data = await self._async_read_pieces(answer, method, body)
        body.answer = None
        return data

    async def _async_read_pieces(
        self, answer: aiohttp.ClientResponse, method: str, body: HeldBody
    ) -> bytes:
        """Return a body of which a part is still to arrive."""
        if has_body(method, answer.status):
            self.held.check_length(body, answer.content_length)
            if body.dropped is not None:
                self._record_drop(body)
                raise AnswerDroppedError(body.dropped)
        while piece := await answer.content.readany():
            body.pieces.append(piece)
            self._grow(body, len(piece))
        if body.dropped is not None:
            raise AnswerDroppedError(body.dropped)
        self.held.finish(body)
        data = b"".join(body.pieces)
        body.pieces.clear()
        # Waits until the connection is free for the next request.
        await answer.read()
        return data

    def _grow(self, body: HeldBody, size: int) -> None:
        """Hold more bytes of a body; raise AnswerDroppedError if it gave way."""
        row = self.held.grow(body, size)
        if row is not None:
            assert isinstance(row, HeldBody)
            self._record_drop(row)
            self._give_up(row)
        if body.dropped is not None:
            raise AnswerDroppedError(body.dropped)

    def _give_up(self, body: HeldBody) -> None:
        """Free the bytes of a body and close its connection; its reader is told."""
        assert body.dropped is not None
        body.pieces.clear()
        if body.answer is not None:
            body.answer.content.set_exception(AnswerDroppedError(body.dropped))
            body.answer.close()

    def _record_drop(self, body: HeldBody) -> None:
        """Log and count that an answer was given up."""
        assert body.dropped is not None
        self.dropped[(str(body.dropped),)] += 1
        if self.events is None:
            return
        length = body.answer.content_length if body.answer is not None else None
        self.events.record(
            Event.ANSWER_DROPPED,
            request_id=body.request_id,
            server=body.server,
            reason=body.dropped,
            bytes=body.size,
            length=UNKNOWN_LENGTH if length is None else length,
            bound=self.held.limits.answer_bytes,
            budget=self.held.limits.budget_bytes,
            held=self.held.total,
        )


def create_answer_bodies(
    memory_mb: float = 0.0,
    events: EventSink | None = None,
    dropped: Counter[tuple[str]] | None = None,
) -> AnswerBodies:
    """Return the bodies that a host with this much memory holds."""
    return AnswerBodies(create_limits(memory_mb), events, dropped)
