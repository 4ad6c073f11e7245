"""Test that a host tells its own lost links from failed servers."""

import random

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule, run_state_machine_as_test

from greengagepoint.placing.tables import Server
from greengagepoint.reachability import probing
from greengagepoint.reachability.tracker import BackendReach, ProbeResult, Reach

ZONES = {"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"}
SERVERS = [
    Server(f"{zone}-{number}", "booking", f"{zone}:{number}", zone, region, 4)
    for zone, region in ZONES.items()
    for number in range(4)
]
servers = st.sampled_from(SERVERS)


class ReachMachine(RuleBasedStateMachine):
    """Cut links, crash zones of servers and saturate the link in any order."""

    create_reach = BackendReach
    choose = staticmethod(probing.servers_to_probe)

    def __init__(self):
        super().__init__()
        self.reach = self.create_reach()
        self.random = random.Random(1)
        self.now = 0.0
        self.cut = self.full = False
        self.dead_zones = set()
        self.waiting = []
        self.rounds_unchanged = 0

    def change_world(self):
        self.now += 0.1
        self.rounds_unchanged = 0

    def is_reachable(self, server):
        return not self.cut and not self.full and server.zone not in self.dead_zones

    @rule(cut=st.booleans())
    def set_cut(self, cut):
        self.change_world()
        self.cut = cut

    @rule(full=st.booleans())
    def set_full(self, full):
        self.change_world()
        self.full = full

    @rule(region=st.sampled_from(["a", "b", "c", ""]))
    def crash_all_but(self, region):
        self.change_world()
        self.dead_zones = {
            zone for zone, row in ZONES.items() if region not in ("", row)
        }

    @rule(server=servers)
    def connect(self, server):
        """Connect for a request, and wait for a timeout without an answer."""
        began, self.now = self.now, self.now + 0.01
        if self.is_reachable(server):
            self.reach.record_connection(self.now)
            assert self.reach.state is Reach.REACHABLE
        else:
            self.waiting.append((server, began))

    @rule()
    def time_out(self):
        self.now += 0.6
        for server, began in self.waiting:
            before = self.reach.state
            outdated = began < self.reach.connected_at
            self.reach.record_failure(server.incarnation, began)
            if outdated or before is Reach.CUT_OFF:
                assert self.reach.state is before
            else:
                assert self.reach.state is Reach.DOUBTED
        self.waiting.clear()

    @rule()
    def probe(self):
        began, self.now = self.now, self.now + 0.3
        if not probing.is_probe_due(self.reach, began - 1.0, self.now):
            return
        was_cut_off = self.reach.is_cut_off
        results = [
            ProbeResult(row.incarnation, self.is_reachable(row))
            for row in self.choose(SERVERS, self.reach, self.random)
        ]
        change = self.reach.end_round(results, began, self.now, link_is_full=self.full)
        assert (change is not None) == (was_cut_off != self.reach.is_cut_off)
        self.rounds_unchanged += 1
        if self.cut and not self.full:
            assert self.reach.is_cut_off
        if self.full:
            assert self.reach.is_cut_off == was_cut_off
        # A server that failed while the links were cut may be left out of one round.
        if not self.cut and not self.full and self.rounds_unchanged > 1:
            assert self.reach.state is Reach.REACHABLE

    @rule(server=servers)
    def request_with_doubt_resolved(self, server):
        """Fail a connection while links work, and probe at once."""
        self.set_cut(False)
        self.set_full(False)
        self.connect(server)
        self.time_out()
        self.probe()
        self.probe()
        assert self.reach.state is Reach.REACHABLE


class CutsOffWithoutProbes(BackendReach):
    """Take three failed connections for a lost link."""

    def record_failure(self, server, began_at):
        super().record_failure(server, began_at)
        if len(self.failed) >= 3:
            self.state = Reach.CUT_OFF


class CountsOldAttempts(BackendReach):
    """Count attempts that began before the last connection was made."""

    def record_failure(self, server, began_at):
        super().record_failure(server, max(began_at, self.connected_at))


class IgnoresFullLink(BackendReach):
    """Take a saturated link for a lost one."""

    def end_round(self, results, began_at, now, *, link_is_full):
        return super().end_round(results, began_at, now, link_is_full=False)


class NeedsAllProbes(BackendReach):
    """Take one failed probe of a round for a lost link."""

    def end_round(self, results, began_at, now, *, link_is_full):
        if not all(row.connected for row in results):
            results = [row._replace(connected=False) for row in results]
        return super().end_round(results, began_at, now, link_is_full=link_is_full)


class StaysCutOff(BackendReach):
    """Keep the state after a connection was made."""

    def record_connection(self, now):
        before = self.state
        change = super().record_connection(now)
        self.state = before
        return change


def probe_one_zone(servers, reach, random):
    """Probe servers of the zone of the first one only."""
    rows = list(servers)
    return [row for row in rows if row.zone == rows[0].zone][:3]


SETTINGS = settings(
    max_examples=150,
    stateful_step_count=30,
    phases=[Phase.generate],
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)


def test_a_lost_link_is_told_from_failed_servers():
    run_state_machine_as_test(ReachMachine, settings=SETTINGS)


@pytest.mark.parametrize(
    ("mutant", "choose"),
    [
        (CutsOffWithoutProbes, probing.servers_to_probe),
        (CountsOldAttempts, probing.servers_to_probe),
        (IgnoresFullLink, probing.servers_to_probe),
        (NeedsAllProbes, probing.servers_to_probe),
        (StaysCutOff, probing.servers_to_probe),
        (BackendReach, probe_one_zone),
    ],
    ids=lambda row: row.__name__,
)
def test_the_state_machine_detects_a_broken_rule(mutant, choose):
    mutated = type(
        "Mutated",
        (ReachMachine,),
        {"create_reach": mutant, "choose": staticmethod(choose)},
    )
    with pytest.raises(AssertionError):
        run_state_machine_as_test(mutated, settings=SETTINGS)
