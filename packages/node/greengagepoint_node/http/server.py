"""The HTTP server: connections, dispatch by path, and errors as problem documents."""

import asyncio
import functools
from typing import Final, NamedTuple

import aiohttp
from aiohttp import web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http import RawRequestMessage

from greengagepoint.draining.connections import ConnectionState
from greengagepoint.draining.shutdown import may_close
from greengagepoint.errors import (
    ErrorKind,
    GreengagepointError,
    RecordError,
    RequestError,
)
from greengagepoint.events import Event
from greengagepoint_node.context import EventSink
from greengagepoint_node.http.bounded_requests import BoundedRequestHandler
from greengagepoint_node.http.cancellation import Handler, contain_cancellation
from greengagepoint_node.http.head_writer import HeadWriter
from greengagepoint_node.http.problems import problem_response

SERVICE_PREFIX: Final = "/s/"
KEEPALIVE_SECONDS: Final = 75.0
LINGERING_SECONDS: Final = 2.0
SHUTDOWN_SECONDS: Final = 1.0
SWEEP_SECONDS: Final = 0.02
LOGGED_CHARACTERS_MAX: Final = 200
# Connections above the limit that stay open until a request on them is rejected; any
# more are closed at once.
EXCESS_CONNECTIONS_MAX: Final = 256
# The limit for bodies that a handler reads into memory. Operators' records are far
# smaller; a peer's message with all items of the store has 1.25 MB at 5,000 servers of
# 250 bytes each.
BUFFERED_BODY_BYTES_MAX: Final = 8 * 1024 * 1024


class ServerLimits(NamedTuple):
    """Limits on headers, connections and the wait for the first request."""

    header_bytes: int
    headers: int
    first_request_seconds: float
    connections: int


class Routes(NamedTuple):
    """Handlers by method and exact path, and the one for all paths under ``/s/``."""

    exact: dict[tuple[str, str], Handler]
    service: Handler


class ProblemRequestHandler(BoundedRequestHandler):
    """One connection; answers malformed requests with problem documents."""

    events: EventSink
    first_request_timer: asyncio.TimerHandle | None = None
    is_excess: bool = False
    limits: ServerLimits
    server: "ProblemServer"

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection and start the timer for its first request."""
        super().connection_made(transport)
        self.server.open_connections += 1
        excess = self.server.open_connections - self.limits.connections
        self.is_excess = excess > 0
        if excess > EXCESS_CONNECTIONS_MAX:
            # An unlimited number of connections would use up all file descriptors, and
            # the host could no longer connect to the store or to backend servers.
            transport.abort()
            return
        # Without this timer, a caller that sends its first headers byte by byte could
        # hold a connection forever; the keep-alive timeout limits later requests.
        self.first_request_timer = asyncio.get_running_loop().call_later(
            self.limits.first_request_seconds, self.close_if_idle
        )

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel the timer for the first request and uncount the connection."""
        self.server.open_connections -= 1
        if self.first_request_timer is not None:
            self.first_request_timer.cancel()
        super().connection_lost(exc)

    @property
    def is_closed(self) -> bool:
        """Return True if nothing that is read from now on is handled."""
        return self._close or self._force_close

    def state(self) -> ConnectionState:
        """Return what was read or written and is not finished."""
        transport = self.transport
        return ConnectionState(
            len(self._messages) + (self._current_request is not None),
            self._task_handler is not None and self._waiter is None,
            transport.get_write_buffer_size() if transport is not None else 0,
        )

    def unanswered_ids(self) -> list[str]:
        """Return the ids of the requests without a whole answer, if they have any."""
        return []

    def request_id(self, request: web.BaseRequest) -> str:
        """Return the id of a request, empty if it has none."""
        return ""

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Write a response, or an error in place of one that can't be written.

        If a part of it was written, the connection closes, so that the caller sees a
        broken response.
        """
        try:
            return await super().finish_response(request, resp, start_time)
        except ConnectionError:
            raise
        except Exception as error:
            self._record_not_written(request, "write", resp.status, error)
            if request.writer.output_size > 0:
                raise
        # The failed attempt may have set a length or chunks on the writer.
        request._payload_writer = HeadWriter(self, asyncio.get_running_loop())
        response = self.failure_response(request, 502)
        return await super().finish_response(request, response, start_time)

    def failure_response(self, request: web.BaseRequest, status: int) -> web.Response:
        """Return the response to a request whose own response failed.

        ``status`` is 500 for an unhandled error of this host.
        """
        error = GreengagepointError("An unexpected error was caught")
        return self.close_if_unread(
            request, problem_response(error, self.request_id(request))
        )

    def close_if_unread(
        self, request: web.BaseRequest, response: web.Response
    ) -> web.Response:
        """Let a response close the connection if the request was not read whole.

        Otherwise, the rest of its body would delay the next request or be taken for it.
        """
        if not request.content.is_eof():
            response.force_close()
        return response

    def _record_not_written(
        self,
        request: web.BaseRequest,
        phase: str,
        status: int,
        error: BaseException | None,
    ) -> None:
        """Log that a request did not get its own response."""
        self.events.record(
            Event.ANSWER_NOT_WRITTEN,
            request_id=self.request_id(request),
            phase=phase,
            status=status,
            bytes_written=request.writer.output_size,
            requests_behind=len(self._messages),
            detail=repr(error)[:LOGGED_CHARACTERS_MAX],
        )

    def close_if_idle(self) -> None:
        """Close the connection; its first request did not arrive in time."""
        if self.transport is None or not may_close(self.state()):
            return
        self.events.record(
            Event.REQUEST_MALFORMED, kind=ErrorKind.SLOW_SENDER, phase="headers"
        )
        self.transport.abort()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Respond to a malformed request or an unhandled error of a handler."""
        is_own = status >= 500
        if is_own and self.transport is not None and not self.transport.is_closing():
            self._record_not_written(request, "handler", status, exc)
        if request.writer.output_size > 0:
            raise ConnectionError("The response has started; no error can be sent")
        error = _error_for_status(status, exc)
        event = (
            Event.INTERNAL_ERROR
            if error.kind is ErrorKind.INTERNAL
            else Event.REQUEST_MALFORMED
        )
        self.events.record(event, kind=error.kind, detail=repr(exc))
        if is_own:
            return self.failure_response(request, 500)
        response = problem_response(error)
        response.force_close()
        return response


class ProblemServer(web.Server):
    """Create a ``ProblemRequestHandler`` for each connection."""

    def __init__(
        self,
        handler: Handler,
        events: EventSink,
        limits: ServerLimits,
        connection: type[ProblemRequestHandler] = ProblemRequestHandler,
    ) -> None:
        super().__init__(
            contain_cancellation(handler),
            request_factory=_create_request,
            handler_cancellation=True,
        )
        self.events = events
        self.limits = limits
        self.open_connections = 0
        self.make_connection = functools.partial(
            connection,
            self,
            loop=asyncio.get_running_loop(),
            access_log=None,
            auto_decompress=False,
            keepalive_timeout=KEEPALIVE_SECONDS,
            lingering_time=LINGERING_SECONDS,
            max_field_size=limits.header_bytes,
            max_headers=limits.headers,
            max_line_size=limits.header_bytes,
        )

    def close_answered(self) -> list[ProblemRequestHandler]:
        """Close the connections that owe nothing, and return the others.

        Each is closed in the step that looks at it: on a connection that was marked as
        closed earlier, the HTTP library would discard a request that it reads.
        """
        others = []
        for connection in self.connections:
            if connection.transport is None:
                continue
            if may_close(connection.state()):
                connection.force_close()
            else:
                others.append(connection)
        return others

    def __call__(self) -> web.RequestHandler:
        """Return the protocol for a new connection."""
        connection = self.make_connection()
        connection.events = self.events
        connection.limits = self.limits
        connection.server = self
        return connection


def _create_request(
    message: RawRequestMessage,
    payload: aiohttp.StreamReader,
    protocol: web.RequestHandler,
    writer: AbstractStreamWriter,
    task: asyncio.Task[None],
) -> web.BaseRequest:
    """Return a request whose body may be larger than aiohttp's default of 1 MB.

    After a network partition, a host gets all items that it lacks in one message. If
    that was rejected for its size, every retry would be too, and the host would get no
    more updates from its peers. The library's ``writer`` is not used.
    """
    loop = asyncio.get_running_loop()
    return web.BaseRequest(
        message,
        payload,
        protocol,
        HeadWriter(protocol, loop),
        task,
        loop,
        client_max_size=BUFFERED_BODY_BYTES_MAX,
    )


class ProblemServerRunner(web.ServerRunner):
    """Run a ``ProblemServer`` with aiohttp's start and shutdown."""

    def __init__(self, server: ProblemServer) -> None:
        super().__init__(server, shutdown_timeout=SHUTDOWN_SECONDS)
        self.problem_server = server

    async def async_close_answered(self, seconds: float = SHUTDOWN_SECONDS) -> None:
        """Stop listening, and close each connection once it owes nothing.

        Connections that owe something after ``seconds`` stay open.
        """
        for site in list(self.sites):
            await site.stop()
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds
        # Connections that were accepted last begin in the next steps of the loop.
        left = True
        while left and loop.time() < ends_at:
            await asyncio.sleep(SWEEP_SECONDS)
            left = bool(self.problem_server.close_answered())


def create_dispatcher(routes: Routes) -> Handler:
    """Return the handler that dispatches each request to its route."""

    async def async_dispatch(request: web.BaseRequest) -> web.StreamResponse:
        """Call the handler for the request's path and method."""
        stop_first_request_timer(request)
        path = request.rel_url.raw_path
        if path.startswith(SERVICE_PREFIX):
            if request.protocol.is_excess:
                return _reject_excess(request)
            return await routes.service(request)
        try:
            handler = routes.exact.get((request.method, path))
            if handler is None:
                raise _no_route(routes, path)
            return await handler(request)
        except RecordError as error:
            # The event of a refused record is recorded by the configuration.
            return problem_response(error)
        except GreengagepointError as error:
            request.protocol.events.record(
                Event.REQUEST_MALFORMED, kind=error.kind, detail=error.detail
            )
            return problem_response(error)

    return async_dispatch


def _reject_excess(request: web.BaseRequest) -> web.Response:
    """Reject a request on a connection above the limit, and close the connection.

    If the connection was closed without a response, the caller could not know whether
    the request ran. Operators and health probes are still served.
    """
    error = RequestError("Too many connections are open", ErrorKind.OVERLOADED)
    request.protocol.events.record(
        Event.REQUEST_REFUSED, kind=error.kind, detail=error.detail
    )
    response = problem_response(error)
    response.force_close()
    return response


def stop_first_request_timer(request: web.BaseRequest) -> None:
    """Cancel the timer for the first request, since a request has arrived."""
    connection = request.protocol
    if connection.first_request_timer is not None:
        connection.first_request_timer.cancel()
        connection.first_request_timer = None


def _no_route(routes: Routes, path: str) -> RequestError:
    """Return the error for a path or method without a route."""
    methods = sorted(method for method, served in routes.exact if served == path)
    if methods:
        return RequestError(f"{path} accepts only {', '.join(methods)}")
    return RequestError(f"There is no route for {path[:100]}")


def _error_for_status(status: int, exc: BaseException | None) -> GreengagepointError:
    """Convert an error of the HTTP library to one of the product's errors."""
    if status >= 500:
        return GreengagepointError("An unexpected error was caught")
    text = str(exc or "")
    if "Too many headers" in text or "Got more than" in text:
        return RequestError(
            "The request line or a header is too long", ErrorKind.HEADERS_TOO_LARGE
        )
    return RequestError("The request is not valid HTTP/1.1")
