"""News between hosts while the store, a link or a peer is out of order."""

import asyncio
import random

import pytest
from aiohttp import web
from gateway_world import ZONES, EventLog

from greengagepoint.config.watchers import STALE_SECONDS
from greengagepoint.events import Event
from greengagepoint_node.clock import SystemClock
from greengagepoint_node.gateway.facts import (
    Changes,
    Evacuation,
    HostEntry,
    RemovedKey,
    ServerEntry,
    Snapshot,
    StoredItem,
)
from greengagepoint_node.gateway.gossip import Gossip
from greengagepoint_node.gateway.gossip_messages import HostState, encode
from greengagepoint_node.gateway.host_table import (
    ADDRESSES_SECONDS,
    ALIVE_SECONDS,
    HeardHost,
)
from greengagepoint_node.gateway.peer_session import create_peer_session
from greengagepoint_node.gateway.view import LAPSED_SECONDS, FleetView

NOW = 10.0


class Clock(SystemClock):
    """Stand still."""

    now = NOW

    def monotonic(self):
        return self.now


class Request:
    """A peer's half of an exchange, as the server would read it."""

    def __init__(self, body):
        self.body = body

    async def read(self):
        return self.body


def host(name, clock=None, session=None, seeds=()):
    entry = HostEntry(name, "north", "zone-a", f"{name}:1", f"{name}:2")
    lines = EventLog()
    view = FleetView(ZONES, lambda item: Evacuation(item.key), lines)
    own = HostState(entry, 1, 0, leaving=False)
    return Gossip(
        own, view, list(seeds), clock or Clock(), random.Random(1), lines, session
    )


def decode_server(item):
    return ServerEntry(item.key, "booking", "10.0.0.1:1", "zone-a", 4, False, 0.0)


async def async_exchange(one, other):
    """Let one host exchange with another, without a network."""
    one.own.count += 1
    half = one.encoded(one.view.revision)
    one.table.lacks_addresses = False
    answer = await other.async_answer(Request(half))
    assert answer.status == 200
    one.take_encoded(answer.body)


async def test_a_host_that_the_store_turns_away_hears_of_changes_from_a_peer():
    # The store serves one host and turns another one away. A zone is evacuated; the
    # second host would send on to it for as long as the store does not let it in.
    served, away = host("h1"), host("h2")
    item = StoredItem("zone-a", b"", 7)
    served.view.apply(Changes((item,), 7), NOW)
    await async_exchange(away, served)
    assert away.view.revision == 7
    assert "zone-a" in away.view.evacuated_at
    served.view.apply(Changes((RemovedKey("zone-a", 9),), 9), NOW)
    await async_exchange(away, served)
    assert "zone-a" not in away.view.evacuated_at
    assert len(away.events.of(Event.CONFIGURATION_FROM_PEER)) == 2


async def async_read_after_start(notifier):
    notifier.view.replace(Snapshot((StoredItem("zone-b", b"", 10),), 10), NOW)


async def async_hear_from_a_peer(notifier):
    peer = host("h3")
    await async_read_after_start(peer)
    await async_exchange(notifier, peer)


async def async_read_after_lost_history(notifier):
    notifier.view.replace(Snapshot((StoredItem("zone-c", b"", 5),), 5), NOW)
    await async_read_after_start(notifier)


@pytest.mark.parametrize(
    "async_learn",
    [async_read_after_start, async_hear_from_a_peer, async_read_after_lost_history],
)
async def test_a_host_that_never_knew_a_key_does_not_hide_its_removal(async_learn):
    # A key is written and removed while a host restarts or has lost the history, so it
    # never hears of the key. A host that was cut off knows it and asks this one. Told
    # all items but not that there are no others, it would send callers to a server
    # that has left for as long as it runs.
    behind, notifier = host("h1"), host("h2")
    behind.view.replace(Snapshot((StoredItem("zone-a", b"", 7),), 7), NOW)
    await async_learn(notifier)
    await async_exchange(behind, notifier)
    assert behind.view.revision == 10
    assert set(behind.view.evacuated_at) == {"zone-b"}


async def test_news_of_hosts_travels_through_others():
    first, middle, last = host("h1"), host("h2"), host("h3")
    await async_exchange(first, middle)
    await async_exchange(last, middle)
    assert {row.entry.name for row in last.table.alive(NOW)} == {"h1", "h2", "h3"}


@pytest.mark.parametrize(
    ("seconds", "leaving", "named"),
    [(0.0, False, True), (3.0, False, True), (4.0, False, False), (0.0, True, False)],
)
async def test_a_dead_or_leaving_host_is_named_no_more(seconds, leaving, named):
    clock = Clock()
    one, other = host("h1", clock), host("h2")
    other.own.leaving = leaving
    await async_exchange(one, other)
    clock.now = NOW + seconds
    assert ("h2" in {row.entry.name for row in one.table.alive(clock.now)}) is named


async def test_older_news_of_a_host_does_not_win():
    one, other, third = host("h1"), host("h2"), host("h3")
    await async_exchange(third, other)
    other.own.leaving = True
    other.own.count += 1
    await async_exchange(one, other)
    await async_exchange(one, third)
    assert {row.entry.name for row in one.table.alive(NOW)} == {"h1", "h3"}


async def test_garbage_from_a_peer_is_refused():
    one = host("h1")
    answer = await one.async_answer(Request(b"garbage"))
    assert answer.status == 400
    assert one.events.of(Event.PEER_MESSAGE_REJECTED)


async def test_each_exchange_opens_a_connection_of_its_own():
    # A link was cut and has healed. Kept connections over it stand still for good while
    # new ones work; a host that went on with them would hear of nothing for as long as
    # it takes to try all its peers.
    peer, transports = host("h2"), []

    async def async_answer(request):
        transports.append(request.transport)
        return await peer.async_answer(request)

    runner = web.ServerRunner(web.Server(async_answer))
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    address = site._server.sockets[0].getsockname()
    session = create_peer_session()
    one = host("h1", session=session, seeds=[f"127.0.0.1:{address[1]}"])
    running = asyncio.create_task(one.async_run())
    async with asyncio.timeout(10):
        while len(transports) < 2:  # noqa: ASYNC110
            await asyncio.sleep(0.01)
    running.cancel()
    assert len({id(row) for row in transports}) == len(transports)
    await session.close()
    await runner.cleanup()


async def test_the_shortest_exchange_tells_how_far_a_region_is():
    # Peers are busy at times and answer late; taken for distance, that would make keys
    # change their region, and run cold there, whenever a peer is busy.
    near, far = host("h1"), host("h2")
    far.own.entry = HostEntry("h2", "south", "zone-b", "h2:1", "h2:2")
    assert near.distances.farthest() == 0.0
    await async_exchange(near, far)
    for seconds in (0.3, 0.08, 0.2):
        near.distances.note(near.table.region_of("h2:2"), seconds)
    near.distances.note(near.table.region_of("unknown:2"), 9.0)
    assert near.distances.farthest() == 0.04


def told(host, before):
    """Return the news that a watcher sends after its view was at a revision."""
    return encode(host.writer.message(before, []))


async def test_news_of_the_watcher_arrives_at_once_and_keeps_others_from_asking():
    watcher, other = host("h1"), host("h2", Clock())
    item = StoredItem("zone-a", b"", 7)
    watcher.view.apply(Changes((item,), 7), NOW)
    watcher.confirm(0, 0.0)
    other.is_watcher = False
    assert other.must_watch()
    answer = await other.async_take_news(Request(told(watcher, 0)))
    assert answer.status == 204
    assert "zone-a" in other.view.evacuated_at
    assert not other.must_watch()
    # Nothing comes any more: the watcher is dead, cut off or slow.
    other.clock.now += STALE_SECONDS + 0.1
    assert other.must_watch()


async def test_a_host_that_missed_news_asks_its_sender():
    # The news of revision 7 was lost on its way; that of 9 says nothing of zone-a, and
    # a host that took it for complete would send on to the evacuated zone.
    watcher, other = host("h1"), host("h2")
    asked = []

    async def async_exchange_with(address):
        asked.append(address)

    other._async_exchange = async_exchange_with
    other.is_watcher = False
    watcher.view.apply(Changes((StoredItem("zone-a", b"", 7),), 7), NOW)
    watcher.view.apply(Changes((StoredItem("zone-b", b"", 9),), 9), NOW)
    watcher.confirm(7, 0.0)
    await other.async_take_news(Request(told(watcher, 7)))
    await asyncio.sleep(0)
    assert other.view.revision == 0
    assert other.must_watch()
    assert asked == ["h1:2"]


async def test_what_is_passed_on_keeps_its_age():
    # The watcher is gone. Two hosts that tell each other how new their news is must not
    # take each other's word for the store's, or neither would ever ask again.
    clock = Clock()
    watcher, one, other = (host(name, clock) for name in ("h1", "h2", "h3"))
    one.is_watcher = other.is_watcher = False
    watcher.confirm(0, 0.0)
    await one.async_take_news(Request(told(watcher, 0)))
    for _ in range(4):
        watcher.clock.now += STALE_SECONDS / 3
        await async_exchange(other, one)
        await async_exchange(one, other)
    assert one.must_watch()
    assert other.must_watch()


async def test_a_watcher_tells_each_host_of_its_region_one_thing_at_a_time():
    watcher, near, far = host("h1"), host("h2"), host("h3")
    far.own.entry = HostEntry("h3", "south", "zone-b", "h3:1", "h3:2")
    for each in (near, far):
        each.own.count += 1
        await async_exchange(watcher, each)
    sent, open_sends = [], [0]

    async def async_send(address):
        open_sends[0] += 1
        assert open_sends[0] == 1
        sent.append((address, watcher.notifier.pending.pop(address)))
        await asyncio.sleep(0.01)
        open_sends[0] -= 1

    watcher.notifier.async_send = async_send
    watcher.confirm(3, 0.0)
    await asyncio.sleep(0)
    # What comes while a send is under way goes with the next one, and only once.
    watcher.confirm(5, 0.0)
    watcher.confirm(4, 0.0)
    await asyncio.sleep(0.05)
    watcher.is_watcher = False
    watcher.confirm(0, 0.0)
    await asyncio.sleep(0.02)
    assert sent == [("h2:2", 3), ("h2:2", 4)]


async def test_a_host_that_starts_again_after_its_clock_went_back_is_heard():
    # The time of day jumps back on a host, and its process starts again. Its new
    # lifetime looks older than the one before; peers that kept to the later start would
    # not name the host to callers for as long as the clock is behind.
    one, other = host("h1"), host("h2")
    one.own.started = 5_000
    await async_exchange(one, other)
    one.own.started, one.own.count = 2_000, 0
    await async_exchange(one, other)
    assert other.table.heard["h1"].state.started == 5_000
    other.clock.now += ALIVE_SECONDS + 0.1
    await async_exchange(one, other)
    assert [state.started for state in other.table.alive(other.clock.now)][1:] == [
        2_000
    ]
    # A third host still passes the ended lifetime on.
    third = host("h3")
    third.table.heard["h1"] = HeardHost(
        HostState(one.own.entry, 5_000, 9, False), other.clock.now, NOW
    )
    await async_exchange(other, third)
    assert other.table.heard["h1"].state.started == 2_000


async def test_addresses_are_sent_for_some_seconds_and_then_on_demand():
    # A host's state is passed on twice a second by everybody; its addresses were most
    # of these bytes. A host that starts later and can't reach the store still has to
    # learn them, or it would name only itself to callers.
    first, second, late = host("h1"), host("h2"), host("h3")
    clock = first.clock
    second.clock = late.clock = clock
    await async_exchange(second, first)
    in_full = len(first.encoded(0))
    clock.now += ADDRESSES_SECONDS + 1
    second.own.count += 1
    await async_exchange(second, first)
    assert len(first.encoded(0)) < in_full
    await async_exchange(late, first)
    assert [state.entry.name for state in late.table.alive(clock.now)] == ["h3", "h1"]
    assert late.table.lacks_addresses
    await async_exchange(late, first)
    assert not late.table.lacks_addresses
    assert late.table.heard["h2"].state.entry.front_address == "h2:1"


async def test_a_dead_host_of_the_region_is_asked_less_often_than_a_live_one():
    # A host was killed and its entry stands in the store until its lease ends. Each
    # exchange with it lasts until it times out, and no news comes meanwhile.
    clock = Clock()
    one, live, dead = host("h1", clock), host("h2"), host("h3")
    await async_exchange(one, dead)
    clock.now = NOW + ALIVE_SECONDS + 1
    await async_exchange(one, live)
    for row in (live, dead):
        one.view.hosts[row.own.entry.name] = row.own.entry
    asked = [one._next_address() for _ in range(400)]
    assert asked.count("h3:2") < 0.15 * len(asked)


async def test_a_host_that_was_behind_does_not_hide_a_removal_that_it_heard_of():
    # A server comes and leaves again while a second host misses both. A third one knows
    # the server and was cut off as it left. The second one is told of the removal, but
    # never knew the server; asked by the third, it has to tell of it all the same, or
    # callers go on being sent to a server that left.
    first, second, third = host("h1"), host("h2"), host("h3")
    for behind in (first, second, third):
        behind.view.replace(Snapshot((StoredItem("zone-b", b"", 3),), 5), NOW)
    item = StoredItem("zone-a", b"", 6)
    for told in (first, third):
        told.view.apply(Changes((item,), 6), NOW)
    first.view.apply(Changes((RemovedKey("zone-a", 7),), 7), NOW)
    await async_exchange(second, first)
    await async_exchange(third, second)
    assert third.view.revision == 7
    assert "zone-a" not in third.view.evacuated_at


async def test_news_is_as_old_as_the_answer_that_brought_it():
    # The watcher's link carries a large answer of the store for seconds. Newer changes
    # may have come meanwhile; told that its news is fresh, the other hosts would not
    # ask and would answer 404 on routes that were added in that time.
    watcher, other = host("h1"), host("h2")
    watcher.is_watcher = False
    watcher.confirm(0, 2.5)
    assert not watcher.ages.is_current()
    await async_exchange(other, watcher)
    assert other.ages.peers_at == NOW - 2.5
    assert other.must_watch()


async def test_a_doubt_about_a_removal_ends_for_all_hosts_at_once():
    # The store returns from an outage, and a host reads that a server's entry is gone.
    # It doubts that for two seconds, as live servers write theirs again by then, and
    # tells the others so. Each of them doubted for two seconds from when it heard, and
    # the third host sent callers to a server that is gone for 3.9 s.
    clock = Clock()
    hosts = [host(f"h{number}", clock) for number in range(3)]
    for one in hosts:
        one.view.decode = decode_server
        one.view.apply(Changes((StoredItem("i-1", b"", 4),), 4), NOW)
    first, second, third = hosts
    first.view.store_returned(NOW)
    first.view.apply(Changes((RemovedKey("i-1", 5),), 5), NOW)
    for seconds, one, other in [(1.5, second, first), (0.4, third, second)]:
        clock.now += seconds
        await async_exchange(one, other)
        assert one.view.revision == 5
        assert one.view.servers.servers
    clock.now = NOW + LAPSED_SECONDS + 0.01
    for one in hosts:
        one.view.tick(clock.now)
        assert not one.view.servers.servers
