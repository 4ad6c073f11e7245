"""Read answers of the platform without letting them fill the memory."""

import aiohttp


class BodyTooLargeError(Exception):
    """Report a body over its limit; the connection is closed."""


async def read_bounded(response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Return a whole body, or raise once it is over the limit."""
    parts: list[bytes] = []
    size = 0
    async for part in response.content.iter_any():
        size += len(part)
        if size > max_bytes:
            response.close()
            raise BodyTooLargeError(f"the answer is over {max_bytes} bytes")
        parts.append(part)
    return b"".join(parts)
