"""Hold long records in little memory."""

import zlib
from collections.abc import Iterator, Sequence
from typing import Final

COMPRESSED_FROM_BYTES: Final = 512
COMPRESSION_LEVEL: Final = 1
PLAIN: Final = b"\0"
COMPRESSED: Final = b"\1"


def pack(data: bytes) -> bytes:
    """Return the data in the form in which it is kept."""
    if len(data) < COMPRESSED_FROM_BYTES:
        return PLAIN + data
    return COMPRESSED + zlib.compress(data, COMPRESSION_LEVEL)


def unpack(packed: bytes) -> bytes:
    """Return the data that was packed."""
    if packed[:1] == PLAIN:
        return packed[1:]
    return zlib.decompress(packed[1:])


class PackedStrings(Sequence[str]):
    """Keep many short strings without a line feed as one compressed text.

    A string object takes some 60 bytes besides its characters: at 1.9 million
    blocks of callers that alone is more than a host may use.
    """

    __slots__ = ("count", "packed")

    def __init__(self, strings: Sequence[str]) -> None:
        self.count = len(strings)
        self.packed = pack("\n".join(strings).encode())

    def __iter__(self) -> Iterator[str]:
        return iter(self._strings())

    def __len__(self) -> int:
        return self.count

    def __getitem__(self, index):
        return self._strings()[index]

    def __eq__(self, other: object) -> bool:
        if isinstance(other, PackedStrings):
            return self.packed == other.packed
        return isinstance(other, Sequence) and self._strings() == tuple(other)

    def __hash__(self) -> int:
        return hash(self._strings())

    def __repr__(self) -> str:
        return f"<{self.count} strings>"

    def _strings(self) -> tuple[str, ...]:
        """Return all strings."""
        return tuple(unpack(self.packed).decode().split("\n")) if self.count else ()
