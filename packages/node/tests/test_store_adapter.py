"""Test the store's adapter against the stand-in store over real sockets."""

import asyncio
from collections import Counter
from contextlib import aclosing

import aiohttp
import pytest
import pytest_asyncio

from greengagepoint.errors import ErrorKind, Ran, StoreError, StoreOutcomeUnknownError
from greengagepoint.protocols import StoreValue
from greengagepoint_node.store import create_store
from greengagepoint_node.store_keys import prefix_end
from greengagepoint_node.store_messages import MAX_ITEMS_A_CALL
from greengagepoint_standins.server import Down
from greengagepoint_standins.store import async_start_store

TIMEOUT_SECONDS = 30.0
SHORT_TIMEOUT_SECONDS = 0.2
# Ends a test that would otherwise wait for ever; no test waits for it to pass.
GUARD_SECONDS = 60.0


@pytest_asyncio.fixture
async def platform():
    stand_in = await async_start_store()
    yield stand_in
    await stand_in.async_stop()


@pytest_asyncio.fixture
async def session():
    async with aiohttp.ClientSession() as session:
        yield session


@pytest.fixture
def store(platform, session):
    return create_store(platform.address, session, timeout_seconds=TIMEOUT_SECONDS)


def guarded(awaitable):
    return asyncio.wait_for(awaitable, GUARD_SECONDS)


WRITES = {
    "create": lambda store: store.create([("a", b"1")]),
    "create_next": lambda store: store.create_next("a", b"1", after=None),
    "replace": lambda store: store.replace("a", b"1", revision=0),
    "delete": lambda store: store.delete([("a", 0)]),
    "grant_lease": lambda store: store.grant_lease(5),
}
READS = {
    "read": lambda store: store.read("a"),
    "read_prefix": lambda store: store.read_prefix("a"),
    "keep_lease": lambda store: store.keep_lease(1),
    "watch": lambda store: anext(store.watch("a", revision=1)),
}


async def test_create_tells_for_each_key(store):
    await store.create([("a", b"old")])
    made = await store.create([("a", b"1"), ("b", b"2"), ("b", b"3")])
    assert made == (False, True, False)
    found = await store.read_prefix("")
    assert [(v.key, v.value) for v in found.values] == [("a", b"old"), ("b", b"2")]


async def test_create_splits_over_the_operation_limit(platform, store):
    items = [(f"k{i:03}", b"") for i in range(MAX_ITEMS_A_CALL + 1)]
    assert await store.create(items) == (True,) * len(items)
    assert platform.counts["txn"] == 2


async def test_create_splits_over_the_size_limit(platform, store):
    items = [(key, b"v" * 700_000) for key in ("a", "b", "c")]
    assert await store.create(items) == (True,) * 3
    assert platform.counts["txn"] == 3


async def test_value_over_the_limit_is_refused_and_not_written(platform, store):
    with pytest.raises(StoreError, match="too large") as caught:
        await store.create([("a", b"v" * 3_000_000)])
    assert caught.value.ran is Ran.NOT_RUN
    assert platform.gateway.state.revision == 1


async def test_create_next_needs_its_predecessor(store):
    assert not await store.create_next("log/2", b"", after="log/1")
    assert await store.create_next("log/1", b"x", after=None)
    assert await store.create_next("log/2", b"y", after="log/1")
    assert not await store.create_next("log/2", b"z", after="log/1")
    assert (await store.read("log/2")).value == b"y"


async def test_replace_and_delete_compare_revisions(store):
    assert await store.replace("a", b"1", revision=0)
    assert not await store.replace("a", b"2", revision=0)
    first = await store.read("a")
    assert await store.replace("a", b"2", revision=first.revision)
    second = await store.read("a")
    assert await store.delete([("a", first.revision)]) == (False,)
    assert await store.delete([("a", second.revision)]) == (True,)
    assert await store.read("a") is None


async def test_read_prefix_pages_in_order(store):
    await store.create([(key, b"") for key in ("a/1", "a/2", "a/3", "b")])
    page = await store.read_prefix("a/", from_key="a/2", limit=1)
    assert [value.key for value in page.values] == ["a/2"]
    assert len((await store.read_prefix("a/")).values) == 3


@pytest.mark.parametrize(
    ("prefix", "end"), [(b"a", b"b"), (b"a\xff", b"b"), (b"", b"\0"), (b"\xff", b"\0")]
)
def test_prefix_end(prefix, end):
    assert prefix_end(prefix) == end


async def test_lease_ends_with_its_keys(platform, store):
    lease = await store.grant_lease(60)
    await store.create([("a", b"")], lease=lease)
    assert await store.keep_lease(lease)
    platform.gateway.expire_leases()
    assert not await store.keep_lease(lease)
    assert await store.read("a") is None


@pytest.mark.parametrize("write", WRITES.values(), ids=WRITES)
async def test_lost_reply_is_an_unknown_outcome(platform, store, write):
    """The store writes, then the connection closes without an answer.

    The caller is told that the outcome is unknown, never that it failed: taken as
    a failure, a claim that stands would be released and its payment run twice.
    """
    before = platform.gateway.state.revision
    platform.control.lose_replies = 1
    with pytest.raises(StoreOutcomeUnknownError) as caught:
        await write(store)
    assert caught.value.ran is Ran.UNKNOWN
    if write in (WRITES["create"], WRITES["create_next"], WRITES["replace"]):
        assert platform.gateway.state.revision == before + 1


async def test_split_create_is_unknown_when_a_later_part_fails(platform, store):
    """A create needs two calls; the second is refused by the rate limit.

    The first part stands, so the caller must not hear "did not happen".
    """
    platform.control.writes_per_second = 1.0
    items = [(f"k{i:03}", b"") for i in range(MAX_ITEMS_A_CALL + 1)]
    with pytest.raises(StoreOutcomeUnknownError):
        await store.create(items)


@pytest.mark.parametrize("write", WRITES.values(), ids=WRITES)
async def test_rate_limited_write_did_not_happen(platform, store, write):
    """The store refuses a write over its rate before it acts.

    The caller gets a plain store error, so that it may try again later.
    """
    platform.control.writes_per_second = 0.0
    with pytest.raises(StoreError) as caught:
        await write(store)
    assert type(caught.value) is StoreError
    assert caught.value.ran is Ran.NOT_RUN
    assert platform.gateway.state.revision == 1


@pytest.mark.parametrize("call", [*WRITES.values(), *READS.values()])
async def test_unreachable_store_did_nothing(platform, store, call):
    """Nothing listens on the store's port, so no call can have been sent.

    The caller gets a plain store error, for writes as well as for reads.
    """
    await platform.async_stop()
    with pytest.raises(StoreError) as caught:
        await call(store)
    assert type(caught.value) is StoreError


@pytest.mark.parametrize("down", [Down.REFUSE, Down.HANG])
@pytest.mark.parametrize("name", [*WRITES, *READS])
async def test_store_that_takes_calls_and_is_silent(platform, session, down, name):
    """The store takes the call, then resets the connection or says nothing.

    A write may have been carried out, so its outcome is unknown; a read only failed.
    """
    store = create_store(
        platform.address, session, timeout_seconds=SHORT_TIMEOUT_SECONDS
    )
    platform.control.down = down
    with pytest.raises(StoreError) as caught:
        await (WRITES | READS)[name](store)
    assert isinstance(caught.value, StoreOutcomeUnknownError) is (name in WRITES)


@pytest.mark.parametrize("name", [*WRITES, *READS])
async def test_garbage_answer_is_invalid(platform, store, name):
    """The store sends bytes that are not JSON.

    The caller gets kind ``store_answer_invalid``, and for a write the outcome is
    unknown, since the store may have carried it out before.
    """
    platform.control.garbage_answers = 1
    with pytest.raises(StoreError) as caught:
        await (WRITES | READS)[name](store)
    assert caught.value.kind is ErrorKind.STORE_ANSWER_INVALID
    assert isinstance(caught.value, StoreOutcomeUnknownError) is (name in WRITES)


async def test_watch_tells_past_and_coming_writes(store):
    await store.create([("a/1", b"1"), ("b", b"")])
    async with aclosing(store.watch("a/", revision=1)) as changes:
        assert await anext(changes) == StoreValue("a/1", b"1", 2)
        await store.create([("a/2", b"2")])
        assert await anext(changes) == StoreValue("a/2", b"2", 3)


async def test_quiet_watch_asks_again_and_misses_nothing(platform, session):
    """A watch stays quiet past its idle time, so it is opened anew, several times.

    A change that comes later is told once and none is missed.
    """

    class Counts(Counter):
        opened = asyncio.Event()
        wanted = 3

        def __setitem__(self, kind, count):
            super().__setitem__(kind, count)
            if kind == "watch" and count >= self.wanted:
                self.opened.set()

    counts = platform.gateway.counts = Counts()
    store = create_store(
        platform.address,
        session,
        timeout_seconds=TIMEOUT_SECONDS,
        watch_idle_seconds=0.01,
    )
    async with aclosing(store.watch("a", revision=0)) as changes:
        coming = asyncio.ensure_future(anext(changes))
        await guarded(counts.opened.wait())
        await store.create([("a", b"1")])
        assert (await guarded(coming)).value == b"1"
        counts.opened.clear()
        counts.wanted = counts["watch"] + 3
        coming = asyncio.ensure_future(anext(changes))
        await guarded(counts.opened.wait())
        await store.create([("a2", b"2")])
        assert (await guarded(coming)).value == b"2"


async def test_watch_of_a_restored_store_is_refused(platform, store):
    """The store is restored from a backup while a watch waits on it.

    The watch ends; a new one from the revision last seen is refused as reverted
    instead of waiting until other changes take the lost ones' numbers.
    """
    await store.create([("a", b"1")])
    await store.create([("b", b"2")])
    async with aclosing(store.watch("", revision=3)) as changes:
        assert (await anext(changes)).key == "b"
        coming = asyncio.ensure_future(anext(changes))
        await asyncio.sleep(0)
        platform.gateway.restore(1)
        with pytest.raises(StoreError):
            await guarded(coming)
    with pytest.raises(StoreError) as caught:
        await guarded(anext(store.watch("", revision=4)))
    assert caught.value.kind is ErrorKind.STORE_REVERTED


async def test_old_read_is_served_with_its_revision(platform, store):
    """The store answers a read from before the last write.

    The snapshot carries the old revision, by which the reader can tell.
    """
    await store.create([("a", b"1")])
    await store.replace("a", b"2", revision=2)
    platform.control.stale_reads = 1
    old = await store.read_prefix("a")
    assert (old.values[0].value, old.revision) == (b"1", 2)
    assert (await store.read("a")).value == b"2"


async def test_write_to_a_paused_store_lands_after_its_caller_gave_up(
    platform, session
):
    """The store is paused, a write waits in it, its caller gives up, it wakes.

    The caller was told that the outcome is unknown, and the write lands later.
    """
    store = create_store(
        platform.address, session, timeout_seconds=SHORT_TIMEOUT_SECONDS
    )
    platform.set_down(Down.HANG)
    with pytest.raises(StoreOutcomeUnknownError):
        await store.create([("a", b"late")])
    landed = asyncio.Event()
    platform.gateway.state.listen(lambda changes: landed.set())
    platform.set_down(Down.NO)
    await guarded(landed.wait())
    assert (await store.read("a")).value == b"late"


async def test_prefix_keeps_systems_apart(platform, session):
    stores = [
        create_store(
            platform.address, session, timeout_seconds=TIMEOUT_SECONDS, prefix=prefix
        )
        for prefix in ("one", "two")
    ]
    assert await stores[0].create([("a", b"1")]) == (True,)
    assert await stores[1].create_next("a", b"2", after=None)
    for store, value in zip(stores, (b"1", b"2"), strict=True):
        found = await store.read_prefix("")
        assert [(v.key, v.value) for v in found.values] == [("a", value)]
        assert (await store.read("a")).value == value
        async with aclosing(store.watch("a", revision=1)) as changes:
            assert (await guarded(anext(changes))).value == value


async def test_write_goes_to_another_address_only_if_it_reached_none(platform, session):
    """The first address refuses connections, the second takes a write and is lost.

    The write that reached nothing is sent on; the one that may have happened is
    not, and the caller is told that its outcome is unknown.
    """
    gone = await async_start_store()
    await gone.async_stop()
    addresses = (gone.address, platform.address)
    store = create_store(addresses, session, timeout_seconds=TIMEOUT_SECONDS)
    assert await store.create([("a", b"1")]) == (True,)
    platform.control.lose_replies = 1
    with pytest.raises(StoreOutcomeUnknownError):
        await store.create([("b", b"1")])
    assert platform.counts["txn"] == 2
    assert (await store.read("b")).value == b"1"


@pytest.mark.parametrize("limit", ["MAX_ANSWER_BYTES", "MAX_LINE_BYTES"])
async def test_huge_answer_is_refused_early(platform, store, monkeypatch, limit):
    """An answer or a line of a watch is over its bound; it is not read whole."""
    await store.create([("a", b"v" * 500_000)])
    monkeypatch.setattr(f"greengagepoint_node.store.{limit}", 10_000)
    call = READS["watch" if limit == "MAX_LINE_BYTES" else "read"]
    with pytest.raises(StoreError) as caught:
        await guarded(call(store))
    assert caught.value.kind is ErrorKind.STORE_ANSWER_INVALID
