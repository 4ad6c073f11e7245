"""How hosts tell each other, and the store, of requests that end servers."""

import asyncio
import random
from collections import Counter

import pytest
from gateway_world import ZONES, AdjustableClock, EventLog

from greengagepoint.errors import StoreError
from greengagepoint.placing.tables import Server
from greengagepoint.quarantine.fingerprint import Fingerprint
from greengagepoint.quarantine.quarantine import Quarantine
from greengagepoint.quarantine.rules import REFUSED_SECONDS
from greengagepoint.quarantine.tables import Verdict
from greengagepoint_node.gateway.facts import (
    Changes,
    QuarantineEntry,
    RemovedKey,
    StoredItem,
)
from greengagepoint_node.gateway.gossip import PERIOD_SECONDS
from greengagepoint_node.gateway.quarantine_store import (
    ENTRIES_MAX,
    KEEP_SECONDS,
    STEP_IN_SECONDS,
    UNDECIDED_SECONDS,
    WRITERS,
    QuarantineStore,
)
from greengagepoint_node.gateway.quarantine_sync import (
    FANOUT,
    ROWS_MAX,
    QuarantineSync,
    decode,
    encode,
)
from greengagepoint_node.gateway.request_quarantine import RequestQuarantine
from greengagepoint_node.gateway.view import FleetView

# Users allow three more sends from then on.
CONTACT_SECONDS = 3.0
FATAL = Fingerprint("f" * 32, "caller")
HOSTS = [f"h{number}" for number in range(6)]


class Identity:
    """A request of a known fingerprint."""

    def __init__(self, fingerprint=FATAL):
        self.fingerprint = fingerprint
        self.head = fingerprint.content[:16]


class Network:
    """Hosts that send each other messages, a part of which is lost."""

    def __init__(self, hosts, lost=0.0):
        self.random = random.Random(7)
        self.lost = lost
        self.sent = 0
        self.clock = AdjustableClock()
        self.syncs = {}
        for name in hosts:
            quarantine = RequestQuarantine(Quarantine(), self.clock, EventLog())
            sync = QuarantineSync(
                quarantine,
                lambda name=name: [row for row in self.syncs if row != name],
                None,
                self.random,
                EventLog(),
                Counter(),
            )
            quarantine.notify = sync.notify
            sync._async_send = self.async_send
            self.syncs[name] = sync

    async def async_send(self, address, body):
        self.sent += 1
        if self.random.random() >= self.lost:
            self.syncs[address].take(decode(body))

    def end(self, host, number, fingerprint=FATAL):
        server = Server(f"i-{number}", "booking", "", "zone-a", "north", 4)
        self.syncs[host].quarantine.note_end(Identity(fingerprint), server)

    def refusing(self):
        now = self.clock.monotonic()
        tables = [sync.quarantine.table for sync in self.syncs.values()]
        verdicts = [table.standing(FATAL, now).verdict for table in tables]
        return verdicts.count(Verdict.QUARANTINED)

    def exchange(self):
        """Let each host exchange tables with another one."""
        for sync in self.syncs.values():
            peers = sync.peers()
            other = self.syncs[peers[self.random.randrange(len(peers))]]
            told = other.shared()
            other.take(sync.shared())
            sync.take(told)

    async def async_settle(self):
        """Let all hosts send until nobody has anything left to tell."""
        for _ in range(40):
            for sync in self.syncs.values():
                sync._send_some()
            await asyncio.sleep(0)
            await asyncio.sleep(0)


@pytest.mark.parametrize("count", [3, 11, 195])
async def test_three_ends_at_three_hosts_are_known_to_all(count):
    network = Network([f"h{number}" for number in range(count)])
    for number in range(3):
        network.end(f"h{number}", number)
    await network.async_settle()
    assert network.sent <= 3 * FANOUT * count
    # Passed on once by each, news misses a few of many; exchanges bring it in time.
    for _ in range(int(CONTACT_SECONDS / PERIOD_SECONDS)):
        network.exchange()
    assert network.refusing() == count


async def test_an_exchange_brings_what_lost_messages_did_not():
    network = Network(HOSTS, lost=1.0)
    for number in range(3):
        network.end("h0", number)
    await network.async_settle()
    assert network.refusing() == 1
    for name in HOSTS[1:]:
        network.syncs[name].take(network.syncs["h0"].shared())
    assert network.refusing() == len(HOSTS)


async def test_many_ends_at_once_are_sent_in_parts_the_worst_first():
    network = Network(HOSTS[:2])
    for number in range(3 * ROWS_MAX):
        network.end("h0", 0, Fingerprint(f"{number:032}", "caller"))
    for number in range(3):
        network.end("h0", number)
    network.syncs["h0"]._send_some()
    await asyncio.sleep(0)
    assert network.refusing() == 2
    assert len(network.syncs["h1"].quarantine.table.suspects) == ROWS_MAX


async def test_the_single_ends_of_a_lost_zone_are_not_passed_on():
    network = Network([f"h{number}" for number in range(20)])
    for number in range(ROWS_MAX):
        network.end("h0", 0, Fingerprint(f"{number:032}", "caller"))
    await network.async_settle()
    assert network.sent == FANOUT
    network.end("h0", 1, Fingerprint(f"{0:032}", "caller"))
    await network.async_settle()
    assert network.sent > 3 * FANOUT


class Store:
    """A store that keeps what it is given."""

    def __init__(self):
        self.entries = {}
        self.leases = []
        self.calls = 0
        self.away = False

    async def async_grant_lease(self, seconds):
        self._answer()
        self.leases.append(seconds)
        return len(self.leases)

    async def async_put(self, entries, lease):
        self._answer()
        self.entries |= {entry.content: entry for entry in entries}

    async def async_remove(self, entries):
        self._answer()
        for entry in entries:
            self.entries.pop(entry.content, None)

    def _answer(self):
        self.calls += 1
        if self.away:
            raise StoreError("away")


class Keepers:
    """The hosts of a network with one store."""

    def __init__(self):
        self.network = Network(HOSTS)
        self.store = Store()
        self.hosts = list(HOSTS)
        self.keepers = {name: self.keeper(name) for name in HOSTS}

    def keeper(self, name):
        sync = self.network.syncs[name]
        return QuarantineStore(self.store, sync, name, lambda: self.hosts, EventLog())

    async def async_step(self, seconds=0.0):
        """Let all hosts look, with what the store told them by then."""
        self.network.clock.ahead += seconds
        told = dict(self.store.entries)
        for name in self.hosts:
            keeper = self.keepers[name]
            for content in set(keeper.stored) - set(told):
                keeper.drop(keeper.stored[content].entry)
            for entry in told.values():
                if entry.content not in keeper.stored:
                    keeper.take(entry)
            try:
                await keeper._async_step()
            except StoreError:
                pass

    async def async_refused(self):
        for number in range(3):
            self.network.end("h0", number)
        await self.network.async_settle()


async def test_one_host_writes_what_all_refuse():
    keepers = Keepers()
    await keepers.async_refused()
    for _ in range(4):
        await keepers.async_step(STEP_IN_SECONDS)
    assert list(keepers.store.entries) == [FATAL.content]
    assert keepers.store.calls == 2
    assert keepers.store.leases == [
        pytest.approx(REFUSED_SECONDS[0] + KEEP_SECONDS, abs=1.0)
    ]


async def test_another_host_steps_in_for_one_that_is_gone():
    keepers = Keepers()
    await keepers.async_refused()
    order = sorted(
        keepers.hosts, key=lambda name: keepers.keepers[name]._turn("f" * 32)
    )
    # The first two are alive for the others, but do not write.
    for name in order[: WRITERS - 1]:
        keepers.keepers[name]._async_step = lambda: asyncio.sleep(0)
    for _ in range(WRITERS + 1):
        await keepers.async_step(STEP_IN_SECONDS)
    assert list(keepers.store.entries) == [FATAL.content]


async def test_a_store_that_was_away_is_told_on_its_return():
    keepers = Keepers()
    keepers.store.away = True
    await keepers.async_refused()
    for _ in range(4):
        await keepers.async_step(STEP_IN_SECONDS)
    assert not keepers.store.entries
    keepers.store.away = False
    await keepers.async_step()
    assert list(keepers.store.entries) == [FATAL.content]


async def test_a_host_that_starts_refuses_what_the_store_holds():
    keepers = Keepers()
    await keepers.async_refused()
    await keepers.async_step()
    fresh = Network(["h9"])
    keeper = QuarantineStore(keepers.store, fresh.syncs["h9"], "h9", list, EventLog())
    keeper.take(keepers.store.entries[FATAL.content])
    assert fresh.refusing() == 1


async def test_what_is_cleared_is_removed():
    keepers = Keepers()
    await keepers.async_refused()
    await keepers.async_step()
    assert keepers.store.entries
    assert keepers.network.syncs["h3"].quarantine.lift(FATAL.content)
    await keepers.network.async_settle()
    for _ in range(4):
        await keepers.async_step(STEP_IN_SECONDS)
    assert not keepers.store.entries
    assert keepers.network.refusing() == 0


async def test_two_ends_are_written_where_no_answer_clears_them():
    keepers = Keepers()
    for number in range(2):
        keepers.network.end("h0", number)
    await keepers.network.async_settle()
    await keepers.async_step()
    assert not keepers.store.entries
    for _ in range(3):
        await keepers.async_step(UNDECIDED_SECONDS)
    assert list(keepers.store.entries) == [FATAL.content]


async def test_a_third_end_is_written_though_two_were_left_undecided():
    keepers = Keepers()
    for number in range(2):
        keepers.network.end("h0", number)
    await keepers.network.async_settle()
    await keepers.async_step()
    keepers.network.end("h0", 2)
    await keepers.network.async_settle()
    await keepers.async_step()
    assert list(keepers.store.entries) == [FATAL.content]


async def test_thousands_of_fatal_requests_are_written_in_parts():
    keepers = Keepers()
    keepers.hosts = ["h0"]
    for server in range(3):
        keepers.network.clock.ahead += 2.0
        for number in range(10 * ENTRIES_MAX):
            fingerprint = Fingerprint(f"{number:032}", "caller")
            keepers.network.end("h0", 3 * number + server, fingerprint)
    await keepers.async_step()
    assert len(keepers.store.entries) == ENTRIES_MAX
    assert keepers.store.calls == 2


def test_messages_are_read_as_they_were_written():
    network = Network(["h0", "h1"])
    network.end("h0", 1)
    rows = network.syncs["h0"].shared()
    assert decode(encode(rows)) == rows
    assert rows[0].ends[0].instance == "i-1"


class Heard:
    """Keep what a view tells."""

    def __init__(self):
        self.rows = []

    def take(self, entry):
        self.rows.append(("take", entry))

    def drop(self, entry):
        self.rows.append(("drop", entry))


def test_a_view_tells_of_entries_as_they_come_and_go():
    fact = QuarantineEntry("c", 30.0, ())
    view = FleetView(ZONES, lambda item: fact, EventLog())
    view.quarantine = heard = Heard()
    view.apply(Changes((StoredItem("q", b"", 5),), 5), 1.0)
    view.apply(Changes((RemovedKey("q", 6),), 6), 1.0)
    assert heard.rows == [("take", fact), ("drop", fact)]
