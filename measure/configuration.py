"""Measure how a change reaches all hosts, what it costs, and what is held."""

import asyncio
import gc
import random
import time
import tracemalloc
from collections.abc import Callable
from typing import Any, Final, NamedTuple

from greengagepoint.config import exchange as peers
from greengagepoint.config.entries import Change, decode_entry
from greengagepoint.config.layout import LOG_PREFIX
from greengagepoint.config.log import ConfigLog, apply_entry
from greengagepoint.config.messages import ConfigDigest, ConfigEntries
from greengagepoint.config.preparing import prepare
from greengagepoint.config.state import Exchange
from greengagepoint.records.versions import decode
from greengagepoint_node.peer_codec import MESSAGE_TYPES, PeerCodec
from greengagepoint_standins import virtual_time
from greengagepoint_standins.memory_fleet import (
    FleetStore,
    make_host,
)
from measure.configuration_changes import (
    BLOCKS_A_RECORD,
    CALLERS,
    SEED,
    SERVERS_A_SITE,
    SITES,
    caller_changes,
    region_change,
    service_change,
    site_change,
    team_change,
)
from measure.configuration_fleet import (
    POLL_SECONDS,
    STORE_SECONDS,
    WAIT_SECONDS,
    Fleet,
)
from measure.figure import Figure

SIZES: Final = ((12, 3), (50, 3), (200, 3), (1000, 15))
FULL_HOSTS: Final = 4900
FULL_REGIONS: Final = 15
IN_FORCE_SECONDS_LIMIT: Final = 9.0
SLOW_STORE_SECONDS: Final = 2.0
LOSS: Final = 0.2
REST_SECONDS: Final = 60.0
CHANGES: Final = 20


class ChangeCost(NamedTuple):
    """What one change took on average."""

    seconds: float
    messages_a_node: float
    store_calls: float
    watch_events: float
    cpu_ms_a_node: float


def run() -> list[Figure]:
    """Measure fleets of several sizes, with the store up, slow and down."""
    figures: list[Figure] = []
    for count, regions in SIZES:
        figures += virtual_time.run(_async_fleet(count, regions))
    figures += virtual_time.run(_async_faults())
    figures += one_node()
    return figures + _held()


async def _async_fleet(count: int, regions: int) -> list[Figure]:
    """Compare a fleet with one in which every node watches."""
    fleet = Fleet(count, regions)
    await fleet.async_start()
    cost = await _async_change_cost(fleet, CHANGES if count <= 200 else 5)
    calls = fleet.store.reads + fleet.store.writes
    sent = fleet.bus.sent.total()
    await fleet.async_run(REST_SECONDS)
    rest_calls = (fleet.store.reads + fleet.store.writes - calls) / REST_SECONDS
    rest_sent = (fleet.bus.sent.total() - sent) / REST_SECONDS / count
    watches = len(fleet.store.watches)
    await fleet.async_stop()
    simple = await _async_every_node_watches(count)
    name = f"configuration, {count} nodes in {regions} regions"
    simplest = "every node watches"
    return [
        Figure(
            f"{name}: accepted to in force everywhere",
            cost.seconds,
            "s",
            simple.seconds,
            simplest,
            IN_FORCE_SECONDS_LIMIT,
        ),
        Figure(f"{name}: peer messages a change and node", cost.messages_a_node, ""),
        Figure(f"{name}: store calls a change", cost.store_calls, ""),
        Figure(
            f"{name}: watch events a change",
            cost.watch_events,
            "",
            simple.watch_events,
            simplest,
        ),
        Figure(f"{name}: waiting watches", watches, "", count, simplest),
        Figure(f"{name}: other store calls at rest", rest_calls, "1/s"),
        Figure(f"{name}: peer messages at rest a node", rest_sent, "1/s"),
        Figure(f"{name}: processor time a change and node", cost.cpu_ms_a_node, "ms"),
    ]


async def _async_change_cost(fleet: Fleet, changes: int) -> ChangeCost:
    """Apply changes one after another and average what they took."""
    seconds = 0.0
    events = 0
    calls = fleet.store.reads + fleet.store.writes
    pushed = fleet.bus.sent["ConfigEntries"]
    started = time.process_time()
    for number in range(changes):
        seconds += await fleet.async_change(number)
        events += len(fleet.store.watches)
    cpu = time.process_time() - started
    nodes = len(fleet.nodes)
    return ChangeCost(
        seconds=seconds / changes,
        messages_a_node=(fleet.bus.sent["ConfigEntries"] - pushed) / changes / nodes,
        store_calls=(fleet.store.reads + fleet.store.writes - calls) / changes,
        watch_events=events / changes,
        cpu_ms_a_node=1000 * cpu / changes / nodes,
    )


async def _async_every_node_watches(count: int) -> ChangeCost:
    """Run the simplest way: each node applies what its own watch yields."""
    store = FleetStore(lambda: STORE_SECONDS)
    logs = [ConfigLog() for _ in range(count)]
    events = 0

    async def async_watch(log: ConfigLog) -> None:
        nonlocal events
        async for value in store.watch(LOG_PREFIX, revision=1):
            events += 1
            apply_entry(log, decode_entry(value.value))

    tasks = [asyncio.create_task(async_watch(log)) for log in logs]
    await asyncio.sleep(1)
    writer = ConfigLog()
    entry = prepare(writer, [team_change(0)], "operator", "w", 0)
    await store.create_next(f"{LOG_PREFIX}{1:012d}", entry.encoded, after=None)
    accepted = asyncio.get_running_loop().time()
    for _ in range(int(WAIT_SECONDS / POLL_SECONDS)):
        if all(log.generation == 1 for log in logs):
            break
        await asyncio.sleep(POLL_SECONDS)
    seconds = asyncio.get_running_loop().time() - accepted
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return ChangeCost(seconds, 0, 1, events, 0)


async def _async_faults() -> list[Figure]:
    """Measure with lost messages, a slow store, no watch and no store."""
    fleet = Fleet(200, 3)
    await fleet.async_start()
    name = "configuration, 200 nodes in 3 regions"
    limit = IN_FORCE_SECONDS_LIMIT
    fleet.bus.loss = LOSS
    lossy = [await fleet.async_change(number) for number in range(CHANGES)]
    fleet.bus.loss = 0.0
    fleet.store.delay = lambda: SLOW_STORE_SECONDS
    slow = [await fleet.async_change(number) for number in range(100, 105)]
    fleet.store.delay = lambda: STORE_SECONDS
    await fleet.async_run(3 * SLOW_STORE_SECONDS)
    fleet.bus.cut = _other_region
    cut = [await fleet.async_change(number) for number in range(200, 205)]
    fleet.bus.cut = lambda sender, recipient: False
    fleet.store.down = True
    fleet.store.fail_watches()
    await fleet.async_run(5)
    started = await _async_start_without_store(fleet)
    await fleet.async_stop()
    return [
        Figure(
            f"{name}: in force, longest of {CHANGES} with {LOSS:.0%} messages lost",
            max(lossy),
            "s",
            limit=limit,
        ),
        Figure(f"{name}: in force, store calls take 2 s", max(slow), "s", limit=limit),
        Figure(
            f"{name}: in force, regions cut from each other", max(cut), "s", limit=limit
        ),
        Figure(f"{name}: new host has it from a peer, store down", started, "s"),
    ]


def _other_region(sender: str, recipient: str) -> bool:
    """Cut messages between hosts whose number gives another region."""
    return int(sender.split("-")[1]) % 3 != int(recipient.split("-")[1]) % 3


async def _async_start_without_store(fleet: Fleet) -> float:
    """Return how long a new host takes to have the configuration."""
    host = make_host("host-200", "region-2")
    fleet.hosts.append(host)
    node = fleet.add(host)
    await node.async_start()
    began = fleet.clock.monotonic()
    while node.log.generation < fleet.nodes[0].log.generation:
        node.tick(fleet.clock.monotonic())
        await asyncio.sleep(POLL_SECONDS)
    return fleet.clock.monotonic() - began


def one_node() -> list[Figure]:
    """Measure one node's part in a fleet of the size that is expected."""
    hosts = [
        make_host(f"host-{index}", f"region-{index % FULL_REGIONS}")
        for index in range(FULL_HOSTS)
    ]
    exchange = Exchange(hosts[0], ConfigLog())
    rng = random.Random(SEED)
    entry = prepare(exchange.log, [team_change(0)], "operator", "w", 0)
    started = time.process_time()
    ticks = 50
    for now in range(ticks):
        peers.see(exchange, list(hosts))
        peers.run(exchange, 10.0 * now, rng)
    tick_ms = 1000 * (time.process_time() - started) / ticks
    message = ConfigEntries((entry.encoded,), hosts[FULL_REGIONS].name)
    started = time.process_time()
    peers.on_entries(exchange, hosts[FULL_REGIONS].name, message)
    push_ms = 1000 * (time.process_time() - started)
    codec = PeerCodec("host-0", 1, b"key", MESSAGE_TYPES)
    digest = ConfigDigest(1, entry.digest)
    name = f"configuration, one node of {FULL_HOSTS}"
    return [
        Figure(f"{name}: processor time a second at rest", tick_ms, "ms"),
        Figure(f"{name}: processor time a pushed change", push_ms, "ms"),
        Figure(f"{name}: bytes of a digest", _size(codec, digest), "bytes"),
        Figure(
            f"{name}: bytes of a change of one team", _size(codec, message), "bytes"
        ),
    ]


def _held() -> list[Figure]:
    """Measure what records of sites and of caller blocks take."""
    sites = [
        region_change(),
        *(site_change(index) for index in range(SITES)),
        service_change(),
    ]
    blocks = [region_change(), *caller_changes()]
    count = CALLERS * BLOCKS_A_RECORD
    log, site_bytes = _held_by(sites, _log_of)
    _, block_bytes = _held_by(blocks, _log_of)
    _, simple_site_bytes = _held_by(sites, _objects_of)
    _, simple_block_bytes = _held_by(blocks, _objects_of)
    started = time.process_time()
    prepare(log, [team_change(1)], "operator", "w2", 0)
    checked_ms = 1000 * (time.process_time() - started)
    name = f"configuration, {SITES} sites of {SERVERS_A_SITE} backend servers"
    simplest = "documents and records as objects"
    return [
        Figure(
            f"{name}: held a site",
            site_bytes / SITES,
            "bytes",
            simple_site_bytes / SITES,
            simplest,
        ),
        Figure(f"{name}: processor time to check a change", checked_ms, "ms"),
        Figure(
            f"configuration, {count} random caller blocks: held a block",
            block_bytes / count,
            "bytes",
            simple_block_bytes / count,
            simplest,
        ),
    ]


def _held_by(changes: list[Change], build: Callable[[bytes], Any]) -> tuple[Any, int]:
    """Return what is built from an entry with these changes, and its bytes."""
    encoded = prepare(ConfigLog(), changes, "operator", "w", 0).encoded
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    built = build(encoded)
    gc.collect()
    held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return built, held


def _log_of(encoded: bytes) -> ConfigLog:
    """Return a log with an entry's records in force, without the entry itself."""
    log = ConfigLog()
    apply_entry(log, decode_entry(encoded))
    log.tail.clear()
    return log


def _objects_of(encoded: bytes) -> list[Any]:
    """Return an entry's documents and records as plain objects."""
    return [
        (change.document, decode(change.document))
        for change in decode_entry(encoded).changes
    ]


def _size(codec: PeerCodec, message: object) -> int:
    """Return the bytes of an envelope with one message."""
    return len(codec.encode("host-1", (1_800_000_000_000, 0), [message]))
