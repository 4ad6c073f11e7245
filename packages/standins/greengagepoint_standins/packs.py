"""Generate large bodies with known bytes, in pieces, from any offset on."""

import base64
import hashlib
import random
import re
from collections.abc import Iterator, Mapping
from functools import lru_cache
from http import HTTPStatus
from typing import Final, NamedTuple

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


class Pack(NamedTuple):
    """Which bytes of a pack to send, with which status and headers."""

    status: HTTPStatus
    headers: dict[str, str]
    start: int
    stop: int


def choose(path: str, size: int, asked: Mapping[str, str] | None) -> Pack:
    """Choose the whole pack or the range asked for (None: ranges are off)."""
    tag = etag_of(path, size)
    headers = {"ETag": tag, "Repr-Digest": repr_digest_of(path, size)}
    if asked is None:
        return Pack(HTTPStatus.OK, headers, 0, size)
    headers["Accept-Ranges"] = "bytes"
    # Bytes of another version joined to those the caller has would make a body
    # that was never whole; it gets the new version from the start.
    if "Range" not in asked or asked.get("If-Range", tag) != tag:
        return Pack(HTTPStatus.OK, headers, 0, size)
    part = parse_range(asked["Range"], size)
    if part is None:
        headers["Content-Range"] = f"bytes */{size}"
        return Pack(HTTPStatus.REQUESTED_RANGE_NOT_SATISFIABLE, headers, 0, 0)
    start, stop = part
    headers["Content-Range"] = f"bytes {start}-{stop - 1}/{size}"
    return Pack(HTTPStatus.PARTIAL_CONTENT, headers, start, stop)


def parse_range(header: str, size: int) -> tuple[int, int] | None:
    """Return start and stop of one byte range, or None when it can't be met."""
    match = RANGE_PATTERN.match(header)
    if not match:
        return None
    start = int(match[1])
    stop = min(int(match[2]) + 1, size) if match[2] else size
    return (start, stop) if start < stop else None
