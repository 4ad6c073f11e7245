"""Hosts that follow a store which was restored from an older copy."""

import asyncio
import base64
import contextlib
import random

import msgspec
import pytest

from greengagepoint.config.eras import era_of
from greengagepoint_node.clock import SystemClock
from greengagepoint_node.gateway.follower import HostRegistration, StoreFollower
from greengagepoint_node.gateway.news_ages import ViewFreshnessTracker
from greengagepoint_node.gateway.store_types import HostEntry, Snapshot
from greengagepoint_node.gateway.view import FleetView
from greengagepoint_platform.decoding import decode_item
from greengagepoint_platform.store import StoreClient
from greengagepoint_standins.users_platform.store import PlatformStore

ZONES = {"z-a": "north", "z-b": "south"}
# Users expect a change in force within 2 s of its acknowledgement.
IN_FORCE_SECONDS = 2.0
# Until then, a removal may be an entry that the store forgot and that is written again.
WRITTEN_AGAIN_SECONDS = 2.0
WRITES_LOST = 30


class Events:
    """Keep no events."""

    def record(self, event, **fields):
        pass


class Watcher:
    """The peers of a host that watches the store for its region."""

    is_watcher = True

    def __init__(self, clock):
        self.ages = ViewFreshnessTracker(clock)

    def must_watch(self):
        return True

    def link_is_full(self):
        return False

    def confirm(self, before, seconds_ago):
        self.ages.record_store_read(seconds_ago)


class Host:
    """A host's view, fed by a store that its operator and servers write to."""

    def __init__(self, store, view):
        self.store = store
        self.view = view

    def put(self, key, document):
        value = msgspec.json.encode(document)
        self.store.items.put(key, base64.b64encode(value).decode())

    def configure(self, version):
        clusters = [{"name": "booking"}]
        document = {"version": f"r{version}", "listeners": [], "clusters": clusters}
        self.put("op/config", document)

    def enter(self, name, state="ready", zone="z-a", **fields):
        number = int(name.removeprefix("i-"))
        self.put(
            f"servers/{name}",
            {
                "service": "booking",
                "address": f"10.0.0.{number}:8080",
                "zone": zone,
                "version": "1",
                "slots": 4,
                "state": state,
                "coldLeftS": 0,
                "sequence": 1,
                **fields,
            },
        )

    def evacuate(self, zone):
        self.put(f"op/evacuate/{zone}", {})

    @property
    def members(self):
        rows = self.view.servers.members.values()
        return {server.instance for row in rows for server in row.servers}

    @property
    def version(self):
        return self.view.routes.version if self.view.routes else 0

    async def async_until(self, condition, seconds=IN_FORCE_SECONDS):
        async with asyncio.timeout(seconds):
            while not condition(self):
                self.view.tick(self.view.clock.monotonic())
                await asyncio.sleep(0.01)

    async def async_hold(self, condition, seconds=1.0):
        """Check a condition all the while."""
        ends_at = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < ends_at:
            assert condition(self)
            self.view.tick(self.view.clock.monotonic())
            await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def async_host(servers=3):
    store = PlatformStore()
    await store.async_start()
    client, clock = StoreClient(store.address), SystemClock()
    view = FleetView(ZONES, decode_item, Events())
    view.clock = clock
    host = Host(store, view)
    host.configure(1)
    for number in range(1, servers + 1):
        host.enter(f"i-{number}")
    follower = StoreFollower(
        client, view, clock, random.Random(1), Events(), Watcher(clock)
    )
    task = asyncio.create_task(follower.async_run())
    try:
        await host.async_until(lambda host: len(host.members) == servers)
        yield host
    finally:
        task.cancel()
        await client.async_close()
        await store.async_stop()


async def async_restore(host, lost_writes=WRITES_LOST):
    """Write and forget; return once the host knows what is forgotten."""
    copy = host.store.items.copy()
    for number in range(lost_writes):
        host.put("hosts/other", {"number": number})
    revision = host.store.items.revision
    await host.async_until(lambda host: host.view.revision >= revision)
    host.store.items.restore(copy)


CHANGES = {
    "configuration": (lambda host: host.configure(2), lambda host: host.version == 2),
    "leaving server": (
        lambda host: host.enter("i-1", "draining"),
        lambda host: "i-1" not in host.members,
    ),
    "removed server": (
        lambda host: host.store.items.remove("servers/i-1"),
        lambda host: "i-1" not in host.members,
    ),
    "new server": (lambda host: host.enter("i-9"), lambda host: "i-9" in host.members),
    "evacuation": (lambda host: host.evacuate("z-a"), lambda host: not host.members),
}


@pytest.mark.parametrize("change", CHANGES)
@pytest.mark.parametrize("seconds", [0.0, 1.5], ids=["at once", "later"])
async def test_changes_written_after_a_restore_are_in_force_in_time(change, seconds):
    write, is_in_force = CHANGES[change]
    async with async_host() as host:
        await async_restore(host)
        await asyncio.sleep(seconds)
        write(host)
        may_be_forgotten = change == "removed server" and not seconds
        extra = WRITTEN_AGAIN_SECONDS if may_be_forgotten else 0.0
        await host.async_until(is_in_force, IN_FORCE_SECONDS + extra)


@pytest.mark.parametrize("change", CHANGES)
async def test_a_revision_given_out_again_hides_no_change(change):
    write, is_in_force = CHANGES[change]
    async with async_host() as host:
        await async_restore(host, lost_writes=2)
        write(host)
        for number in range(3):
            host.put("hosts/other", {"number": number})
        await host.async_until(is_in_force, IN_FORCE_SECONDS + WRITTEN_AGAIN_SECONDS)


FORGOTTEN = {
    "leaving server": (
        lambda host: None,
        lambda host: host.enter("i-1", "draining"),
        lambda host: "i-1" not in host.members,
    ),
    "removed server": (
        lambda host: None,
        lambda host: host.store.items.remove("servers/i-1"),
        lambda host: "i-1" not in host.members,
    ),
    "new server": (
        lambda host: None,
        lambda host: host.enter("i-9"),
        lambda host: "i-9" in host.members,
    ),
    "evacuation": (
        lambda host: None,
        lambda host: host.evacuate("z-a"),
        lambda host: not host.members,
    ),
    "end of an evacuation": (
        lambda host: host.evacuate("z-a"),
        lambda host: host.store.items.remove("op/evacuate/z-a"),
        lambda host: bool(host.members),
    ),
    "configuration": (
        lambda host: None,
        lambda host: host.configure(2),
        lambda host: host.version == 2,
    ),
}


@pytest.mark.parametrize("word", FORGOTTEN)
async def test_what_a_restored_store_forgot_holds_until_it_is_written_again(word):
    prepare, write, is_in_force = FORGOTTEN[word]
    async with async_host() as host:
        prepare(host)
        revision = host.store.items.revision
        await host.async_until(lambda host: host.view.revision >= revision)
        copy = host.store.items.copy()
        write(host)
        await host.async_until(is_in_force)
        host.store.items.restore(copy)
        await host.async_until(lambda host: era_of(host.view.revision) == 1)
        await host.async_hold(is_in_force)
        write(host)
        await host.async_hold(is_in_force, 2.0)


async def test_a_store_that_never_gets_an_evacuation_back_ends_it():
    async with async_host() as host:
        copy = host.store.items.copy()
        host.evacuate("z-a")
        await host.async_until(lambda host: not host.members)
        host.store.items.restore(copy)
        await host.async_until(
            lambda host: bool(host.members), IN_FORCE_SECONDS + WRITTEN_AGAIN_SECONDS
        )


async def test_a_server_that_registers_again_after_a_restore_is_used():
    async with async_host() as host:
        copy = host.store.items.copy()
        host.store.items.remove("servers/i-1")
        await host.async_until(lambda host: "i-1" not in host.members)
        host.store.items.restore(copy)
        await host.async_until(lambda host: era_of(host.view.revision) == 1)
        await host.async_hold(lambda host: "i-1" not in host.members)
        host.enter("i-1", sequence=7)
        await host.async_until(lambda host: "i-1" in host.members)


async def test_a_host_entry_is_written_again_although_its_lease_is_in_the_copy():
    store = PlatformStore()
    await store.async_start()
    client = StoreClient(store.address)
    era = 0
    entry = HostEntry("h1", "north", "z-a", "10.0.0.1:1", "10.0.0.1:2")
    registration = HostRegistration(
        client, entry, random.Random(1), Events(), lambda: era
    )
    try:
        lease = await client.async_grant_lease(60.0)
        copy = store.items.copy()
        await client.async_put([entry], lease)
        registration.lease = lease
        store.items.restore(copy)
        era = 1
        await registration._async_step()
        assert "hosts/h1" in store.items.items
    finally:
        await client.async_close()
        await store.async_stop()


async def test_peers_that_follow_no_store_get_the_new_era_from_one_that_does():
    async with async_host() as host:
        other = FleetView(ZONES, decode_item, Events())
        snapshot = host.view.changes_after(0)
        other.replace(snapshot, 0.0)
        host.evacuate("z-b")
        await async_restore(host)
        host.configure(2)
        await host.async_until(lambda host: host.version == 2)
        missing = host.view.changes_after(other.revision)
        assert isinstance(missing, Snapshot)
        other.replace(missing, 0.0, {})
        assert other.revision == host.view.revision
        assert other.routes.version == 2


async def test_a_store_that_forgot_the_configuration_proves_nothing_until_it_is_back():
    async with async_host() as host:
        copy = host.store.items.copy()
        host.configure(2)
        await host.async_until(lambda host: host.version == 2)
        host.store.items.restore(copy)
        await host.async_until(lambda host: era_of(host.view.revision) == 1)
        verified_at = host.view.certainty.verified_at
        await host.async_hold(
            lambda host: host.view.certainty.verified_at == verified_at, 1.5
        )
        host.configure(2)
        await host.async_until(
            lambda host: host.view.certainty.verified_at > verified_at
        )
