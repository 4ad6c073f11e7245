"""HTTP client session towards backend servers."""

from collections.abc import Callable, Hashable
from typing import Final, NamedTuple

import aiohttp
from aiohttp import ClientHandlerType, SocketFactoryType
from aiohttp.client_proto import ResponseHandler
from aiohttp.client_reqrep import ConnectionKey
from aiohttp.connector import Connection

from greengagepoint_node.proxy.answer_bodies import AnswerBodies, create_answer_bodies
from greengagepoint_node.proxy.bounded_connections import BoundedConnector

CONNECT_SECONDS: Final = 2.0
READ_BUFFER_BYTES: Final = 64 * 1024
KEEPALIVE_SECONDS: Final = 30.0
HEADER_MAX_BYTES: Final = 32 * 1024
SPOILT_CONNECTIONS_MAX: Final = 8


class BrokenOffError(aiohttp.ClientError):
    """Tell that a connection broke after the request may have been sent."""


class SpoiltConnectionError(aiohttp.ClientError):
    """Tell that a reused connection held bytes already; nothing was sent."""


class LapsedError(aiohttp.ClientError):
    """Tell that the right to send ended while connecting; nothing was sent."""


class LeftError(aiohttp.ClientError):
    """Tell that the server began to leave while connecting; nothing was sent."""


class BackendRequest(aiohttp.ClientRequest):
    """A request that goes out only in time, on a connection with nothing left on it."""

    may_start: Callable[[], bool]
    server: Hashable = None
    used_protocol: ResponseHandler | None = None

    @property
    def connection_key(self) -> ConnectionKey:
        """Return what connections are kept by, the run of the server included.

        A server that starts again at its address leaves connections that nobody reads.
        Whatever went out on one would end as a request that may have run, and most may
        not be sent again. The field is unused without a proxy.
        """
        key = super().connection_key
        return key._replace(proxy_headers_hash=hash(self.server))

    async def send(self, conn: Connection) -> aiohttp.ClientResponse:
        """Send the request, or raise an error before its first byte."""
        # Connecting may have taken longer than the permit was good for, and whoever
        # lent the unit may have given it to another request.
        if not self.may_start():
            raise LapsedError("The permit lapsed while connecting")
        # A backend server may have written to the idle connection: an answer that it
        # gave twice, or a notice that it closes. The client would take those bytes
        # for the answer to this request, and the caller would get another's.
        if conn.protocol is not None and conn.protocol.should_close:
            conn.close()
            raise SpoiltConnectionError("The reused connection held bytes already")
        self.used_protocol = conn.protocol
        return await super().send(conn)


class BackendSessions(NamedTuple):
    """The session towards all backend servers, and the bodies of their answers."""

    session: aiohttp.ClientSession
    bodies: AnswerBodies

    async def async_close(self) -> None:
        """Close all connections."""
        await self.session.close()


def create_backend_sessions(
    *,
    connect_seconds: float = CONNECT_SECONDS,
    keepalive_seconds: float = KEEPALIVE_SECONDS,
    socket_factory: SocketFactoryType | None = None,
    trace: aiohttp.TraceConfig | None = None,
    bodies: AnswerBodies | None = None,
) -> BackendSessions:
    """Return the session; the number in flight is bounded by the balancing tables."""
    connector = BoundedConnector(
        limit=0, keepalive_timeout=keepalive_seconds, socket_factory=socket_factory
    )
    session = aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        max_field_size=HEADER_MAX_BYTES,
        max_line_size=HEADER_MAX_BYTES,
        read_bufsize=READ_BUFFER_BYTES,
        request_class=BackendRequest,
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=connect_seconds),
        trust_env=False,
        trace_configs=[trace] if trace is not None else None,
    )
    return BackendSessions(session, bodies or create_answer_bodies())


class SendOnce:
    """Send a request at most once, while ``may_start`` allows, on a clean connection.

    Only connections to the same ``server`` are used again.

    The client sends GET, PUT, DELETE and others again by itself when a connection
    breaks, also a new one, and the backend server would run them twice. It does so
    for its own errors only, so those are raised as another kind; whether to send
    again is decided by the table of outcomes.
    """

    def __init__(self, may_start: Callable[[], bool], server: Hashable = None) -> None:
        self.may_start = may_start
        self.server = server
        self.used: ResponseHandler | None = None

    async def __call__(
        self, request: BackendRequest, handler: ClientHandlerType
    ) -> aiohttp.ClientResponse:
        """Send the request through the rest of the client."""
        request.may_start = self.may_start
        request.server = self.server
        answer = await _async_send_once(request, handler)
        self.used = request.used_protocol
        return answer


def close_connection(
    answer: aiohttp.ClientResponse, used: ResponseHandler | None
) -> None:
    """Close the connection of an answer, even if it has been released.

    The client releases it with the head of an answer that has no body, so that closing
    the answer alone would come too late.
    """
    answer.close()
    if used is not None:
        used.close()


async def _async_send_once(
    request: BackendRequest, handler: ClientHandlerType
) -> aiohttp.ClientResponse:
    """Raise BrokenOffError where the client would send the request again."""
    for _ in range(SPOILT_CONNECTIONS_MAX):
        try:
            return await handler(request)
        except SpoiltConnectionError:
            continue
        except (aiohttp.ConnectionTimeoutError, aiohttp.ClientConnectorError):
            raise
        except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
            raise BrokenOffError(str(error)) from error
    raise SpoiltConnectionError("All reused connections held bytes already")
