"""Pass TCP connections on to one address, until they are cut."""

import asyncio
import contextlib

READ_BYTES = 64 * 1024


class Relay:
    """A network path that can be cut: connections reset, new ones refused."""

    def __init__(self, target: str) -> None:
        self.host, _, port = target.rpartition(":")
        self.port = int(port)
        self.address = ""
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task[None]] = set()

    async def async_start(self) -> None:
        """Listen; after a cut on the same port as before."""
        port = int(self.address.rpartition(":")[2]) if self.address else 0
        self.server = await asyncio.start_server(self._async_serve, "127.0.0.1", port)
        bound = self.server.sockets[0].getsockname()
        self.address = f"127.0.0.1:{bound[1]}"

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
            other, to_other = await asyncio.open_connection(self.host, self.port)
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
        while data := await reader.read(READ_BYTES):
            writer.write(data)
            await writer.drain()
    writer.transport.abort()
