"""How a large configuration becomes active, and what callers see meanwhile.

Decoding 5,000 routes in one step of the event loop blocked every caller of a host with
0.43 of a core for a tenth of a second, whenever an operator changed one route.
"""

import asyncio
import contextlib
import gc

import pytest
from deployment import async_until
from gateway_world import ZONES, EventLog, async_environment

from greengagepoint.accounts.certainty import NEVER, Proof
from greengagepoint.config.eras import position_of
from greengagepoint.errors import RecordError
from greengagepoint.events import Event
from greengagepoint.routing.tables import CallerLimits, create_route_table
from greengagepoint_node.clock import SystemClock
from greengagepoint_node.gateway.configuration_loader import (
    LARGE_BYTES,
    PARTS_PER_STEP,
    WAITING_VERSIONS_MAX,
    ConfigurationLoader,
)
from greengagepoint_node.gateway.store_types import (
    Changes,
    Configuration,
    RemovedKey,
    ServerEntry,
    Snapshot,
    StoredItem,
)
from greengagepoint_node.gateway.view import FleetView

KEY = "op"
PARTS = 5 * PARTS_PER_STEP
NOW = 50.0


class Decoder:
    """Decode values such as b"7", or b"7 bad 300", whose part 300 is invalid."""

    def __init__(self):
        self.parts_decoded = {}

    def decode_parts(self, item):
        return self.read(item) if item.key == KEY else None

    def read(self, item):
        version, _, bad_at = item.value.decode().strip().partition(" bad ")
        for part in range(PARTS):
            self.parts_decoded[version] = part + 1
            if bad_at and part == int(bad_at):
                raise RecordError("no service", field=KEY)
            yield None
        table = create_route_table(int(version), {}, [], CallerLimits())
        yield Configuration(table)

    def decode(self, item):
        if item.key != KEY:
            return ServerEntry(item.key, "s", "10.0.0.1:1", "zone-a", 4, False, 0.0)
        return next(
            configuration
            for configuration in self.read(item)
            if configuration is not None
        )


class Host:
    """A view and its loader."""

    def __init__(self):
        self.decoder = Decoder()
        self.loader = ConfigurationLoader(self.decoder.decode_parts, SystemClock())
        self.view = FleetView(
            ZONES, self.decoder.decode, EventLog(), loader=self.loader
        )

    @property
    def version(self):
        return self.view.routes.version if self.view.routes else None

    @property
    def rejected(self):
        return len(self.view.events.of(Event.RECORD_REFUSED))

    def apply(self, *changes):
        self.view.apply(Changes(changes, changes[-1].revision), NOW)

    async def async_run_turns(self, turns):
        for _ in range(turns):
            await asyncio.sleep(0)

    async def async_decode_all(self):
        # Only the loader runs; each of its steps takes one turn of the event loop.
        for _ in range(100):
            await asyncio.sleep(0)
            if not self.loader.waiting:
                return
        raise AssertionError("The loader has not finished.")


@pytest.fixture
async def host():
    running = Host()
    task = asyncio.create_task(running.loader.async_run(running.view))
    yield running
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task


def large(value, revision):
    return StoredItem(KEY, value.encode().ljust(LARGE_BYTES), revision)


def small(value, revision):
    return StoredItem(KEY, value.encode(), revision)


async def test_a_small_version_is_active_at_once(host):
    host.apply(small("1", 1))
    assert host.version == 1


async def test_a_large_version_is_decoded_in_short_steps(host):
    host.apply(small("1", 1), large("2", 2))
    before, steps = 0, 0
    while host.version == 1:
        await asyncio.sleep(0)
        read = host.decoder.parts_decoded.get("2", 0)
        assert read - before <= PARTS_PER_STEP
        before, steps = read, steps + 1
    assert host.version == 2
    assert steps >= PARTS // PARTS_PER_STEP
    assert len(host.view.events.of(Event.CONFIGURATION_IN_FORCE)) == 2


@pytest.mark.parametrize("steps_done", [0, 1, 3], ids="{} steps done".format)
async def test_the_newest_version_goes_first_and_older_ones_are_dropped(
    host, steps_done
):
    # An operator corrects a version while hosts decode it. Decoded in order, both would
    # take their full time, and the faulty one would be active in between.
    host.apply(large("1", 1), large("2", 2))
    await host.async_run_turns(steps_done)
    host.apply(large("3", 3))
    await host.async_decode_all()
    assert host.version == 3
    assert len(host.view.events.of(Event.CONFIGURATION_IN_FORCE)) == 1
    assert host.decoder.parts_decoded.get("1", 0) == 0
    assert host.decoder.parts_decoded.get("2", 0) <= steps_done * PARTS_PER_STEP


@pytest.mark.parametrize("bad_at", [0, 1, PARTS // 2, PARTS - 1])
async def test_a_bad_version_leaves_the_last_good_one_active(host, bad_at):
    host.apply(large("1", 1))
    await host.async_decode_all()
    table = host.view.routes
    host.apply(large(f"2 bad {bad_at}", 2))
    await host.async_decode_all()
    assert host.view.routes is table
    assert host.rejected == 1


@pytest.mark.parametrize("steps_done", [0, 3], ids="{} steps done".format)
async def test_a_bad_version_does_not_drop_a_good_one_that_waits(host, steps_done):
    # A good version is being decoded when a bad one arrives. The bad one goes first and
    # is rejected; then the good one must become active, not the one before it.
    host.apply(small("1", 1), large("2", 2))
    await host.async_run_turns(steps_done)
    host.apply(large("3 bad 700", 3))
    await host.async_decode_all()
    assert host.version == 2
    assert host.rejected == 1
    assert host.decoder.parts_decoded["2"] == PARTS


def apply_from_store(host, item):
    host.apply(item)


def apply_from_peer(host, item):
    host.view.apply(Changes((item,), item.revision), NOW, {})


def apply_partial(host, item):
    host.view.apply(Changes((item,), host.view.revision), NOW, {})


def apply_snapshot(host, item):
    host.view.replace(Snapshot((item,), item.revision), NOW)


def apply_late_snapshot(host, item):
    # A range is read page by page, so its items may be older than its revision.
    host.view.replace(Snapshot((item,), host.view.revision + 1), NOW)


WAYS = [
    apply_from_store,
    apply_from_peer,
    apply_partial,
    apply_snapshot,
    apply_late_snapshot,
]


@pytest.mark.parametrize("steps_done", [0, 3, 100], ids="{} steps done".format)
@pytest.mark.parametrize("older_way", WAYS, ids=lambda row: row.__name__)
@pytest.mark.parametrize("newer_way", WAYS[:4], ids=lambda row: row.__name__)
@pytest.mark.parametrize("older", [large, small], ids=lambda row: row.__name__)
@pytest.mark.parametrize("newer", [large, small], ids=lambda row: row.__name__)
async def test_an_older_version_that_arrives_last_does_not_become_active(
    host, newer, older, newer_way, older_way, steps_done
):
    """Guard against a host that keeps a revoked key because it stood still."""
    host.apply(large("1", 1))
    await host.async_decode_all()
    newer_way(host, newer("3", 3))
    await host.async_run_turns(steps_done)
    older_way(host, older("2", 2))
    await host.async_decode_all()
    assert host.version == 3
    assert host.decoder.parts_decoded.get("2", 0) in (0, PARTS)
    assert len(host.view.events.of(Event.CONFIGURATION_IN_FORCE)) == 2
    assert host.view.certainty.active_revision == 3
    (kept,) = host.view.writes[KEY].writes
    assert kept.item.revision == 3


async def test_a_dropped_version_is_logged(host):
    host.apply(large("3", 3))
    host.apply(large("2", 2))
    await host.async_decode_all()
    host.apply(large("1", 1))
    rows = host.view.events.of(Event.CONFIGURATION_DROPPED)
    assert [row["revision"] for row in rows] == [2]
    assert rows[0]["reason"] == "superseded"
    assert (rows[0]["generation_in_force"], rows[0]["revision_in_force"]) == (3, 3)


@pytest.mark.parametrize("steps_done", [0, 3, 100], ids="{} steps done".format)
@pytest.mark.parametrize("older", [large, small], ids=lambda row: row.__name__)
@pytest.mark.parametrize("bad", [large, small], ids=lambda row: row.__name__)
async def test_a_good_version_that_arrives_after_a_newer_bad_one_becomes_active(
    host, bad, older, steps_done
):
    """Guard against a valid version that is taken for superseded by an invalid one."""
    host.apply(small("1", 1))
    host.apply(bad("3 bad 0", 3))
    await host.async_run_turns(steps_done)
    host.apply(older("2", 2))
    await host.async_decode_all()
    assert host.version == 2
    assert host.view.certainty.active_revision == 3


async def test_a_full_queue_drops_the_oldest_version(host):
    """Guard against a queue that drops the newest version because it arrived first."""
    host.apply(large("9", 9))
    host.apply(*(large(str(number), number) for number in range(8, 1, -1)))
    await host.async_decode_all()
    assert host.version == 9
    assert host.decoder.parts_decoded == {"9": PARTS}


@pytest.mark.parametrize("value", ["2", "2 bad 0"])
async def test_a_decoded_version_that_arrives_again_is_not_queued(host, value):
    """Guard against a version that is decoded again after a newer invalid one."""
    host.apply(large("1", 1))
    host.apply(large(value, 2))
    await host.async_decode_all()
    host.apply(large("3 bad 0", 3))
    await host.async_decode_all()
    host.apply(large(value, 2))
    assert not host.loader.waiting


async def test_a_version_that_only_a_peer_has_is_not_confirmed(host):
    """Guard against a host that vouches for a version that it has never received."""
    host.apply(large("1", 1))
    host.view.certainty.take(Proof(2, 0.0), NOW)
    await host.async_decode_all()
    assert host.version == 1
    assert host.view.certainty.active_revision == 1
    assert host.view.certainty.verified_at == NEVER


@pytest.mark.parametrize("size", [large, small], ids=lambda row: row.__name__)
async def test_an_older_version_of_a_restored_store_confirms_nothing(host, size):
    """Guard against a restored store that confirms keys which it doesn't know of."""
    host.apply(size("9", position_of(0, 9)))
    await host.async_decode_all()
    host.view.note_complete(NOW)
    host.view.replace(Snapshot((size("8", position_of(1, 8)),), position_of(1, 8)), NOW)
    await host.async_decode_all()
    host.view.note_complete(NOW + 1.0)
    assert host.version == 9
    assert host.view.certainty.verified_at == NOW
    host.apply(size("9", position_of(1, 10)))
    await host.async_decode_all()
    host.view.note_complete(NOW + 2.0)
    assert host.view.certainty.verified_at == NOW + 2.0


async def test_a_version_of_the_former_era_is_decoded_after_a_restore(host):
    """Guard against a restore that drops a newer version before it is decoded."""
    host.apply(large("9", position_of(0, 9)))
    host.view.replace(
        Snapshot((large("8", position_of(1, 8)),), position_of(1, 8)), NOW
    )
    await host.async_decode_all()
    assert host.version == 9


async def test_a_small_version_waits_its_turn_behind_a_large_one(host):
    host.apply(large("1", 1))
    host.apply(small("2", 2))
    await host.async_decode_all()
    assert host.version == 2
    assert host.decoder.parts_decoded.get("1", 0) == 0


async def test_other_entries_do_not_wait_for_a_large_version(host):
    host.apply(large("1", 1), StoredItem("i-1", b"", 2))
    assert list(host.view.servers.servers) == ["i-1"]
    assert host.version is None


async def test_a_version_that_arrives_twice_is_not_decoded_again(host):
    # The same version arrives from the watcher, by gossip and in a snapshot.
    version = large("1", 1)
    host.apply(version)
    await host.async_run_turns(2)
    read = host.decoder.parts_decoded["1"]
    host.apply(version)
    host.view.replace(Snapshot((version,), 1), NOW)
    await host.async_run_turns(1)
    assert host.decoder.parts_decoded["1"] > read
    await host.async_decode_all()
    host.apply(version)
    assert not host.loader.waiting
    assert len(host.view.events.of(Event.CONFIGURATION_IN_FORCE)) == 1


async def test_a_version_whose_key_is_removed_meanwhile_becomes_active(host):
    # A version that is decoded at once stays active too: removing its key does not
    # deactivate a configuration.
    host.apply(large("1", 1))
    host.apply(RemovedKey(KEY, 2))
    await host.async_decode_all()
    assert host.version == 1


async def test_waiting_versions_are_bounded(host):
    host.apply(*(large(f"{number} bad 0", number) for number in range(1, 10)))
    assert len(host.loader.waiting) == WAITING_VERSIONS_MAX
    await host.async_decode_all()
    assert host.rejected == WAITING_VERSIONS_MAX


async def test_cancelling_the_loader_reports_no_error():
    host = Host()
    errors = []
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, context: errors.append(context))
    task = asyncio.create_task(host.loader.async_run(host.view))
    host.apply(large("1", 1))
    await host.async_run_turns(3)
    task.cancel()
    await asyncio.wait([task])
    assert task.cancelled()
    del task
    await host.async_run_turns(2)
    assert 0 < host.decoder.parts_decoded["1"] < PARTS
    assert not errors
    assert not host.view.events.rows


async def test_callers_are_answered_while_a_version_is_decoded_and_a_stop_cancels_it():
    def endless(item):
        if item.key == KEY:
            while True:
                yield None

    async with async_environment() as world:
        daemon = world.daemon
        daemon.loader.read = endless
        daemon.view.apply(Changes((large("2", 2),), 2), NOW)
        assert daemon.loader.waiting
        assert (await world.async_call("/safe/1"))[0] == 200
        await daemon.async_stop()
        await asyncio.wait(daemon.tasks)
        assert all(task.cancelled() for task in daemon.tasks)
        assert daemon.view.routes.version == 1
        assert not world.events.of(Event.RECORD_REFUSED)


async def test_a_running_host_freezes_loaded_objects_for_the_garbage_collector():
    # A full garbage collection while a version was decoded traversed every object that
    # the process had imported, and blocked all callers meanwhile.
    async with async_environment(servers=1) as world:
        running = asyncio.create_task(world.daemon.stop_wanted.wait())
        world.daemon.async_start = lambda: asyncio.sleep(0)
        world.daemon.async_stop = lambda: running
        before = gc.get_freeze_count()
        run = asyncio.create_task(world.daemon.async_run())
        try:
            await async_until(lambda: gc.get_freeze_count() > before + 1_000)
        finally:
            gc.unfreeze()
            world.daemon.stop_wanted.set()
            await run
