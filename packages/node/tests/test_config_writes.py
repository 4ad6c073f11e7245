"""Test what becomes of operators' changes of the configuration."""

import asyncio
import random
from collections import Counter

import pytest
from config_fleet import Fleet, open_fleet, start, team
from hypothesis import given, settings
from hypothesis import strategies as st

from greengagepoint.config.entries import Entry
from greengagepoint.errors import (
    ErrorKind,
    GreengagepointError,
    StoreOutcomeUnknownError,
)
from greengagepoint.events import Event
from greengagepoint_standins import virtual_time
from greengagepoint_standins.memory_store import StoreFault

FAULTS = st.sampled_from(
    [StoreFault.NONE, StoreFault.DOWN, StoreFault.LOST_REPLY, StoreFault.LATE_WRITE]
)


@pytest.fixture
async def fleet():
    async with open_fleet() as fleet:
        yield fleet


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
