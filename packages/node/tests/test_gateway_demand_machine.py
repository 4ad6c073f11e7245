"""Region weights under any order of demand, faults and invalid figures."""

import math

from gateway_world import EventLog
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from greengagepoint.demand.messages import HostDemand, RegionDemand
from greengagepoint.demand.regional import RegionalDemand
from greengagepoint.placing.regions import CHANGE_PER_SECOND, local_weights, moved_share
from greengagepoint.placing.tables import Server, ServerTable
from greengagepoint_node.gateway.region_weights import RegionWeights, WeightKey

REGIONS = ("a", "b", "c")
KEY = WeightKey("s", frozenset(), prefers_local=True)
HOSTS = 3
TICK_SECONDS = 0.25
regions = st.sampled_from(REGIONS)
rates = st.floats(0.0, 400.0) | st.sampled_from([math.nan, -1.0, math.inf, 1e9])


class WeightsMachine(RuleBasedStateMachine):
    """Change what one host knows, and check its weights after each tick."""

    @initialize(slots=st.tuples(*[st.integers(1, 150)] * 3), is_on=st.booleans())
    def build(self, slots, is_on):
        self.table = ServerTable()
        for region, count in zip(REGIONS, slots, strict=True):
            row = Server(region, "s", "", region, region, count)
            self.table.servers[region] = row
        self.table.rebuild()
        self.table.demand.uneven_servers = is_on
        self.demand = RegionalDemand("h0", "a", frozenset(REGIONS), self.table)
        self.weights = RegionWeights("a", 3, self.table, EventLog(), self.demand)
        self.now = 100.0
        self.former = self.weights.current(KEY)
        self.tick(0.0)

    def tick(self, seconds):
        """Advance the time, and check the weights."""
        self.now += seconds
        self.demand.tick(HOSTS, self.now)
        self.weights.tick(self.now)
        current = self.weights.current(KEY)
        usable = set(self.table.regions_of("s"))
        assert set(current) <= usable
        assert not usable or math.isclose(sum(current.values()), 1.0)
        if set(self.former) <= usable:
            moved = moved_share(self.former, current)
            assert moved <= CHANGE_PER_SECOND * min(1.0, seconds) + 1e-9
        self.former = current

    @rule(seconds=st.sampled_from([1, 6, 45]), per_tick=st.integers(0, 30))
    def serve(self, seconds, per_tick):
        """Serve callers while the peers report the same demand."""
        for number in range(int(seconds / TICK_SECONDS)):
            for _ in range(per_tick):
                self.demand.count("s", self.now)
            self.demand.record_run("s", 0.3)
            if number % 4 == 0:
                rows = [
                    HostDemand(f"h{i}", "s", per_tick / TICK_SECONDS, 0.3)
                    for i in range(1, HOSTS)
                ]
                self.demand.table.take_hosts(rows, self.now)
            self.tick(TICK_SECONDS)

    @rule(region=regions, rate=rates, peak=rates, age=st.floats(-1, 9))
    def hear_region(self, region, rate, peak, age):
        row = RegionDemand(region, "s", rate, age, 0.2, peak, age)
        self.demand.table.take_regions([row], self.now)
        self.tick(TICK_SECONDS)

    @rule(host=st.sampled_from(["h0", "h1", "h9"]), rate=rates, age=st.floats(-1, 9))
    def hear_host(self, host, rate, age):
        self.demand.table.take_hosts([HostDemand(host, "s", rate, age)], self.now)
        self.tick(TICK_SECONDS)

    @rule(region=regions, slots=st.integers(0, 150))
    def change_servers(self, region, slots):
        """Evacuate a region or change its servers."""
        self.table.servers.pop(region, None)
        if slots:
            row = Server(region, "s", "", region, region, slots)
            self.table.servers[region] = row
        self.table.rebuild()
        self.tick(TICK_SECONDS)

    @rule(seconds=st.sampled_from([4.0, 30.0]))
    def freeze(self, seconds):
        self.tick(seconds)

    @rule(is_on=st.booleans())
    def switch(self, is_on):
        self.table.demand.uneven_servers = is_on
        self.tick(TICK_SECONDS)

    @invariant()
    def targets_need_figures(self):
        """A host without figures aims at the weights of the mode off.

        With the mode off, no figure may be kept that would count when it is on again.
        """
        if not self.table.demand.is_on:
            assert not self.demand.table.hosts
            assert not self.demand.table.regions
            assert not self.weights.targets
        slots = self.weights.slots(KEY)
        if slots and self.demand.demand("s", self.now) is None:
            target = self.weights.targets.get(KEY)
            expected = local_weights(slots, "a", 3)
            assert target is None or moved_share(target, expected) <= 0.05 + 1e-9


TestWeightsMachine = WeightsMachine.TestCase
TestWeightsMachine.settings = settings(max_examples=60, stateful_step_count=20)
