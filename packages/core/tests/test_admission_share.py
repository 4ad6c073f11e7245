"""The control of the admitted share by pressure, and the figures of peers."""

import math
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from greengagepoint.admission.levels import AdmissionLevels, ServiceLevel
from greengagepoint.admission.pressure import (
    AGE_MAX_SECONDS,
    COUNTED_PRESSURE_MAX,
    PRESSURE_MAX,
    SHARE_MIN,
    MergedPressure,
    Pressures,
    ServicePressure,
)
from greengagepoint.admission.share import PRESSURE_LIMIT, ShareControl
from greengagepoint.placing.tables import Server, ServerTable

GOALS = {"booking": 0.8}


def table(**slots_by_region):
    """Return a table with one server in each region."""
    found = ServerTable()
    for region, slots in slots_by_region.items():
        found.servers[region] = Server(region, "booking", "", "zone", region, slots)
    found.rebuild()
    return found


class ShareMachine(RuleBasedStateMachine):
    """Step two controls with the same pressures, one of which may miss steps."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.first = ShareControl()
        self.second = ShareControl()

    @initialize(share=st.floats(SHARE_MIN, 1))
    def disagree(self, share):
        self.second.base = self.second.share = share

    @rule(
        pressure=st.floats(0, PRESSURE_MAX),
        peer_share=st.none() | st.floats(SHARE_MIN, 1),
        elapsed=st.floats(0, 10),
    )
    def step(self, pressure, peer_share, elapsed):
        self.now += elapsed
        before = self.first.base
        again = replace(self.first)
        self.first.step(pressure, peer_share, self.now)
        if pressure <= PRESSURE_LIMIT and (peer_share or 1) >= before:
            assert self.first.base >= before - 1e-9
            assert self.first.share == self.first.base
        if pressure >= PRESSURE_LIMIT and (peer_share or 0) <= before:
            assert self.first.base <= before + 1e-9
        again.step(pressure, peer_share, self.now)
        assert again == self.first

    @rule()
    def lose_all_figures(self):
        self.first.step(None, None, self.now)
        assert self.first.share == self.first.base == 1.0

    @rule(pressure=st.floats(0, 2))
    def agree(self, pressure):
        """Exchange shares for 30 steps of the same pressure."""
        for _ in range(30):
            self.now += 0.5
            shares = self.first.base, self.second.base
            self.first.step(pressure, shares[1], self.now)
            self.second.step(pressure, shares[0], self.now)
        assert self.first.base == pytest.approx(self.second.base, abs=0.01)

    @invariant()
    def is_in_range(self):
        for control in (self.first, self.second):
            assert SHARE_MIN <= control.base <= 1
            assert SHARE_MIN <= control.share <= control.base + 1e-9


TestShareMachine = ShareMachine.TestCase


@pytest.mark.parametrize("clock_step", [-5.0, 0.0, 4.0, 1e9])
def test_a_step_after_a_freeze_counts_at_most_one_second(clock_step):
    control = ShareControl()
    control.step(0.9, None, 100.0)
    control.step(0.9, None, 100.0 + clock_step)
    assert control.base >= 0.4


def test_regions_count_by_their_slots():
    # A small region that is overloaded must not shed the callers of all others.
    servers = table(north=49, south=10, west=41)
    pressures = Pressures("north")
    pressures.take(
        [
            ServicePressure("south", "booking", 0.9, 0.2, 0.5),
            ServicePressure("west", "booking", 0.1, 0.4, 0.9),
        ],
        servers,
        GOALS,
        10.0,
    )
    merged = pressures.merge(servers, "booking", 10.0)
    assert merged.pressure == pytest.approx((10 * 0.9 + 41 * 0.1) / 51)
    assert merged.oldest_age == pytest.approx(0.4)
    assert merged.share == pytest.approx(0.7)
    assert merged.regions == 2


def test_figures_that_are_too_old_are_ignored_and_only_the_own_one_counts():
    # The other regions are partitioned, or their hosts are frozen.
    servers = table(north=3, south=3)
    pressures = Pressures("north")
    figure = ServicePressure("south", "booking", 0.9, 0.0)
    pressures.take([figure], servers, GOALS, 10.0)
    now = 10.0 + AGE_MAX_SECONDS + 0.1
    assert pressures.merge(servers, "booking", now) is None
    pressures.record_load(servers.servers["north"], 3, now)
    pressures.measure(GOALS, {"booking": 0.6}, now)
    merged = pressures.merge(servers, "booking", now)
    assert (merged.regions, merged.share) == (1, None)
    (shared,) = pressures.recent(now)
    assert (shared.region, shared.share) == ("north", 0.6)
    assert pressures.merge(servers, "booking", now + AGE_MAX_SECONDS + 0.1) is None


def test_a_newer_figure_replaces_an_older_one_only():
    servers = table(south=3)
    pressures = Pressures("north")
    for pressure, age in ((0.5, 0.5), (0.7, 1.5), (0.2, 0.1)):
        figure = ServicePressure("south", "booking", pressure, age)
        pressures.take([figure], servers, GOALS, 10.0)
        assert pressures.merge(servers, "booking", 10.0).pressure != 0.7
    assert pressures.merge(servers, "booking", 10.0).pressure == pytest.approx(0.2)


def test_a_wrong_figure_counts_no_more_than_a_wait_as_long_as_the_goal():
    """Guards against one peer or server that makes a fleet reject its callers."""
    servers = table(north=3, south=3)
    pressures = Pressures("north")
    figure = ServicePressure("south", "booking", 90.0, 0.0)
    pressures.take([figure], servers, GOALS, 10.0)
    pressures.record_load(servers.servers["north"], 999_999, 8.0)
    for number in range(20):
        pressures.record_load(servers.servers["north"], 0, 8.0 + number / 10)
    pressures.measure(GOALS, {}, 10.0)
    assert pressures.measured["booking"].pressure <= COUNTED_PRESSURE_MAX
    merged = pressures.merge(servers, "booking", 10.0)
    assert merged.pressure <= COUNTED_PRESSURE_MAX


@pytest.mark.parametrize(
    ("classes", "admits_all"),
    [([(1, "")], True), ([(0, ""), (2, "")], False), ([(1, "a"), (1, "b")], False)],
)
def test_late_callers_are_rejected_early_only_to_protect_others(classes, admits_all):
    """Guards against refusing callers who would have got a late answer."""
    level = ServiceLevel()
    for number in range(1, 9):
        for rank, account in classes:
            level.demand.record(rank, account, number / 2)
        level.step(MergedPressure(0.5, 0.0, 1, None), number / 2)
    assert (level.plan.probability(*classes[-1]) == 1.0) is admits_all


ANY = st.floats(allow_nan=True, allow_infinity=True)


@given(
    st.builds(
        ServicePressure,
        st.sampled_from(["north", "south", "nowhere"]),
        st.sampled_from(["booking", "unknown"]),
        ANY | st.floats(0, 2),
        ANY | st.floats(0, 2),
        ANY | st.floats(0, 1),
    )
)
def test_no_figure_of_a_peer_takes_the_share_out_of_its_range(figure):
    servers = table(north=3, south=3)
    levels = AdmissionLevels(Pressures("north"))
    levels.pressures.take([figure], servers, GOALS, 10.0)
    accepted = levels.pressures.received
    assert len(accepted) + levels.pressures.invalid <= 1
    for found in accepted.values():
        assert 0 <= found.pressure <= PRESSURE_MAX
        assert SHARE_MIN <= found.share <= 1
        assert math.isfinite(found.at)
    for number in range(4):
        levels.step(servers, GOALS, 10.0 + number / 2)
        assert SHARE_MIN <= levels.services["booking"].control.share <= 1


def test_a_removed_service_loses_its_state():
    servers = table(north=3)
    levels = AdmissionLevels(Pressures("north"))
    levels.step(servers, GOALS, 1.0)
    levels.decide("booking", 1, "", 0.5, 1.0)
    levels.pressures.record_load(servers.servers["north"], 9, 1.0)
    levels.step(servers, {}, 1.5)
    assert levels.services == {}
    assert levels.pressures.samples == {}
    assert levels.decide("booking", 1, "", 0.5, 2.0).admitted


def test_a_request_of_a_service_without_a_level_is_admitted():
    levels = AdmissionLevels(Pressures("north"))
    assert levels.decide("booking", 3, "", 0.999, 1.0).admitted
