"""The store client against the stand-in, in normal operation and during outages."""

import asyncio
import base64
import contextlib

import pytest
from large_values import SLOW_BYTES_PER_SECOND, configuration

from greengagepoint.config.eras import position_of
from greengagepoint.errors import StoreError, StoreOutcomeUnknownError
from greengagepoint_node.gateway.store_types import (
    HistoryLostError,
    HostEntry,
    LeaseLostError,
    Part,
    RemovedKey,
)
from greengagepoint_platform import store as module
from greengagepoint_platform.store import StoreClient
from greengagepoint_standins.relay import Relay, SlowLink
from greengagepoint_standins.users_platform.store import PlatformStore

ENTRY = HostEntry("h1", "north", "z", "10.0.0.1:1", "10.0.0.1:2")


@contextlib.asynccontextmanager
async def async_client():
    store = PlatformStore()
    await store.async_start()
    client = StoreClient(store.address)
    try:
        yield client, store
    finally:
        await client.async_close()
        await store.async_stop()


def put(store, key, text):
    store.items.put(key, base64.b64encode(text.encode()).decode())


async def test_a_snapshot_reads_all_pages():
    async with async_client() as (client, store):
        for number in range(1_200):
            put(store, f"servers/i-{number}", str(number))
        snapshot = await client.async_snapshot()
        assert len(snapshot.items) == 1_200
        assert snapshot.revision == 1_200
        assert {item.value for item in snapshot.items} == {
            str(number).encode() for number in range(1_200)
        }


async def test_a_watch_waits_for_changes_and_removals():
    async with async_client() as (client, store):
        put(store, "op/config", "one")
        watch = asyncio.create_task(client.async_changes(1, 5.0))
        await asyncio.sleep(0.05)
        put(store, "op/config", "two")
        changes = await watch
        assert [(row.key, row.value) for row in changes.changes] == [
            ("op/config", b"two")
        ]
        store.items.remove("op/config")
        changes = await client.async_changes(changes.revision, 5.0)
        assert changes.changes == (RemovedKey("op/config", 3),)


@pytest.mark.parametrize(
    ("part", "key"),
    [(Part.SERVERS, "servers/i-1"), (Part.EVACUATIONS, "op/evacuate/zone-a")],
)
async def test_a_watch_of_a_part_returns_only_changes_of_that_part(part, key):
    async with async_client() as (client, store):
        put(store, "op/config", "large")
        put(store, "servers/i-1", "draining")
        put(store, "op/evacuate/zone-a", "")
        changes = await client.async_changes(0, 0.0, part)
        assert [row.key for row in changes.changes] == [key]
        assert changes.revision == 3
        assert not (await client.async_changes(3, 0.0, part)).changes


async def test_a_watch_without_changes_returns_after_its_wait():
    async with async_client() as (client, _):
        assert (await client.async_changes(0, 0.1)).changes == ()


async def test_a_watch_from_a_compacted_revision_raises_history_lost():
    async with async_client() as (client, store):
        put(store, "a", "1")
        store.items.compact()
        with pytest.raises(HistoryLostError):
            await client.async_changes(0, 1.0)


async def test_a_host_entry_lasts_as_long_as_its_lease():
    async with async_client() as (client, store):
        lease = await client.async_grant_lease(3.0)
        await client.async_put([ENTRY], lease)
        await client.async_renew_lease(lease)
        assert "hosts/h1" in store.items.items
        await client.async_end_lease(lease)
        assert "hosts/h1" not in store.items.items
        with pytest.raises(LeaseLostError):
            await client.async_renew_lease(lease)
        with pytest.raises(LeaseLostError):
            await client.async_put([ENTRY], lease)


@pytest.mark.parametrize("status", [503, 429, 500])
async def test_an_error_status_of_the_store_raises_store_error(status):
    async with async_client() as (client, store):
        store.control.status = status
        with pytest.raises(StoreError, match=str(status)):
            await client.async_snapshot()


async def test_a_write_whose_answer_is_lost_has_an_unknown_outcome():
    async with async_client() as (client, store):
        store.control.lost_writes = True
        with pytest.raises(StoreOutcomeUnknownError):
            await client.async_grant_lease(3.0)
        assert store.items.leases


async def test_a_call_to_a_store_that_does_not_answer_times_out(monkeypatch):
    monkeypatch.setattr(module, "CALL_SECONDS", 0.1)
    async with async_client() as (client, store):
        store.control.hangs = True
        with pytest.raises(StoreError, match="TimeoutError"):
            await client.async_snapshot()


async def test_a_large_value_is_read_completely_over_a_slow_link():
    # The store starts to send a large value at once, over a host's link of 5 Mbit/s.
    # The answer arrives without a pause but takes longer than the call timeout. If that
    # limited the whole answer, each attempt would time out, and the host would treat
    # the store as unavailable.
    store = PlatformStore()
    await store.async_start()
    relay = Relay(store.address, back=SlowLink(SLOW_BYTES_PER_SECOND))
    await relay.async_open()
    client = StoreClient(relay.address)
    value = configuration(8)
    try:
        put(store, "op/config", value.decode())
        snapshot = await client.async_snapshot()
        assert [item.value for item in snapshot.items] == [value]
        changes = await client.async_changes(0, 1.0)
        assert [item.value for item in changes.changes] == [value]
    finally:
        await client.async_close()
        await relay.async_cut()
        await store.async_stop()


async def test_the_age_of_a_snapshot_is_counted_from_its_first_page():
    # The store is slow, and its second page starts late. A configuration on the first
    # page may have been replaced by then; counted as fresh, it would be sent to the
    # whole region as the newest.
    async with async_client() as (client, store):
        for number in range(600):
            put(store, f"servers/i-{number}", str(number))
        store.control.page_seconds = 0.3
        snapshot = await client.async_snapshot()
        assert len(snapshot.items) == 600
        assert snapshot.arriving_seconds >= 0.3


async def test_a_watch_that_was_open_through_a_restore_raises_history_lost():
    async with async_client() as (client, store):
        put(store, "a", "1")
        copy = store.items.copy()
        put(store, "a", "2")
        watch = asyncio.create_task(client.async_changes(2, 5.0))
        await asyncio.sleep(0.05)
        store.items.restore(copy)
        put(store, "a", "3")
        with pytest.raises(HistoryLostError):
            await watch
        # The revision 2 was given out again, and stands for another write.
        with pytest.raises(HistoryLostError):
            await client.async_changes(1, 0.0)


async def test_a_snapshot_with_pages_of_two_eras_raises_history_lost():
    async with async_client() as (client, store):
        for number in range(600):
            put(store, f"servers/i-{number}", "x")
        store.control.page_seconds = 0.1
        copy = store.items.copy()
        snapshot = asyncio.create_task(client.async_snapshot())
        await asyncio.sleep(0.15)
        store.items.restore(copy)
        with pytest.raises(HistoryLostError):
            await snapshot


async def test_positions_rise_over_restores_although_revisions_go_back():
    async with async_client() as (client, store):
        copy = store.items.copy()
        positions = []
        for _ in range(3):
            put(store, "a", "1")
            snapshot = await client.async_snapshot()
            positions.append(snapshot.revision)
            assert snapshot.items[0].revision == snapshot.revision
            store.items.restore(copy)
        assert positions == [position_of(era, 1) for era in range(3)]
        assert positions == sorted(positions)
