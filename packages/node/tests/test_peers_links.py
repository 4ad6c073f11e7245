"""Peer links over real sockets on loopback."""

import asyncio
import contextlib

import msgspec
import pynng
import pytest

from greengagepoint.errors import PeerError, SettingError
from greengagepoint.events import Event
from greengagepoint_node import peer_sender
from greengagepoint_node.peer_codec import PeerCodec, Rejection
from greengagepoint_node.peer_events import MAX_EVENTS_PER_SECOND, LimitedEvents
from greengagepoint_node.peer_link import (
    MAX_QUEUED_MESSAGES,
    MAX_QUEUED_SECONDS,
    Link,
    Queued,
)
from greengagepoint_node.peers import PeerLinks

KEY = b"a key shared by all hosts"
ANY_PORT = "127.0.0.1:0"


class Beat(msgspec.Struct, tag="membership.test", array_like=True, frozen=True):
    number: int


class Grant(msgspec.Struct, tag="caps.test", array_like=True, frozen=True):
    units: int


class Events:
    def __init__(self):
        self.rows = []
        self.changed = asyncio.Event()

    def record(self, event, **fields):
        self.rows.append((event, fields))
        self.changed.set()

    async def async_wait_for(self, event):
        while event not in [row[0] for row in self.rows]:
            self.changed.clear()
            await self.changed.wait()


class Inbox(asyncio.Queue):
    def take(self, sender, message):
        self.put_nowait((sender, message))


class Cluster:
    def __init__(self):
        self.addresses = {}
        self.links = {}
        self.events = {}
        self.seen = []

    async def async_add(
        self, name, *, incarnation=1, known=None, listen_address=ANY_PORT
    ):
        self.events[name] = Events()
        links = PeerLinks(
            host=name,
            incarnation=incarnation,
            listen_address=listen_address,
            key=KEY,
            address_of=self.addresses.get,
            events=self.events[name],
            clock_now=lambda: (5, 1),
            clock_seen=self.seen.append,
            known=known,
            types=(Beat, Grant),
            refused_poll_seconds=0.01,
        )
        await links.async_start()
        self.addresses[name] = links.bound_address
        self.links[name] = links
        return links


@pytest.fixture
async def cluster():
    made = Cluster()
    yield made
    for links in made.links.values():
        await links.async_stop()


def inbox_of(links, message_type):
    inbox = Inbox()
    links.subscribe(message_type, inbox.take)
    return inbox


async def test_messages_of_one_turn_travel_in_one_envelope(cluster):
    one, two = await cluster.async_add("one"), await cluster.async_add("two")
    inbox = inbox_of(two, Grant)
    assert all(one.send("two", Grant(units)) for units in range(5))
    received = [await inbox.get() for _ in range(5)]
    assert received == [("one", Grant(units)) for units in range(5)]
    assert (one.counters.envelopes_out, one.counters.messages_out) == (1, 5)
    assert (two.counters.envelopes_in, two.counters.messages_in) == (1, 5)
    assert two.counters.bytes_in == one.counters.bytes_out > 0
    assert cluster.seen == [(5, 1)]


async def test_garbage_and_a_wrong_key_disturb_nothing(cluster):
    """Someone sends garbage, then an envelope under another key, to the peer port.
    Each gives one event, and the true peer's message still arrives.
    """
    one, two = await cluster.async_add("one"), await cluster.async_add("two")
    inbox = inbox_of(two, Grant)
    forged = PeerCodec("one", 1, b"another key", (Grant,))
    with pynng.Push0(dial=f"tcp://{two.bound_address}") as stranger:
        for data in (b"", b"\x00" * 100, forged.encode("two", (1, 1), [Grant(9)])):
            await stranger.asend(data)
        while two.counters.rejected < 3:
            cluster.events["two"].changed.clear()
            await cluster.events["two"].changed.wait()
    one.send("two", Grant(1))
    assert await inbox.get() == ("one", Grant(1))
    assert [
        (event, fields["reason"]) for event, fields in cluster.events["two"].rows
    ] == [
        (Event.PEER_MESSAGE_REJECTED, Rejection.TOO_SHORT),
        (Event.PEER_MESSAGE_REJECTED, Rejection.WRONG_MAC),
        (Event.PEER_MESSAGE_REJECTED, Rejection.WRONG_MAC),
    ]


@pytest.mark.parametrize(
    "data", [b"GET / HTTP/1.1\r\n\r\n", b"\xff" * 64, b"\0SP\0\0\x10\0\0"]
)
async def test_a_connection_that_is_no_peers_gives_one_event(cluster, data):
    """Someone connects to the peer port and sends garbage, or speaks another protocol
    of NNG. The connection is closed; one event tells of it, and peers still arrive.
    """
    one, two = await cluster.async_add("one"), await cluster.async_add("two")
    inbox = inbox_of(two, Grant)
    ip, port = two.bound_address.split(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    writer.write(data)
    while await reader.read(100):
        pass
    writer.close()
    await cluster.events["two"].async_wait_for(Event.PEER_MESSAGE_REJECTED)
    one.send("two", Grant(1))
    assert await inbox.get() == ("one", Grant(1))
    ((_, fields),) = cluster.events["two"].rows
    assert fields["reason"] == Rejection.NOT_A_PEER


async def test_an_unknown_host_may_only_announce_itself(cluster):
    """A new host sends its heartbeat and a grant before the receiver knows it. The
    heartbeat is taken, since that is how it becomes known; the grant is refused with
    one event.
    """
    two = await cluster.async_add("two", known=lambda name: False)
    one = await cluster.async_add("one")
    beats, grants = inbox_of(two, Beat), inbox_of(two, Grant)
    one.send("two", Grant(1))
    one.send("two", Beat(1))
    assert await beats.get() == ("one", Beat(1))
    assert grants.empty()
    assert cluster.events["two"].rows == [
        (Event.PEER_UNKNOWN, {"peer": "one", "count": 1})
    ]


async def test_a_peer_that_is_gone_costs_its_queue_and_no_more(cluster):
    """A peer's address refuses connections. Its messages wait, then there is no more
    room and the sender is told; messages to other peers still arrive.
    """
    one, two = await cluster.async_add("one"), await cluster.async_add("two")
    with contextlib.closing(pynng.Pull0()) as closed:
        address = str(closed.listen("tcp://127.0.0.1:0").local_address)
    cluster.addresses["gone"] = address
    inbox = inbox_of(two, Grant)
    sent = [one.send("gone", Grant(n)) for n in range(MAX_QUEUED_MESSAGES + 2)]
    assert sent == [True] * MAX_QUEUED_MESSAGES + [False] * 2
    one.send("two", Grant(1))
    assert await inbox.get() == ("one", Grant(1))
    assert one.counters.dropped == 2
    assert cluster.events["one"].rows[0] == (
        Event.PEER_MESSAGE_DROPPED,
        {"peer": "gone", "count": 1, "reason": "queue_full"},
    )


async def test_a_host_without_an_address_is_refused_at_once(cluster):
    one = await cluster.async_add("one")
    assert not one.send("nobody", Grant(1))
    assert cluster.events["one"].rows[0][1]["reason"] == "no_address"


async def test_a_restarted_peer_is_reached_at_its_new_port(cluster):
    """A peer stops and comes back on another port with a new incarnation. The next
    message is dialled there; messages of the earlier run are refused.
    """
    one, two = await cluster.async_add("one"), await cluster.async_add("two")
    inbox = inbox_of(two, Grant)
    one.send("two", Grant(1))
    await inbox.get()
    await two.async_stop()
    two = await cluster.async_add("two", incarnation=2)
    inbox = inbox_of(two, Grant)
    one.send("two", Grant(2))
    assert await inbox.get() == ("one", Grant(2))


async def test_a_failing_subscriber_keeps_nothing_from_the_others(cluster):
    one, two = await cluster.async_add("one"), await cluster.async_add("two")

    def fail(sender, message):
        raise RuntimeError("broken")

    unsubscribe = two.subscribe(Grant, fail)
    inbox = inbox_of(two, Grant)
    one.send("two", Grant(1))
    await inbox.get()
    assert [row[0] for row in cluster.events["two"].rows] == [Event.INTERNAL_ERROR]
    unsubscribe()
    one.send("two", Grant(2))
    await inbox.get()
    assert len(cluster.events["two"].rows) == 1


async def test_a_stopping_daemon_still_sends_over_a_new_link(cluster):
    """A daemon stops and hands over its rights to a peer that it never spoke to. The
    link is not connected when the stop begins; the message arrives all the same.
    """
    one, two = await cluster.async_add("one"), await cluster.async_add("two")
    inbox = inbox_of(two, Grant)
    one.send("two", Grant(1))
    await one.async_stop()
    assert await inbox.get() == ("one", Grant(1))


async def test_an_address_in_use_is_a_wrong_setting(cluster):
    one = await cluster.async_add("one")
    with pytest.raises(SettingError, match="--peer-listen-address: cannot listen on"):
        await cluster.async_add("two", listen_address=one.bound_address)


async def test_a_type_that_is_not_registered_cannot_be_subscribed_to(cluster):
    one = await cluster.async_add("one")
    with pytest.raises(PeerError, match="str is not a registered peer message"):
        one.subscribe(str, print)


async def test_messages_that_waited_too_long_are_forgotten(cluster):
    """A peer does not answer for seconds, then comes back. What was queued for it long
    ago is of no use by then, so only what is fresh is still sent.
    """
    link = Link("gone", "127.0.0.1:1")
    link.queue.extend(Queued(Grant(n), at) for n, at in enumerate((1.0, 2.0, 5.0)))
    assert link.remove_stale(2.0 + MAX_QUEUED_SECONDS) == 1
    assert [queued.at for queued in link.queue] == [2.0, 5.0]
    link.close()


async def test_the_link_used_least_recently_makes_room(cluster, monkeypatch):
    monkeypatch.setattr(peer_sender, "MAX_LINKS", 1)
    one, two = await cluster.async_add("one"), await cluster.async_add("two")
    three = await cluster.async_add("three")
    for name, links in (("two", two), ("three", three), ("two", two)):
        inbox = inbox_of(links, Grant)
        one.send(name, Grant(1))
        assert await inbox.get() == ("one", Grant(1))
        assert list(one.sender.links) == [name]


def test_a_flood_leaves_a_few_events_and_their_number():
    """Someone floods the peer port. Five events a second are kept, later ones tell how
    many were left out, and events of other numbers are not held back.
    """
    now = 100.0
    sink = Events()
    limited = LimitedEvents(sink, lambda: now)
    for _ in range(1_000):
        limited.record(Event.PEER_MESSAGE_REJECTED)
    limited.record(Event.PEER_UNKNOWN)
    now = 101.0
    limited.record(Event.PEER_MESSAGE_REJECTED)
    limited.record(Event.PEER_MESSAGE_REJECTED)
    assert sink.rows == [
        *[(Event.PEER_MESSAGE_REJECTED, {})] * MAX_EVENTS_PER_SECOND,
        (Event.PEER_UNKNOWN, {}),
        (Event.PEER_MESSAGE_REJECTED, {"left_out": 1_000 - MAX_EVENTS_PER_SECOND}),
        (Event.PEER_MESSAGE_REJECTED, {}),
    ]
