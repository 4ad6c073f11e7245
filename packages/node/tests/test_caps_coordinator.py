"""Caps over a fake bus and a fake store."""

import asyncio
import random
from collections.abc import Callable
from typing import Any

import msgspec
import pytest

from greengagepoint.caps.ledger import (
    Holding,
    Ledger,
    decode_ledger,
    encode_ledger,
    ledger_key,
)
from greengagepoint.configuration import EMPTY, Configuration
from greengagepoint.errors import StoreError, StoreOutcomeUnknownError
from greengagepoint.events import Event
from greengagepoint.hosts import HostIdentity
from greengagepoint.protocols import StoreValue
from greengagepoint.records.schemas import Region, Site
from greengagepoint_node.context import Context
from greengagepoint_node.coordinators.caps import CapsCoordinator
from greengagepoint_node.coordinators.caps_ledger import async_sync

LIMIT = 8


class FakeClock:
    def __init__(self) -> None:
        self.now = 100.0

    def monotonic(self) -> float:
        return self.now

    def wall_milliseconds(self) -> int:
        return 0


class FakeStore:
    def __init__(self) -> None:
        self.values: dict[str, StoreValue] = {}
        self.fault = ""

    async def read(self, key: str) -> StoreValue | None:
        if self.fault == "down":
            raise StoreError("The store is down.")
        return self.values.get(key)

    async def replace(self, key: str, value: bytes, *, revision: int) -> bool:
        if self.fault == "down":
            raise StoreError("The store is down.")
        current = self.values.get(key, StoreValue(key, b"", 0))
        if current.revision != revision:
            return False
        self.values[key] = StoreValue(key, value, revision + 1)
        if self.fault == "lost":
            raise StoreOutcomeUnknownError("The reply was lost.")
        return True


class Bus:
    """Deliver messages at once to those that are up."""

    def __init__(self) -> None:
        self.callbacks: dict[tuple[str, type], Callable[[str, Any], None]] = {}

    def link(self, name: str) -> "Link":
        return Link(self, name)


class Link:
    def __init__(self, bus: Bus, name: str) -> None:
        self.bus = bus
        self.name = name

    def send(self, host: str, message: object) -> bool:
        callback = self.bus.callbacks.get((host, type(message)))
        if callback is not None:
            callback(self.name, message)
        return callback is not None

    def subscribe(
        self, message_type: type, callback: Callable[[str, Any], None]
    ) -> Callable[[], None]:
        self.bus.callbacks[self.name, message_type] = callback
        return lambda: self.bus.callbacks.pop((self.name, message_type), None)


class Events(list):
    def record(self, event: Event, **fields: Any) -> None:
        self.append(event)


CONFIGURATION: Configuration = EMPTY._replace(
    regions={"a": Region(name="a", zones=("x",), capacity=100)},
    sites={"s": Site(name="s", region="a", zone="x", capacity=LIMIT)},
)


class Fleet:
    """Hosts of two regions; only region ``a`` has a site."""

    def __init__(self) -> None:
        self.clock = FakeClock()
        self.store = FakeStore()
        self.bus = Bus()
        self.configuration = CONFIGURATION
        self.nodes: dict[str, CapsCoordinator] = {}
        for name in ("a-1", "a-2", "b-1"):
            self.add(name)

    def add(self, name: str, incarnation: int = 1) -> None:
        """Add a host."""
        host = HostIdentity(name, incarnation, name[0], "x", "", "")
        context = Context(
            host,
            self.clock,
            random.Random(1),
            self.store,
            self.bus.link(name),
            Events(),
        )
        self.nodes[name] = CapsCoordinator(
            context, lambda: self.configuration, self.live
        )

    def live(self) -> list[HostIdentity]:
        return [node.context.host for node in self.nodes.values()]

    async def async_run(self, seconds: float) -> None:
        """Tick and exchange the ledger without the background tasks."""
        for _ in range(round(seconds * 4)):
            self.clock.now += 0.25
            for node in self.nodes.values():
                node.tick(self.clock.now)
                try:
                    await async_sync(node.context, node.table)
                except StoreError:
                    continue


@pytest.fixture
async def fleet() -> Fleet:
    fleet = Fleet()
    for node in fleet.nodes.values():
        await node.async_start()
        await node._async_cancel()
    await fleet.async_run(4)
    return fleet


def take_all(node: CapsCoordinator) -> list:
    permits = []
    while (permit := node.acquire("s", 5.0)) is not None:
        permits.append(permit)
    return permits


async def test_units_reach_a_borrower_in_another_region(fleet: Fleet) -> None:
    borrower = fleet.nodes["b-1"]
    permits = take_all(borrower)
    for _ in range(16):
        await fleet.async_run(0.5)
        permits += take_all(borrower)
    assert len(permits) == LIMIT
    assert [take_all(fleet.nodes[name]) for name in ("a-1", "a-2")] == [[], []]
    for permit in permits:
        borrower.release(permit)
        borrower.release(permit)
    await fleet.async_run(6)
    assert len(take_all(fleet.nodes["a-1"])) >= LIMIT // 2


async def test_waiting_request_gets_a_loan(fleet: Fleet) -> None:
    permit = await fleet.nodes["b-1"].async_acquire("s", 5.0, wait_seconds=5.0)
    assert permit is not None
    assert permit.lender


async def test_waiting_request_gets_a_released_unit(fleet: Fleet) -> None:
    node = fleet.nodes["a-1"]
    permits = take_all(node)
    others = take_all(fleet.nodes["a-2"])
    waiting = asyncio.create_task(node.async_acquire("s", 5.0, wait_seconds=5.0))
    await asyncio.sleep(0)
    node.release(permits[0])
    permit = await waiting
    assert permit is not None
    assert len(permits) + len(others) == LIMIT


async def test_store_outage_leaves_shares_as_they_are(fleet: Fleet) -> None:
    """The store is down for ten minutes; callers see nothing of it.

    The hosts of the region vouch for each other, so each keeps its share.
    """
    fleet.store.fault = "down"
    await fleet.async_run(600)
    assert len(take_all(fleet.nodes["a-1"])) == LIMIT // 2
    assert len(take_all(fleet.nodes["a-2"])) == LIMIT // 2


async def test_pause_fences_until_confirmed(fleet: Fleet) -> None:
    """A process is stopped for 60 s and wakes; callers are refused, not run.

    Its share may belong to others by now. The gap shows at the first request, before
    any tick; after the tick the share comes back only when the others vouch for it.
    """
    node = fleet.nodes["a-1"]
    fleet.clock.now += 60
    assert node.acquire("s", 5.0) is None
    node.tick(fleet.clock.now)
    assert Event.FENCED in node.context.events
    await fleet.async_run(3)
    assert node.acquire("s", 5.0) is not None


@pytest.mark.parametrize("fault", ["", "lost"])
async def test_graceful_stop_hands_over(fleet: Fleet, fault: str) -> None:
    """A host stops, in one case with the reply to its last write lost.

    The other owner has the whole limit soon after, with no quarantine.
    """
    fleet.store.fault = fault
    await fleet.nodes["a-1"].async_stop()
    fleet.store.fault = ""
    del fleet.nodes["a-1"]
    await fleet.async_run(3)
    ledger = decode_ledger(fleet.store.values[ledger_key("a")].value)
    assert list(ledger.owners) == ["a-2#1"]
    assert len(take_all(fleet.nodes["a-2"])) == LIMIT


@pytest.mark.parametrize("later", [False, True])
async def test_restored_ledger_is_refused(fleet: Fleet, later: bool) -> None:
    """The store comes back from a backup of when one host owned half or all.

    A host that starts now knows nothing else; its peers tell it that they have seen a
    later revision, so it claims nothing. If the restored ledger was written to all
    the same, the host refuses the share that it gave away.
    """
    key = ledger_key("a")
    ledger = decode_ledger(fleet.store.values[key].value)
    units = LIMIT if later else LIMIT // 2
    old = msgspec.structs.replace(
        ledger.owners["a-1#1"], shares={"s": Holding(units, LIMIT)}
    )
    revision = fleet.store.values[key].revision
    value = encode_ledger(Ledger({"a-1#1": old}))
    fleet.store.values[key] = StoreValue(key, value, revision + 9 if later else 1)
    fleet.add("a-3")
    newcomer = fleet.nodes["a-3"]
    await newcomer.async_start()
    await asyncio.sleep(0)
    await newcomer._async_cancel()
    await fleet.async_run(2)
    owner = fleet.nodes["a-1"]
    assert Event.STORE_REVERTED in owner.context.events
    assert 0 < owner.table.sites["s"].owned <= LIMIT // 2
    assert newcomer.table.sites["s"].owned == 0
    # All hosts that knew more are replaced: nobody holds units by it any more.
    for name in ("a-1", "a-2"):
        fleet.add(name, incarnation=2)
        await fleet.nodes[name].async_start()
        await fleet.nodes[name]._async_cancel()
    await fleet.async_run(400)
    owned = [node.table.sites["s"].owned for node in fleet.nodes.values()]
    assert sum(owned) == LIMIT
