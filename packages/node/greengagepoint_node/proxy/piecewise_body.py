"""Write large request bodies in pieces."""

from typing import Final

from aiohttp.abc import AbstractStreamWriter
from aiohttp.payload import BytesPayload

from greengagepoint.overload.held_bytes import FLOOR_BYTES

PIECE_BYTES: Final = 64 * 1024


class PiecewiseBody(BytesPayload):
    """Write a body as fast as the server takes it.

    The transport would else copy all that the server has not taken, and keep the copy
    beyond the attempt if the server stops reading.
    """

    async def write(self, writer: AbstractStreamWriter) -> None:
        """Write the whole body."""
        await self.write_with_length(writer, None)

    async def write_with_length(
        self, writer: AbstractStreamWriter, content_length: int | None
    ) -> None:
        """Write the body up to a length."""
        view = memoryview(self._value)[:content_length]
        for start in range(0, len(view), PIECE_BYTES):
            await writer.write(view[start : start + PIECE_BYTES])


def create_payload(body: bytes | None) -> bytes | PiecewiseBody | None:
    """Return what the client writes for a body."""
    if body is None or len(body) <= FLOOR_BYTES:
        return body
    return PiecewiseBody(body)
