"""Stream a large answer; go on by range when it breaks, or break it off visibly."""

import aiohttp
from aiohttp import web

from greengagepoint.balancing.tables import Outcome
from greengagepoint.delivery import resume
from greengagepoint.delivery.resume import Download, ResumeVerdict
from greengagepoint.draining.flights import Flight
from greengagepoint.errors import ErrorKind, RequestError
from greengagepoint.events import Event
from greengagepoint_node.proxy.attempts import (
    Allowance,
    Reply,
    async_attempt,
    async_within,
)
from greengagepoint_node.proxy.call import Call
from greengagepoint_node.proxy.parts import Parts
from greengagepoint_node.proxy.placement import give_back
from greengagepoint_node.proxy.relay import async_copy_body, break_off


class AnswerBrokenError(ConnectionResetError):
    """Stop an answer of which the caller has seen a part."""

    def __init__(self, kind: ErrorKind, detail: str) -> None:
        super().__init__(detail)
        self.kind = kind


class DownloadRelay:
    """Pass one large answer on to its caller."""

    def __init__(
        self,
        parts: Parts,
        request: web.BaseRequest,
        call: Call,
        allowance: Allowance,
    ) -> None:
        self.parts = parts
        self.request = request
        self.call = call
        self.allowance = allowance
        self.download: Download | None = None
        self.flight: Flight | None = None

    async def async_run(self, reply: Reply, response: web.StreamResponse) -> None:
        """Copy the whole body; raise AnswerBrokenError if it can't be finished."""
        self.download = resume.begin(
            self.call.method,
            reply.upstream.status,
            reply.upstream.headers,
            repeatable=self.call.route.repeatable,
        )
        while not await self._async_copy(reply, response):
            reply = await self._async_go_on(reply)
        await response.write_eof()

    async def _async_copy(self, reply: Reply, response: web.StreamResponse) -> bool:
        """Copy from one backend server; tell whether the end was reached."""
        ends_at = min(self.call.ends_at, reply.placement.permit.end_by)
        self.flight = self.parts.flights.flights.get(reply.placement.flight)
        if self.flight is not None:
            self.flight.length_bytes = reply.upstream.content_length
        outcome = Outcome.CANCELLED
        try:
            if reply.body is not None:
                await response.write(reply.body)
                self._passed_on(len(reply.body))
            else:
                copying = async_copy_body(reply.upstream, response, self._passed_on)
                await async_within(self.parts, ends_at, copying)
            outcome = Outcome.ANSWERED
            return True
        except TimeoutError as error:
            outcome = Outcome.FAILED
            raise self._broken(
                ErrorKind.BACKEND_TIMEOUT, "The answer did not end before the deadline"
            ) from error
        except (aiohttp.ClientPayloadError, aiohttp.ClientConnectionError) as error:
            outcome = Outcome.FAILED
            transport = self.request.transport
            if transport is None or transport.is_closing():
                raise ConnectionResetError("The caller went away") from error
            self.call.broken_by = str(error)
            return False
        finally:
            reply.upstream.close()
            give_back(self.parts, reply.placement, outcome, reply.latency_seconds)

    async def _async_go_on(self, broken: Reply) -> Reply:
        """Ask for the rest, from the same or another backend server."""
        wanted = resume.next_range(self.download) if self.download else None
        if wanted is None:
            raise self._broken(ErrorKind.BACKEND_TRUNCATED, self.call.broken_by)
        self.call.range_headers = wanted
        try:
            reply = await async_attempt(
                self.parts, self.request, self.call, None, self.allowance
            )
        except RequestError as error:
            raise self._broken(ErrorKind.BACKEND_TRUNCATED, error.detail) from error
        upstream = reply.upstream
        verdict = resume.check_rest(self.download, upstream.status, upstream.headers)
        if verdict is not ResumeVerdict.CONTINUES:
            upstream.close()
            give_back(self.parts, reply.placement, Outcome.ANSWERED, 0.0)
            raise self._broken(
                ErrorKind.BACKEND_TRUNCATED, f"The rest cannot follow: {verdict}"
            )
        self.parts.context.events.record(
            Event.DOWNLOAD_RESUMED,
            request_id=self.call.request_id,
            at_bytes=self.download.received,
            backend_server=reply.placement.row.name,
        )
        return reply

    def _passed_on(self, size: int) -> None:
        """Count bytes that the caller has been sent."""
        self.call.received_bytes += size
        if self.download is not None:
            self.download.received += size
        if self.flight is not None:
            self.flight.received_bytes += size

    def _broken(self, kind: ErrorKind, detail: str) -> AnswerBrokenError:
        """Break the caller's connection and return the error that says why."""
        break_off(self.request)
        return AnswerBrokenError(kind, detail)
