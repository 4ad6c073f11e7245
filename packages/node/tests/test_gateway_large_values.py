"""A value of nearly a megabyte on its way to hosts with links of 5 Mbit/s."""

import asyncio
import contextlib
import random

from deployment import async_until
from gateway_world import ZONES, Lines, free_address
from large_values import SLOW_BYTES_PER_SECOND, configuration

from greengagepoint_node.clock import SystemClock
from greengagepoint_node.gateway.daemon import create_peer_session
from greengagepoint_node.gateway.facts import Changes, HostEntry, StoredItem
from greengagepoint_node.gateway.gossip import NEWS_PATH, PATH, Gossip
from greengagepoint_node.gateway.gossip_messages import HostState
from greengagepoint_node.gateway.host_table import HeardHost
from greengagepoint_node.gateway.listeners import Listener
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
        lines = Lines()
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
    async with async_peers(2) as (teller, asker):
        item = StoredItem(KEY, configuration(VERSION), 7)
        teller.gossip.view.apply(Changes((item,), 7), 0.0)
        link = SlowLink(SLOW_BYTES_PER_SECOND)
        relay = Relay(teller.entry.peer_address, back=link)
        await relay.async_open()
        asker.hears_of("h0", relay.address)
        asking = asyncio.create_task(asker.gossip.async_run())
        try:
            async with asyncio.timeout(PATIENCE_SECONDS):
                await async_until(lambda: asker.knows(VERSION))
        finally:
            asking.cancel()
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
        watcher.gossip.confirm(0)
        try:
            async with asyncio.timeout(PATIENCE_SECONDS):
                await async_until(lambda: all(peer.knows(VERSION) for peer in others))
        finally:
            for relay in relays:
                await relay.async_cut()
