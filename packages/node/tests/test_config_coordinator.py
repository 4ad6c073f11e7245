"""Test the configuration's way through the store and between hosts."""

import asyncio
import random
from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from greengagepoint.config.entries import Change, Entry
from greengagepoint.config.layout import LOG_PREFIX, log_key
from greengagepoint.config.snapshot import SNAPSHOT_ENTRIES
from greengagepoint.errors import (
    ErrorKind,
    GreengagepointError,
    StoreOutcomeUnknownError,
)
from greengagepoint.events import Event
from greengagepoint.records.loading import RecordDocument
from greengagepoint_node.context import Context
from greengagepoint_node.coordinators.config import ConfigCoordinator
from greengagepoint_standins import virtual_time
from greengagepoint_standins.memory_fleet import (
    FleetStore,
    ManualClock,
    MemoryBus,
    MemoryEvents,
    make_host,
)
from greengagepoint_standins.memory_store import StoreFault

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


@pytest.fixture
async def fleet():
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


async def test_change_is_in_force_everywhere(fleet):
    nodes = await start(fleet, 8)
    seen = []
    unsubscribe = nodes[5].on_change(lambda configuration: seen.append(configuration))
    entry = await nodes[0].async_apply([team("booking"), team("records")], "maria")
    await fleet.async_drain()
    assert fleet.generations() == {entry.generation} == {1}
    assert [set(configuration.teams) for configuration in seen] == [
        {"booking", "records"}
    ]
    assert nodes[7].history(5)[0].author == "maria"
    assert [stored.generation for stored in nodes[7].documents()] == [1, 1]
    unsubscribe()
    await nodes[0].async_apply([team("booking", 6)], "maria")
    await fleet.async_drain()
    assert len(seen) == 1


async def test_lost_reply_is_settled_by_reading_back(fleet):
    """The write takes effect, its reply is lost.

    The operator sees one success: the coordinator reads the generation back and
    finds its own write id. Nothing is written twice.
    """
    nodes = await start(fleet)
    fleet.store.write_faults.append(StoreFault.LOST_REPLY)
    entry = await nodes[0].async_apply([team("booking")], "maria")
    assert entry.generation == 1
    assert nodes[0].context.events.count(Event.STORE_WRITE_SETTLED) == 1
    assert fleet.store.writes == 1


async def test_write_that_did_not_take_effect_is_offered_again(fleet):
    """The write is lost on its way, as is word of it.

    The key is absent, so the same bytes are offered again; the operator sees one
    success and the log holds one entry.
    """
    nodes = await start(fleet)
    fleet.store.write_faults.extend([StoreFault.LATE_WRITE] * 2)
    entry = await nodes[0].async_apply([team("booking")], "maria")
    assert (entry.generation, nodes[0].configuration.generation) == (1, 1)


async def test_unsettled_write_is_told_and_can_be_repeated(fleet):
    """The write takes effect, then the store goes down before it can be read.

    The operator is told that the outcome is unknown, with the write id. Repeating
    with that id once the store is back returns the entry and writes nothing more.
    """
    nodes = await start(fleet)
    fleet.store.write_faults.append(StoreFault.LOST_REPLY)

    def lose_the_store():
        asyncio.get_running_loop().call_soon(setattr, fleet.store, "down", True)

    fleet.store.before_write = lose_the_store
    with pytest.raises(StoreOutcomeUnknownError, match="write-1"):
        await nodes[0].async_apply([team("booking")], "maria", "write-1")
    fleet.store.before_write = lambda: None
    fleet.store.down = False
    writes = fleet.store.writes
    entry = await nodes[0].async_apply([team("booking")], "maria", "write-1")
    assert (entry.generation, entry.write_id) == (1, "write-1")
    assert fleet.store.writes == writes


@pytest.mark.parametrize(
    ("first", "second", "generations", "kind"),
    [
        ("booking", "records", {2}, None),
        ("booking", "booking", {1}, ErrorKind.RECORD_CONFLICT),
    ],
)
async def test_racing_operators(fleet, first, second, generations, kind):
    """Two operators write at the same moment through two hosts.

    One takes generation 1; the other reads it and builds on it. On different
    records both land; on the same one the later is told who, when and what.
    """
    nodes = await start(fleet)
    results = await asyncio.gather(
        nodes[0].async_apply([team(first, 5)], "maria"),
        nodes[3].async_apply([team(second, 6)], "nikos"),
        return_exceptions=True,
    )
    errors = [result for result in results if isinstance(result, Exception)]
    await fleet.async_drain()
    assert fleet.generations() == generations
    assert [error.kind for error in errors] == ([kind] if kind else [])
    for error in errors:
        assert "by maria at 2027-01-15" in error.detail
        assert "generation 1" in error.detail
        assert error.field == "burst"


async def test_start_from_peers_while_the_store_is_down(fleet):
    """The store is down and a host is replaced.

    The new host asks a peer within a tick and has the configuration without the
    store; an operator's write is refused as not run.
    """
    nodes = await start(fleet)
    await nodes[0].async_apply([team("booking")], "maria")
    fleet.store.down = True
    new = await fleet.async_add("host-new", "makedonia")
    await fleet.async_settle()
    assert new.is_loaded
    assert new.configuration.teams["booking"].burst == 5
    with pytest.raises(GreengagepointError) as caught:
        await new.async_apply([team("records")], "maria")
    assert caught.value.kind is ErrorKind.STORE_UNAVAILABLE


async def test_broken_watches_are_opened_again(fleet):
    """All watches break and, for good measure, all links between hosts are cut.

    The watchers, here two hosts of each region, open their watches again with
    backoff and get the next change from the store alone.
    """
    nodes = await start(fleet)
    fleet.bus.cut = lambda sender, recipient: True
    fleet.store.fail_watches()
    await fleet.async_drain()
    assert not fleet.store.watches
    await fleet.async_settle(5)
    await nodes[0].async_apply([team("booking")], "maria")
    await fleet.async_drain()
    assert fleet.generations() == {1}


async def test_damaged_entry_stops_the_log(fleet):
    """Generation 2 in the store is damaged; a host starts and an operator writes.

    All hosts stay at generation 1, say so once, and refuse to write. When the
    damaged key is deleted the next write takes its place.
    """
    nodes = await start(fleet)
    await nodes[0].async_apply([team("booking")], "maria")
    await fleet.store.create([(log_key(2), b"damaged")])
    fleet.bus.cut = lambda sender, recipient: "host-new" in (sender, recipient)
    nodes.append(await fleet.async_add("host-new"))
    await fleet.async_settle()
    assert fleet.generations() == {1}
    fleet.bus.cut = lambda sender, recipient: False
    await fleet.async_settle(40)
    for _ in range(2):
        with pytest.raises(GreengagepointError) as caught:
            await nodes[4].async_apply([team("records")], "nikos")
        assert caught.value.kind is ErrorKind.STORE_ANSWER_INVALID
    assert nodes[4].context.events.count(Event.STORE_ANSWER_INVALID) == 1
    del fleet.store.rows[log_key(2)]
    await nodes[4].async_apply([team("records")], "nikos")
    await fleet.async_drain()
    assert fleet.generations() == {2}


async def test_new_host_does_not_begin_a_second_history(fleet):
    """The store went back to generation 1 and a host starts, cut from all peers.

    It sees a whole history and can't know that it is old, so it refuses to write
    until a peer has answered; then it has generation 2 and the store as well.
    """
    nodes = await start(fleet)
    await nodes[0].async_apply([team("booking")], "maria")
    old = fleet.store.backup()
    await nodes[0].async_apply([team("booking", 9)], "maria")
    fleet.store.restore(old)
    fleet.bus.cut = lambda sender, recipient: "host-new" in (sender, recipient)
    new = await fleet.async_add("host-new")
    await fleet.async_settle()
    assert new.configuration.generation == 1
    with pytest.raises(GreengagepointError) as caught:
        await new.async_apply([team("records")], "nikos")
    assert caught.value.kind is ErrorKind.NOT_READY
    fleet.bus.cut = lambda sender, recipient: False
    await fleet.async_settle(40)
    entry = await new.async_apply([team("records")], "nikos")
    assert entry.generation == 3
    assert new.configuration.teams["booking"].burst == 9


async def test_old_read_never_takes_the_configuration_back(fleet):
    """A lagging replica of the store answers with an old read.

    The hosts keep what is in force and say so; writes are refused until the store
    holds the known head again, and then work.
    """
    nodes = await start(fleet)
    await nodes[0].async_apply([team("booking")], "maria")
    old = fleet.store.backup()
    await nodes[0].async_apply([team("booking", 9)], "maria")
    await fleet.async_drain()
    fleet.store.old_view = old
    with pytest.raises(GreengagepointError) as caught:
        await nodes[1].async_apply([team("records")], "nikos")
    assert caught.value.kind is ErrorKind.STORE_REVERTED
    assert nodes[1].context.events.count(Event.STORE_REVERTED) == 1
    assert fleet.generations() == {2}
    fleet.store.old_view = None
    await nodes[1].async_apply([team("records")], "nikos")
    await fleet.async_drain()
    assert fleet.generations() == {3}
    assert nodes[2].configuration.teams["booking"].burst == 9


async def test_snapshots_bound_the_log_in_the_store(fleet):
    """Many changes are made; then a host starts with nothing, without peers.

    The log below the last snapshots is cut, the new host reads a snapshot and the
    entries after it, and a wiped store is filled again from a snapshot.
    """
    nodes = await start(fleet, 2)
    for burst in range(1, 3 * SNAPSHOT_ENTRIES + 10):
        await nodes[0].async_apply([team("booking", burst)], "maria")
    await fleet.async_drain()
    entries = [key for key in fleet.store.rows if key.startswith(LOG_PREFIX)]
    assert len(entries) <= 2 * SNAPSHOT_ENTRIES
    fleet.store.restore({})
    await fleet.async_settle(40)
    other = Fleet()
    other.store.restore(fleet.store.rows)
    new = await other.async_add("host-new")
    await other.async_drain()
    assert new.log.digest == nodes[1].log.digest
    assert new.configuration == nodes[1].configuration
    await new.async_stop()


@pytest.mark.parametrize("kept", [0, 1, 2])
async def test_restored_store_is_repaired_from_the_hosts(fleet, kept):
    """The store is restored from a backup that lacks the last generations.

    No host goes back. The watchers see it at their next check and append what is
    missing from their tails, after which operators can write again.
    """
    nodes = await start(fleet)
    backups = [fleet.store.backup()]
    for burst in (5, 6, 7):
        await nodes[0].async_apply([team("booking", burst)], "maria")
        backups.append(fleet.store.backup())
    await fleet.async_drain()
    fleet.store.restore(backups[kept])
    await fleet.async_settle(40)
    assert fleet.generations() == {3}
    entry = await nodes[3].async_apply([team("records")], "nikos")
    assert entry.generation == 4


@pytest.mark.parametrize("names", [["one"], ["one", "two", "three"]])
async def test_store_with_another_history_is_refused(fleet, names):
    """The store is wiped and someone begins a second history in it.

    The hosts keep theirs, report it, and refuse to write or to repair: joining
    two histories would undo accepted changes of one.
    """
    nodes = await start(fleet)
    await nodes[0].async_apply([team("booking")], "maria")
    await nodes[0].async_apply([team("booking", 6)], "maria")
    await fleet.async_drain()
    other = Fleet()
    stranger = await other.async_add("stranger")
    for name in names:
        await stranger.async_apply([team(name)], "eve")
    await stranger.async_stop()
    fleet.store.restore(other.store.rows)
    await fleet.async_settle(40)
    assert fleet.generations() == {2}
    assert nodes[1].configuration.teams["booking"].burst == 6
    with pytest.raises(GreengagepointError) as caught:
        await nodes[1].async_apply([team("records")], "nikos")
    assert caught.value.kind is ErrorKind.STORE_REVERTED
    assert len(fleet.store.rows) == len(names)


FAULTS = st.sampled_from(
    [StoreFault.NONE, StoreFault.DOWN, StoreFault.LOST_REPLY, StoreFault.LATE_WRITE]
)


@settings(max_examples=25)
@given(
    st.integers(min_value=0, max_value=10**6),
    st.lists(FAULTS, max_size=12),
    st.lists(st.sampled_from("abc"), min_size=2, max_size=8),
)
def test_racing_writers_with_lost_and_late_writes(seed, faults, names):
    """Operators write through four hosts at once; the store is slow and loses.

    Writes fail, take effect without a reply, or arrive three seconds late. Each
    that was accepted stands in the log once, none that was refused does, and all
    hosts end with the same history.
    """

    async def async_run():
        fleet = Fleet()
        rng = random.Random(seed)
        fleet.store.delay = lambda: rng.random() / 5
        nodes = await start(fleet)
        await asyncio.sleep(2)
        await fleet.async_drain()
        fleet.store.write_faults.extend(faults)
        results = await asyncio.gather(
            *(
                nodes[index % 4].async_apply([team(name, 5 + index)], "op", f"w{index}")
                for index, name in enumerate(names)
            ),
            return_exceptions=True,
        )
        await asyncio.sleep(10)
        await fleet.async_settle(15)
        written = Counter(entry.write_id for entry in nodes[0].history(len(names) + 1))
        assert {node.log.digest for node in nodes} == {nodes[0].log.digest}
        assert len(written) == nodes[0].log.generation
        for index, result in enumerate(results):
            if isinstance(result, Entry):
                assert written[f"w{index}"] == 1
            elif isinstance(result, StoreOutcomeUnknownError):
                assert written[f"w{index}"] <= 1
            else:
                assert isinstance(result, GreengagepointError)
                assert written[f"w{index}"] == 0
        for node in nodes:
            await node.async_stop()

    virtual_time.run(async_run())
