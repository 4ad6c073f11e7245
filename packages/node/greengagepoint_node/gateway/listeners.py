"""Listen for callers, look-ups, readiness checks and peers."""

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

# The kernel drops the opening packet of a connection that finds the queue full, and
# its caller tries again only after a second.
BACKLOG: Final = 1024
# A connection whose other end went silent is found within three seconds: an idle second
# and two probes.
KEEPALIVE_IDLE_SECONDS: Final = 1
KEEPALIVE_PROBES: Final = 2
USER_TIMEOUT_MS: Final = 2_500


def set_probes(sock: socket.socket) -> None:
    """Let the kernel notice when the other end of a connection is gone."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_IDLE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def create_socket(family: int, kind: int, protocol: int) -> socket.socket:
    """Return a client's socket with probes set."""
    sock = socket.socket(family, kind, protocol)
    sock.setblocking(False)
    set_probes(sock)
    return sock


class Listener:
    """One address on which requests are answered."""

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

    async def async_start(self) -> None:
        """Begin to listen."""
        host, _, port = self.address.rpartition(":")
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Accepted connections take these over from the listening socket.
        set_probes(sock)
        sock.bind((host, int(port)))
        sock.setblocking(False)
        await self.runner.setup()
        self.site = web.SockSite(self.runner, sock, backlog=BACKLOG)
        await self.site.start()

    async def _async_dispatch(self, request: web.BaseRequest) -> web.StreamResponse:
        """Hand a request on; its connection has proved not to be a silent one."""
        stop_first_request_timer(request)
        return await self.handler(request)

    async def async_stop_accepting(self) -> None:
        """Take no new connections and close the idle ones."""
        if self.site is not None:
            await self.site.stop()
            self.site = None
        self.server.pre_shutdown()

    async def async_close(self, seconds: float) -> None:
        """Close all connections once what is written on them has gone out."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds / 2):
                await self.runner.cleanup()
        await asyncio.sleep(seconds / 2)
