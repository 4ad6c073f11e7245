"""A value of nearly a megabyte on its way to hosts with links of 5 Mbit/s."""

import asyncio
import contextlib
import random

from deployment import async_until
from gateway_world import ZONES, EventLog, free_address
from large_values import SLOW_BYTES_PER_SECOND, configuration

from greengagepoint.overload.full_link import SAMPLES_MIN
from greengagepoint_node.clock import SystemClock
from greengagepoint_node.gateway.facts import Changes, HostEntry, StoredItem
from greengagepoint_node.gateway.gossip import PATH, RECEIVED, SENT, Gossip
from greengagepoint_node.gateway.gossip_messages import HostState
from greengagepoint_node.gateway.host_table import HeardHost
from greengagepoint_node.gateway.listeners import Listener
from greengagepoint_node.gateway.peer_notifier import NEWS_PATH
from greengagepoint_node.gateway.peer_session import create_peer_session
from greengagepoint_node.gateway.view import FleetView
from greengagepoint_node.http.server import ServerLimits
from greengagepoint_platform.decoding import decode_item
from greengagepoint_standins.relay import Relay, SlowLink

LIMITS = ServerLimits(
    header_bytes=8_192, headers=50, first_request_seconds=5.0, connections=100
)
KEY = "op/config"
VERSION = 8
# Five times what a link of 5 Mbit/s needs for one copy of the value as it stands.
PATIENCE_SECONDS = 8.0


class Peer:
    """One host's news, on an address of its own."""

    def __init__(self, name):
        self.entry = HostEntry(name, "north", "zone-a", f"{name}:1", free_address())
        own = HostState(self.entry, 1, 0, leaving=False)
        lines = EventLog()
        view = FleetView(ZONES, decode_item, lines)
        self.gossip = Gossip(
            own, view, [], SystemClock(), random.Random(1), lines, create_peer_session()
        )
        address = self.entry.peer_address
        self.listener = Listener(address, self.async_answer, lines, LIMITS)

    async def async_answer(self, request):
        answers = {
            PATH: self.gossip.async_answer,
            NEWS_PATH: self.gossip.async_take_news,
        }
        return await answers[request.rel_url.raw_path](request)

    def knows(self, version):
        routes = self.gossip.view.routes
        return routes is not None and routes.version == version

    def hears_of(self, name, address):
        entry = HostEntry(name, "north", "zone-a", f"{name}:1", address)
        now = self.gossip.clock.monotonic()
        state = HostState(entry, 1, 0, leaving=False)
        self.gossip.table.heard[name] = HeardHost(state, now, now)


@contextlib.asynccontextmanager
async def async_peers(count):
    peers = [Peer(f"h{number}") for number in range(count)]
    for peer in peers:
        await peer.listener.async_start()
    try:
        yield peers
    finally:
        for peer in peers:
            await peer.listener.async_close(0.02)
            await peer.gossip.session.close()


async def test_a_host_on_a_slow_link_hears_of_a_large_configuration_from_a_peer():
    # Operators add thousands of routes. A host whose link carries 5 Mbit/s asks a peer,
    # and its callers get 404 on each new route until the value has come. One copy takes
    # longer than the host waits for a peer, so it was thrown away and begun again.
    async with async_peers(2) as (notifier, asker):
        item = StoredItem(KEY, configuration(VERSION), 7)
        notifier.gossip.view.apply(Changes((item,), 7), 0.0)
        link = SlowLink(SLOW_BYTES_PER_SECOND)
        relay = Relay(notifier.entry.peer_address, back=link)
        await relay.async_open()
        asker.hears_of("h0", relay.address)
        asking = asyncio.create_task(asker.gossip.async_run())
        try:
            async with asyncio.timeout(PATIENCE_SECONDS):
                await async_until(lambda: asker.knows(VERSION))
        finally:
            asking.cancel()
            await relay.async_cut()


async def test_a_host_on_a_full_link_waits_for_what_a_peer_tells():
    # A host's link is full of answers: what a peer writes comes 0.8 s later. Each
    # exchange was given up after 0.6 s, as one with a dead peer, and begun anew with
    # another one, nine times in 3.3 s. Meanwhile the host sent callers to servers that
    # had left.
    async with async_peers(2) as (notifier, asker):
        item = StoredItem(KEY, configuration(VERSION, 10), 7)
        notifier.gossip.view.apply(Changes((item,), 7), 0.0)
        link = SlowLink(SLOW_BYTES_PER_SECOND)
        relay = Relay(notifier.entry.peer_address, back=link)
        await relay.async_open()
        gossip = asker.gossip
        try:
            link.free_at = asyncio.get_running_loop().time() + 0.8
            await gossip._async_exchange(relay.address)
            assert not asker.knows(VERSION), "a free link: the peer may be dead"
            for _ in range(SAMPLES_MIN):
                gossip.link.note(0.5, gossip.clock.monotonic())
            link.free_at = asyncio.get_running_loop().time() + 0.8
            await gossip._async_exchange(relay.address)
            assert asker.knows(VERSION)
        finally:
            await relay.async_cut()


async def test_a_watcher_on_a_slow_link_tells_its_region_of_a_large_configuration():
    # The host that watches the store for its region has a link of 5 Mbit/s. It reads a
    # large configuration and tells ten hosts at once. Ten whole copies take far longer
    # than it waits for each of them, so none came through and its link stood still.
    async with async_peers(11) as (watcher, *others):
        link = SlowLink(SLOW_BYTES_PER_SECOND)
        relays = [Relay(peer.entry.peer_address, there=link) for peer in others]
        for peer, relay in zip(others, relays, strict=True):
            await relay.async_open()
            watcher.hears_of(peer.entry.name, relay.address)
        item = StoredItem(KEY, configuration(VERSION), 7)
        watcher.gossip.view.apply(Changes((item,), 7), 0.0)
        watcher.gossip.confirm(0, 0.0)
        try:
            async with asyncio.timeout(PATIENCE_SECONDS):
                await async_until(lambda: all(peer.knows(VERSION) for peer in others))
            sent = watcher.gossip.bytes["news", SENT]
            assert len(others) * 50_000 < sent < len(others) * 100_000
            assert others[0].gossip.bytes["news", RECEIVED] == sent / len(others)
        finally:
            for relay in relays:
                await relay.async_cut()


async def test_a_host_that_reads_a_large_value_stays_alive_for_the_others():
    # A large value comes over a link that is slower still, which takes seconds. Were
    # the host's heartbeat to wait for it, the others would take the host for dead and
    # name it to no caller; were each exchange to ask for the value, none would end.
    async with async_peers(2) as (notifier, asker):
        item = StoredItem(KEY, configuration(VERSION), 7)
        notifier.gossip.view.apply(Changes((item,), 7), 0.0)
        relay = Relay(notifier.entry.peer_address, back=SlowLink(30_000))
        await relay.async_open()
        asker.hears_of("h0", relay.address)
        first = asyncio.create_task(asker.gossip._async_exchange(relay.address))
        try:
            await async_until(lambda: asker.gossip.asked_for_news_at is not None)
            asker.gossip.own.count += 1
            await asker.gossip._async_exchange(notifier.entry.peer_address)
            assert notifier.gossip.table.heard["h1"].state.count == 1
            assert not asker.knows(VERSION)
            assert asker.gossip.view.revision == 0
            assert not first.done()
            async with asyncio.timeout(PATIENCE_SECONDS):
                await first
            assert asker.knows(VERSION)
        finally:
            first.cancel()
            await relay.async_cut()


async def test_a_host_that_is_behind_learns_more_than_a_megabyte_at_once():
    # A host was cut off while thousands of servers came. All of them in one message are
    # more than the server's usual bound on a body; refused, the host would hear nothing
    # of its watcher from then on.
    async with async_peers(2) as (watcher, other):
        items = tuple(
            StoredItem(f"other/{number}", bytes(1_500), number + 1)
            for number in range(800)
        )
        watcher.gossip.view.apply(Changes(items, 800), 0.0)
        watcher.hears_of("h1", other.entry.peer_address)
        watcher.gossip.confirm(0, 0.0)
        async with asyncio.timeout(PATIENCE_SECONDS):
            await async_until(lambda: other.gossip.view.revision == 800)
