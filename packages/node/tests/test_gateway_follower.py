"""Following a store that loses its history, fails, and comes back."""

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
from greengagepoint_node.gateway.facts import (
    Changes,
    Evacuation,
    HistoryLostError,
    HostEntry,
    LeaseLostError,
    Part,
    ServerEntry,
    Snapshot,
    StoredItem,
)
from greengagepoint_node.gateway.follower import HostRegistration, StoreFollower
from greengagepoint_node.gateway.news_ages import NewsAges
from greengagepoint_node.gateway.store_counts import CountedStore
from greengagepoint_node.gateway.view import FleetView


class Script:
    """Answer calls from a list; the last answer is given for ever."""

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

    async def answer_now(self, *call):
        self.calls.append(call)
        raise self.answers.pop(0)

    async def async_snapshot(self):
        return await self.answer("snapshot")

    async def async_changes(self, after, wait_seconds, part=Part.ALL):
        kind = "changes" if part is Part.ALL else str(part)
        return await self.answer(kind, after)

    async def async_grant_lease(self, seconds):
        return await self.answer("grant")

    async def async_renew_lease(self, lease):
        return await self.answer("renew", lease)

    async def async_put(self, entries, lease):
        return await self.answer("put", lease)


class Peers:
    """Peers that keep this host up to date, or not."""

    def __init__(self, must=True):
        self.must = must
        self.is_watcher = must
        self.ages = NewsAges(AdjustableClock())
        self.ages.peers_at = 0.0
        self.confirmed = []
        self.full_link = False

    def must_watch(self):
        return self.must

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
    monkeypatch.setattr(module, "GATHER_SECONDS", 0)
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
    # The store drops its history while changes are made. A host that only asked on from
    # where it was would never hear of them, and keep an old configuration in force.
    calls, _, view = await async_follow(
        monkeypatch, Snapshot((), 4), HistoryLostError(), Snapshot((), 9)
    )
    assert calls == [("snapshot",), ("changes", 4), ("snapshot",), ("changes", 9)]
    assert view.revision == 9


async def test_an_outage_is_told_once_and_following_goes_on(monkeypatch):
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
    ids=["calm", "lease lost", "store down"],
)
async def test_a_host_keeps_its_entry(monkeypatch, answers, expected):
    monkeypatch.setattr(module, "RENEW_SECONDS", 0.001)
    monkeypatch.setattr(watchers, "PAUSE_SECONDS", 0.001)
    store = Script(*answers)
    entry = HostEntry("h1", "north", "zone-a", "f", "p")
    registration = HostRegistration(store, entry, random.Random(1), EventLog())
    task = asyncio.create_task(registration.async_run())
    await async_until(lambda: len(store.calls) >= len(expected))
    task.cancel()
    assert store.calls[: len(expected)] == expected


async def test_a_host_that_peers_keep_up_to_date_asks_only_at_its_start(monkeypatch):
    # Each change wakes all waiting watches. With 83 of them the store answers the same
    # question 83 times, and on the day on which it is slow none of them in time.
    monkeypatch.setattr(module, "LOOK_SECONDS", 0.001)
    monkeypatch.setattr(module, "GATHER_SECONDS", 0)
    store, peers = Script(Snapshot((), 4), Changes((), 5), Changes((), 6)), Peers(False)
    view = FleetView(ZONES, lambda item: None, EventLog())
    follower = StoreFollower(
        store, view, SystemClock(), random.Random(1), EventLog(), peers
    )
    task = asyncio.create_task(follower.async_run())
    await async_until(lambda: peers.confirmed == [0])
    await asyncio.sleep(0.02)
    assert store.calls == [("snapshot",)]
    # The watcher is lost, and the news here gets stale.
    peers.must = True
    await async_until(lambda: view.revision == 6)
    task.cancel()
    assert peers.confirmed == [0, 4, 5]
    told = follower.events.of(Event.STORE_WATCH_CHANGED)
    assert [row["watching"] for row in told] == [False, True]


async def test_what_peers_brought_meanwhile_is_not_read_from_the_store(monkeypatch):
    # A host starts, and its small link carries the store's answer for seconds. A peer
    # brings everything in a moment. What still comes from the store would hold up the
    # host's callers and bring nothing.
    monkeypatch.setattr(module, "LOOK_SECONDS", 0.001)
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
    peers.must = False
    await asyncio.sleep(0.02)
    assert not counts, "what peers knew before the call may be older than its answer"
    peers.ages.peers_at = follower.clock.monotonic()
    await async_until(lambda: counts["snapshot", "given_up"] == 1)
    # The peers are lost: the host goes on from what they brought.
    peers.must = True
    await async_until(lambda: store.calls[-1] == ("changes", 7))
    task.cancel()
    assert follower.lost_at is None


async def test_a_store_that_served_others_meanwhile_has_not_come_back(monkeypatch):
    # The store turns this host away; its peers keep it up to date, so it stops asking.
    # Later it asks again, and is answered. A server leaves in that moment: taken for an
    # entry that lapsed in an outage, it would go on getting requests for two seconds.
    monkeypatch.setattr(module, "LOOK_SECONDS", 0.001)
    monkeypatch.setattr(watchers, "PAUSE_SECONDS", 0.001)
    store = Script(Snapshot((), 4), *[StoreError("status 503")] * 5_000)
    peers = Peers()
    view = FleetView(ZONES, lambda item: None, EventLog())
    follower = StoreFollower(
        store, view, SystemClock(), random.Random(1), EventLog(), peers
    )
    task = asyncio.create_task(follower.async_run())
    await async_until(lambda: follower.lost_at is not None)
    peers.must = False
    await async_until(lambda: not follower.watching)
    store.answers = [Changes((), 5)]
    peers.must = True
    await async_until(lambda: view.revision == 5)
    task.cancel()
    assert view.lapses_until == float("-inf")


@pytest.mark.parametrize(
    ("peers_confirmed_ago", "full_link", "doubted"),
    [
        (0.5, False, False),
        (2.2, False, False),
        (2.3, False, True),
        (20.0, False, True),
        (20.0, True, False),
    ],
    ids=[
        "just now",
        "entries last as long",
        "entries may be gone",
        "before the loss",
        "the link was full",
    ],
)
async def test_a_watcher_that_alone_was_turned_away_trusts_what_it_reads_then(
    monkeypatch, peers_confirmed_ago, full_link, doubted
):
    # The store turns a region's watcher away for nine seconds and serves all others. A
    # server's entry is removed just before it lets the watcher in again. The watcher
    # took that for a lapse in an outage and told its region so: nine hosts sent callers
    # there until 3.2 s after the removal, where 50 others stopped within 1.3 s; these
    # nine logged it 2.0 to 2.6 s after the watcher's `store_available`. Only where
    # nobody reached the store for as long as entries last can one have lapsed: three
    # heartbeats of 1.5 s, less the one or so before the outage. On a full link a store
    # that answers seems to be away.
    monkeypatch.setattr(module, "GATHER_SECONDS", 0)
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
    assert (view.lapses_until > float("-inf")) is doubted


async def test_on_a_full_link_the_store_is_asked_for_servers_alone(monkeypatch):
    # A host's link is full of answers, so no peer's news comes through, and the host
    # asks the store. The operators have just added 1,400 routes: the answer held them
    # all, came after 1.7 to 3.7 s over the same link, and with it word of five servers
    # that leave. Callers were sent there for 3.1 s. Peers bring the configuration
    # packed, in a twentieth of the bytes; only where they have not for three seconds it
    # is read from the store.
    monkeypatch.setattr(module, "LOOK_SECONDS", 0.001)
    monkeypatch.setattr(module, "GATHER_SECONDS", 0)
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
    emptied = StoredItem("zone-a", b"evacuated", 8)
    store.answers = [
        Changes((emptied,), 8, 0.3),
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


@pytest.mark.parametrize(("watcher", "most"), [(True, 22), (False, 14)])
async def test_hosts_ask_less_often_the_longer_the_store_is_away(
    monkeypatch, watcher, most
):
    # The store resets every connection for 8 s. Each call in vain is paid for; asked
    # four times a second by each of 87 hosts it cost a ninth of what the day was worth.
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
    store.answer = store.answer_now
    with pytest.raises(asyncio.CancelledError):
        await follower.async_run()
    assert len(store.calls) <= most
    assert max(slept) <= (0.75 if watcher else 1.5)
