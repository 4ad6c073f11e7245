"""Rank hosts by rendezvous hashing."""

from collections.abc import Callable, Iterable
from typing import TypeVar

import xxhash

RowT = TypeVar("RowT")


def ranked(key: str, rows: Iterable[RowT], name: Callable[[RowT], str]) -> list[RowT]:
    """Return rows in the order of their weight for a key, the heaviest first.

    Two views that differ in few hosts rank the others in the same order, so that
    little moves when a host comes or goes.
    """
    prefix = key.encode() + b"/"

    def weight(row: RowT) -> int:
        return xxhash.xxh64_intdigest(prefix + name(row).encode())

    return sorted(rows, key=weight, reverse=True)
