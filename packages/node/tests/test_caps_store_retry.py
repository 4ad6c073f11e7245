"""Tests of how often hosts try a store that is down."""

import asyncio
import random

import pytest

from greengagepoint.configuration import EMPTY
from greengagepoint.errors import StoreError
from greengagepoint_node.context import Context
from greengagepoint_node.coordinators.caps import CapsCoordinator
from greengagepoint_standins import virtual_time
from greengagepoint_standins.memory_fleet import (
    FleetStore,
    MemoryBus,
    MemoryEvents,
    make_host,
)

OUTAGE_SECONDS = 300


class CountingStore(FleetStore):
    """Count the tries that fail."""

    tries = 0

    async def read(self, key):
        self.tries += 1
        raise StoreError("The store is down.")


async def async_tries(hosts: int) -> int:
    store = CountingStore()
    live = tuple(make_host(f"host-{number}", "region") for number in range(hosts))
    clock = virtual_time.VirtualClock()
    port = MemoryBus().port("host-0")
    context = Context(live[0], clock, random.Random(1), store, port, MemoryEvents())
    node = CapsCoordinator(context, lambda: EMPTY, lambda: live)
    await node.async_start()
    for _ in range(OUTAGE_SECONDS * 4):
        node.tick(clock.monotonic())
        await asyncio.sleep(0.25)
    node.store_task.cancel()
    return store.tries


@pytest.mark.parametrize(
    ("hosts", "least", "most"), [(1, 200, 320), (12, 200, 320), (128, 25, 45)]
)
def test_hosts_of_a_large_region_try_a_failed_store_less_often(hosts, least, most):
    """The store is down for five minutes, and every host's ledger becomes due.

    Few hosts try once a second and are back at once. In a region of hundreds each
    tries less often, so that all together don't bring the store down again.
    """
    assert least <= virtual_time.run(async_tries(hosts)) <= most
