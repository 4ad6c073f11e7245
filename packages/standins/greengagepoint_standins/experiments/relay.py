"""Relay TCP between hosts, until told to cut."""

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
    """Pass what comes in for one host on to it; cut resets and refuses."""

    def __init__(self, target_port: int) -> None:
        self.target_port = target_port
        self.port = free_port()
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """Return where the relay listens."""
        return f"{LOOPBACK}:{self.port}"

    async def async_open(self) -> None:
        """Listen and relay."""
        self.server = await asyncio.start_server(self._async_relay, LOOPBACK, self.port)

    async def async_cut(self) -> None:
        """Stop listening and reset all connections."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def _async_relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Relay one connection both ways until either side ends."""
        try:
            far_reader, far_writer = await asyncio.open_connection(
                LOOPBACK, self.target_port
            )
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, far_writer}
        self.writers |= pair
        copying = [
            asyncio.create_task(_async_copy(reader, far_writer)),
            asyncio.create_task(_async_copy(far_reader, writer)),
        ]
        await asyncio.wait(copying, return_when=asyncio.FIRST_COMPLETED)
        for task in copying:
            task.cancel()
        for one in pair:
            one.transport.abort()
        self.writers -= pair


async def _async_copy(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Copy bytes until the end."""
    with contextlib.suppress(OSError):
        while piece := await reader.read(PIECE_BYTES):
            writer.write(piece)
            await writer.drain()
