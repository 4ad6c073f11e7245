"""Pass TCP connections on, or accept them without passing anything on."""

import asyncio
import contextlib
import socket
from enum import StrEnum
from typing import Final

PIECE_BYTES: Final = 65_536
RESET_SECONDS: Final = 0.05


class ProxyMode(StrEnum):
    """What a proxy does with connections, new ones and those that are open.

    ``RESETS`` resets them some time after they were accepted, ``SILENT`` keeps them
    open and drops all that is sent.
    """

    PASSES = "passes"
    RESETS = "resets"
    SILENT = "silent"


class AcceptingProxy:
    """A proxy on the way to one server, which accepts connections in all modes."""

    def __init__(self) -> None:
        self.mode = ProxyMode.PASSES
        self.target = ""
        self.writers: set[asyncio.StreamWriter] = set()
        self.listening = socket.create_server(("127.0.0.1", 0), backlog=512)
        host, port = self.listening.getsockname()
        self.address = f"{host}:{port}"

    async def async_open(self, target: str) -> None:
        """Begin to accept connections for a server's address."""
        self.target = target
        self.server = await asyncio.start_server(self._async_serve, sock=self.listening)

    def set_mode(self, mode: ProxyMode) -> None:
        """Change the mode; open connections break if they are to be reset."""
        self.mode = mode
        if mode is ProxyMode.RESETS:
            for writer in list(self.writers):
                writer.transport.abort()

    async def async_close(self) -> None:
        """Close all connections and stop listening."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        self.writers.add(writer)
        try:
            if self.mode is ProxyMode.PASSES:
                await self._async_pass(reader, writer)
            else:
                await self._async_drop(reader)
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    async def _async_drop(self, reader: asyncio.StreamReader) -> None:
        """Read without passing on, until the connection is to be reset or closed."""
        seconds = RESET_SECONDS if self.mode is ProxyMode.RESETS else None
        with contextlib.suppress(TimeoutError, ConnectionError):
            async with asyncio.timeout(seconds):
                while await reader.read(PIECE_BYTES):
                    pass

    async def _async_pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Pass a connection on to the server until either side ends it."""
        host, _, port = self.target.rpartition(":")
        there, back = await asyncio.open_connection(host, int(port))
        self.writers.add(back)
        copies = [
            asyncio.create_task(self._async_copy(reader, back)),
            asyncio.create_task(self._async_copy(there, writer)),
        ]
        try:
            await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for copy in copies:
                copy.cancel()
            self.writers.discard(back)
            back.transport.abort()

    async def _async_copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Copy one direction; what comes while the proxy is silent is lost."""
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(PIECE_BYTES):
                if self.mode is ProxyMode.PASSES:
                    writer.write(data)
                    await writer.drain()
