import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengagepoint.placing.regions import (
    local_weights,
    region_for_key,
    should_run_locally,
    step_toward,
    weights_by_slots,
)
from greengagepoint.routing.tables import Destination, RequestKind, Route

SLOTS = {"attiki": 144.0, "dytiki": 126.0, "kentriki": 36.0}
PARTS = st.dictionaries(
    st.sampled_from(["a", "b", "c", "d"]), st.floats(0.01, 1.0), min_size=1
)


def spread(weights, count=4_000):
    found = dict.fromkeys(weights, 0)
    for number in range(count):
        found[region_for_key(f"k{number}", weights)] += 1
    return {region: part / count for region, part in found.items()}


def test_keys_spread_over_the_regions_by_their_slots():
    found = spread(weights_by_slots(SLOTS))
    for region, slots in SLOTS.items():
        assert found[region] == pytest.approx(slots / 306, abs=0.025)


@pytest.mark.parametrize(
    ("slots", "weights"),
    [
        ({}, {}),
        ({"a": 4.0}, {"a": 1.0}),
        ({"a": 3.0, "b": 1.0, "c": 0.0}, {"a": 0.75, "b": 0.25}),
    ],
)
def test_a_region_without_servers_gets_no_keys(slots, weights):
    assert weights_by_slots(slots) == weights


def test_no_region_is_chosen_without_servers():
    assert region_for_key("k", {}) is None


def test_a_lost_region_moves_only_its_own_keys():
    # A region loses its servers to an evacuation or a crash. Its keys have to run in
    # other regions and run cold there; if other keys moved too, they would run cold
    # needlessly.
    before = weights_by_slots(SLOTS)
    after = weights_by_slots({**SLOTS, "kentriki": 0.0})
    for number in range(2_000):
        was = region_for_key(f"k{number}", before)
        assert was in ("kentriki", region_for_key(f"k{number}", after))


@given(now=PARTS, target=PARTS, limit=st.floats(0.001, 0.2))
def test_no_more_keys_move_than_the_limit(now, target, limit):
    now, target = weights_by_slots(now), weights_by_slots(target)
    moved = step_toward(now, target, limit)
    assert sum(moved.values()) == pytest.approx(1.0)
    change = sum(abs(moved.get(name, 0) - now.get(name, 0)) for name in {*now, *moved})
    assert change / 2 <= limit + 1e-9


def test_added_servers_get_their_share_within_the_limit_on_moves():
    # Servers are added in one region. Keys move there, in two seconds no more than the
    # limit allows, until the weights reach their target.
    weights, goal = (
        weights_by_slots(SLOTS),
        weights_by_slots({**SLOTS, "kentriki": 126.0}),
    )
    before = spread(weights)
    for _ in range(8):
        weights = step_toward(weights, goal, 0.03 * 0.25)
    after = spread(weights)
    assert after["kentriki"] - before["kentriki"] <= 0.15
    for _ in range(80):
        weights = step_toward(weights, goal, 0.03 * 0.25)
    assert weights == pytest.approx(goal)


@pytest.mark.parametrize(
    ("slots", "home", "weights"),
    [
        ({"a": 12.0, "b": 12.0, "c": 12.0}, "a", {"a": 1.0}),
        ({"a": 6.0, "b": 12.0, "c": 18.0}, "a", {"a": 0.5, "c": 0.5}),
        ({"a": 6.0, "b": 12.0, "c": 18.0}, "c", {"c": 1.0}),
        ({"a": 3.0, "b": 18.0, "c": 15.0}, "a", {"a": 0.25, "b": 0.5, "c": 0.25}),
        ({"b": 18.0, "c": 18.0}, "a", {"b": 0.5, "c": 0.5}),
        ({"a": 4.0}, "a", {"a": 1.0}),
        ({}, "a", {}),
    ],
    ids=[
        "enough everywhere",
        "half of what is needed",
        "more than needed",
        "the rest goes where most slots are free",
        "no servers at home",
        "one region",
        "no servers",
    ],
)
def test_keys_stay_in_their_region_as_far_as_its_slots_allow(slots, home, weights):
    assert local_weights(slots, home, 3) == pytest.approx(weights)


def test_local_keys_fill_no_region_beyond_its_share():
    # A region with few servers sends its excess to the others. If they got it by size
    # alone, one would be filled beyond its slots while another has free ones.
    slots = {"a": 8.0, "b": 48.0, "c": 56.0}
    filled = dict.fromkeys(slots, 0.0)
    for home in slots:
        for region, part in local_weights(slots, home, 3).items():
            filled[region] += part / 3
    for region, count in slots.items():
        assert filled[region] == pytest.approx(count / 112)


@pytest.mark.parametrize(
    ("kind", "goal", "round_trip", "local"),
    [
        (RequestKind.DOWNLOAD, 0.4, 0.0, True),
        (RequestKind.SAFE, 0.15, 0.04, True),
        (RequestKind.UNSAFE, 0.15, 0.04, True),
        (RequestKind.SAFE, 0.2, 0.024, False),
        (RequestKind.SAFE, 0.15, 0.0, False),
    ],
)
def test_large_answers_and_short_goals_stay_in_their_region(
    kind, goal, round_trip, local
):
    route = Route(
        name="r",
        prefix="/",
        destinations=(Destination("booking"),),
        kind=kind,
        goal_seconds=goal,
    )
    assert should_run_locally(route, round_trip) == local
