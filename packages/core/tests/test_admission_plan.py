"""Which ranks and accounts are admitted when only a share of all requests can be."""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengagepoint.admission.demand import RATE_SECONDS, RecentDemand
from greengagepoint.admission.levels import ServiceLevel
from greengagepoint.admission.plan import (
    LOWER_LIMIT,
    create_plan,
    max_min_shares,
)
from greengagepoint.admission.pressure import MergedPressure
from greengagepoint.admission.retry_after import (
    RETRY_SECONDS_MAX,
    RETRY_SECONDS_MIN,
    retry_seconds,
)

RATES = st.dictionaries(
    st.tuples(st.integers(0, 4), st.sampled_from("abcdef")),
    st.floats(0.01, 1_000),
    min_size=1,
    max_size=12,
)


@pytest.mark.parametrize(
    ("share", "level", "by_rank"),
    [
        (1.0, 3.0, {0: 1.0, 1: 1.0, 2: 1.0}),
        (0.75, 2.02, {0: 1.0, 1: 1.0, 2: 0.24}),
        (0.3, 0.855, {0: 0.87, 1: 0.09, 2: 0.09}),
    ],
)
def test_the_share_goes_to_the_most_urgent_ranks(share, level, by_rank):
    # Rank 0 has 27% of the requests, ranks 1 and 2 have 40% and 33%.
    plan = create_plan({(0, ""): 27.0, (1, ""): 40.0, (2, ""): 33.0}, share)
    assert plan.level == pytest.approx(level, abs=0.02)
    assert plan.by_rank == pytest.approx(by_rank, abs=0.02)


@given(RATES, st.floats(0.02, 1.0))
def test_a_plan_admits_its_share_and_starves_no_rank_and_no_account(rates, share):
    # A share that is exceeded lets the queues of servers grow; a rank or account below
    # a quarter of the share would be starved.
    plan = create_plan(rates, share)
    admitted = {
        key: plan.probability(*key) * rate for key, rate in rates.items() if rate
    }
    total = sum(rates.values())
    assert math.fsum(admitted.values()) == pytest.approx(share * total, rel=1e-6)
    for key in rates:
        assert share * LOWER_LIMIT - 1e-9 <= plan.probability(*key) <= 1 + 1e-9
    assert 0 <= plan.level <= max(rank for rank, _ in rates) + 1


@given(RATES, st.floats(0.02, 0.99))
def test_a_more_urgent_rank_is_admitted_at_least_as_often(rates, share):
    plan = create_plan(rates, share)
    found = [plan.by_rank[rank] for rank in sorted(plan.by_rank)]
    assert all(
        first >= second - 1e-9 for first, second in zip(found, found[1:], strict=False)
    )


def test_a_flood_of_one_account_is_shed_and_the_others_are_admitted():
    plan = create_plan({(1, "flood"): 80.0, (1, "a"): 4.0, (1, "b"): 6.0}, 0.5)
    assert plan.probability(1, "a") == pytest.approx(1.0)
    assert plan.probability(1, "b") == pytest.approx(1.0)
    assert plan.probability(1, "flood") == pytest.approx(35 / 80, abs=0.01)


@pytest.mark.parametrize(
    ("rank", "expected"), [(0, 1.0), (1, 1.0), (3, 0.5 * LOWER_LIMIT)]
)
def test_a_caller_without_recent_requests_is_not_mistaken_for_a_flood(rank, expected):
    # Neither ranks nor accounts that were idle are in the table of probabilities.
    plan = create_plan({(1, "a"): 50.0, (1, "b"): 10.0, (2, "a"): 10.0}, 0.5)
    assert plan.probability(rank, "idle") == pytest.approx(expected)


@given(st.dictionaries(st.sampled_from("abcdef"), st.floats(0, 100)), st.floats(0, 500))
def test_max_min_shares_meet_small_demands_in_full(demands, capacity):
    shares = max_min_shares(demands, capacity)
    assert math.fsum(shares.values()) == pytest.approx(
        min(capacity, sum(demands.values())), abs=1e-6
    )
    unmet = [name for name in demands if shares[name] < demands[name] - 1e-6]
    if unmet:
        largest = max(shares.values())
        assert all(shares[name] >= largest - 1e-6 for name in unmet)


def test_weights_divide_what_is_left_by_small_demands():
    shares = max_min_shares({"a": 1, "b": 90, "c": 90}, 31, {"b": 2.0})
    assert shares == pytest.approx({"a": 1, "b": 20, "c": 10})


def test_an_idle_account_gains_no_credit_and_is_forgotten():
    demand = RecentDemand()
    demand.record(1, "a", 0.0)
    assert (1, "a") in demand.read(RATE_SECONDS)
    assert demand.read(10 * RATE_SECONDS) == {}
    assert demand.rates == {}


@pytest.mark.parametrize(
    ("pressure", "probability", "expected"),
    [
        (0.0, 1.0, RETRY_SECONDS_MIN),
        (0.5, 0.5, 0.8),
        (0.5, 0.1, 4.0),
        (90.0, 0.1, RETRY_SECONDS_MAX),
        (0.5, 0.0, RETRY_SECONDS_MAX),
    ],
)
def test_retry_after_grows_as_the_level_falls(pressure, probability, expected):
    assert retry_seconds(pressure, 0.8, probability) == pytest.approx(expected)


def test_a_level_without_any_pressure_admits_all():
    # A host that has just started, or whose figures are all too old.
    level = ServiceLevel()
    level.demand.record(2, "", 0.0)
    for number in range(1, 20):
        level.step(MergedPressure(0.9, 0.0, 1, None), number / 2)
    assert level.plan.probability(2, "") < 0.5
    level.step(None, 10.0)
    assert level.plan.probability(2, "") == 1.0
