"""Measure what the store's adapter costs and whether it tells writes' outcomes right.

The baseline for cost is a bare aiohttp call with the same bytes; for outcomes it is
the rule that a call which raised has not happened.
"""

import asyncio
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple

import aiohttp
import msgspec

from greengagepoint.errors import StoreError, StoreOutcomeUnknownError
from greengagepoint_node import store_messages as messages
from greengagepoint_node.store import EtcdStore, create_store
from greengagepoint_standins.store import StoreStandIn, async_start_store
from greengagepoint_standins.store_control import StoreControl
from measure.figure import Figure

READS: Final = 500
ROUNDS: Final = 5
KEYS: Final = 127
FAULTY_WRITES: Final = 100
TIMEOUT_SECONDS: Final = 5.0
UNLIMITED: Final = 1e9
VALUE: Final = b"v" * 300


class Outcomes(NamedTuple):
    """How writes with faults were told, against what the store holds.

    ``said_not_written`` and ``said_unknown`` count errors by type; the other two
    count writes that stand although an error said, or may be read as, otherwise.
    """

    said_not_written: int
    said_unknown: int
    wrong: int
    wrong_by_exception: int


async def async_processor_seconds(call: Callable[[], Awaitable[object]]) -> float:
    """Return this process's time for one call, the least of some rounds."""
    best = float("inf")
    for _ in range(ROUNDS):
        started = time.process_time()
        for _ in range(READS):
            await call()
        best = min(best, (time.process_time() - started) / READS)
    return best


async def async_measure_cost(address: str) -> list[Figure]:
    """Compare a read and a batch of creates with the simplest way."""
    async with aiohttp.ClientSession() as session:
        store = create_store(address, session, timeout_seconds=TIMEOUT_SECONDS)
        await store.create([("key", VALUE)])
        body = msgspec.json.encode(messages.RangeRequest(key=b"key"))

        async def bare() -> None:
            url = f"http://{address}/v3/kv/range"
            async with session.post(url, data=body) as response:
                await response.read()

        bare_seconds = await async_processor_seconds(bare)
        read_seconds = await async_processor_seconds(lambda: store.read("key"))
        batch_seconds = await async_create_seconds(store, "batch", KEYS)
        single_seconds = await async_create_seconds(store, "single", 1)
    return [
        Figure(
            "store.read_processor_time",
            read_seconds * 1e6,
            "us",
            bare_seconds * 1e6,
            "bare aiohttp POST",
        ),
        Figure(
            "store.create_processor_time_per_key",
            batch_seconds * 1e6,
            "us",
            single_seconds * 1e6,
            "one call a key",
        ),
    ]


async def async_create_seconds(store: EtcdStore, name: str, size: int) -> float:
    """Return this process's time for each created key, in calls of some size."""
    items = [(f"{name}/{number}", VALUE) for number in range(KEYS * ROUNDS)]
    started = time.process_time()
    for first in range(0, len(items), size):
        await store.create(items[first : first + size])
    return (time.process_time() - started) / len(items)


async def async_measure_outcomes() -> Outcomes:
    """Write with one fault each and compare what was told with the store."""
    control = StoreControl(writes_per_second=UNLIMITED, reads_per_second=UNLIMITED)
    platform = await async_start_store(control=control)
    not_written, unknown, wrong, wrong_by_exception = 0, 0, 0, 0
    async with aiohttp.ClientSession() as session:
        store = create_store(platform.address, session, timeout_seconds=TIMEOUT_SECONDS)
        for number in range(FAULTY_WRITES):
            key = f"key/{number}"
            await async_arm(platform, number)
            try:
                await store.create([(key, VALUE)])
            except StoreOutcomeUnknownError:
                unknown += 1
                wrong_by_exception += stands(platform, key)
            except StoreError:
                not_written += 1
                wrong += stands(platform, key)
                wrong_by_exception += stands(platform, key)
            await async_disarm(platform, number)
    await platform.async_stop()
    return Outcomes(not_written, unknown, wrong, wrong_by_exception)


async def async_arm(platform: StoreStandIn, number: int) -> None:
    """Prepare one of four faults."""
    fault = number % 4
    if fault == 0:
        platform.control.lose_replies = 1
    elif fault == 1:
        platform.control.garbage_answers = 1
    elif fault == 2:
        platform.control.writes_per_second = 0.0
    else:
        await platform.async_refuse()


async def async_disarm(platform: StoreStandIn, number: int) -> None:
    """Put the store in order again."""
    platform.control.writes_per_second = UNLIMITED
    if number % 4 == 3:
        await platform.async_accept()


def stands(platform: StoreStandIn, key: str) -> bool:
    """Tell whether the store holds a key."""
    return platform.gateway.state.get(key.encode()) is not None


def measure_cost() -> list[Figure]:
    """Run the cost measurement against a stand-in in a process of its own."""
    limits = f'{{"writes_per_second":{UNLIMITED},"reads_per_second":{UNLIMITED}}}'
    command = [sys.executable, "-m", "greengagepoint_standins", "store"]
    process = subprocess.Popen(
        [*command, "--control", limits], stdout=subprocess.PIPE, text=True
    )
    try:
        ready = msgspec.json.decode(process.stdout.readline())
        return asyncio.run(async_measure_cost(ready["addresses"][0]))
    finally:
        process.terminate()
        process.wait()


def run() -> list[Figure]:
    """Return the figures of the store's adapter."""
    outcomes = asyncio.run(async_measure_outcomes())
    return [
        *measure_cost(),
        Figure(
            "store.writes_wrongly_told_not_written",
            outcomes.wrong,
            f"of {FAULTY_WRITES}",
            outcomes.wrong_by_exception,
            "an exception means not written",
            limit=0,
        ),
        Figure("store.writes_told_unknown", outcomes.said_unknown, "writes"),
        Figure("store.writes_told_not_written", outcomes.said_not_written, "writes"),
    ]
