"""The order of waiting requests, and how they enter and leave the queue."""

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    consumes,
    invariant,
    multiple,
    rule,
)

from greengagepoint.admission import waiting
from greengagepoint.admission.waiting import (
    WAITING_MAX,
    Urgency,
    Waiting,
    WaitQueue,
    wait_until,
)


def row(rank=1, shed=0.0, ends_at=10.0, number=0, service="a", until=5.0):
    return Waiting(Urgency(rank, shed, ends_at, number), service, until)


def test_the_order_is_rank_then_account_share_then_deadline():
    rows = [
        row(rank=0, shed=0.9, ends_at=90.0),
        row(rank=1, shed=0.0, ends_at=50.0),
        row(rank=1, shed=0.0, ends_at=60.0),
        row(rank=1, shed=0.4, ends_at=10.0),
        row(rank=2, shed=0.0, ends_at=1.0),
    ]
    queue = WaitQueue()
    for found in reversed(rows):
        assert queue.add(found) is None
    assert queue.rows == rows


@pytest.mark.parametrize(
    ("new", "displaced"),
    [
        (row(rank=0, number=999), WAITING_MAX - 1),
        (row(rank=1, ends_at=1.0, number=999), WAITING_MAX - 1),
        (row(rank=1, number=999), 999),
        (row(rank=1, shed=0.1, ends_at=1.0, number=999), 999),
        (row(rank=2, ends_at=1.0, number=999), 999),
    ],
    ids=["rank", "earlier deadline", "equal", "account over its share", "lower rank"],
)
def test_only_a_more_urgent_request_displaces_the_last(new, displaced):
    # Equal requests would displace each other in turn, and none would get a server.
    queue = WaitQueue()
    for number in range(WAITING_MAX):
        queue.add(row(number=number))
    left = queue.add(new)
    assert left.urgency.number == displaced
    assert len(queue.rows) == WAITING_MAX


def test_a_request_whose_server_stays_busy_does_not_block_the_others():
    queue = WaitQueue()
    for number in range(5):
        queue.add(row(number=number))
    tried = []
    for _ in range(5):
        for found in queue.pop_next(2):
            tried.append(found.urgency.number)
            queue.add(found)
    assert tried == [0, 1, 0, 2, 0, 3, 0, 4, 0, 1]


@pytest.mark.parametrize(
    ("arrived_at", "ends_at", "began", "expected"),
    [
        (0.0, 9.0, 0.0, 0.2),
        (0.0, 9.0, 0.5, 0.5),
        (0.0, 0.4, 0.0, 0.1),
        (0.0, 9.0, 2.0, 0.5),
    ],
    ids=["a quarter of the goal", "goal", "deadline", "goal is out of reach"],
)
def test_a_wait_ends_while_the_run_still_fits(arrived_at, ends_at, began, expected):
    until = wait_until(arrived_at, ends_at, 0.8, 0.3, began)
    assert until == pytest.approx(expected)


class QueueMachine(RuleBasedStateMachine):
    """Compare the queue with a plain set of the requests that should wait."""

    waiting = Bundle("waiting")

    def __init__(self):
        super().__init__()
        self.queue = WaitQueue()
        self.expected = set()
        self.now = 0.0
        self.count = 0

    @rule(
        target=waiting,
        rank=st.integers(0, 3),
        shed=st.sampled_from([0.0, 0.2, 0.7]),
        ends_at=st.floats(0, 10),
        seconds=st.floats(0, 1),
        service=st.sampled_from("ab"),
        copies=st.integers(1, 30),
    )
    def add(self, rank, shed, ends_at, seconds, service, copies):
        rows = []
        for _ in range(copies):
            self.count += 1
            until = self.now + seconds
            new = row(rank, shed, ends_at, self.count, service, until)
            last = max(self.expected, default=None)
            is_full = len(self.expected) >= waiting.WAITING_MAX
            left = self.queue.add(new)
            self.expected.add(new)
            if not is_full:
                assert left is None
                rows.append(new)
                continue
            assert left == max(new, last)
            self.expected.remove(left)
            rows.append(new)
        return multiple(*rows)

    @rule(gone=consumes(waiting))
    def disconnect(self, gone):
        assert self.queue.remove(gone) == (gone in self.expected)
        self.expected.discard(gone)

    @rule(seconds=st.floats(0, 0.5))
    def expire(self, seconds):
        self.now += seconds
        gone = set(self.queue.pop_expired(self.now))
        assert gone == {found for found in self.expected if found.until <= self.now}
        self.expected -= gone

    @rule(count=st.integers(1, 6), served=st.booleans())
    def check(self, count, served):
        chosen = self.queue.pop_next(count)
        assert len(chosen) == min(count, len(self.expected))
        assert chosen == sorted(chosen)
        assert chosen[:1] == sorted(self.expected)[:1]
        assert bool(chosen) == bool(self.expected)
        for found in chosen:
            assert found in self.expected
            if served:
                self.expected.remove(found)
            else:
                self.queue.add(found)

    @rule(service=st.sampled_from("ab"))
    def respond(self, service):
        first = self.queue.pop_first(service)
        of_service = {found for found in self.expected if found.service == service}
        assert first == min(of_service, default=None)
        self.expected.discard(first)

    @invariant()
    def is_in_order_and_within_its_limit(self):
        assert self.queue.rows == sorted(self.expected)
        assert len(self.queue.rows) <= WAITING_MAX


TestQueueMachine = QueueMachine.TestCase
