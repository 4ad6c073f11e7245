"""Run the configuration's coordinators of many hosts in one process."""

import asyncio
import random
from typing import Final

from greengagepoint.hosts import HostIdentity
from greengagepoint_node.context import Context
from greengagepoint_node.coordinators.config import ConfigCoordinator
from greengagepoint_standins import virtual_time
from greengagepoint_standins.memory_fleet import (
    Delivery,
    FleetStore,
    MemoryBus,
    MemoryEvents,
    make_host,
)
from measure.configuration_changes import team_change

NEAR_SECONDS: Final = 0.001
FAR_SECONDS: Final = 0.020
STORE_SECONDS: Final = 0.005
TICK_SECONDS: Final = 0.5
WARM_UP_SECONDS: Final = 12.0
WAIT_SECONDS: Final = 60.0
POLL_SECONDS: Final = 0.001
SEED: Final = 7


class DelayedBus(MemoryBus):
    """Carry messages with the delays between regions, losing some."""

    def __init__(self, seed: int) -> None:
        super().__init__()
        self.random = random.Random(seed)
        self.loss = 0.0
        self.regions: dict[str, str] = {}

    def deliver_later(self, delivery: Delivery) -> None:
        """Deliver one message after its link's delay."""
        if self.random.random() < self.loss:
            return
        near = self.regions[delivery.sender] == self.regions[delivery.recipient]
        delay = NEAR_SECONDS if near else FAR_SECONDS
        asyncio.get_running_loop().call_later(delay, self._deliver, delivery)


class DelayedQueue:
    """Hand each queued message to the bus's timers at once."""

    def __init__(self, bus: DelayedBus) -> None:
        self.bus = bus

    def append(self, delivery: Delivery) -> None:
        """Send one message."""
        self.bus.deliver_later(delivery)


class Fleet:
    """Coordinators of many hosts in one process, in virtual time."""

    def __init__(self, count: int, regions: int) -> None:
        self.store = FleetStore(lambda: STORE_SECONDS)
        self.bus = DelayedBus(SEED)
        self.bus.queue = DelayedQueue(self.bus)
        self.clock = virtual_time.VirtualClock()
        self.hosts = [
            make_host(f"host-{index}", f"region-{index % regions}")
            for index in range(count)
        ]
        self.nodes: list[ConfigCoordinator] = []

    def add(self, host: HostIdentity) -> ConfigCoordinator:
        """Build the coordinator of one host."""
        self.bus.regions[host.name] = host.region
        context = Context(
            host,
            self.clock,
            random.Random(host.name),
            self.store,
            self.bus.port(host.name),
            MemoryEvents(),
        )
        node = ConfigCoordinator(context, lambda: self.hosts)
        self.nodes.append(node)
        return node

    async def async_start(self) -> None:
        """Start all hosts and let them settle."""
        for host in self.hosts:
            await self.add(host).async_start()
        await self.async_run(WARM_UP_SECONDS)

    async def async_stop(self) -> None:
        """Stop all hosts."""
        for node in self.nodes:
            await node.async_stop()

    async def async_run(self, seconds: float) -> None:
        """Let virtual time pass with all ticks, which hosts take at odd moments."""
        end = self.clock.monotonic() + seconds
        while self.clock.monotonic() < end:
            for node in self.nodes:
                node.tick(self.clock.monotonic())
            await asyncio.sleep(TICK_SECONDS)

    async def async_change(self, number: int) -> float:
        """Apply a change; return seconds from accepted to in force everywhere."""
        writer = self.nodes[number % len(self.nodes)]
        await writer.async_apply([team_change(number)], "operator")
        accepted = self.clock.monotonic()
        ticks_at = accepted
        while any(node.log.digest != writer.log.digest for node in self.nodes):
            if self.clock.monotonic() >= ticks_at:
                ticks_at += TICK_SECONDS
                for node in self.nodes:
                    node.tick(self.clock.monotonic())
            if self.clock.monotonic() > accepted + WAIT_SECONDS:
                break
            await asyncio.sleep(POLL_SECONDS)
        return self.clock.monotonic() - accepted
