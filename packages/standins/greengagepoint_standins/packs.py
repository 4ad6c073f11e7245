"""Generate large bodies with known bytes, in pieces, from any offset on."""

import base64
import hashlib
import random
import re
from collections.abc import Iterator
from functools import lru_cache
from typing import Final

BLOCK_BYTES: Final = 65_521
RANGE_PATTERN: Final = re.compile(r"bytes=(\d+)-(\d*)$")


@lru_cache(maxsize=256)
def block_of(path: str) -> bytes:
    """Return the bytes that a path's pack repeats."""
    return random.Random(path).randbytes(BLOCK_BYTES)


def pieces(path: str, start: int, stop: int) -> Iterator[bytes]:
    """Yield a pack's bytes from ``start`` up to ``stop``."""
    block = block_of(path)
    while start < stop:
        offset = start % BLOCK_BYTES
        piece = block[offset : offset + stop - start]
        yield piece
        start += len(piece)


@lru_cache(maxsize=1024)
def digest_of(path: str, size: int) -> str:
    """Return a whole pack's SHA-256 in hexadecimal."""
    digest = hashlib.sha256()
    for piece in pieces(path, 0, size):
        digest.update(piece)
    return digest.hexdigest()


def etag_of(path: str, size: int) -> str:
    """Return a pack's strong entity tag."""
    return f'"{digest_of(path, size)[:16]}"'


def repr_digest_of(path: str, size: int) -> str:
    """Return a pack's Repr-Digest header."""
    raw = base64.b64encode(bytes.fromhex(digest_of(path, size)))
    return f"sha-256=:{raw.decode()}:"


def parse_range(header: str, size: int) -> tuple[int, int] | None:
    """Return start and stop of one byte range, or None when it can't be met."""
    match = RANGE_PATTERN.match(header)
    if not match:
        return None
    start = int(match[1])
    stop = min(int(match[2]) + 1, size) if match[2] else size
    return (start, stop) if start < stop else None
