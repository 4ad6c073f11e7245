"""Updates for many peers, some of them dead, slow or behind a saturated link."""

import asyncio
import random

import pytest
from deployment import async_until
from test_gateway_gossip import NOW, Request, host
from test_gateway_large_values import async_peers

from greengagepoint_node.gateway.delays import OFFSET_RISE_PER_SECOND, MessageDelays
from greengagepoint_node.gateway.gossip import UPDATE_WAIT_SECONDS
from greengagepoint_node.gateway.gossip_messages import HostState, decode
from greengagepoint_node.gateway.host_table import HeardHost
from greengagepoint_node.gateway.peer_notifier import LARGE_SENDS_MAX, NOTIFY_SECONDS
from greengagepoint_node.gateway.store_types import Changes, StoredItem
from greengagepoint_standins.relay import Relay, SlowLink

LARGE = random.Random(2).randbytes(60_000)


class PendingPost:
    """One message being sent; peers named dead never accept it."""

    def __init__(self, session, url, data):
        self.session = session
        self.url = url
        self.data = data

    async def __aenter__(self):
        if "dead" in self.url:
            await asyncio.sleep(3600)
        self.session.sent.append(self.data)
        return self

    async def __aexit__(self, *error):
        return None

    async def read(self):
        return b""


class Session:
    """Record the messages that peers accept."""

    def __init__(self):
        self.sent = []

    def post(self, url, data, timeout):
        return PendingPost(self, url, data)


def create_watcher(*peers):
    session = Session()
    watcher = host("w", session=session)
    for name in peers:
        state = HostState(host(name).own.entry, 1, 0, leaving=False)
        watcher.table.peers_by_name[name] = HeardHost(state, NOW, NOW)
    return watcher, session


def apply_large_value(watcher, revision, before=0):
    item = StoredItem("x", LARGE, revision)
    watcher.view.apply(Changes((item,), revision), NOW)
    watcher.confirm(before, 0.0)


async def test_an_update_that_waited_for_a_slot_does_not_count_as_fresh():
    # A configuration is large, and slow peers hold the send slots. The update that this
    # peer gets at last is seconds old: if it counted as fresh, the peer would answer
    # 404 on routes that were added since.
    watcher, session = create_watcher("p")
    for _ in range(LARGE_SENDS_MAX):
        await watcher.notifier.large_send_slots.acquire()
    apply_large_value(watcher, 5)
    await asyncio.sleep(0)
    confirmed_at = watcher.ages.store_at
    watcher.clock.now += 5.0
    watcher.notifier.large_send_slots.release()
    await async_until(lambda: len(session.sent) == 2)
    early, whole = session.sent
    assert decode(early).partial_after == 0
    peer = host("p")
    peer.clock.now = watcher.clock.now
    await peer.async_handle_update(Request(whole))
    assert peer.view.revision == 5
    assert peer.ages.peers_at <= confirmed_at
    assert not peer.ages.is_current()


async def test_a_change_that_arrives_as_a_send_ends_is_sent_at_once():
    # A change arrives in the event loop step in which the previous send ends. If it
    # waited for the next change, the peer would get it a second later.
    watcher, _ = create_watcher("p")
    notifier, sent = watcher.notifier, []

    async def async_send(address):
        sent.append(notifier.pending.pop(address))
        if len(sent) == 1:
            asyncio.get_running_loop().call_soon(notifier.notify, address, 6)

    notifier.async_send = async_send
    notifier.notify("p:2", 5)
    await async_until(lambda: len(sent) == 2)
    assert sent == [5, 6]


async def test_dead_peers_do_not_keep_a_live_one_from_a_newer_version():
    # A zone with eight hosts is cut off, and two large versions follow each other. A
    # live host has to get the newer version too, not only the older one.
    watcher, session = create_watcher(*(f"dead{number}" for number in range(8)), "p")
    apply_large_value(watcher, 5)
    await asyncio.sleep(0.01)
    apply_large_value(watcher, 6, before=5)
    await async_until(lambda: session.sent)
    await async_until(lambda: decode(session.sent[-1]).revision == 6)
    for task in watcher.notifier.tasks.values():
        task.cancel()


async def async_update_during_large_sends(watcher, session):
    """Evacuate a zone while a configuration waits for dead peers."""
    apply_large_value(watcher, 5)
    await asyncio.sleep(0.01)
    watcher.view.apply(Changes((StoredItem("zone-a", b"", 6),), 6), NOW)
    watcher.confirm(5, 0.0)
    await asyncio.sleep(0.01)
    for task in [
        *watcher.notifier.tasks.values(),
        *watcher.partial_notifier.tasks.values(),
    ]:
        task.cancel()
    return session.sent


async def test_an_update_of_a_server_does_not_wait_for_a_large_value():
    # Operators add 1,400 routes, and a watcher notifies thirty hosts, eight at a time.
    # Some have saturated links and hold their slots for seconds. If the departure of a
    # server were sent in the same message, hosts that wait for a slot would send
    # callers there until it arrives.
    dead = [f"dead{number}" for number in range(LARGE_SENDS_MAX)]
    watcher, session = create_watcher(*dead, "p")
    peer = host("p")
    for body in await async_update_during_large_sends(watcher, session):
        await peer.async_handle_update(Request(body))
    assert peer.view.evacuated_at == {"zone-a": NOW}
    assert peer.ages.servers_complete_at() == NOW
    # The large value has not arrived, so other hosts may know paths that this one
    # lacks.
    assert peer.view.revision == 0
    assert not peer.ages.is_current()
    assert not peer.exchange_tasks, "the missing value is being sent already"
    learned = watcher.encode_exchange(0)
    peer.apply_exchange(learned)
    assert peer.view.revision == 6
    assert peer.ages.is_current()


async def test_a_missed_partial_update_is_requested():
    # The first partial update beside a large value was lost. The next one does not
    # include it, so the host must not count its view of the servers as complete.
    watcher, session = create_watcher(
        *(f"dead{n}" for n in range(LARGE_SENDS_MAX)), "p"
    )
    peer = host("p", session=Session())
    bodies = await async_update_during_large_sends(watcher, session)
    await peer.async_handle_update(Request(bodies[-1]))
    assert peer.ages.servers_complete_at() < NOW
    assert set(peer.exchange_tasks) == {"w:2"}
    for task in peer.exchange_tasks.values():
        task.cancel()


async def test_a_confirmation_queued_in_a_saturated_link_does_not_count_as_fresh():
    # The watcher's link is saturated with answers to callers. Its confirmation that
    # there are no changes queues there for seconds, long after its timeout. A receiver
    # that counted it as fresh would answer 404 on new routes and not read the store.
    async with async_peers(2) as (watcher, peer):
        link = SlowLink(610_000)
        relay = Relay(peer.entry.peer_address, there=link)
        await relay.async_open()
        watcher.add_peer("h1", relay.address)
        try:
            for _ in range(2):
                watcher.gossip.confirm(0, 0.0)
                await async_until(lambda: not watcher.gossip.notifier.tasks)
            assert peer.gossip.ages.is_current()
            link.free_at = asyncio.get_running_loop().time() + 2.5
            sent_at = watcher.gossip.clock.monotonic()
            before = peer.gossip.bytes["news", "received"]
            watcher.gossip.confirm(0, 0.0)
            await async_until(lambda: peer.gossip.bytes["news", "received"] > before)
            assert watcher.gossip.failures == 1
            assert peer.gossip.ages.peers_at <= sent_at + NOTIFY_SECONDS
            assert not peer.gossip.ages.is_current()
        finally:
            await relay.async_cut()


@pytest.mark.parametrize(
    ("seconds", "revision"), [(0.5, 0), (UPDATE_WAIT_SECONDS + 0.1, 7)]
)
async def test_a_peer_that_trickles_blocks_updates_from_others_for_two_seconds_only(
    seconds, revision
):
    # A peer sends its items byte by byte without end. If the host waited for it, it
    # would ask no other peer and get no changes.
    async with async_peers(2) as (peer, asker):
        peer.gossip.view.apply(Changes((StoredItem("x", LARGE, 7),), 7), NOW)
        asker.gossip.update_requested_at = asker.gossip.clock.monotonic() - seconds
        await asker.gossip._async_exchange(peer.entry.peer_address)
        assert asker.gossip.view.revision == revision


@pytest.mark.parametrize(
    ("messages", "delay"),
    [
        ([(1, 5.0, 105.0)], None),
        ([(1, 5.0, 105.0), (1, 6.0, 106.0)], 0.0),
        ([(1, 5.0, 105.0), (1, 6.0, 108.0)], 2.0 - 3 * OFFSET_RISE_PER_SECOND),
        ([(1, 5.0, 105.0), (1, 6.0, 105.5), (1, 7.0, 107.0)], 0.5 - 0.075),
        ([(1, 5.0, 105.0), (2, 0.0, 106.0)], None),
        ([(1, 5.0, 105.0), (1, 5.0, 147.0), (1, 45.0, 147.1)], 0.0),
    ],
    ids=["first", "alike", "late", "a quicker one", "restarted", "was suspended"],
)
def test_a_message_is_compared_with_the_quickest_of_its_sender(messages, delay):
    delays = MessageDelays()
    for started, sent_at, now in messages:
        found = delays.record_message("h1", started, sent_at, now)
    assert found == (None if delay is None else pytest.approx(delay))


def test_delays_of_removed_peers_are_dropped():
    delays = MessageDelays()
    delays.record_message("h1", 1, 0.0, 0.0)
    delays.record_message("h2", 1, 0.0, 0.0)
    delays.retain({"h2"})
    assert set(delays.quickest) == {"h2"}
