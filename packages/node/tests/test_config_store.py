"""Test the configuration while the store is down, damaged or restored."""

import pytest
from config_fleet import Fleet, open_fleet, start, team

from greengagepoint.config.layout import LOG_PREFIX, log_key
from greengagepoint.config.snapshot import SNAPSHOT_ENTRIES
from greengagepoint.errors import (
    ErrorKind,
    GreengagepointError,
)
from greengagepoint.events import Event


@pytest.fixture
async def fleet():
    async with open_fleet() as fleet:
        yield fleet


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
