"""The shares of regions in a region's keys, from the demand of all regions."""

import pytest
from hypothesis import assume, given
from hypothesis import strategies as st

from greengagepoint.demand.shares import region_shares
from greengagepoint.placing.regions import local_weights

REGIONS = ["a", "b", "c", "d"]
SLOTS = st.dictionaries(st.sampled_from(REGIONS), st.floats(0.0, 300.0))
DEMAND = st.dictionaries(st.sampled_from(REGIONS), st.floats(0.0, 500.0))


@pytest.mark.parametrize(
    ("slots", "demand", "weights"),
    [
        ({}, {"a": 1.0}, {}),
        ({"a": 10.0, "b": 10.0}, {"a": 7.0, "b": 1.0}, {"a": 1.0}),
        ({"a": 10.0, "b": 20.0}, {"a": 14.0, "b": 0.0}, {"a": 0.5, "b": 0.5}),
        (
            {"a": 10.0, "b": 20.0, "c": 30.0},
            {"a": 14.0, "b": 7.0, "c": 7.0},
            {"a": 0.5, "b": 0.5 * 7 / 21, "c": 0.5 * 14 / 21},
        ),
        ({"b": 10.0}, {"a": 5.0}, {"b": 1.0}),
        ({"a": 10.0, "b": 10.0}, {}, {"a": 1.0}),
        ({"a": 10.0, "b": 10.0}, {"a": 40.0, "b": 40.0}, {"a": 1.0}),
        ({"a": 10.0, "b": 30.0}, {"a": 40.0, "b": 40.0}, {"a": 0.5, "b": 0.5}),
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
    ],
)
def test_a_region_keeps_what_fits(slots, demand, weights):
    assert region_shares(slots, demand, "a") == pytest.approx(weights)


@given(slots=SLOTS, demand=DEMAND, home=st.sampled_from(REGIONS))
def test_shares_add_up_to_one_and_need_slots(slots, demand, home):
    # A key assigned to a region without servers is refused although others are idle.
    shares = region_shares(slots, demand, home)
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
)
def test_more_demand_at_home_keeps_no_larger_share(slots, demand, home, more):
    # A share that grew with demand would overload the region that is full already.
    higher = {**demand, home: demand.get(home, 0.0) + more}
    before = region_shares(slots, demand, home).get(home, 0.0)
    after = region_shares(slots, higher, home).get(home, 0.0)
    assert after <= before + 1e-9


@given(slots=SLOTS, demand=DEMAND)
def test_no_region_is_filled_beyond_the_common_level(slots, demand):
    # If one region were filled further than the others, its callers would be late while
    # other regions have free slots.
    slots = {name: count for name, count in slots.items() if count > 0.01}
    assume(slots)
    level = max(0.7, sum(demand.values()) / sum(slots.values()))
    load = dict.fromkeys(slots, 0.0)
    for home, needed in demand.items():
        for region, part in region_shares(slots, demand, home).items():
            load[region] += part * needed
    for region, filled in load.items():
        assert filled <= level * slots[region] + 1e-6


def test_equal_demand_beyond_the_level_gives_the_shares_of_the_mode_off():
    # Hosts with and without figures must agree as far as possible: those without
    # assume equal demand.
    slots = {"a": 147.0, "b": 30.0, "c": 123.0}
    demand = dict.fromkeys(slots, 90.0)
    for home in slots:
        shares = region_shares(slots, demand, home)
        assert shares == pytest.approx(local_weights(slots, home, 3))
