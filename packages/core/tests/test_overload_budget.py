"""Unit tests of limits, fair queueing, retry budget and hedging."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengagepoint.overload import fair_queue, limiter, retries, team_limits
from greengagepoint.overload.limiter import Limiter
from greengagepoint.overload.retries import LatencyQuantile, RetryBudget
from greengagepoint.overload.tables import ClassQueue, Ticket, create_pool
from greengagepoint.overload.team_limits import TeamLimits
from greengagepoint.records.schemas import RequestClass

LOOKUP, ARCHIVE = RequestClass.LOOKUP, RequestClass.ARCHIVE


def feed(host_limiter, latency, seconds, start, *, full=True, rate=200, of=LOOKUP):
    """Record samples of one latency for some seconds; return the end time."""
    for step in range(int(seconds * rate)):
        if full:
            limiter.record_limit_reached(host_limiter)
        limiter.record_sample(host_limiter, of, latency, start + step / rate)
    return start + seconds


def test_the_limit_falls_with_latency_and_recovers():
    """Backend servers slow down fourfold for two seconds and recover. The limit
    falls below half and grows again after the recovery.
    """
    host_limiter = Limiter(limit=40, maximum=60, share=40)
    now = feed(host_limiter, 0.05, 5, 0.0)
    before = host_limiter.limit
    now = feed(host_limiter, 0.2, 4, now)
    assert host_limiter.limit < before / 2
    low = host_limiter.limit
    feed(host_limiter, 0.05, 10, now)
    assert host_limiter.limit > 1.5 * low


@pytest.mark.parametrize(("limit", "falls"), [(10, False), (40, True)])
def test_host_limits_converge_to_their_shares(limit, falls):
    """Two hosts see the same queueing in the backend servers, which doubles the
    latency. The host below its share keeps its limit, the one above lowers it.
    """
    host_limiter = Limiter(limit=limit, maximum=60, share=20)
    now = feed(host_limiter, 0.05, 5, 0.0, full=False)
    feed(host_limiter, 0.1, 5, now, full=False)
    assert (host_limiter.limit < limit) is falls


@pytest.mark.parametrize(("full", "grows"), [(True, True), (False, False)])
def test_the_limit_grows_only_after_it_was_reached(full, grows):
    host_limiter = Limiter(limit=10, maximum=20, share=10)
    feed(host_limiter, 0.05, 15, 0.0, full=full)
    assert (host_limiter.limit > 10) is grows
    assert host_limiter.limit <= 20


@pytest.mark.parametrize(("every", "falls"), [(20, False), (3, True), (1, True)])
def test_the_limit_falls_when_many_fail_and_not_for_one_server(every, falls):
    """One backend server of twenty fails all requests until it is ejected. The
    others carry the load, so the limit stays. When a third shed load, it falls.
    """
    host_limiter = Limiter(limit=40, maximum=40, share=40)
    for step in range(2000):
        if step % every == 0:
            limiter.record_failure(host_limiter, step / 200)
        else:
            limiter.record_sample(host_limiter, LOOKUP, 0.05, step / 200)
    assert (host_limiter.limit < 20) is falls
    assert falls or host_limiter.limit == 40


def test_archives_do_not_look_like_a_slow_backend_server():
    host_limiter = Limiter(limit=10, maximum=10, share=10)
    now = feed(host_limiter, 0.05, 5, 0.0, full=False)
    now = feed(host_limiter, 2.0, 5, now, full=False, of=ARCHIVE)
    assert host_limiter.limit == 10


def test_the_limit_recovers_when_latency_stays_high():
    """A cold cache triples the latency for minutes. After two baseline periods the
    limit no longer falls, although the latency stays high.
    """
    host_limiter = Limiter(limit=40, maximum=40, share=40)
    now = feed(host_limiter, 0.05, 5, 0.0)
    now = feed(host_limiter, 0.15, 45, now)
    lowest = host_limiter.limit
    feed(host_limiter, 0.15, 30, now)
    assert host_limiter.limit > lowest


TICKETS = st.lists(
    st.tuples(st.sampled_from(["a", "b", "c"]), st.sampled_from([0.5, 1.0, 2.0])),
    min_size=1,
    max_size=30,
)


@given(TICKETS, st.integers(0, 10))
def test_count_ahead_matches_the_queue_position(rows, taken):
    queue = ClassQueue()
    weights = dict(rows)
    tickets = [
        Ticket(number, team, weights[team], LOOKUP, 9.0, 0.0)
        for number, (team, _) in enumerate(rows)
    ]
    for ticket in tickets[:-1]:
        fair_queue.push(queue, ticket)
    for _ in range(min(taken, queue.length)):
        fair_queue.pop(queue)
    expected = fair_queue.count_ahead(queue, tickets[-1])
    fair_queue.push(queue, tickets[-1])
    order = fair_queue.dequeue_order(queue)
    assert abs(order.index(tickets[-1]) - expected) <= 2
    assert [fair_queue.pop(queue) for _ in order] == order


def test_retries_are_limited_to_a_tenth_of_the_requests():
    """Every attempt fails and every request would be retried twice. The budget allows
    retries for a tenth of them, so that failing servers don't get triple the load.
    """
    budget = RetryBudget()
    allowed = 0
    for _ in range(1000):
        retries.deposit(budget)
        allowed += sum(retries.withdraw(budget) for _ in range(2))
    assert 100 <= allowed <= 105


def test_retry_delays_are_spread_and_bounded():
    source = random.Random(3)
    delays = [retries.retry_delay(attempt, source) for attempt in range(1, 9)] * 20
    assert max(delays) <= retries.BACKOFF_MAX_SECONDS
    assert len({round(delay, 4) for delay in delays}) >= 7


@pytest.mark.parametrize(
    ("elapsed", "repeatable", "tokens", "in_flight", "hedged"),
    [
        (0.2, True, 5, 0, True),
        (0.05, True, 5, 0, False),
        (0.2, False, 5, 0, False),
        (0.2, True, 0.5, 0, False),
        (0.2, True, 5, 4, False),
    ],
)
def test_only_slow_repeatable_requests_are_hedged(
    elapsed, repeatable, tokens, in_flight, hedged
):
    quantile = LatencyQuantile()
    for number in range(1, 301):
        retries.record_latency(quantile, 0.1 if number % 40 else 0.3)
    pool = create_pool(4, 4)
    pool.in_flight = dict.fromkeys(range(in_flight), 0.0)
    budget = RetryBudget(tokens)
    found = retries.may_hedge(pool, budget, quantile, elapsed, repeatable=repeatable)
    assert found is hedged
    assert budget.tokens == tokens - hedged


def test_a_team_is_limited_to_its_rate():
    limits = TeamLimits()
    taken = [team_limits.take(limits, "a", 10, 5, step / 100) for step in range(200)]
    assert 23 <= taken.count(0.0) <= 25
    assert max(taken) <= 0.1
    assert team_limits.take(limits, "b", 10, 5, 1.0) == 0.0
    assert team_limits.take(limits, "c", 0, 0, 1.0) == float("inf")
