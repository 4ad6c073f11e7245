"""Configuration of several hosts over one store and one bus, in this process."""

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from greengagepoint.config.entries import Change
from greengagepoint.records.loading import RecordDocument
from greengagepoint_node.context import Context
from greengagepoint_node.coordinators.config import ConfigCoordinator
from greengagepoint_standins.memory_fleet import (
    FleetStore,
    ManualClock,
    MemoryBus,
    MemoryEvents,
    make_host,
)

IDLE_TURNS = 30


class Fleet:
    """Coordinators of several hosts over one store and one bus."""

    def __init__(self) -> None:
        self.store = FleetStore()
        self.bus = MemoryBus()
        self.clock = ManualClock()
        self.nodes: dict[str, ConfigCoordinator] = {}

    async def async_add(self, name: str, region: str = "attiki") -> ConfigCoordinator:
        context = Context(
            make_host(name, region),
            self.clock,
            random.Random(name),
            self.store,
            self.bus.port(name),
            MemoryEvents(),
        )
        node = ConfigCoordinator(context, self.live)
        node.in_force.stored.settle_pause_seconds = 0
        self.nodes[name] = node
        await node.async_start()
        return node

    def live(self):
        return [node.context.host for node in self.nodes.values()]

    async def async_settle(self, ticks: int = 3) -> None:
        """Let tasks, ticks and messages run until nothing is left to do."""
        for _ in range(ticks):
            self.clock.now += 1
            for node in self.nodes.values():
                node.tick(self.clock.now)
            await self.async_drain()

    async def async_drain(self) -> None:
        for _ in range(IDLE_TURNS):
            await asyncio.sleep(0)
            self.bus.deliver_round()

    def generations(self) -> set[int]:
        return {node.configuration.generation for node in self.nodes.values()}


@asynccontextmanager
async def open_fleet() -> AsyncIterator[Fleet]:
    """Give a fleet without hosts and stop all that were added."""
    fleet = Fleet()
    yield fleet
    for node in fleet.nodes.values():
        await node.async_stop()


def team(name: str, burst: int = 5, expected: int | None = None) -> Change:
    fields = {"requests_per_second": 10, "burst": burst}
    document = RecordDocument(kind="team", name=name, schema_version=1, fields=fields)
    return Change(
        kind="team", name=name, document=document, expected_generation=expected
    )


async def start(fleet: Fleet, count: int = 4) -> list[ConfigCoordinator]:
    regions = ("attiki", "attiki", "makedonia", "makedonia")
    for index in range(count):
        await fleet.async_add(f"host-{index}", regions[index % 4])
    await fleet.async_settle()
    return list(fleet.nodes.values())
