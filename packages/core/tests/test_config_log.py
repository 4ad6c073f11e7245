"""Test that the log only grows, whatever it is offered and by whom."""

import random
from collections import deque

from hypothesis import given, settings
from hypothesis import strategies as st

from greengagepoint.config import exchange as peers
from greengagepoint.config.entries import Change, Entry, decode_entry, make_entry
from greengagepoint.config.log import Applied, ConfigLog, apply_entry
from greengagepoint.config.state import Exchange
from greengagepoint.config.tree import children_of
from greengagepoint.config.watchers import WATCHERS_A_REGION, watchers_of
from greengagepoint.errors import ErrorKind, StoreError
from greengagepoint.hosts import HostIdentity
from greengagepoint.records.loading import RecordDocument


def next_entry(log: ConfigLog, burst: int) -> Entry:
    fields = {"requests_per_second": 1, "burst": burst}
    document = RecordDocument(kind="team", name="t", schema_version=1, fields=fields)
    return make_entry(
        generation=log.generation + 1,
        write_id=f"w{burst}",
        author="maria",
        at_ms=0,
        changes=[Change(kind="team", name="t", document=document)],
        previous_digest=log.digest,
    )


def chain(length: int, fork_at: int | None = None) -> list[Entry]:
    log = ConfigLog()
    for generation in range(1, length + 1):
        forked = fork_at is not None and generation >= fork_at
        apply_entry(log, next_entry(log, generation + 1000 * forked))
    return list(log.tail)


@given(
    st.lists(
        st.tuples(st.booleans(), st.integers(min_value=-2, max_value=2)), max_size=60
    )
)
def test_log_never_goes_back_nor_joins_histories(offers):
    """Entries of two histories arrive in any order, repeated, with gaps.

    The log takes only the next entry of the history it is in; what is in force
    is always that of the newest entry taken.
    """
    histories = (chain(10), chain(10, fork_at=4))
    log = ConfigLog()
    for other, offset in offers:
        index = min(max(log.generation + offset, 0), 9)
        entry = histories[other][index]
        generation, digest = log.generation, log.digest
        outcome = apply_entry(log, entry)
        assert log.generation == generation + (outcome is Applied.APPLIED)
        if outcome is not Applied.APPLIED:
            assert log.digest == digest
        if index > generation:
            assert outcome is Applied.GAP
        assert list(log.tail) in [history[: log.generation] for history in histories]
    newest = log.tail[-1].changes[0].document if log.tail else None
    assert (log.rows["team", "t"].document if log.rows else None) == newest


@given(st.binary(max_size=200), st.integers(min_value=0, max_value=300))
def test_damaged_entry_is_refused(garbage, position):
    encoded = chain(1)[0].encoded
    at = position % len(encoded)
    flipped = bytes([encoded[at] ^ 1])
    for value in (garbage, encoded[:at], encoded[:at] + flipped + encoded[at + 1 :]):
        try:
            decode_entry(value)
        except StoreError as error:
            assert error.kind is ErrorKind.STORE_ANSWER_INVALID
        else:
            raise AssertionError("a damaged entry was taken")


def hosts(regions: int, each: int) -> list[HostIdentity]:
    return [
        HostIdentity(f"h{region}-{index}", 1, f"r{region}", "z", "", "")
        for region in range(regions)
        for index in range(each)
    ]


class Fleet:
    """Exchanges of several hosts with lossy messages between them."""

    def __init__(self, regions: int, each: int, seed: int) -> None:
        self.live = hosts(regions, each)
        self.nodes = {host.name: Exchange(host, ConfigLog()) for host in self.live}
        self.random = random.Random(seed)
        self.queue: deque = deque()
        self.loss = 0.0
        self.now = 0.0

    def send(self, sender, sends):
        self.queue.extend((sender, send) for send in sends)

    def deliver(self):
        while self.queue:
            sender, (recipient, message) = self.queue.popleft()
            if self.random.random() < self.loss:
                continue
            node = self.nodes[recipient]
            peers.see(node, self.live)
            answers = peers.HANDLERS[type(message)](node, sender, message)
            self.send(recipient, answers)

    def tick(self):
        self.now += 1
        for name, node in self.nodes.items():
            peers.see(node, self.live)
            self.send(name, peers.run(node, self.now, self.random))
        self.deliver()

    def write(self, name, burst):
        node = self.nodes[name]
        entry = next_entry(node.log, burst)
        peers.see(node, self.live)
        _, new = peers.take_entries(node, [entry], "store")
        self.send(name, peers.push(node, new))
        self.deliver()

    def heads(self):
        return {node.log.digest for node in self.nodes.values()}


@settings(max_examples=30)
@given(
    st.integers(min_value=0, max_value=10**6),
    st.floats(min_value=0, max_value=0.9),
    st.integers(min_value=1, max_value=5),
)
def test_hosts_converge_after_losses(seed, loss, changes):
    """Messages are lost while changes are pushed, then the links are well.

    Every host has the newest generation within a few ticks, by anti-entropy
    alone, and at no time is any host ahead of the writer or on another history.
    """
    fleet = Fleet(regions=3, each=5, seed=seed)
    fleet.loss = loss
    for burst in range(1, changes + 1):
        fleet.write("h0-0", burst)
        fleet.tick()
    fleet.loss = 0.0
    for _ in range(12):
        fleet.tick()
    assert fleet.heads() == {fleet.nodes["h0-0"].log.digest}


def test_push_alone_reaches_all_hosts_in_few_messages():
    fleet = Fleet(regions=3, each=40, seed=1)
    fleet.write("h1-7", 1)
    assert len(fleet.heads()) == 1


def test_host_far_behind_gets_a_snapshot():
    """A host starts when the entries it lacks are cut off everywhere.

    A peer sends the records themselves in parts, and then only what is new.
    """
    fleet = Fleet(regions=1, each=2, seed=1)
    late = fleet.nodes.pop("h0-1")
    fleet.live = fleet.live[:1]
    for burst in range(1, 300):
        fleet.write("h0-0", burst)
    assert fleet.nodes["h0-0"].log.entries_after(0) is None
    fleet.nodes["h0-1"] = late
    fleet.live = hosts(1, 2)
    fleet.tick()
    assert fleet.heads() == {fleet.nodes["h0-0"].log.digest}
    fleet.write("h0-0", 300)
    assert late.log.rows["team", "t"].document.fields["burst"] == 300


def test_tree_reaches_each_host_once():
    live = hosts(1, 50)
    reached = [
        child for host in live for child in children_of(host.name, "h0-3", "r0", live)
    ]
    assert reached[:4] != list(children_of("h0-4", "h0-4", "r0", live))
    assert sorted(reached) == sorted({host.name for host in live} - {"h0-3"})


def test_loss_of_a_host_moves_no_other_watcher():
    live = hosts(1, 12)
    before = watchers_of("r0", live)
    assert len(before) == WATCHERS_A_REGION
    for lost in live:
        after = watchers_of("r0", [host for host in live if host is not lost])
        assert set(before) - {lost.name} <= set(after)
