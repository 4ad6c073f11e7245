"""Rank hosts by rendezvous hashing."""

from collections.abc import Callable, Iterable
from typing import TypeVar

import xxhash

RowT = TypeVar("RowT")


def rank(
    key: str, rows: Iterable[RowT], name: Callable[[RowT], str] = str
) -> list[RowT]:
    """Return rows in the order of their weight for a key, the heaviest first.

    ``name`` tells what a row is hashed by. Two views that differ in few hosts rank the
    others in the same order, so little moves when a host comes or goes.
    """
    # No name or key holds a zero byte, so no two pairs are hashed alike.
    prefix = key.encode() + b"\0"

    def weight(row: RowT) -> int:
        return xxhash.xxh3_64_intdigest(prefix + name(row).encode())

    return sorted(rows, key=weight, reverse=True)
