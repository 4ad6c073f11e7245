"""News for many peers, of which some are gone, slow or behind a full link."""

import asyncio
import random

import pytest
from deployment import async_until
from test_gateway_gossip import NOW, Request, host
from test_gateway_large_values import async_peers

from greengagepoint_node.gateway.delays import OFFSET_RISE_PER_SECOND, MessageDelays
from greengagepoint_node.gateway.facts import Changes, StoredItem
from greengagepoint_node.gateway.gossip import UPDATE_WAIT_SECONDS
from greengagepoint_node.gateway.gossip_messages import HostState, decode
from greengagepoint_node.gateway.host_table import HeardHost
from greengagepoint_node.gateway.peer_notifier import LARGE_SENDS_MAX, NOTIFY_SECONDS
from greengagepoint_standins.relay import Relay, SlowLink

LARGE = random.Random(2).randbytes(60_000)


class PendingPost:
    """One message on its way; peers named dead never take it."""

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
    """Keep what peers took."""

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


async def test_news_that_waited_for_its_turn_is_not_taken_for_fresh():
    # A configuration is large, and the peers before this one are slow. What it is told
    # at last was true seconds ago: taken for fresh, routes that were added since would
    # be refused with 404.
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
    await peer.async_take_news(Request(whole))
    assert peer.view.revision == 5
    assert peer.ages.peers_at <= confirmed_at
    assert not peer.ages.is_current()


async def test_what_is_to_be_told_as_a_send_ends_is_told_at_once():
    # A change is read in the very step in which the send before it has ended. Left for
    # the next change, the peer would hear of it a second later.
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


async def test_peers_that_are_gone_do_not_keep_a_living_one_from_a_newer_version():
    # A zone is cut off with eight hosts, and two large versions follow each other. A
    # host that lives has to get the newer one, not the older one only.
    watcher, session = create_watcher(*(f"dead{number}" for number in range(8)), "p")
    apply_large_value(watcher, 5)
    await asyncio.sleep(0.01)
    apply_large_value(watcher, 6, before=5)
    await async_until(lambda: session.sent)
    await async_until(lambda: decode(session.sent[-1]).revision == 6)
    for task in watcher.notifier.tasks.values():
        task.cancel()


async def async_update_during_large_sends(watcher, session):
    """Let a configuration wait for dead peers, and a zone be emptied meanwhile."""
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


async def test_word_of_a_server_does_not_wait_for_a_large_value():
    # The operators add 1,400 routes, and a watcher tells thirty hosts, eight at a time;
    # some have full links, and hold their turn for seconds. A server that leaves in the
    # meantime was told of in the same message, so hosts that wait for their turn sent
    # callers there until it came.
    dead = [f"dead{number}" for number in range(LARGE_SENDS_MAX)]
    watcher, session = create_watcher(*dead, "p")
    peer = host("p")
    for body in await async_update_during_large_sends(watcher, session):
        await peer.async_take_news(Request(body))
    assert peer.view.evacuated_at == {"zone-a": NOW}
    assert peer.ages.informed_at() == NOW
    # The large value is still to come: unknown paths may be known to others.
    assert peer.view.revision == 0
    assert not peer.ages.is_current()
    assert not peer.exchange_tasks, "what is lacking is on its way already"
    learned = watcher.encoded(0)
    peer.take_encoded(learned)
    assert peer.view.revision == 6
    assert peer.ages.is_current()


async def test_word_that_was_missed_is_asked_for():
    # The first word beside a large value got lost. The next one does not hold it, so
    # the host must not take itself for informed.
    watcher, session = create_watcher(
        *(f"dead{n}" for n in range(LARGE_SENDS_MAX)), "p"
    )
    peer = host("p", session=Session())
    bodies = await async_update_during_large_sends(watcher, session)
    await peer.async_take_news(Request(bodies[-1]))
    assert peer.ages.informed_at() < NOW
    assert set(peer.exchange_tasks) == {"w:2"}
    for task in peer.exchange_tasks.values():
        task.cancel()


async def test_a_tick_that_lay_in_a_full_link_is_not_taken_for_fresh():
    # The watcher's link is full of answers to callers. Word that there is nothing new
    # lies in it for seconds, long after its sender gave it up. Its receiver would take
    # itself for up to date, answer 404 on new routes, and not ask the store.
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
async def test_a_peer_that_trickles_keeps_others_from_telling_for_two_seconds_only(
    seconds, revision
):
    # A peer sends its news byte by byte, for as long as it likes. While it was waited
    # for, no other peer was asked, and the host knew nothing of changes.
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


def test_delays_of_peers_that_are_gone_are_forgotten():
    delays = MessageDelays()
    delays.record_message("h1", 1, 0.0, 0.0)
    delays.record_message("h2", 1, 0.0, 0.0)
    delays.retain({"h2"})
    assert set(delays.quickest) == {"h2"}
