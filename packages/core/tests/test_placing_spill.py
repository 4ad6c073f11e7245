import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengagepoint.placing.spill import (
    SHARE_CHANGE_PER_SECOND,
    expected_demand,
    hold_peaks,
    moved_toward,
    region_for_key,
    wanted_shares,
)

SLOTS = {"attiki": 144.0, "dytiki": 126.0, "kentriki": 36.0}


@pytest.mark.parametrize(
    ("demand", "kept"),
    [
        ({"kentriki": 10.0}, 1.0),
        ({"kentriki": 50.0, "attiki": 20.0, "dytiki": 20.0}, 0.504),
        ({"kentriki": 100.0, "attiki": 100.0, "dytiki": 100.0}, 0.353),
        ({"kentriki": 300.0, "attiki": 300.0, "dytiki": 300.0}, 0.353),
    ],
    ids=["fits", "over its target", "all busy", "all over"],
)
def test_a_small_region_keeps_what_it_can_carry(demand, kept):
    shares = wanted_shares("kentriki", demand, SLOTS)
    assert shares["kentriki"] == pytest.approx(kept, abs=0.01)
    assert sum(shares.values()) == pytest.approx(1.0)


def test_what_a_region_sends_away_goes_where_there_is_room():
    demand = {"kentriki": 60.0, "attiki": 95.0, "dytiki": 20.0}
    shares = wanted_shares("kentriki", demand, SLOTS)
    assert shares["dytiki"] > 5 * shares["attiki"]


def test_a_region_without_servers_sends_everything_away():
    slots = {"attiki": 144.0, "dytiki": 126.0}
    shares = wanted_shares("kentriki", {"kentriki": 60.0}, slots)
    assert "kentriki" not in shares
    assert sum(shares.values()) == pytest.approx(1.0)


def test_without_servers_anywhere_there_are_no_shares():
    assert wanted_shares("kentriki", {"kentriki": 60.0}, {}) == {}


PARTS = st.dictionaries(
    st.sampled_from(["a", "b", "c", "d"]), st.floats(0.01, 1.0), min_size=1
)


def normal(parts):
    total = sum(parts.values())
    return {name: part / total for name, part in parts.items()}


@given(now=PARTS, wanted=PARTS, most=st.floats(0.001, 0.2))
def test_shares_move_by_no_more_than_they_may(now, wanted, most):
    now, wanted = normal(now), normal(wanted)
    moved = moved_toward(now, wanted, most)
    assert sum(moved.values()) == pytest.approx(1.0)
    names = {*now, *moved}
    change = sum(abs(moved.get(name, 0) - now.get(name, 0)) for name in names) / 2
    assert change <= most + 1e-9


@given(key=st.text(), shares=PARTS)
def test_a_key_runs_in_one_region_that_has_a_share(key, shares):
    assert region_for_key(key, "a", normal(shares)) in shares


def test_whole_keys_move_and_only_those_that_the_border_passes():
    before = {"home": 0.8, "away": 0.2}
    after = {"home": 0.7, "away": 0.3}
    keys = [f"k{number}" for number in range(2_000)]
    moved = 0
    for key in keys:
        was = region_for_key(key, "home", before)
        now = region_for_key(key, "home", after)
        assert was == "home" or now == "away"
        moved += was != now
    assert moved / len(keys) == pytest.approx(0.1, abs=0.02)


def test_a_wave_that_returns_finds_the_shares_where_it_left_them():
    # Callers of a small region come in waves of half a minute. When the shares follow
    # a wave down, all requests are at home when the next one comes, and the shares may
    # not move faster than 0.03 a second: callers queue at home for ten seconds.
    slots = {"small": 8.0, "large": 100.0}
    shares = {"held": {"small": 1.0}, "followed": {"small": 1.0}}
    peaks: dict[str, float] = {}
    over = {"held": 0.0, "followed": 0.0}
    step = 0.25
    for tick in range(int(108 / step)):
        demand = {"small": 20 * (1 - 0.9 * math.cos(2 * math.pi * tick * step / 36))}
        peaks = hold_peaks(peaks, demand, step)
        for name, believed in (("held", peaks), ("followed", demand)):
            wanted = wanted_shares("small", believed, slots)
            most = SHARE_CHANGE_PER_SECOND * step
            shares[name] = moved_toward(shares[name], wanted, most)
            if tick * step > 36:
                at_home = demand["small"] * shares[name]["small"]
                over[name] += max(0.0, at_home - slots["small"]) * step
    assert over["held"] < 0.05 * over["followed"]


def test_demand_is_expected_where_the_entry_hosts_are():
    expected = expected_demand({"a": 3, "b": 1}, {"a": 10.0, "b": 90.0})
    assert expected == {"a": pytest.approx(63.75), "b": pytest.approx(21.25)}
