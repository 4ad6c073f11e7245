"""Keep blocks of one address family in sorted arrays."""

from array import array
from bisect import bisect_left, bisect_right
from collections.abc import Collection, Iterator
from typing import Final, NamedTuple

NO_PARENT: Final = 0xFFFF_FFFF
IPV4_BITS: Final = 32
WORD_BITS: Final = 64
WORD_MASK: Final = (1 << WORD_BITS) - 1


class Entry(NamedTuple):
    """One block with the number of its order of regions."""

    start: int
    length: int
    order: int


class BlockArrays:
    """Blocks sorted by start and, for the same start, the larger first.

    A block's ``parents`` entry is the place of the smallest block around it. Blocks
    nest or are apart, so the longest match of an address is the last block that
    starts at or before it, or the nearest of that block's parents that contains it.
    IPv6 starts are split into high and low words; 11 bytes a block for IPv4, 23 for
    IPv6.
    """

    __slots__ = ("around", "bits", "lengths", "lows", "orders", "parents", "starts")

    def __init__(self, bits: int) -> None:
        self.bits = bits
        self.starts = array("I" if bits == IPV4_BITS else "Q")
        self.lows = array("Q")
        self.lengths = array("B")
        self.orders = array("H")
        self.parents = array("I")
        # Last address and place of each block around the newest one.
        self.around: list[tuple[int, int]] = []

    def __len__(self) -> int:
        return len(self.lengths)

    @property
    def size_bytes(self) -> int:
        """Return the bytes that the arrays' items take."""
        arrays = (self.starts, self.lows, self.lengths, self.orders, self.parents)
        return sum(items.itemsize * len(items) for items in arrays)

    def append(self, start: int, length: int, order: int) -> None:
        """Add a block that sorts after all others."""
        around = self.around
        while around and around[-1][0] < start:
            around.pop()
        self.parents.append(around[-1][1] if around else NO_PARENT)
        last = start + (1 << (self.bits - length)) - 1
        around.append((last, len(self.lengths)))
        if self.bits == IPV4_BITS:
            self.starts.append(start)
        else:
            self.starts.append(start >> WORD_BITS)
            self.lows.append(start & WORD_MASK)
        self.lengths.append(length)
        self.orders.append(order)

    def start_of(self, place: int) -> int:
        """Return the first address of the block at a place."""
        if self.bits == IPV4_BITS:
            return self.starts[place]
        return self.starts[place] << WORD_BITS | self.lows[place]

    def longest(self, address: int, hidden: Collection[int] = ()) -> int:
        """Return the place of the longest block around an address, or ``NO_PARENT``.

        Blocks whose lengths are in ``hidden`` are passed over.
        """
        place = self._last_before(address)
        while place != NO_PARENT:
            length = self.lengths[place]
            outside = (self.start_of(place) ^ address) >> (self.bits - length)
            if not outside and length not in hidden:
                return place
            place = self.parents[place]
        return NO_PARENT

    def items(self, first: int, stop: int) -> Iterator[Entry]:
        """Yield the blocks from one place to before another."""
        for place in range(first, min(stop, len(self))):
            yield Entry(self.start_of(place), self.lengths[place], self.orders[place])

    def _last_before(self, address: int) -> int:
        """Return the place of the last block starting at or before an address."""
        if self.bits == IPV4_BITS:
            place = bisect_right(self.starts, address)
        else:
            high = address >> WORD_BITS
            first = bisect_left(self.starts, high)
            stop = bisect_right(self.starts, high, first)
            place = bisect_right(self.lows, address & WORD_MASK, first, stop)
        return place - 1 if place else NO_PARENT
