"""The usage coordinator on a store that fails in each of its ways."""

import random

import pytest

from greengagepoint.errors import StoreError, StoreOutcomeUnknownError
from greengagepoint.events import Event
from greengagepoint.hosts import HostIdentity
from greengagepoint.protocols import StoreSnapshot, StoreValue
from greengagepoint.usage import UsageOutcome
from greengagepoint.usage.messages import Share, ShareAck
from greengagepoint_node.context import Context
from greengagepoint_node.coordinators.usage import UsageCoordinator

HOSTS = [HostIdentity(name, 7, name, f"z{name}", "", "") for name in "abc"]


class World:
    """A clock, a bus that delivers at once, and a store in memory."""

    def __init__(self):
        self.now = 100.0
        self.values, self.revision = {}, 0
        self.fault = None
        self.callbacks, self.live, self.events = {}, list(HOSTS), []

    def monotonic(self):
        return self.now

    def wall_milliseconds(self):
        return 1_790_000_000_000 + int(self.now * 1000)

    async def read(self, key):
        if self.fault == "down":
            raise StoreError("down")
        return self.values.get(key)

    async def read_prefix(self, prefix, *, from_key=None, limit=0):
        await self.read("")
        keys = sorted(key for key in self.values if key >= (from_key or prefix))
        found = tuple(self.values[key] for key in keys[: limit or None])
        return StoreSnapshot(found, self.revision)

    async def replace(self, key, value, *, revision):
        held = self.values.get(key)
        if (held.revision if held else 0) != revision:
            return False
        if self.fault == "refuse":
            raise StoreError("refused")
        self.revision += 1
        self.values[key] = StoreValue(key, value, self.revision)
        if self.fault == "lost":
            raise StoreOutcomeUnknownError("reply lost")
        return True

    async def delete(self, items):
        return tuple(self.values.pop(key, None) is not None for key, _ in items)

    def coordinator(self, host):
        bus = Bus(self, host.name)
        context = Context(host, self, random.Random(1), self, bus, self)
        made = UsageCoordinator(context, lambda: tuple(self.live))
        subscribe = bus.subscribe
        subscribe(Share, made.receive_share)
        subscribe(ShareAck, made.receive_ack)
        return made

    def record(self, event, **fields):
        self.events.append(event)


class Bus:
    def __init__(self, world, name):
        self.world, self.name = world, name

    def send(self, host, message):
        callback = self.world.callbacks.get((host, type(message)))
        if callback:
            callback(self.name, message)
        return bool(callback)

    def subscribe(self, message_type, callback):
        self.world.callbacks[(self.name, message_type)] = callback
        return lambda: self.world.callbacks.pop((self.name, message_type), None)


def count(coordinator, times):
    for _ in range(times):
        coordinator.count("fleet", "booking", UsageOutcome.ANSWERED, 10, 100)


async def billed(coordinator):
    lines = await coordinator.async_report()
    return sum(line["requests"] for line in lines)


@pytest.mark.parametrize("fault", ["down", "refuse", "lost"])
async def test_outage_of_an_hour_loses_and_doubles_nothing(fault):
    """For an hour each write fails, or takes effect while its reply is lost.

    The host counts on and tries again each round; when the store is back, the report
    of another host shows each request once.
    """
    world = World()
    coordinator, other = (world.coordinator(host) for host in HOSTS[:2])
    world.fault = fault
    for _ in range(360):
        world.now += 10.0
        count(coordinator, 1)
        assert not await coordinator.async_write() or fault == "lost"
    world.fault = None
    assert await coordinator.async_write()
    assert await billed(other) == await billed(coordinator) == 360
    assert world.events.count(Event.USAGE_WRITE_FAILED) >= 1


@pytest.mark.parametrize("successor", [True, False])
async def test_holders_write_for_a_host_that_died(successor):
    """A host dies between two writes; it counted 5 more after its last share.

    Both holders write what they hold, at the same time. The bill shows what was
    shared, once, and lacks only the 5.
    """
    world = World()
    made = [world.coordinator(host) for host in HOSTS]
    count(made[0], 20)
    made[0].tick(world.now + 10)
    count(made[0], 5)
    world.live.pop(0)
    if successor:
        world.live.append(HOSTS[0]._replace(incarnation=8))
    world.now += 140.0
    for holder in made[1:] * 2:
        assert await holder.async_write()
    assert [holder.tables.held for holder in made[1:]] == [{}, {}]
    assert await billed(made[1]) == 20


async def test_paused_host_goes_on_after_its_holders_wrote_for_it():
    """A host is paused so long that its holders write for it, and then goes on.

    Its own later writes are merged with theirs: nothing is billed twice.
    """
    world = World()
    made = [world.coordinator(host) for host in HOSTS]
    count(made[0], 20)
    made[0].tick(world.now + 10)
    world.live.pop(0)
    world.now += 140.0
    assert await made[1].async_write()
    world.live.insert(0, HOSTS[0])
    count(made[0], 3)
    made[0].tick(world.now)
    assert await made[0].async_write()
    assert await billed(made[2]) == 23


async def test_stop_writes_or_leaves_all_to_holders():
    world = World()
    made = [world.coordinator(host) for host in HOSTS]
    world.fault = "down"
    count(made[0], 4)
    await made[0].async_stop()
    world.fault = None
    world.live.pop(0)
    world.now += 140.0
    assert await made[2].async_write()
    assert await billed(made[2]) == 4


async def test_garbage_in_the_store_is_reported_and_replaced():
    world = World()
    coordinator = world.coordinator(HOSTS[0])
    count(coordinator, 2)
    assert await coordinator.async_write()
    (key,) = world.values
    world.values[key] = StoreValue(key, b"garbage", 99)
    count(coordinator, 1)
    assert await coordinator.async_write()
    assert Event.STORE_ANSWER_INVALID in world.events
    assert await billed(coordinator) == 3


async def test_report_and_prune_by_day():
    world = World()
    coordinator = world.coordinator(HOSTS[0])
    days = []
    for _ in range(3):
        coordinator.tick(world.now)
        days.append(coordinator.tables.day)
        count(coordinator, 1)
        world.now += 86_400
    assert await coordinator.async_write()
    lines = await coordinator.async_report(days[1], days[1])
    assert [line["day"] for line in lines] == [days[1]]
    assert await coordinator.async_prune(days[2]) == 2
    assert len(world.values) == 1
