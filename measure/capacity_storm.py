"""Count the store calls of the owners of one region that all start within a minute."""

import asyncio
import random
from typing import Final, NamedTuple

from greengagepoint.caps.ledger import decode_ledger, ledger_key
from greengagepoint.hosts import HostIdentity
from greengagepoint_node.context import Context
from greengagepoint_node.coordinators.caps import CapsCoordinator
from greengagepoint_standins import virtual_time
from greengagepoint_standins.memory_fleet import FleetStore, MemoryBus, MemoryEvents
from measure import capacity_fleet as fleet
from measure.capacity_slopes import Slope

HOST_COUNTS: Final = (20, 40, 80)
STORE_SECONDS: Final = 0.005
START_SECONDS: Final = 60.0
RUN_SECONDS: Final = 120.0
TICK_SECONDS: Final = 0.25
REGION: Final = "region-00"
SITES: Final = 260
SEED: Final = 3


class Storm(NamedTuple):
    """Store calls of all hosts together, and how the ledger stood at the end."""

    reads: int
    writes: int
    most_a_second: int
    owners: int


class Bus(MemoryBus):
    """Deliver each message with the loop's next turn."""

    def deliver_soon(self) -> None:
        """Deliver what waits."""
        while self.queue:
            self.deliver_round()


def measure() -> list[Slope]:
    """Return reads and writes of one region by its hosts."""
    found = [(count, storm(count)) for count in HOST_COUNTS]
    over = "hosts of a region"
    return [
        Slope(
            "ledger reads while all start within a minute",
            over,
            "calls",
            tuple((count, one.reads) for count, one in found),
        ),
        Slope(
            "ledger writes while all start within a minute",
            over,
            "calls",
            tuple((count, one.writes) for count, one in found),
        ),
        Slope(
            "ledger calls in the busiest second of it",
            over,
            "calls",
            tuple((count, one.most_a_second) for count, one in found),
        ),
    ]


def storm(count: int, start_seconds: float = START_SECONDS) -> Storm:
    """Start hosts of one region at even distances and let them claim shares."""
    return virtual_time.run(_async_storm(count, start_seconds))


async def _async_storm(count: int, start_seconds: float) -> Storm:
    store = FleetStore(lambda: STORE_SECONDS)
    bus = Bus()
    clock = virtual_time.VirtualClock()
    records = fleet.configuration(SITES, servers=0)
    everyone = [
        HostIdentity(f"host-{n:03}", n + 1, REGION, f"zone-{n % 3}", "", "")
        for n in range(count)
    ]
    running: list[CapsCoordinator] = []
    live: list[HostIdentity] = []
    most, before = 0, 0
    begun = clock.monotonic()
    for step in range(round(RUN_SECONDS / TICK_SECONDS)):
        now = clock.monotonic()
        while len(live) < count and now - begun >= start_seconds * len(live) / count:
            host = everyone[len(live)]
            live.append(host)
            context = Context(
                host,
                clock,
                random.Random(f"{SEED}{host.name}"),
                store,
                bus.port(host.name),
                MemoryEvents(),
            )
            node = CapsCoordinator(context, lambda: records, lambda: tuple(live))
            running.append(node)
            await node.async_start()
        for node in running:
            node.tick(clock.monotonic())
        bus.deliver_soon()
        await asyncio.sleep(TICK_SECONDS)
        if step % round(1 / TICK_SECONDS) == 0:
            calls = store.reads + store.writes
            most, before = max(most, calls - before), calls
    held = decode_ledger(store.rows[ledger_key(REGION)].value)
    found = Storm(store.reads, store.writes, most, len(held.owners))
    for node in running:
        node.store_task.cancel()
    await asyncio.gather(*(n.store_task for n in running), return_exceptions=True)
    return found
