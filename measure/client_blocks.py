"""Measure the table of client blocks at the size that is expected."""

import random
import sys
import time
import tracemalloc
from collections.abc import Iterator
from typing import Final

from greengagepoint.records.schemas import Callers
from greengagepoint.steering.addresses import Block
from greengagepoint.steering.client_blocks import Change, ClientBlocks
from greengagepoint.steering.client_records import build
from measure.figure import Figure

BLOCKS: Final = 1_900_000
SITES: Final = 1_300
REGIONS: Final = 15
LOOKUPS: Final = 50_000
CHANGED_BLOCKS: Final = 100
SEED: Final = 11
# Prefix lengths in turn; 0 stands for an IPv6 block of 48 bits.
LENGTHS: Final = (24,) * 12 + (23,) * 4 + (22,) * 2 + (20,) + (0,)
SCATTER: Final = 0x9E37_79B1

_Baseline = dict[int, dict[int, int]]


def run() -> list[Figure]:
    """Build, search and change the table; compare with a dictionary a length."""
    orders = region_orders()
    records = _records(orders)
    started = time.process_time()
    table = build(records)
    build_seconds = time.process_time() - started
    sizes = sum(base.size_bytes for base in table.bases.values())
    baseline = _baseline(table)
    addresses = _addresses(LOOKUPS)
    return [
        Figure("client blocks", len(table), "blocks"),
        Figure("client blocks: orders of regions", len(table.orders), "orders"),
        Figure("client blocks: build", build_seconds, "s"),
        *_memory(table, baseline, sizes),
        *_lookups(table, baseline, addresses),
        *_changes(table, build_seconds),
        *_merge(table),
    ]


def _memory(table: ClientBlocks, baseline: _Baseline, sizes: int) -> list[Figure]:
    """Return bytes a block beside those of dictionaries and their keys."""
    held = sum(len(starts) for starts in baseline.values())
    used = sum(sys.getsizeof(starts) for starts in baseline.values())
    used += held * sys.getsizeof(1 << 29)
    return [
        Figure(
            "client blocks: memory",
            sizes / len(table),
            "bytes/block",
            used / held,
            "dictionary a prefix length",
        ),
        Figure("client blocks: memory in all", sizes / 1e6, "MB"),
    ]


def _lookups(
    table: ClientBlocks, baseline: _Baseline, addresses: list[str]
) -> list[Figure]:
    """Return the time of a look-up beside that in dictionaries."""
    lengths = sorted(baseline, reverse=True)
    started = time.process_time()
    found = sum(table.find(address) is not None for address in addresses)
    own = time.process_time() - started
    started = time.process_time()
    for address in addresses:
        _baseline_find(baseline, lengths, address)
    other = time.process_time() - started
    name = "dictionary a prefix length"
    scale = 1e6 / len(addresses)
    return [
        Figure("client blocks: look-up", own * scale, "us", other * scale, name),
        Figure("client blocks: look-ups that found", found / len(addresses), "share"),
    ]


def _changes(table: ClientBlocks, build_seconds: float) -> list[Figure]:
    """Return time and bytes of a change of a hundred blocks."""
    draw = random.Random(SEED + 1)
    changes = [
        Change(Block(32, draw.getrandbits(24) << 8, 24), table.orders[0])
        for _ in range(CHANGED_BLOCKS)
    ]
    tracemalloc.start()
    table.apply(changes[:1])
    before = tracemalloc.get_traced_memory()[0]
    table.apply(changes)
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    started = time.process_time()
    table.apply(changes)
    seconds = time.process_time() - started
    text = sum(len(_ipv4_text(change.block.start, 24)) + 3 for change in changes)
    return [
        Figure(
            "client blocks: change of 100 blocks",
            seconds * 1e3,
            "ms",
            build_seconds * 1e3,
            "building anew",
        ),
        Figure("client blocks: memory of that change", used, "bytes"),
        Figure("client blocks: that change as JSON", text, "bytes"),
    ]


def _merge(table: ClientBlocks) -> list[Figure]:
    """Return the time of merging the overlay and of its longest step."""
    steps = []
    more = True
    while more:
        started = time.process_time()
        more = table.step_merge()
        steps.append(time.process_time() - started)
    return [
        Figure("client blocks: merge", sum(steps), "s"),
        Figure("client blocks: longest step of the merge", max(steps) * 1e3, "ms"),
    ]


def region_orders() -> list[tuple[str, ...]]:
    """Return an order of regions and sites for each site."""
    draw = random.Random(SEED)
    regions = [f"region-{number:02}" for number in range(REGIONS)]
    return [(f"site-{site:04}", *draw.sample(regions, 3)) for site in range(SITES)]


def _records(orders: list[tuple[str, ...]]) -> list[Callers]:
    """Return records of callers with blocks that nest, a twentieth IPv6."""
    blocks = list(block_texts())
    size = -(-BLOCKS // SITES)
    return [
        Callers(
            name=f"callers-{site:04}",
            blocks=tuple(blocks[site * size : (site + 1) * size]),
            regions=orders[site],
        )
        for site in range(SITES)
    ]


def block_texts() -> Iterator[str]:
    """Yield different blocks scattered over the addresses.

    An odd factor visits each block of a length once before any twice.
    """
    for number in range(BLOCKS):
        length = LENGTHS[number % len(LENGTHS)]
        bits = number * SCATTER
        if length == 0:
            start = bits & 0xFFFF_FFFF
            yield f"2001:{start >> 16:x}:{start & 0xFFFF:x}::/48"
            continue
        start = (bits & ((1 << length) - 1)) << (32 - length)
        yield _ipv4_text(start, length)


def _ipv4_text(start: int, length: int) -> str:
    """Return a block as text."""
    return (
        f"{start >> 24}.{start >> 16 & 255}.{start >> 8 & 255}.{start & 255}/{length}"
    )


def _addresses(count: int) -> list[str]:
    """Return addresses of which most are in a block."""
    draw = random.Random(SEED + 2)
    return [_ipv4_text(draw.getrandbits(32), 32)[:-3] for _ in range(count)]


def _baseline(table: ClientBlocks) -> _Baseline:
    """Return the IPv4 blocks in a dictionary for each prefix length."""
    found: _Baseline = {}
    base = table.bases[32]
    for entry in base.items(0, len(base)):
        found.setdefault(entry.length, {})[entry.start] = entry.order
    return found


def _baseline_find(baseline: _Baseline, lengths: list[int], address: str) -> int:
    """Search each prefix length from the longest on."""
    number = 0
    for part in address.split("."):
        number = number << 8 | int(part)
    for length in lengths:
        order = baseline[length].get(number >> (32 - length) << (32 - length))
        if order is not None:
            return order
    return -1
