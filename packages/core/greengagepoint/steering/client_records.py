"""Build and change the table of client blocks from records of callers."""

from array import array
from collections.abc import Generator, Iterable, Iterator, Sequence
from heapq import merge
from typing import Final

from greengagepoint.records.schemas import Callers
from greengagepoint.steering.addresses import IPV4_BITS, IPV6_BITS, parse_block
from greengagepoint.steering.block_arrays import BlockArrays
from greengagepoint.steering.client_blocks import Change, ClientBlocks

CHUNK_BLOCKS: Final = 20_000
STEP_BLOCKS: Final = 2_000
ORDER_BITS: Final = 16
LENGTH_BITS: Final = 8
ORDER_MASK: Final = (1 << ORDER_BITS) - 1
LENGTH_MASK: Final = (1 << LENGTH_BITS) - 1


class _Sorter:
    """Sort blocks of one family in chunks, packed into whole numbers.

    Sorting all at once would hold a Python object a block, several times the
    finished table.
    """

    def __init__(self, bits: int) -> None:
        self.bits = bits
        self.chunk: list[int] = []
        self.chunks: list[Sequence[int]] = []

    def add(self, start: int, length: int, order: int) -> None:
        """Add one block."""
        packed = (start << LENGTH_BITS | length) << ORDER_BITS | order
        self.chunk.append(packed)
        if len(self.chunk) >= CHUNK_BLOCKS:
            self.close_chunk()

    def close_chunk(self) -> None:
        """Sort the open chunk; IPv4 ones fit into machine words."""
        self.chunk.sort()
        packed = array("Q", self.chunk) if self.bits == IPV4_BITS else self.chunk
        self.chunks.append(packed)
        self.chunk = []

    def sorted(self) -> Iterator[int]:
        """Yield all blocks, packed, in the order of the arrays."""
        self.close_chunk()
        return merge(*self.chunks)


def build(records: Iterable[Callers]) -> ClientBlocks:
    """Build the table from all records of callers.

    Of equal blocks in two records the one with the lesser order of regions wins,
    so that all hosts agree whatever the order of their records.
    """
    steps = build_in_steps(records)
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            return stop.value


def build_in_steps(
    records: Iterable[Callers],
) -> Generator[None, None, ClientBlocks]:
    """Build the table and yield between short steps; return the table.

    At full size the whole takes seconds, which a daemon must not spend at once.
    """
    table = ClientBlocks()
    sorters = {bits: _Sorter(bits) for bits in (IPV4_BITS, IPV6_BITS)}
    for record in records:
        order = table.number(record.regions)
        for number, text in enumerate(record.blocks):
            bits, start, length = parse_block(text)
            sorters[bits].add(start, length, order)
            if number % STEP_BLOCKS == 0:
                yield
    for bits, sorter in sorters.items():
        yield from _fill(table, table.bases[bits], sorter.sorted())
    return table


def _fill(
    table: ClientBlocks, base: BlockArrays, blocks: Iterable[int]
) -> Iterator[None]:
    """Append sorted blocks, one of each kind, and yield between short steps."""
    last = -1
    for number, packed in enumerate(blocks):
        block = packed >> ORDER_BITS
        order = packed & ORDER_MASK
        if block == last:
            kept = base.orders[-1]
            base.orders[-1] = min(kept, order, key=table.orders.__getitem__)
            continue
        last = block
        base.append(block >> LENGTH_BITS, block & LENGTH_MASK, order)
        if number % STEP_BLOCKS == 0:
            yield


def differences(old: dict[str, Callers], new: dict[str, Callers]) -> Iterator[Change]:
    """Yield what changes between two sets of records.

    Removals come first: a block may move from one record to another.
    """
    changed = [name for name in old | new if old.get(name) is not new.get(name)]
    for name in changed:
        if name in old:
            kept = new[name].blocks if name in new else ()
            for text in set(old[name].blocks).difference(kept):
                yield Change(parse_block(text), None)
    for name in changed:
        if name in new:
            yield from _added(old.get(name), new[name])


def _added(old: Callers | None, new: Callers) -> Iterator[Change]:
    """Yield the blocks of a record that are new or have another order now."""
    same = old is not None and old.regions == new.regions
    known = set(old.blocks) if same else set()
    for text in new.blocks:
        if text not in known:
            yield Change(parse_block(text), new.regions)
