"""Pass TCP connections on to one address, until they are cut."""

import asyncio
import contextlib
import socket
from typing import Final

LOOPBACK: Final = "127.0.0.1"
PIECE_BYTES: Final = 65_536


def free_port() -> int:
    """Return a port that nothing listens on now."""
    with socket.socket() as probe:
        probe.bind((LOOPBACK, 0))
        return probe.getsockname()[1]


class Relay:
    """A network path that can be cut: connections reset, new ones refused.

    ``target`` is host:port; ``address`` is where it listens, known once it is open.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.port = 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """Return where the relay listens."""
        return f"{LOOPBACK}:{self.port}"

    async def async_open(self) -> None:
        """Listen; after a cut on the same port as before."""
        self.server = await asyncio.start_server(self._async_serve, LOOPBACK, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def async_cut(self) -> None:
        """Reset all connections and refuse new ones."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()
        if self.tasks:
            await asyncio.wait(self.tasks)

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Copy both ways until either end closes."""
        task = asyncio.current_task()
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        try:
            other, to_other = await asyncio.open_connection(*self.target.rsplit(":", 1))
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, to_other}
        await asyncio.gather(_async_copy(reader, to_other), _async_copy(other, writer))
        self.writers -= {writer, to_other}


async def _async_copy(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Copy one way; the end of one direction ends the connection."""
    with contextlib.suppress(OSError):
        while data := await reader.read(PIECE_BYTES):
            writer.write(data)
            await writer.drain()
    writer.transport.abort()
