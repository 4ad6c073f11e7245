"""Recognise a request that comes again under another request id."""

from typing import NamedTuple

import xxhash

SEPARATOR = b"\0"


class Fingerprint(NamedTuple):
    """Hashes of a request, the same at each host and for each of its attempts.

    ``content`` is what a backend server makes its answer from, ``caller`` is who asks.
    """

    content: str
    caller: str


def hash_content(authority: str, method: str, target: str, body: bytes | None) -> str:
    """Return the hash of a request's host name, method, path, query and body."""
    digest = xxhash.xxh3_128()
    for text in (authority.lower(), method, target):
        digest.update(text.encode())
        digest.update(SEPARATOR)
    digest.update(body or b"")
    return digest.hexdigest()


def hash_caller(address: str, credentials: str) -> str:
    """Return the hash of a caller's network address and credentials."""
    digest = xxhash.xxh3_64()
    digest.update(address.encode())
    digest.update(SEPARATOR)
    digest.update(credentials.encode())
    return digest.hexdigest()
