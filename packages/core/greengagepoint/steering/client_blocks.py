"""Map a caller's address to its order of regions by the longest matching block."""

from collections.abc import Iterable, Iterator
from typing import Final, NamedTuple

from greengagepoint.steering.addresses import (
    IPV4_BITS,
    IPV6_BITS,
    Block,
    parse_address,
)
from greengagepoint.steering.block_arrays import NO_PARENT, BlockArrays, Entry

ORDERS_MAX: Final = 0xFFFF
REMOVED: Final = -1
OVERLAY_BLOCKS_MAX: Final = 20_000
MERGE_STEP_BLOCKS: Final = 2_000

Order = tuple[str, ...]
Overlay = dict[int, dict[int, int]]


class Change(NamedTuple):
    """A block that gets an order of regions, or None to be removed."""

    block: Block
    order: Order | None


class ClientBlocks:
    """Blocks of caller addresses: sorted arrays and a small overlay of changes.

    ``overlays`` maps bits, prefix length and start to the number of an order or
    ``REMOVED``. ``merging`` holds, while a merge runs, the changes that it takes in;
    newer ones go to ``overlays``.
    """

    def __init__(self) -> None:
        self.bases = {bits: BlockArrays(bits) for bits in (IPV4_BITS, IPV6_BITS)}
        self.overlays: dict[int, Overlay] = {IPV4_BITS: {}, IPV6_BITS: {}}
        self.merging: dict[int, Overlay] = {IPV4_BITS: {}, IPV6_BITS: {}}
        self.orders: list[Order] = []
        self.order_numbers: dict[Order, int] = {}
        self.merge: Iterator[None] | None = None

    def __len__(self) -> int:
        """Return the number of blocks in the arrays, without pending changes."""
        return sum(len(base) for base in self.bases.values())

    def find(self, address: str) -> Order | None:
        """Return the order of regions for an address, or None.

        An address that cannot be read has none, so that its caller is answered
        like one of an unknown block.
        """
        try:
            bits, number = parse_address(address)
        except ValueError:
            return None
        order = self._find_number(bits, number)
        return None if order == REMOVED else self.orders[order]

    def apply(self, changes: Iterable[Change]) -> None:
        """Put changes in force without building the table anew."""
        for (bits, start, length), order in changes:
            number = REMOVED if order is None else self.number(order)
            self.overlays[bits].setdefault(length, {})[start] = number

    def pending(self) -> int:
        """Return how many changes wait in the overlay."""
        return sum(
            len(starts)
            for overlay in self.overlays.values()
            for starts in overlay.values()
        )

    def run(self) -> bool:
        """Do one short step of merging the overlay; tell whether one is under way.

        A whole merge at full size takes seconds; done at once it would stop the
        loop and with it all requests.
        """
        if self.merge is None and self.pending() <= OVERLAY_BLOCKS_MAX:
            return False
        return self.step_merge()

    def step_merge(self) -> bool:
        """Do one step of a merge, begun if need be; tell whether more are left."""
        if self.merge is None:
            self.merge = self._merge()
        if next(self.merge, self) is self:
            self.merge = None
        return self.merge is not None

    def merge_all(self) -> None:
        """Merge the overlay at once."""
        while self.step_merge():
            pass

    def _find_number(self, bits: int, address: int) -> int:
        """Return the number of an address's order, or ``REMOVED``.

        The longest match wins over all layers; at the same length the newest
        layer does, and a removed block uncovers the one around it.
        """
        best_length, best = -1, REMOVED
        hidden: set[int] = set()
        for layer in (self.overlays[bits], self.merging[bits]):
            for length, starts in layer.items():
                number = starts.get(address >> (bits - length) << (bits - length))
                if number is None or length in hidden:
                    continue
                hidden.add(length)
                if number != REMOVED and length > best_length:
                    best_length, best = length, number
        base = self.bases[bits]
        place = base.longest(address, hidden)
        if place == NO_PARENT or base.lengths[place] < best_length:
            return best
        return base.orders[place]

    def number(self, order: Order) -> int:
        """Return the number of an order of regions, giving it one when new."""
        number = self.order_numbers.get(order)
        if number is None:
            number = len(self.orders)
            if number >= ORDERS_MAX:
                raise ValueError(f"more than {ORDERS_MAX} orders of regions")
            self.order_numbers[order] = number
            self.orders.append(order)
        return number

    def _merge(self) -> Iterator[None]:
        """Merge the overlay into new arrays, yielding between short steps."""
        self.merging, self.overlays = self.overlays, self.merging
        bases = {}
        for bits, base in self.bases.items():
            merged = BlockArrays(bits)
            changes = _sorted_changes(self.merging[bits])
            for number, entry in enumerate(_merged(base, changes)):
                merged.append(*entry)
                if number % MERGE_STEP_BLOCKS == 0:
                    yield
            bases[bits] = merged
        self.bases = bases
        self.merging = {IPV4_BITS: {}, IPV6_BITS: {}}


def _sorted_changes(overlay: Overlay) -> list[Entry]:
    """Return the changes of one family in the order of the arrays."""
    return sorted(
        Entry(start, length, order)
        for length, starts in overlay.items()
        for start, order in starts.items()
    )


def _merged(base: BlockArrays, changes: list[Entry]) -> Iterator[Entry]:
    """Yield the blocks of the arrays with the changes taken in, in order."""
    position = 0
    for change in changes:
        key = change[:2]
        while position < len(base):
            place = (base.start_of(position), base.lengths[position])
            if place >= key:
                break
            yield Entry(*place, base.orders[position])
            position += 1
        if position < len(base) and key == (
            base.start_of(position),
            base.lengths[position],
        ):
            position += 1
        if change.order != REMOVED:
            yield change
    yield from base.items(position, len(base))
