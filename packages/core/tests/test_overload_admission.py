"""Admission under load: deadlines, classes, teams and retry-after times."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengagepoint.errors import ErrorKind
from greengagepoint.overload import admission
from greengagepoint.overload.tables import (
    Admitted,
    Queued,
    Rejected,
    Ticket,
    create_pool,
)
from greengagepoint.records.schemas import RequestClass

PAYMENT, LOOKUP, ARCHIVE = RequestClass


class PoolSimulation:
    """A pool with a fixed limit, warmed up with one service time; manual clock."""

    def __init__(self, limit=2, service_seconds=0.1):
        self.pool = create_pool(limit, limit)
        self.random = random.Random(7)
        self.now = 0.0
        self.last_id = 0
        self.tickets = {}
        for _ in range(limit * 8):
            self.offer(deadline=60)
        while self.pool.in_flight:
            self.now += service_seconds
            self.finish_all(service_seconds)

    def offer(self, request_class=LOOKUP, team="ermis", deadline=10.0, weight=1.0):
        self.last_id += 1
        ticket = Ticket(
            self.last_id, team, weight, request_class, self.now + deadline, self.now
        )
        self.tickets[ticket.id] = ticket
        return admission.offer(self.pool, ticket, self.now, self.random)

    def finish_all(self, latency=0.1):
        """Complete all requests in flight; return the tickets admitted next."""
        released = [
            admission.finish(
                self.pool, self.tickets[number], latency, self.now, self.random
            )
            for number in list(self.pool.in_flight)
        ]
        return [ticket for row in released for ticket in row.admitted]


def test_a_request_that_cannot_finish_is_rejected_immediately():
    """Requests take 100 ms each and all slots are in use. A request with 50 ms
    left, and one that would wait too long in the queue, are rejected on arrival.
    """
    simulation = PoolSimulation()
    assert simulation.offer() == Admitted()
    assert simulation.offer() == Admitted()
    rejected = simulation.offer(deadline=0.05)
    assert isinstance(rejected, Rejected)
    assert rejected.kind is ErrorKind.DEADLINE_TOO_SHORT
    assert isinstance(simulation.offer(deadline=0.5), Queued)
    for _ in range(3):
        simulation.offer()
    assert simulation.offer(deadline=0.25).kind is ErrorKind.DEADLINE_TOO_SHORT


def test_queue_wait_is_bounded_for_long_deadlines():
    """Lookups with a deadline of one minute arrive at a full service. They wait for
    one second at most; the others are rejected immediately as overloaded.
    """
    simulation = PoolSimulation()
    answers = [simulation.offer(deadline=60.0) for _ in range(30)]
    waits = [row.wait_seconds for row in answers if isinstance(row, Queued)]
    assert max(waits) == pytest.approx(1.0)
    assert {row.kind for row in answers[-8:]} == {ErrorKind.OVERLOADED}


def test_waiting_requests_are_rejected_before_their_deadline():
    """Six requests wait for a backend server that stops answering. Shortly before
    their deadline the last three can no longer finish in time and are rejected;
    the first three still can and stay queued.
    """
    simulation = PoolSimulation()
    for _ in range(8):
        simulation.offer(deadline=4.0)
    assert simulation.pool.length == 6
    simulation.now += 3.77
    refused = admission.expire(
        simulation.pool, simulation.now, simulation.random
    ).refused
    assert [row.ticket.id for row in refused] == [22, 23, 24]
    for ticket, rejection in refused:
        assert rejection.kind is ErrorKind.DEADLINE_TOO_SHORT
        assert rejection.retry_after_seconds >= 1
        assert ticket.ends_at > simulation.now
        assert ticket.id not in simulation.pool.in_flight


def test_payments_go_first_and_archives_are_not_starved():
    simulation = PoolSimulation(limit=1)
    simulation.offer()
    order = []
    simulation.offer(ARCHIVE, deadline=60.0)
    for _ in range(30):
        simulation.offer(PAYMENT, deadline=60.0)
        simulation.offer(LOOKUP, deadline=60.0)
        order += [ticket.request_class for ticket in simulation.finish_all()]
    assert order.count(PAYMENT) >= 28
    assert order.count(ARCHIVE) == 1


def test_a_flooding_team_does_not_delay_another_team():
    """One team floods the queue, then another sends a few requests with twice the
    weight. From then on, the second gets two slots for each slot of the first.
    """
    simulation = PoolSimulation(limit=3)
    for _ in range(20):
        simulation.offer(team="flood", deadline=60)
    for _ in range(6):
        simulation.offer(team="light", deadline=60, weight=2.0)
    order = [ticket.team for _ in range(3) for ticket in simulation.finish_all()]
    assert 5 <= order.count("light") <= 6


def test_a_high_estimate_does_not_block_admission():
    """The service gets so slow that the estimate exceeds every deadline. Requests
    are still admitted one at a time, so that a recovery is detected.
    """
    simulation = PoolSimulation()
    simulation.offer(deadline=60)
    simulation.now += 50
    simulation.finish_all(50.0)
    assert simulation.offer(deadline=1.0) == Admitted()
    assert isinstance(simulation.offer(deadline=1.0), Rejected)


def test_retry_after_times_are_spread():
    simulation = PoolSimulation(limit=10)
    refused = [
        answer
        for _ in range(600)
        if isinstance(answer := simulation.offer(deadline=0.5), Rejected)
    ]
    seconds = [answer.retry_after_seconds for answer in refused]
    assert max(seconds.count(value) for value in set(seconds)) <= len(seconds) / 3
    assert all(1 <= value <= 10 for value in seconds)


STEPS = st.lists(
    st.one_of(
        st.tuples(
            st.just("offer"),
            st.sampled_from(list(RequestClass)),
            st.sampled_from(["a", "b", "c"]),
            st.floats(0.05, 5),
        ),
        st.tuples(st.sampled_from(["finish", "shed", "leave", "expire", "wait"])),
    ),
    max_size=80,
)


@given(STEPS)
def test_each_request_ends_exactly_once(steps):
    """For any order of events, each request is sent or rejected once, no more are in
    flight than the limit allows, and none waits while a slot is free.
    """
    simulation = PoolSimulation()
    sent, refused, withdrawn, sent_before_withdrawal = [], [], set(), set()

    def record_released(released):
        sent.extend(ticket.id for ticket in released.admitted)
        refused.extend(row.ticket.id for row in released.refused)

    simulation.last_id = 1000
    for kind, *rest in steps:
        simulation.now += 0.01
        if kind == "offer":
            request_class, team, deadline = rest
            answer = simulation.offer(request_class, team, deadline)
            if isinstance(answer, Admitted):
                sent.append(simulation.last_id)
            elif isinstance(answer, Rejected):
                refused.append(simulation.last_id)
        elif kind == "wait":
            simulation.now += 0.2
        elif kind == "expire":
            record_released(
                admission.expire(simulation.pool, simulation.now, simulation.random)
            )
        elif kind == "leave" and simulation.last_id > 1000:
            ticket = simulation.tickets[simulation.last_id]
            withdrawn.add(ticket.id)
            record_released(
                admission.withdraw(
                    simulation.pool, ticket, simulation.now, simulation.random
                )
            )
            sent_before_withdrawal = set(sent)
        elif kind in ("finish", "shed") and simulation.pool.in_flight:
            ticket = simulation.tickets[next(iter(simulation.pool.in_flight))]
            ok = kind == "finish"
            args = (simulation.pool, ticket, 0.1, simulation.now, simulation.random)
            record_released(admission.finish(*args, ok=ok))
        assert len(simulation.pool.in_flight) <= 2
        full = len(simulation.pool.in_flight) >= int(simulation.pool.limiter.limit)
        assert not simulation.pool.length or full
    ended = sent + refused
    assert len(ended) == len(set(ended))
    # Requests withdrawn while they waited are never sent.
    assert not withdrawn & (set(sent) - sent_before_withdrawal)
    waiting = {
        ticket.id
        for queue in simulation.pool.queues.values()
        for team in queue.teams.values()
        for ticket in team.tickets
    }
    assert set(range(1001, simulation.last_id + 1)) - set(ended) - withdrawn == waiting
