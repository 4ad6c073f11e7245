"""The HTTP server: connections, dispatch by path, and errors as problem answers."""

import asyncio
import functools
from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple

import aiohttp
from aiohttp import web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http import RawRequestMessage

from greengagepoint.errors import (
    ErrorKind,
    GreengagepointError,
    RecordError,
    RequestError,
)
from greengagepoint.events import Event
from greengagepoint_node.context import EventSink
from greengagepoint_node.http.problems import problem_response

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

SERVICE_PREFIX: Final = "/s/"
KEEPALIVE_SECONDS: Final = 75.0
LINGERING_SECONDS: Final = 2.0
SHUTDOWN_SECONDS: Final = 1.0
# So many connections above the limit are kept until a request can be refused on them.
REFUSED_CONNECTIONS_MAX: Final = 256
# Of bodies that a handler reads whole; operators' records are well below it. All items
# of the store in one message of a peer are 1.25 MB with 5,000 servers of 250 bytes.
WHOLE_BODY_BYTES_MAX: Final = 8 * 1024 * 1024


class ServerLimits(NamedTuple):
    """Bounds on what a caller may send."""

    header_bytes: int
    headers: int
    first_request_seconds: float
    connections: int


class Routes(NamedTuple):
    """Handlers by exact path, and the one for everything under ``/s/``."""

    exact: dict[tuple[str, str], Handler]
    service: Handler


class ProblemRequestHandler(web.RequestHandler):
    """One connection, which answers unreadable requests with problems."""

    events: EventSink
    first_request_timer: asyncio.TimerHandle | None = None
    is_excess: bool = False
    limits: ServerLimits
    server: "ProblemServer"

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection, and close it unless a request comes soon."""
        super().connection_made(transport)
        self.server.open_connections += 1
        excess = self.server.open_connections - self.limits.connections
        self.is_excess = excess > 0
        if excess > REFUSED_CONNECTIONS_MAX:
            # Without an end to them, connections would take all descriptors, and the
            # host could reach neither the store nor backend servers any more.
            transport.abort()
            return
        # A caller that sends its first headers byte by byte would hold a connection
        # for ever; later requests are bounded by the keep-alive timeout.
        self.first_request_timer = asyncio.get_running_loop().call_later(
            self.limits.first_request_seconds, self.close_if_idle
        )

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop waiting for the first request, and make room for another caller."""
        self.server.open_connections -= 1
        if self.first_request_timer is not None:
            self.first_request_timer.cancel()
        super().connection_lost(exc)

    def close_if_idle(self) -> None:
        """Close the connection because no whole request came in time."""
        if self.transport is None:
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
        """Answer a request that could not be read, or a handler's failure."""
        if request.writer.output_size > 0:
            raise ConnectionError("The answer has begun; it can only be broken off")
        error = _unreadable(status, exc)
        event = (
            Event.INTERNAL_ERROR
            if error.kind is ErrorKind.INTERNAL
            else Event.REQUEST_MALFORMED
        )
        self.events.record(event, kind=error.kind, detail=repr(exc))
        response = problem_response(error)
        response.force_close()
        return response


class ProblemServer(web.Server):
    """Make a ``ProblemRequestHandler`` for each connection."""

    def __init__(
        self,
        handler: Handler,
        events: EventSink,
        limits: ServerLimits,
        connection: type[ProblemRequestHandler] = ProblemRequestHandler,
    ) -> None:
        super().__init__(
            handler, request_factory=_create_request, handler_cancellation=True
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

    def __call__(self) -> web.RequestHandler:
        """Return the protocol of a new connection."""
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
    """Return a request whose body may be larger than the library's 1 MB.

    A host that was cut off is sent all that it lacks in one message; were that refused,
    it would be refused again each time and hear nothing more of its peers.
    """
    return web.BaseRequest(
        message,
        payload,
        protocol,
        writer,
        task,
        asyncio.get_running_loop(),
        client_max_size=WHOLE_BODY_BYTES_MAX,
    )


class ProblemServerRunner(web.ServerRunner):
    """Run a ``ProblemServer`` with the usual start and stop of aiohttp."""

    def __init__(self, server: ProblemServer) -> None:
        super().__init__(server, shutdown_timeout=SHUTDOWN_SECONDS)


def create_dispatcher(routes: Routes) -> Handler:
    """Return the handler that finds the route of a request."""

    async def async_dispatch(request: web.BaseRequest) -> web.StreamResponse:
        """Hand the request to its route."""
        stop_first_request_timer(request)
        path = request.rel_url.raw_path
        if path.startswith(SERVICE_PREFIX):
            if request.protocol.is_excess:
                return _refuse_excess(request)
            return await routes.service(request)
        try:
            handler = routes.exact.get((request.method, path))
            if handler is None:
                raise _no_route(routes, path)
            return await handler(request)
        except RecordError as error:
            # The configuration records the event of a refused record itself.
            return problem_response(error)
        except GreengagepointError as error:
            request.protocol.events.record(
                Event.REQUEST_MALFORMED, kind=error.kind, detail=error.detail
            )
            return problem_response(error)

    return async_dispatch


def _refuse_excess(request: web.BaseRequest) -> web.Response:
    """Refuse a request on a connection above the limit, and close it.

    A connection closed without an answer would leave its caller in doubt whether the
    request ran. Operators and probes of health are answered all the same.
    """
    error = RequestError("Too many connections are open", ErrorKind.OVERLOADED)
    request.protocol.events.record(
        Event.REQUEST_REFUSED, kind=error.kind, detail=error.detail
    )
    response = problem_response(error)
    response.force_close()
    return response


def stop_first_request_timer(request: web.BaseRequest) -> None:
    """Leave the connection to the keep-alive timeout once a request has come."""
    connection = request.protocol
    if connection.first_request_timer is not None:
        connection.first_request_timer.cancel()
        connection.first_request_timer = None


def _no_route(routes: Routes, path: str) -> RequestError:
    """Return the error for a path or method that nothing serves."""
    methods = sorted(method for method, known in routes.exact if known == path)
    if methods:
        return RequestError(f"{path} accepts only {', '.join(methods)}")
    return RequestError(f"Nothing is served at {path[:100]}")


def _unreadable(status: int, exc: BaseException | None) -> GreengagepointError:
    """Return the typed error for what the HTTP library could not accept."""
    if status >= 500:
        return GreengagepointError("An unexpected error was caught")
    text = str(exc or "")
    if "Too many headers" in text or "Got more than" in text:
        return RequestError(
            "The request line or a header is too long", ErrorKind.HEADERS_TOO_LARGE
        )
    return RequestError("The request is not valid HTTP/1.1")
