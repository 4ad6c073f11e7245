"""The membership coordinator on a fake bus, host list and clock."""

import random
from typing import NamedTuple

import pytest

from greengagepoint.errors import ErrorKind, StoreError
from greengagepoint.events import Event
from greengagepoint.hosts import HostIdentity
from greengagepoint.protocols import ListedHost
from greengagepoint_node.context import Context
from greengagepoint_node.coordinators.membership import MembershipCoordinator

NAMES = ("a", "b", "c")


class Network:
    """Clock and bus of some coordinators; each message arrives when pumped."""

    def __init__(self):
        self.now = 100.0
        self.callbacks = {}
        self.queue = []

    def monotonic(self):
        return self.now

    def wall_milliseconds(self):
        return 0

    def pump(self):
        while self.queue:
            target, sender, message = self.queue.pop(0)
            callback = self.callbacks.get((target, type(message)))
            if callback:
                callback(sender, message)


class Bus(NamedTuple):
    network: Network
    name: str

    def send(self, host, message):
        self.network.queue.append((host, self.name, message))
        return True

    def subscribe(self, message_type, callback):
        key = (self.name, message_type)
        self.network.callbacks[key] = callback
        return lambda: self.network.callbacks.pop(key)


class Events(list):
    def record(self, event, **fields):
        self.append((event, fields))


class HostListFake:
    """Return what it is told to, or fail."""

    def __init__(self, answer):
        self.answer = answer

    async def read(self):
        if isinstance(self.answer, Exception):
            raise self.answer
        return self.answer


def listing(name, peer_address="10.0.0.1:81"):
    return ListedHost(name, "10.0.0.1:80", peer_address, "r", f"z{name}", False)


FULL = tuple(listing(name) for name in NAMES)


def coordinator(network, name, answer):
    host = HostIdentity(name, 7, "r", f"z{name}", "10.0.0.1:80", "10.0.0.1:81")
    bus = Bus(network, name)
    context = Context(host, network, random.Random(1), None, bus, Events())
    return MembershipCoordinator(context, HostListFake(answer))


async def fleet(network, answers):
    made = [coordinator(network, name, answers[name]) for name in NAMES]
    for each in made:
        await each.async_start()
    run(network, made, 8)
    return made


def run(network, made, seconds):
    for _ in range(seconds):
        network.now += 1.0
        for each in made:
            each.tick(network.now)
        network.pump()


def names(hosts):
    return [host.name for host in hosts]


@pytest.mark.parametrize(
    ("broken", "event"),
    [
        (StoreError("down"), Event.HOST_LIST_UNAVAILABLE),
        (
            StoreError("garbage", ErrorKind.STORE_ANSWER_INVALID),
            Event.HOST_LIST_INVALID,
        ),
        ((), None),
        ((listing("x", "nonsense"), listing("")), Event.HOST_LIST_INVALID),
        (tuple(listing(f"old{n}") for n in range(5)), None),
    ],
)
async def test_host_with_a_bad_host_list_is_found_by_the_others(broken, event):
    """A host starts while the host list is down, empty, garbage or stale.

    The others have it on their list and probe it; it learns of them from their
    probes, so that callers are sent to all three hosts.
    """
    network = Network()
    made = await fleet(network, {"a": broken, "b": FULL, "c": FULL})
    assert [names(each.live_hosts()) for each in made] == [list(NAMES)] * 3
    recorded = {recorded for recorded, _ in made[0].context.events}
    assert event is None or event in recorded
    for each in made:
        await each.async_stop()


async def test_leaving_host_vanishes_at_once_then_stops():
    """A host is told to leave; the next message already takes it off look-ups.

    It still counts as known, with its address, until it stops; then it is gone.
    """
    network = Network()
    made = await fleet(network, dict.fromkeys(NAMES, FULL))
    versions = []
    unsubscribe = made[1].on_change(lambda: versions.append(made[1].version))
    before = made[1].version
    made[0].set_leaving()
    network.pump()
    for each in made:
        assert names(each.live_hosts()) == ["b", "c"]
        assert names(each.serving_hosts()) == ["b", "c"]
    assert made[1].peer_address("a") == "10.0.0.1:81"
    assert versions == [before + 1]
    unsubscribe()
    await made[0].async_stop()
    network.pump()
    held = {claim.name: claim for claim in made[1].known_hosts()}
    assert (held["a"].state, held["a"].leaving) == ("gone", True)
    recorded = [event for event, _ in made[1].context.events]
    assert recorded.count(Event.HOST_LEAVING) == 1
    assert recorded.count(Event.HOST_GONE) == 1
    for each in made[1:]:
        await each.async_stop()


async def test_notes_travel_with_probes():
    network = Network()
    made = await fleet(network, dict.fromkeys(NAMES, FULL))
    taken = []
    made[0].add_note("generation", lambda: b"7", lambda *_: None)
    made[1].add_note("generation", lambda: b"", lambda *note: taken.append(note))
    run(network, made, 4)
    assert set(taken) == {("a", b"7")}
    for each in made:
        await each.async_stop()
