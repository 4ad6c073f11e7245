"""Recognise a request that is retried under another request id."""

from typing import Final, NamedTuple

import xxhash

SEPARATOR: Final = b"\0"
# Leading hexadecimal digits of a content hash that do not depend on the body.
HEAD_LENGTH: Final = 16


class Fingerprint(NamedTuple):
    """Hashes of a request, equal on every host and for each of its attempts.

    ``content`` covers what a backend server's answer depends on, ``caller`` identifies
    who sent the request.
    """

    content: str
    caller: str


def hash_head(authority: str, method: str, target: str) -> str:
    """Return the hash of a request's host name, method, path and query."""
    return _digest(authority.lower(), method, target).hexdigest()


def hash_content(head: str, body: bytes | None) -> str:
    """Return the hash of a request from the hash of its head and its body."""
    return head + xxhash.xxh3_64(body or b"").hexdigest()


def hash_caller(address: str, credentials: str) -> str:
    """Return the hash of a caller's network address and credentials."""
    return _digest(address, credentials).hexdigest()


def _digest(*texts: str) -> xxhash.xxh3_64:
    """Return the hash of some texts, none of which may contain a zero byte."""
    # Credentials that are not UTF-8 were read as lone surrogates.
    encoded = (text.encode(errors="surrogateescape") for text in texts)
    return xxhash.xxh3_64(SEPARATOR.join(encoded))
