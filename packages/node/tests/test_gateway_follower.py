"""Following a store that loses its history, fails and recovers."""

import asyncio
import random
from collections import Counter
from types import SimpleNamespace

import pytest
from deployment import async_until
from gateway_world import ZONES, AdjustableClock, EventLog

from greengagepoint.config import watchers
from greengagepoint.errors import StoreError
from greengagepoint.events import Event
from greengagepoint_node.clock import SystemClock
from greengagepoint_node.gateway import follower as module
from greengagepoint_node.gateway.follower import HostRegistration, StoreFollower
from greengagepoint_node.gateway.news_ages import ViewFreshnessTracker
from greengagepoint_node.gateway.store_counts import CountedStore
from greengagepoint_node.gateway.store_types import (
    Changes,
    Connection,
    Evacuation,
    HistoryLostError,
    HostEntry,
    LeaseLostError,
    Part,
    ServerEntry,
    Snapshot,
    StoredItem,
)
from greengagepoint_node.gateway.view import FleetView


class Script:
    """Answer calls from a list; calls wait once it is empty."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.calls = []

    async def answer(self, *call):
        self.calls.append(call)
        await asyncio.sleep(0)
        answer = self.answers.pop(0) if self.answers else None
        if answer is None:
            await asyncio.sleep(3600)
        if isinstance(answer, Exception):
            raise answer
        return answer

    async def raise_next(self, *call):
        self.calls.append(call)
        raise self.answers.pop(0)

    async def async_snapshot(self):
        return await self.answer("snapshot")

    async def async_changes(
        self, after, wait_seconds, part=Part.ALL, connection=Connection.WATCH
    ):
        kind = "check" if connection is Connection.NEW else "changes"
        return await self.answer(kind if part is Part.ALL else str(part), after)

    async def async_grant_lease(self, seconds):
        return await self.answer("grant")

    async def async_renew_lease(self, lease):
        return await self.answer("renew", lease)

    async def async_put(self, entries, lease):
        return await self.answer("put", lease)


class Peers:
    """Peers that keep this host up to date unless it must watch the store."""

    def __init__(self, must_watch_store=True):
        self.must_watch_store = must_watch_store
        self.is_watcher = must_watch_store
        self.ages = ViewFreshnessTracker(AdjustableClock())
        self.ages.peers_at = 0.0
        self.confirmed = []
        self.full_link = False

    def must_watch(self):
        return self.must_watch_store

    def link_is_full(self):
        return self.full_link

    def confirm(self, before, seconds_ago):
        self.confirmed.append(before)


def decode_server(item):
    if item.value == b"evacuated":
        return Evacuation(item.key)
    leaving = item.value == b"draining"
    return ServerEntry(item.key, "booking", "10.0.0.1:1", "zone-a", 4, leaving, 0.0)


async def async_follow(monkeypatch, *answers):
    monkeypatch.setattr(module, "BATCH_SECONDS", 0)
    monkeypatch.setattr(watchers, "PAUSE_SECONDS", 0.001)
    store, lines = Script(*answers), EventLog()
    view = FleetView(ZONES, lambda item: None, lines)
    follower = StoreFollower(
        store, view, SystemClock(), random.Random(1), lines, Peers()
    )
    task = asyncio.create_task(follower.async_run())
    await async_until(lambda: not store.answers)
    await asyncio.sleep(0.02)
    task.cancel()
    return store.calls, lines, view


async def test_lost_history_leads_to_a_snapshot(monkeypatch):
    # The store drops its history while changes are made. A host that only continued
    # from its last revision would miss them and keep an old configuration active.
    calls, _, view = await async_follow(
        monkeypatch, Snapshot((), 4), HistoryLostError(), Snapshot((), 9)
    )
    assert calls == [("snapshot",), ("changes", 4), ("snapshot",), ("changes", 9)]
    assert view.revision == 9


async def test_lost_history_ends_a_watch_that_hangs(monkeypatch):
    """Told by a check beside the watch, a host asked for the lost history again."""
    monkeypatch.setattr(module, "WATCH_SECONDS", 0.05)
    store = Script(Snapshot((), 4), None, HistoryLostError(), Snapshot((), 9))
    view = FleetView(ZONES, lambda item: None, EventLog())
    follower = StoreFollower(
        store, view, SystemClock(), random.Random(1), EventLog(), Peers()
    )
    task = asyncio.create_task(follower.async_run())
    await async_until(lambda: view.revision == 9)
    await asyncio.sleep(0.02)
    task.cancel()
    reads = [("snapshot",), ("changes", 4), ("check", 4), ("snapshot",), ("changes", 9)]
    assert store.calls == reads


async def test_an_outage_is_logged_once_and_following_continues(monkeypatch):
    calls, lines, view = await async_follow(
        monkeypatch,
        Snapshot((), 4),
        StoreError("status 503"),
        StoreError("status 503"),
        Changes((), 6),
    )
    assert calls[-1] == ("changes", 6)
    assert len(lines.of(Event.STORE_UNAVAILABLE)) == 1
    assert len(lines.of(Event.STORE_AVAILABLE)) == 1
    assert view.lapses_until > float("-inf")


@pytest.mark.parametrize(
    ("answers", "expected"),
    [
        ((7, 0), [("grant",), ("put", 7)]),
        (
            (7, 0, LeaseLostError(), 8, 0),
            [("grant",), ("put", 7), ("renew", 7), ("grant",), ("put", 8)],
        ),
        (
            (StoreError("down"), 7, 0),
            [("grant",), ("grant",), ("put", 7)],
        ),
    ],
    ids=["no failure", "lease lost", "store unavailable"],
)
async def test_a_host_maintains_its_entry(monkeypatch, answers, expected):
    monkeypatch.setattr(module, "RENEW_SECONDS", 0.001)
    monkeypatch.setattr(watchers, "PAUSE_SECONDS", 0.001)
    store = Script(*answers)
    entry = HostEntry("h1", "north", "zone-a", "f", "p")
    registration = HostRegistration(store, entry, random.Random(1), EventLog())
    task = asyncio.create_task(registration.async_run())
    await async_until(lambda: len(store.calls) >= len(expected))
    task.cancel()
    assert store.calls[: len(expected)] == expected


async def test_a_host_that_peers_keep_up_to_date_reads_only_at_startup(monkeypatch):
    # Each change completes all pending watches. With 83 hosts watching, the store sends
    # the same response 83 times, and while it is slow none of them arrives in time.
    monkeypatch.setattr(module, "CHECK_SECONDS", 0.001)
    monkeypatch.setattr(module, "BATCH_SECONDS", 0)
    store, peers = Script(Snapshot((), 4), Changes((), 5), Changes((), 6)), Peers(False)
    view = FleetView(ZONES, lambda item: None, EventLog())
    follower = StoreFollower(
        store, view, SystemClock(), random.Random(1), EventLog(), peers
    )
    task = asyncio.create_task(follower.async_run())
    await async_until(lambda: peers.confirmed == [0])
    await asyncio.sleep(0.02)
    assert store.calls == [("snapshot",)]
    # The watcher is lost, so this host's view becomes stale.
    peers.must_watch_store = True
    await async_until(lambda: view.revision == 6)
    task.cancel()
    assert peers.confirmed == [0, 4, 5]
    watch_events = follower.events.of(Event.STORE_WATCH_CHANGED)
    assert [row["watching"] for row in watch_events] == [False, True]


async def test_a_read_that_peers_made_unnecessary_is_cancelled(monkeypatch):
    # A host starts, and the store's response occupies its slow link for seconds. A peer
    # sends everything within a moment. The rest of the store's response would delay the
    # host's callers and contain nothing new.
    monkeypatch.setattr(module, "CHECK_SECONDS", 0.001)
    store, peers = Script(None), Peers()
    view = FleetView(ZONES, lambda item: None, EventLog())
    follower = StoreFollower(
        store, view, SystemClock(), random.Random(1), EventLog(), peers
    )
    counts = Counter()
    follower.store = CountedStore(store, counts)
    task = asyncio.create_task(follower.async_run())
    await async_until(lambda: store.calls == [("snapshot",)])
    view.replace(Snapshot((), 7), 0.0)
    peers.must_watch_store = False
    await asyncio.sleep(0.02)
    assert not counts, (
        "peers' state from before the call may be older than the response"
    )
    peers.ages.peers_at = follower.clock.monotonic()
    await async_until(lambda: counts["snapshot", "given_up"] == 1)
    # The peers are lost: the host continues from the state that they sent.
    peers.must_watch_store = True
    await async_until(lambda: store.calls[-1] == ("check", 7))
    task.cancel()
    assert follower.lost_at is None


async def test_a_store_that_served_peers_meanwhile_was_not_unavailable(monkeypatch):
    # The store rejects this host's calls; its peers keep it up to date, so it stops
    # calling. Later it calls again and gets a response, just as a server leaves. If the
    # removal counted as a lapse in an outage, the server would keep getting requests
    # for two seconds.
    monkeypatch.setattr(module, "CHECK_SECONDS", 0.001)
    monkeypatch.setattr(watchers, "PAUSE_SECONDS", 0.001)
    store = Script(Snapshot((), 4), *[StoreError("status 503")] * 5_000)
    peers = Peers()
    view = FleetView(ZONES, lambda item: None, EventLog())
    follower = StoreFollower(
        store, view, SystemClock(), random.Random(1), EventLog(), peers
    )
    task = asyncio.create_task(follower.async_run())
    await async_until(lambda: follower.lost_at is not None)
    peers.must_watch_store = False
    await async_until(lambda: not follower.watching)
    store.answers = [Changes((), 5)]
    peers.must_watch_store = True
    await async_until(lambda: view.revision == 5)
    task.cancel()
    assert view.lapses_until == float("-inf")


@pytest.mark.parametrize(
    ("peers_confirmed_ago", "full_link", "may_be_lapse"),
    [
        (0.5, False, False),
        (2.2, False, False),
        (2.3, False, True),
        (20.0, False, True),
        (20.0, True, False),
    ],
    ids=[
        "recently",
        "within entry lifetime",
        "entries may have lapsed",
        "before the outage",
        "link was saturated",
    ],
)
async def test_a_watcher_that_alone_was_rejected_applies_removals_at_once(
    monkeypatch, peers_confirmed_ago, full_link, may_be_lapse
):
    # The store rejects the calls of one region's watcher for nine seconds and serves
    # all other hosts. A server's entry is removed just before the watcher is served
    # again. The watcher treated the removal as a lapse in an outage and passed that on
    # to its region: nine hosts sent requests to the server until 3.2 s after the
    # removal, while 50 others stopped within 1.3 s; the nine logged the removal 2.0 to
    # 2.6 s after the watcher's `store_available`. An entry can only have lapsed if no
    # host reached the store for as long as entries last: three heartbeats of 1.5 s,
    # less about one before the outage. On a saturated link, a store that responds seems
    # unavailable.
    monkeypatch.setattr(module, "BATCH_SECONDS", 0)
    store = Script(Snapshot((), 4), StoreError("status 429"), Changes((), 5))
    peers, clock = Peers(), AdjustableClock()
    view = FleetView(ZONES, lambda item: None, EventLog())
    follower = StoreFollower(store, view, clock, random.Random(1), EventLog(), peers)

    async def async_pause(_):
        clock.ahead = 9.0
        peers.ages.peers_at = clock.monotonic() - peers_confirmed_ago
        peers.full_link = full_link

    monkeypatch.setattr(follower, "_async_pause", async_pause)
    task = asyncio.create_task(follower.async_run())
    await async_until(lambda: view.revision == 5)
    task.cancel()
    assert (view.lapses_until > float("-inf")) is may_be_lapse


async def test_on_a_saturated_link_only_servers_entries_are_read(monkeypatch):
    # Responses saturate a host's link, so no updates of peers arrive, and the host
    # reads from the store. Operators have just added 1,400 routes. A response with all
    # of them took 1.7 to 3.7 s over the same link and delayed the entries of five
    # leaving servers, which got requests for 3.1 s. Peers send the configuration
    # compressed, in a twentieth of the bytes. The host reads it from the store only if
    # peers have not sent it for three seconds.
    monkeypatch.setattr(module, "CHECK_SECONDS", 0.001)
    monkeypatch.setattr(module, "BATCH_SECONDS", 0)
    store = Script(Snapshot((), 4))
    peers, clock = Peers(), AdjustableClock()
    clock.stop()
    peers.ages.peers_at = clock.monotonic()
    view = FleetView(ZONES, decode_server, EventLog())
    follower = StoreFollower(store, view, clock, random.Random(1), EventLog(), peers)
    peers.is_watcher = False
    task = asyncio.create_task(follower.async_run())
    await async_until(lambda: store.calls == [("snapshot",), ("changes", 4)])
    task.cancel()
    peers.full_link = True
    leaving = StoredItem("i-1", b"draining", 9)
    evacuated = StoredItem("zone-a", b"evacuated", 8)
    store.answers = [
        Changes((evacuated,), 8, 0.3),
        Changes((leaving,), 9, 0.2),
        Changes((), 11, 0.1),
        Changes((), 11, 0.1),
    ]
    task = asyncio.create_task(follower.async_run())
    await async_until(lambda: len(store.calls) == 7)
    assert store.calls[2:] == [
        ("evacuations", 4),
        ("servers", 4),
        ("evacuations", 8),
        ("servers", 8),
        ("evacuations", 11),
    ]
    assert set(view.evacuated_at) == {"zone-a"}
    assert view.servers.servers["i-1"].incarnation in view.servers.leaving
    assert (view.revision, peers.confirmed) == (4, [0])
    assert peers.ages.servers_at == pytest.approx(clock.monotonic() - 0.1)
    task.cancel()
    clock.ahead += 3.1
    task = asyncio.create_task(follower.async_run())
    await async_until(lambda: store.calls[-1] == ("changes", 4))
    task.cancel()


@pytest.mark.parametrize(("watcher", "max_calls"), [(True, 22), (False, 14)])
async def test_hosts_call_less_often_the_longer_the_store_is_unavailable(
    monkeypatch, watcher, max_calls
):
    # The store resets every connection for 8 s. Failed calls are charged as well: four
    # calls a second from each of 87 hosts cost a ninth of the day's earnings.
    slept = []

    async def async_sleep(seconds):
        slept.append(seconds)
        if sum(slept) > 8:
            raise asyncio.CancelledError

    store, peers = Script(*[StoreError("reset")] * 100), Peers()
    peers.is_watcher = watcher
    view = FleetView(ZONES, lambda item: None, EventLog())
    follower = StoreFollower(
        store, view, SystemClock(), random.Random(1), EventLog(), peers
    )
    monkeypatch.setattr(
        module, "asyncio", SimpleNamespace(sleep=async_sleep), raising=True
    )
    store.answer = store.raise_next
    with pytest.raises(asyncio.CancelledError):
        await follower.async_run()
    assert len(store.calls) <= max_calls
    assert max(slept) <= (0.75 if watcher else 1.5)
