"""How hosts share requests that crash servers with peers and with the store."""

import asyncio
import random
from collections import Counter

import pytest
from gateway_world import ZONES, AdjustableClock, EventLog

from greengagepoint.config.eras import position_of
from greengagepoint.errors import StoreError
from greengagepoint.placing.tables import Server
from greengagepoint.quarantine.fingerprint import Fingerprint
from greengagepoint.quarantine.quarantine import Quarantine
from greengagepoint.quarantine.rules import QUARANTINE_SECONDS
from greengagepoint.quarantine.tables import Verdict
from greengagepoint_node.gateway.gossip import PERIOD_SECONDS
from greengagepoint_node.gateway.quarantine_store import (
    RETENTION_SECONDS,
    TAKEOVER_SECONDS,
    TRIAL_OUTCOME_SECONDS,
    WRITERS_PER_ENTRY,
    WRITTEN_ENTRIES_MAX,
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
from greengagepoint_node.gateway.store_types import (
    Changes,
    QuarantineEntry,
    RemovedKey,
    Snapshot,
    StoredItem,
)
from greengagepoint_node.gateway.view import FleetView

# Hosts have to agree within this time; users allow three more sends from then on.
CONTACT_SECONDS = 3.0
CRASHING = Fingerprint("f" * 32, "caller")
HOSTS = [f"h{number}" for number in range(6)]


class Identity:
    """A request of a known fingerprint."""

    def __init__(self, fingerprint=CRASHING):
        self.fingerprint = fingerprint
        self.head = fingerprint.content[:16]


class Network:
    """Hosts that send each other messages; ``loss`` is the share that is lost."""

    def __init__(self, hosts, loss=0.0):
        self.random = random.Random(7)
        self.loss = loss
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
        if self.random.random() >= self.loss:
            self.syncs[address].take(decode(body))

    def crash(self, host, number, fingerprint=CRASHING):
        server = Server(f"i-{number}", "booking", "", "zone-a", "north", 4)
        self.syncs[host].quarantine.note_end(Identity(fingerprint), server)

    def count_quarantining(self):
        now = self.clock.monotonic()
        tables = [sync.quarantine.table for sync in self.syncs.values()]
        verdicts = [table.standing(CRASHING, now).verdict for table in tables]
        return verdicts.count(Verdict.QUARANTINED)

    def exchange(self):
        """Make each host exchange tables with a random peer."""
        for sync in self.syncs.values():
            peers = sync.peers()
            peer = self.syncs[peers[self.random.randrange(len(peers))]]
            state = peer.shared()
            peer.take(sync.shared())
            sync.take(state)

    async def async_settle(self):
        """Run the sends of all hosts until no updates are pending."""
        for _ in range(40):
            for sync in self.syncs.values():
                sync._send_batch()
            await asyncio.sleep(0)
            await asyncio.sleep(0)


@pytest.mark.parametrize("count", [3, 11, 195])
async def test_three_crashes_at_three_hosts_reach_all_hosts(count):
    network = Network([f"h{number}" for number in range(count)])
    for number in range(3):
        network.crash(f"h{number}", number)
    await network.async_settle()
    assert network.sent <= 3 * FANOUT * count
    # Each host forwards an update once, which misses a few hosts of a large fleet. The
    # exchanges of tables reach them in time.
    for _ in range(int(CONTACT_SECONDS / PERIOD_SECONDS)):
        network.exchange()
    assert network.count_quarantining() == count


async def test_an_exchange_of_tables_makes_up_for_lost_messages():
    network = Network(HOSTS, loss=1.0)
    for number in range(3):
        network.crash("h0", number)
    await network.async_settle()
    assert network.count_quarantining() == 1
    for name in HOSTS[1:]:
        network.syncs[name].take(network.syncs["h0"].shared())
    assert network.count_quarantining() == len(HOSTS)


async def test_many_crashes_are_sent_in_batches_with_the_most_crashes_first():
    network = Network(HOSTS[:2])
    for number in range(3 * ROWS_MAX):
        network.crash("h0", 0, Fingerprint(f"{number:032}", "caller"))
    for number in range(3):
        network.crash("h0", number)
    network.syncs["h0"]._send_batch()
    await asyncio.sleep(0)
    assert network.count_quarantining() == 2
    assert len(network.syncs["h1"].quarantine.table.suspects) == ROWS_MAX


async def test_single_crashes_of_a_lost_zone_are_not_forwarded():
    network = Network([f"h{number}" for number in range(20)])
    for number in range(ROWS_MAX):
        network.crash("h0", 0, Fingerprint(f"{number:032}", "caller"))
    await network.async_settle()
    assert network.sent == FANOUT
    network.crash("h0", 1, Fingerprint(f"{0:032}", "caller"))
    await network.async_settle()
    assert network.sent > 3 * FANOUT


class Store:
    """A store that keeps entries in memory."""

    def __init__(self):
        self.entries = {}
        self.leases = []
        self.calls = 0
        self.is_unavailable = False

    async def async_grant_lease(self, seconds):
        self._handle_call()
        self.leases.append(seconds)
        return len(self.leases)

    async def async_put(self, entries, lease):
        self._handle_call()
        self.entries |= {entry.content: entry for entry in entries}

    async def async_remove(self, entries):
        self._handle_call()
        for entry in entries:
            self.entries.pop(entry.content, None)

    def _handle_call(self):
        self.calls += 1
        if self.is_unavailable:
            raise StoreError("away")


class StoreHosts:
    """The hosts of a network with one store."""

    def __init__(self):
        self.network = Network(HOSTS)
        self.store = Store()
        self.hosts = list(HOSTS)
        self.quarantine_stores = {name: self.create_store(name) for name in HOSTS}

    def create_store(self, name):
        sync = self.network.syncs[name]
        return QuarantineStore(self.store, sync, name, lambda: self.hosts, EventLog())

    async def async_step(self, seconds=0.0):
        """Advance the clock and run a step of all hosts, with the store's entries."""
        self.network.clock.ahead += seconds
        state = dict(self.store.entries)
        for name in self.hosts:
            quarantine_store = self.quarantine_stores[name]
            for content in set(quarantine_store.stored) - set(state):
                quarantine_store.drop(quarantine_store.stored[content].entry)
            for entry in state.values():
                if entry.content not in quarantine_store.stored:
                    quarantine_store.take(entry)
            try:
                await quarantine_store._async_step()
            except StoreError:
                pass

    async def async_quarantine(self):
        for number in range(3):
            self.network.crash("h0", number)
        await self.network.async_settle()


async def test_one_host_writes_what_all_quarantine():
    fleet = StoreHosts()
    await fleet.async_quarantine()
    for _ in range(4):
        await fleet.async_step(TAKEOVER_SECONDS)
    assert list(fleet.store.entries) == [CRASHING.content]
    assert fleet.store.calls == 2
    assert fleet.store.leases == [
        pytest.approx(QUARANTINE_SECONDS[0] + RETENTION_SECONDS, abs=1.0)
    ]


async def test_another_host_writes_if_the_first_writers_do_not():
    fleet = StoreHosts()
    await fleet.async_quarantine()
    order = sorted(
        fleet.hosts,
        key=lambda name: fleet.quarantine_stores[name]._writer_position("f" * 32),
    )
    # The first two count as alive at the others, but do not write.
    for name in order[: WRITERS_PER_ENTRY - 1]:
        fleet.quarantine_stores[name]._async_step = lambda: asyncio.sleep(0)
    for _ in range(WRITERS_PER_ENTRY + 1):
        await fleet.async_step(TAKEOVER_SECONDS)
    assert list(fleet.store.entries) == [CRASHING.content]


async def test_entries_are_written_after_a_store_outage():
    fleet = StoreHosts()
    fleet.store.is_unavailable = True
    await fleet.async_quarantine()
    for _ in range(4):
        await fleet.async_step(TAKEOVER_SECONDS)
    assert not fleet.store.entries
    fleet.store.is_unavailable = False
    await fleet.async_step()
    assert list(fleet.store.entries) == [CRASHING.content]


async def test_entries_that_a_restored_store_forgot_are_written_again():
    fleet = StoreHosts()
    await fleet.async_quarantine()
    await fleet.async_step()
    fleet.store.entries.clear()
    for quarantine_store in fleet.quarantine_stores.values():
        quarantine_store.begin_era()
        await quarantine_store._async_step()
    assert list(fleet.store.entries) == [CRASHING.content]


async def test_a_new_host_quarantines_the_requests_in_the_store():
    fleet = StoreHosts()
    await fleet.async_quarantine()
    await fleet.async_step()
    new_network = Network(["h9"])
    quarantine_store = QuarantineStore(
        fleet.store, new_network.syncs["h9"], "h9", list, EventLog()
    )
    quarantine_store.take(fleet.store.entries[CRASHING.content])
    assert new_network.count_quarantining() == 1


async def test_entries_of_cleared_requests_are_removed():
    fleet = StoreHosts()
    await fleet.async_quarantine()
    await fleet.async_step()
    assert fleet.store.entries
    assert fleet.network.syncs["h3"].quarantine.lift(CRASHING.content)
    await fleet.network.async_settle()
    for _ in range(4):
        await fleet.async_step(TAKEOVER_SECONDS)
    assert not fleet.store.entries
    assert fleet.network.count_quarantining() == 0


async def test_two_crashes_are_written_if_no_answer_clears_them():
    fleet = StoreHosts()
    for number in range(2):
        fleet.network.crash("h0", number)
    await fleet.network.async_settle()
    await fleet.async_step()
    assert not fleet.store.entries
    for _ in range(3):
        await fleet.async_step(TRIAL_OUTCOME_SECONDS)
    assert list(fleet.store.entries) == [CRASHING.content]


async def test_a_third_crash_is_written_without_waiting_for_a_trial():
    fleet = StoreHosts()
    for number in range(2):
        fleet.network.crash("h0", number)
    await fleet.network.async_settle()
    await fleet.async_step()
    fleet.network.crash("h0", 2)
    await fleet.network.async_settle()
    await fleet.async_step()
    assert list(fleet.store.entries) == [CRASHING.content]


async def test_thousands_of_crashing_requests_are_written_in_batches():
    fleet = StoreHosts()
    fleet.hosts = ["h0"]
    for server in range(3):
        fleet.network.clock.ahead += 2.0
        for number in range(10 * WRITTEN_ENTRIES_MAX):
            fingerprint = Fingerprint(f"{number:032}", "caller")
            fleet.network.crash("h0", 3 * number + server, fingerprint)
    await fleet.async_step()
    assert len(fleet.store.entries) == WRITTEN_ENTRIES_MAX
    assert fleet.store.calls == 2


def test_messages_round_trip_through_the_codec():
    network = Network(["h0", "h1"])
    network.crash("h0", 1)
    rows = network.syncs["h0"].shared()
    assert decode(encode(rows)) == rows
    assert rows[0].ends[0].instance == "i-1"


class RecordedEntries:
    """Record the calls of a view."""

    def __init__(self):
        self.rows = []

    def take(self, entry):
        self.rows.append(("take", entry))

    def drop(self, entry):
        self.rows.append(("drop", entry))

    def begin_era(self):
        self.rows.append(("begin_era",))


def test_a_view_passes_on_added_and_removed_entries():
    stored_entry = QuarantineEntry("c", 30.0, ())
    view = FleetView(ZONES, lambda item: stored_entry, EventLog())
    view.quarantine = recorded = RecordedEntries()
    view.apply(Changes((StoredItem("q", b"", 5),), 5), 1.0)
    view.apply(Changes((RemovedKey("q", 6),), 6), 1.0)
    assert recorded.rows == [("take", stored_entry), ("drop", stored_entry)]


def test_a_view_tells_of_a_restore_before_the_entries_of_the_copy():
    stored_entry = QuarantineEntry("c", 30.0, ())
    view = FleetView(ZONES, lambda item: QuarantineEntry("c", 30.0, ()), EventLog())
    view.quarantine = recorded = RecordedEntries()
    view.apply(Changes((StoredItem("q", b"", 5),), 5), 1.0)
    position = position_of(1, 3)
    snapshot = Snapshot((StoredItem("q", b"", position),), position)
    view.replace(snapshot, 2.0)
    take = ("take", stored_entry)
    assert recorded.rows == [take, ("begin_era",), take]
