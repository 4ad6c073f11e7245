"""Rank hosts by rendezvous hashing."""

from collections.abc import Callable, Iterable
from typing import TypeVar

import xxhash

RowT = TypeVar("RowT")


def rank(
    key: str, rows: Iterable[RowT], name: Callable[[RowT], str] = str
) -> list[RowT]:
    """Return rows sorted by their hash weight for a key, highest first.

    ``name`` returns the string that identifies a row in the hash. Views that differ in
    a few hosts rank all other hosts in the same order, so little is reassigned when a
    host joins or leaves.
    """
    # Names and keys contain no zero byte, so distinct pairs give distinct hash inputs.
    prefix = key.encode() + b"\0"

    def weight(row: RowT) -> int:
        return xxhash.xxh3_64_intdigest(prefix + name(row).encode())

    return sorted(rows, key=weight, reverse=True)
