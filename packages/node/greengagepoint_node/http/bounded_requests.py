"""Server connections that bound what a caller sends beside the bodies of requests."""

import contextlib
from typing import Final

import aiohttp
from aiohttp import web

from greengagepoint.errors import ErrorKind
from greengagepoint.events import Event
from greengagepoint.overload.framing import excess_overhead
from greengagepoint_node.context import EventSink

# Empty lines, a head, trailers and the framing of chunks, since the last request.
OVERHEAD_BYTES_MAX: Final = 1024 * 1024


class BoundedRequestHandler(web.RequestHandler):
    """A connection that ends once a caller sends too much beside a body.

    The parser bounds lines and the headers of one request, but reads empty lines and
    extensions of chunks without end.
    """

    events: EventSink
    received = 0
    counted_requests = 0
    last_payload: aiohttp.StreamReader | None = None
    is_ending = False

    def data_received(self, data: bytes) -> None:
        """Parse bytes, and end the connection if too few belong to requests."""
        if self.is_ending:
            return
        super().data_received(data)
        # Requests behind one that asked for an upgrade are parsed elsewhere.
        if self._request_count != self.counted_requests:
            self.counted_requests = self._request_count
            self.received = 0
            self.last_payload = self._newest_payload()
            return
        self.received += len(data)
        if self.received <= OVERHEAD_BYTES_MAX or self._close or self._force_close:
            return
        # A paused connection has received bytes of the body that are not parsed yet.
        if self._reading_paused:
            return
        body_bytes = self.last_payload.total_bytes if self.last_payload else 0
        overhead = excess_overhead(self.received, body_bytes, OVERHEAD_BYTES_MAX)
        if overhead is not None:
            self.reject_overhead(overhead)

    def _newest_payload(self) -> aiohttp.StreamReader | None:
        """Return the body of the newest request, None if it has been answered."""
        if self._messages:
            return self._messages[-1][1]
        return self._current_request.content if self._current_request else None

    def reject_overhead(self, overhead: int) -> None:
        """Fail the body that is still read, and close after the last answer."""
        self.events.record(
            Event.REQUEST_MALFORMED,
            kind=ErrorKind.BAD_REQUEST,
            detail=f"{overhead} bytes beside requests and their bodies",
        )
        self.is_ending = True
        payload = self.last_payload
        if payload is not None and not payload.is_eof():
            payload.set_exception(web.RequestPayloadError("too many bytes of framing"))
        if self.transport is not None:
            with contextlib.suppress(RuntimeError):
                self.transport.pause_reading()
        if self._current_request is None and not self._messages:
            self.force_close()

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Write a response; the last one of a connection that ends closes it."""
        if self.is_ending and not self._messages:
            resp.force_close()
        return await super().finish_response(request, resp, start_time)
