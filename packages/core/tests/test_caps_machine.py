"""Test caps on six simulated hosts under combinations of all faults."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from greengagepoint_standins.caps_layout import Layout
from greengagepoint_standins.caps_store import LedgerFault
from greengagepoint_standins.caps_world import World

HOSTS = ("a-1", "a-2", "a-3", "a-4", "b-1", "b-2")
LAYOUT = Layout(
    hosts=HOSTS,
    region_of_site={"a1": "a", "a2": "a", "b1": "b"},
    capacity={"a": 8, "b": 5},
    limits={"a1": 6, "a2": 5, "b1": 5},
    request_seconds=4,
)
hosts = st.sampled_from(HOSTS)
sites = st.sampled_from(sorted(LAYOUT.limits))


class CheckedCluster(World):
    """Check that requests in flight are within the limits after each step."""

    def step(self) -> None:
        super().step()
        assert self.excess() == {}


class CapsMachine(RuleBasedStateMachine):
    """Apply faults in any order while hosts send as many requests as permitted."""

    @initialize(seed=st.integers(0, 2**32), pace=st.sampled_from([0.25, 1, 4]))
    def build(self, seed: int, pace: float) -> None:
        self.cluster = CheckedCluster(LAYOUT, seed)
        self.pace = pace
        for host in self.cluster.hosts.values():
            host.wanted.update(dict.fromkeys(LAYOUT.limits, 6))
        self.cluster.advance(4)

    @rule(seconds=st.sampled_from([3, 8, 20]))
    def advance(self, seconds: float) -> None:
        self.cluster.advance(seconds)

    @rule(
        name=hosts,
        site=sites,
        wanted=st.integers(0, 12),
        duration=st.sampled_from([0.5, 2, 9]),
    )
    def load(self, name: str, site: str, wanted: int, duration: float) -> None:
        if name in self.cluster.hosts:
            self.cluster.hosts[name].wanted[site] = wanted
            self.cluster.hosts[name].duration = duration

    @rule(
        name=hosts,
        fault=st.sampled_from(["pause", "isolate", "cut_store", "cut_peers"]),
        seconds=st.sampled_from([0.75, 2, 5, 7, 12, 18, 30]),
        heal=st.booleans(),
    )
    def disturb_host(self, name: str, fault: str, seconds: float, heal: bool) -> None:
        """Inject one fault into one host, for a time or until a later heal."""
        host = self.cluster.hosts.get(name)
        if host is None:
            return
        links = {(name, other) for other in HOSTS} | {(other, name) for other in HOSTS}
        host.paused = fault == "pause"
        host.store_cut = fault in ("isolate", "cut_store")
        if fault in ("isolate", "cut_peers"):
            self.cluster.cut |= links
        self.cluster.advance(seconds)
        if heal:
            host.paused = host.store_cut = False
            self.cluster.cut -= links

    @rule(name=hosts)
    def kill(self, name: str) -> None:
        self.cluster.kill(name)

    @rule(name=hosts)
    def restart(self, name: str) -> None:
        self.cluster.kill(name)
        self.cluster.start(name)
        self.cluster.hosts[name].wanted.update(dict.fromkeys(LAYOUT.limits, 6))

    @rule(name=hosts)
    def stop_gracefully(self, name: str) -> None:
        if name in self.cluster.hosts:
            self.cluster.hosts[name].table.leaving = True

    @rule(one=hosts, other=hosts, both=st.booleans())
    def cut(self, one: str, other: str, both: bool) -> None:
        self.cluster.cut.add((one, other))
        if both:
            self.cluster.cut.add((other, one))

    @rule()
    def cut_regions(self) -> None:
        self.cluster.cut |= {(o, p) for o in HOSTS for p in HOSTS if o[0] != p[0]}

    @rule()
    def heal(self) -> None:
        self.cluster.cut.clear()
        self.cluster.store.fault = LedgerFault.NONE
        self.cluster.loss = self.cluster.delay = 0.0
        for host in self.cluster.hosts.values():
            host.paused = host.store_cut = False
            host.suspects.clear()

    @rule(one=hosts, other=hosts)
    def suspect_wrongly(self, one: str, other: str) -> None:
        if one in self.cluster.hosts:
            self.cluster.hosts[one].suspects.add(other)

    @rule(loss=st.sampled_from([0.0, 0.2, 0.7]), delay=st.sampled_from([0, 1.5, 12]))
    def disturb_messages(self, loss: float, delay: float) -> None:
        self.cluster.loss = loss
        self.cluster.delay = delay

    @rule()
    def redeliver(self) -> None:
        self.cluster.redeliver()

    @rule(fault=st.sampled_from(LedgerFault))
    def disturb_store(self, fault: LedgerFault) -> None:
        self.cluster.store.fault = fault

    @rule()
    def land_late_writes(self) -> None:
        self.cluster.store.land_late_writes()

    @rule(site=sites, limit=st.integers(0, 12))
    def change_cap(self, site: str, limit: int) -> None:
        caps = self.cluster.generations[-1].caps
        limits = {name: cap.limit for name, cap in caps.items()}
        self.cluster.change_limits(limits | {site: limit})

    @rule(some=st.sets(hosts, min_size=1))
    def adopt(self, some: set[str]) -> None:
        for name in sorted(some):
            self.cluster.adopt(name)

    @invariant()
    def check_limits(self) -> None:
        if hasattr(self, "cluster"):
            self.cluster.advance(self.pace)


CapsMachine.TestCase.settings = settings(max_examples=35, stateful_step_count=50)
TestCapsMachine = CapsMachine.TestCase
