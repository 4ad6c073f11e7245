"""Listen for requests of callers, look-ups, readiness checks and peers."""

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable
from typing import Final

from aiohttp import web

from greengagepoint_node.context import EventSink
from greengagepoint_node.http.server import (
    ProblemRequestHandler,
    ProblemServer,
    ProblemServerRunner,
    ServerLimits,
    stop_first_request_timer,
)

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

# When the queue is full, the kernel drops the SYN of a new connection, and the caller
# retransmits it only after a second.
BACKLOG: Final = 1024
# A connection whose peer went silent is detected within three seconds: one idle second
# and two probes.
KEEPALIVE_IDLE_SECONDS: Final = 1
KEEPALIVE_PROBES: Final = 2
USER_TIMEOUT_MS: Final = 2_500


def enable_keepalive(sock: socket.socket) -> None:
    """Enable TCP keepalive, so that the kernel detects a lost peer."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_IDLE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def create_socket(family: int, kind: int, protocol: int) -> socket.socket:
    """Return a non-blocking client socket with TCP keepalive enabled."""
    sock = socket.socket(family, kind, protocol)
    sock.setblocking(False)
    enable_keepalive(sock)
    return sock


class Listener:
    """Accept connections on one address and answer their requests."""

    def __init__(
        self,
        address: str,
        handler: Handler,
        events: EventSink,
        limits: ServerLimits,
        connection: type[ProblemRequestHandler] = ProblemRequestHandler,
    ) -> None:
        self.address = address
        self.handler = handler
        self.server = ProblemServer(self._async_dispatch, events, limits, connection)
        self.runner = ProblemServerRunner(self.server)
        self.site: web.SockSite | None = None
        self.sock: socket.socket | None = None

    async def async_start(self) -> None:
        """Start to listen."""
        host, _, port = self.address.rpartition(":")
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Accepted connections inherit these options from the listening socket.
        enable_keepalive(sock)
        sock.bind((host, int(port)))
        sock.setblocking(False)
        await self.runner.setup()
        self.sock = sock
        self.site = web.SockSite(self.runner, sock, backlog=BACKLOG)
        await self.site.start()

    async def _async_dispatch(self, request: web.BaseRequest) -> web.StreamResponse:
        """Stop the first-request timer of the connection and call the handler."""
        stop_first_request_timer(request)
        return await self.handler(request)

    async def async_stop_accepting(self) -> None:
        """Stop accepting connections; those that are open go on."""
        if self.site is None:
            return
        site, self.site = self.site, None
        queued = self._accept_queued()
        await site.stop()
        loop = asyncio.get_running_loop()
        for connection in queued:
            with contextlib.suppress(OSError):
                await loop.connect_accepted_socket(self.server, connection)

    def _accept_queued(self) -> list[socket.socket]:
        """Return the connections that wait to be accepted.

        The kernel resets them as the socket closes, together with the requests that
        their callers have sent.
        """
        assert self.sock is not None
        queued: list[socket.socket] = []
        with contextlib.suppress(OSError):
            while len(queued) < BACKLOG:
                connection, _ = self.sock.accept()
                connection.setblocking(False)
                queued.append(connection)
        return queued

    async def async_close(self, seconds: float) -> None:
        """Close all connections within ``seconds``, after sending buffered data."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds / 2):
                await self.runner.cleanup()
        await asyncio.sleep(seconds / 2)
