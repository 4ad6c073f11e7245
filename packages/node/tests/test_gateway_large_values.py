"""Transfers of a value of nearly a megabyte to hosts with links of 5 Mbit/s."""

import asyncio
import contextlib
import random

from deployment import async_until
from gateway_world import ZONES, EventLog, free_address
from large_values import SLOW_BYTES_PER_SECOND, configuration

from greengagepoint.overload.full_link import SAMPLES_MIN
from greengagepoint_node.clock import SystemClock
from greengagepoint_node.gateway.gossip import EXCHANGE_PATH, RECEIVED, SENT, Gossip
from greengagepoint_node.gateway.gossip_messages import HostState
from greengagepoint_node.gateway.host_table import HeardHost
from greengagepoint_node.gateway.listeners import Listener
from greengagepoint_node.gateway.peer_notifier import NEWS_PATH
from greengagepoint_node.gateway.peer_session import create_peer_session
from greengagepoint_node.gateway.store_types import Changes, HostEntry, StoredItem
from greengagepoint_node.gateway.view import FleetView
from greengagepoint_node.http.server import ServerLimits
from greengagepoint_platform.decoding import decode_item
from greengagepoint_standins.relay import Relay, SlowLink

LIMITS = ServerLimits(
    header_bytes=8_192, headers=50, first_request_seconds=5.0, connections=100
)
KEY = "op/config"
VERSION = 8
# Five times what a link of 5 Mbit/s needs for one uncompressed copy of the value.
TRANSFER_TIMEOUT_SECONDS = 8.0


class Peer:
    """A host's gossip, listening on an address of its own."""

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
            EXCHANGE_PATH: self.gossip.async_answer,
            NEWS_PATH: self.gossip.async_handle_update,
        }
        return await answers[request.rel_url.raw_path](request)

    def has_version(self, version):
        routes = self.gossip.view.routes
        return routes is not None and routes.version == version

    def add_peer(self, name, address):
        entry = HostEntry(name, "north", "zone-a", f"{name}:1", address)
        now = self.gossip.clock.monotonic()
        state = HostState(entry, 1, 0, leaving=False)
        self.gossip.table.peers_by_name[name] = HeardHost(state, now, now)


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


async def test_a_host_on_a_slow_link_gets_a_large_configuration_from_a_peer():
    # Operators add thousands of routes. A host with a link of 5 Mbit/s asks a peer, and
    # answers 404 on each new route until the value arrives. One copy takes longer than
    # the timeout for a peer; if that applied, the transfer would restart forever.
    async with async_peers(2) as (responder, asker):
        item = StoredItem(KEY, configuration(VERSION), 7)
        responder.gossip.view.apply(Changes((item,), 7), 0.0)
        link = SlowLink(SLOW_BYTES_PER_SECOND)
        relay = Relay(responder.entry.peer_address, back=link)
        await relay.async_open()
        asker.add_peer("h0", relay.address)
        asking = asyncio.create_task(asker.gossip.async_run())
        try:
            async with asyncio.timeout(TRANSFER_TIMEOUT_SECONDS):
                await async_until(lambda: asker.has_version(VERSION))
        finally:
            asking.cancel()
            await relay.async_cut()


async def test_a_host_on_a_saturated_link_waits_for_an_answer_of_a_peer():
    # A host's link is saturated with answers, so a peer's message arrives 0.8 s late.
    # If each exchange timed out after 0.6 s, as with a dead peer, and started again
    # with another one, nine would fail in 3.3 s. Meanwhile the host would send callers
    # to servers that left.
    async with async_peers(2) as (responder, asker):
        item = StoredItem(KEY, configuration(VERSION, 10), 7)
        responder.gossip.view.apply(Changes((item,), 7), 0.0)
        link = SlowLink(SLOW_BYTES_PER_SECOND)
        relay = Relay(responder.entry.peer_address, back=link)
        await relay.async_open()
        gossip = asker.gossip
        try:
            link.free_at = asyncio.get_running_loop().time() + 0.8
            await gossip._async_exchange(relay.address)
            assert not asker.has_version(VERSION), (
                "on a free link the exchange must time out"
            )
            for _ in range(SAMPLES_MIN):
                gossip.link.record(0.5, gossip.clock.monotonic())
            link.free_at = asyncio.get_running_loop().time() + 0.8
            await gossip._async_exchange(relay.address)
            assert asker.has_version(VERSION)
        finally:
            await relay.async_cut()


async def test_a_watcher_on_a_slow_link_sends_its_region_a_large_configuration():
    # The host that watches the store for its region has a link of 5 Mbit/s. It reads a
    # large configuration and notifies ten hosts at once. Ten uncompressed copies take
    # far longer than the timeout of each, so none would arrive.
    async with async_peers(11) as (watcher, *others):
        link = SlowLink(SLOW_BYTES_PER_SECOND)
        relays = [Relay(peer.entry.peer_address, there=link) for peer in others]
        for peer, relay in zip(others, relays, strict=True):
            await relay.async_open()
            watcher.add_peer(peer.entry.name, relay.address)
        item = StoredItem(KEY, configuration(VERSION), 7)
        watcher.gossip.view.apply(Changes((item,), 7), 0.0)
        watcher.gossip.confirm(0, 0.0)
        try:
            async with asyncio.timeout(TRANSFER_TIMEOUT_SECONDS):
                await async_until(
                    lambda: all(peer.has_version(VERSION) for peer in others)
                )
            sent = watcher.gossip.bytes["news", SENT]
            assert len(others) * 50_000 < sent < len(others) * 100_000
            assert others[0].gossip.bytes["news", RECEIVED] == sent / len(others)
        finally:
            for relay in relays:
                await relay.async_cut()


async def test_a_host_that_receives_a_large_value_stays_alive_for_its_peers():
    # A large value arrives over an even slower link, which takes seconds. If the host's
    # heartbeat waited for it, peers would count the host as dead and not list it for
    # callers. If each exchange asked for the value, none would complete.
    async with async_peers(2) as (responder, asker):
        item = StoredItem(KEY, configuration(VERSION), 7)
        responder.gossip.view.apply(Changes((item,), 7), 0.0)
        relay = Relay(responder.entry.peer_address, back=SlowLink(30_000))
        await relay.async_open()
        asker.add_peer("h0", relay.address)
        first = asyncio.create_task(asker.gossip._async_exchange(relay.address))
        try:
            await async_until(lambda: asker.gossip.update_requested_at is not None)
            asker.gossip.own.count += 1
            await asker.gossip._async_exchange(responder.entry.peer_address)
            assert responder.gossip.table.peers_by_name["h1"].state.count == 1
            assert not asker.has_version(VERSION)
            assert asker.gossip.view.revision == 0
            assert not first.done()
            async with asyncio.timeout(TRANSFER_TIMEOUT_SECONDS):
                await first
            assert asker.has_version(VERSION)
        finally:
            first.cancel()
            await relay.async_cut()


async def test_a_host_that_is_behind_accepts_more_than_a_megabyte_at_once():
    # A host was cut off while thousands of servers joined. One message with all of them
    # exceeds the server's usual limit for a body; if it were rejected, the host would
    # get no more updates from its watcher.
    async with async_peers(2) as (watcher, other):
        items = tuple(
            StoredItem(f"other/{number}", bytes(1_500), number + 1)
            for number in range(800)
        )
        watcher.gossip.view.apply(Changes(items, 800), 0.0)
        watcher.add_peer("h1", other.entry.peer_address)
        watcher.gossip.confirm(0, 0.0)
        async with asyncio.timeout(TRANSFER_TIMEOUT_SECONDS):
            await async_until(lambda: other.gossip.view.revision == 800)
