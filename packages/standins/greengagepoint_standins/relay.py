"""Pass TCP connections on to one address, until they are cut."""

import asyncio
import contextlib
import socket
from typing import Final

LOOPBACK: Final = "127.0.0.1"
PIECE_BYTES: Final = 65_536
# Small enough that connections share a slow link evenly.
PACED_PIECE_BYTES: Final = 4_096


def free_port() -> int:
    """Return a port that nothing listens on now."""
    with socket.socket() as probe:
        probe.bind((LOOPBACK, 0))
        return probe.getsockname()[1]


class SlowLink:
    """One direction of a link, shared by all that is sent over it."""

    def __init__(self, bytes_per_second: float) -> None:
        self.bytes_per_second = bytes_per_second
        self.free_at = 0.0

    async def async_carry(self, size: int) -> None:
        """Wait until so many bytes are across, behind those that came before."""
        now = asyncio.get_running_loop().time()
        self.free_at = max(now, self.free_at) + size / self.bytes_per_second
        await asyncio.sleep(self.free_at - now)


class Relay:
    """A network path that can be cut: connections reset, new ones refused.

    ``target`` is host:port; ``address`` is where it listens, known once it is open.
    ``there`` and ``back`` are the links that it leads over, None for fast ones.
    """

    def __init__(
        self,
        target: str,
        there: SlowLink | None = None,
        back: SlowLink | None = None,
    ) -> None:
        self.target = target
        self.there = there
        self.back = back
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
        await asyncio.gather(
            _async_copy(reader, to_other, self.there),
            _async_copy(other, writer, self.back),
        )
        self.writers -= {writer, to_other}


async def _async_copy(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    link: SlowLink | None = None,
) -> None:
    """Copy one way; the end of one direction ends the connection."""
    piece_bytes = PIECE_BYTES if link is None else PACED_PIECE_BYTES
    with contextlib.suppress(OSError):
        while data := await reader.read(piece_bytes):
            if link is not None:
                await link.async_carry(len(data))
            writer.write(data)
            await writer.drain()
    writer.transport.abort()
