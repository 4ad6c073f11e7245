"""The shares of regions in a region's keys, from the demand of all regions."""

import math

import pytest
from hypothesis import assume, given
from hypothesis import strategies as st

from greengagepoint.demand.shares import (
    reassign_lost,
    region_shares,
    settled_target,
)
from greengagepoint.placing.regions import local_weights

REGIONS = ["a", "b", "c", "d"]
SLOTS = st.dictionaries(st.sampled_from(REGIONS), st.floats(0.0, 300.0))
DEMAND = st.dictionaries(st.sampled_from(REGIONS), st.floats(0.0, 500.0))


@pytest.mark.parametrize(
    ("slots", "demand", "weights"),
    [
        ({}, {"a": 1.0}, {}),
        ({"a": 100.0, "b": 100.0}, {"a": 70.0, "b": 10.0}, {"a": 1.0}),
        ({"a": 100.0, "b": 200.0}, {"a": 140.0}, {"a": 0.5, "b": 0.5}),
        (
            {"a": 100.0, "b": 200.0, "c": 300.0},
            {"a": 140.0, "b": 70.0, "c": 70.0},
            {"a": 0.5, "b": 0.5 * 7 / 21, "c": 0.5 * 14 / 21},
        ),
        ({"b": 100.0}, {"a": 50.0}, {"b": 1.0}),
        ({"a": 100.0, "b": 100.0}, {}, {"a": 1.0}),
        ({"a": 100.0, "b": 100.0}, {"a": 400.0, "b": 400.0}, {"a": 1.0}),
        ({"a": 100.0, "b": 300.0}, {"a": 400.0, "b": 400.0}, {"a": 0.5, "b": 0.5}),
        ({"a": 3.0, "b": 300.0}, {"a": 2.0}, {"a": 0.5, "b": 0.5}),
    ],
    ids=[
        "no slots",
        "all keys fit",
        "half fit",
        "the rest by spare slots",
        "no slots at home",
        "no demand",
        "all regions are equally full",
        "beyond all slots, regions are equally overloaded",
        "of three slots one is filled",
    ],
)
def test_a_region_keeps_what_fits(slots, demand, weights):
    assert region_shares(slots, demand, "a") == pytest.approx(weights)


@given(
    slots=SLOTS,
    demand=DEMAND,
    home=st.sampled_from(REGIONS),
    total=st.none() | st.floats(0.0, 2_000.0),
)
def test_shares_add_up_to_one_and_need_slots(slots, demand, home, total):
    # A key assigned to a region without servers is refused although others are idle.
    shares = region_shares(slots, demand, home, total)
    if not any(slots.values()):
        assert shares == {}
        return
    assert sum(shares.values()) == pytest.approx(1.0)
    assert all(part > 0 and slots.get(name, 0.0) > 0 for name, part in shares.items())


@given(
    slots=SLOTS,
    demand=DEMAND,
    home=st.sampled_from(REGIONS),
    more=st.floats(0.1, 300.0),
    total=st.none() | st.floats(0.0, 2_000.0),
)
def test_more_demand_at_home_keeps_no_larger_share(slots, demand, home, more, total):
    # A share that grew with demand would overload the region that is full already.
    higher = {**demand, home: demand.get(home, 0.0) + more}
    before = region_shares(slots, demand, home, total).get(home, 0.0)
    after = region_shares(slots, higher, home, total).get(home, 0.0)
    assert after <= before + 1e-9


@given(slots=SLOTS, demand=DEMAND)
def test_no_region_is_filled_beyond_the_common_level(slots, demand):
    # If one region were filled further than the others, its callers would be late while
    # other regions have free slots.
    slots = {name: count for name, count in slots.items() if count > 0.01}
    assume(slots)
    fitting = {
        name: min(0.7 * count, (math.sqrt(count + 1) - 1) ** 2)
        for name, count in slots.items()
    }
    level = max(1.0, sum(demand.values()) / sum(fitting.values()))
    load = dict.fromkeys(slots, 0.0)
    for home, needed in demand.items():
        for region, part in region_shares(slots, demand, home).items():
            load[region] += part * needed
    for region, filled in load.items():
        assert filled <= level * fitting[region] + 1e-6


def test_a_small_region_is_not_filled_to_the_sum_of_peaks():
    # Peaks add up to 0.9 of all slots, but all regions need only 0.6 at the same time.
    # At the level of 0.9, the small region would be full in its own peak.
    slots = {"a": 100.0, "b": 900.0}
    demand = {"a": 200.0, "b": 700.0}
    assert region_shares(slots, demand, "a", 600.0)["a"] == pytest.approx(0.35)
    assert region_shares(slots, demand, "a")["a"] == pytest.approx(0.45)


@pytest.mark.parametrize(
    ("weights", "target", "regions", "expected"),
    [
        (
            {"a": 0.99, "b": 0.01},
            {"b": 0.2, "c": 0.8},
            "bc",
            {"b": 0.208, "c": 0.792},
        ),
        ({"a": 1.0}, {"c": 1.0}, "bc", {"c": 1.0}),
        ({"a": 0.5, "b": 0.5}, {"a": 1.0}, "ab", {"a": 0.5, "b": 0.5}),
        ({"a": 1.0}, {}, "", {}),
    ],
    ids=["a remainder elsewhere", "no remainder", "nothing lost", "no servers"],
)
def test_keys_of_a_lost_region_follow_the_target(weights, target, regions, expected):
    # A region has a hundredth of the keys when the servers of all others are lost. In
    # proportion to the remaining weights, it would get all of them at once.
    assert reassign_lost(weights, target, regions) == pytest.approx(expected)


@pytest.mark.parametrize(
    ("former", "target", "regions", "is_taken"),
    [
        (None, {"a": 1.0}, "a", True),
        ({"a": 0.5, "b": 0.5}, {"a": 0.54, "b": 0.46}, "ab", False),
        ({"a": 0.5, "b": 0.5}, {"a": 0.55, "b": 0.45}, "ab", True),
        ({"a": 0.98, "b": 0.02}, {"a": 1.0}, "ab", False),
        ({"a": 0.98, "b": 0.02}, {"a": 1.0}, "a", True),
    ],
    ids=["first", "small change", "large change", "small region", "lost region"],
)
def test_a_target_changes_only_if_many_keys_move(former, target, regions, is_taken):
    # Each moved key costs a cold run, and demand varies by a tenth all the time.
    assert settled_target(former, target, regions) == (target if is_taken else former)


def test_equal_demand_beyond_the_level_gives_the_shares_of_the_mode_off():
    # Hosts with and without figures must agree as far as possible: those without
    # assume equal demand.
    slots = {"a": 147.0, "b": 33.0, "c": 123.0}
    demand = dict.fromkeys(slots, 90.0)
    for home in slots:
        shares = region_shares(slots, demand, home)
        assert shares == pytest.approx(local_weights(slots, home, 3))
