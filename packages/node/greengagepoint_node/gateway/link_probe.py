"""Probe one backend server with a request that it answers without running it."""

import asyncio
from collections.abc import Callable
from socket import AF_INET, SOCK_STREAM, socket
from typing import Final

from greengagepoint.placing.tables import Server
from greengagepoint.reachability.probing import (
    PROBE_ANSWER_SECONDS,
    PROBE_TIMEOUT_SECONDS,
    is_server_answer,
)
from greengagepoint.reachability.tracker import ProbeOutcome
from greengagepoint_node.gateway.names import HeaderNames

CreateSocket = Callable[[int, int, int], socket]

# No server has this name, so that each one answers that the request is misdirected. The
# health path would not do: its answers wait for a slot whatever the target.
PROBE_TARGET: Final = "none"
PROBE_PATH: Final = "/"
HEAD_MAX_BYTES: Final = 8 * 1024
HEAD_END: Final = b"\r\n\r\n"
STATUS_LINE_WORDS: Final = 2


class LinkProbe:
    """Send probes over new connections; each is closed after the answer."""

    def __init__(self, names: HeaderNames, create_socket: CreateSocket) -> None:
        self.names = names
        self.create_socket = create_socket
        self.server_headers = tuple(
            f"\r\n{name}:".lower().encode()
            for name in (names.not_executed, names.instance, names.request_id)
        )

    async def async_send(self, server: Server) -> ProbeOutcome | None:
        """Return how a probe of a server ended, None if it could not be tried."""
        try:
            sock = self.create_socket(AF_INET, SOCK_STREAM, 0)
        except OSError:
            # Without a free descriptor nothing is known of the link.
            return None
        try:
            if not await _async_connect(sock, server.address):
                return ProbeOutcome.FAILED
            return await self._async_exchange(sock, server)
        except OSError:
            return ProbeOutcome.FAILED
        finally:
            sock.close()

    async def _async_exchange(self, sock: socket, server: Server) -> ProbeOutcome:
        """Send the request on an open connection and wait for the answer's head."""
        loop = asyncio.get_running_loop()
        head = b""
        try:
            async with asyncio.timeout(PROBE_ANSWER_SECONDS):
                await loop.sock_sendall(sock, self._request(server))
                while HEAD_END not in head and len(head) < HEAD_MAX_BYTES:
                    received = await loop.sock_recv(sock, HEAD_MAX_BYTES)
                    if not received:
                        break
                    head += received
        except TimeoutError:
            # A busy host may handle the timeout before the answer that has arrived.
            head += _received(sock)
            if not head:
                return ProbeOutcome.SILENT
        return ProbeOutcome.ANSWERED if self._is_answer(head) else ProbeOutcome.FAILED

    def _request(self, server: Server) -> bytes:
        """Return the request that is sent as a probe."""
        lines = (
            f"GET {PROBE_PATH} HTTP/1.1",
            f"Host: {server.address}",
            f"{self.names.target_instance}: {PROBE_TARGET}",
            "Connection: close",
        )
        return "\r\n".join((*lines, "", "")).encode()

    def _is_answer(self, head: bytes) -> bool:
        """Return True if a response's head is that of a backend server."""
        version, *words = head.split(b"\r\n", 1)[0].split(b" ", STATUS_LINE_WORDS)
        if not version.startswith(b"HTTP/1.") or not words or not words[0].isdigit():
            return False
        lower = head.lower()
        names_server = any(name in lower for name in self.server_headers)
        return is_server_answer(int(words[0]), names_server=names_server)


async def _async_connect(sock: socket, address: str) -> bool:
    """Connect a socket; return False if that takes too long."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_SECONDS):
            await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
    except TimeoutError:
        # A busy host may handle the timeout before the connection that was made.
        return _has_peer(sock)
    return True


def _has_peer(sock: socket) -> bool:
    """Return True if a socket is connected."""
    try:
        sock.getpeername()
    except OSError:
        return False
    return True


def _received(sock: socket) -> bytes:
    """Return what has arrived on a socket so far."""
    try:
        return sock.recv(HEAD_MAX_BYTES)
    except BlockingIOError:
        return b""
