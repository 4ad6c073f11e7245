"""Decide how many bytes a peer may send beside the bodies of its messages."""

from typing import Final

# A chunk of one byte has five bytes of framing.
OVERHEAD_PER_BODY_BYTE: Final = 8


def excess_overhead(
    received_bytes: int, body_bytes: int, overhead_bytes_max: int
) -> int | None:
    """Return the bytes beside a body if they are too many, else None.

    ``overhead_bytes_max`` bounds heads, interim answers, empty lines and trailers. The
    framing of small chunks is allowed beside that, in proportion to the body.
    """
    overhead = received_bytes - body_bytes
    if overhead <= overhead_bytes_max + OVERHEAD_PER_BODY_BYTE * body_bytes:
        return None
    return overhead
