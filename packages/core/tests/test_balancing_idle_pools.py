"""Tests that the periodic work may skip idle pools."""

from hypothesis import given
from hypothesis import strategies as st

from greengagepoint.balancing import system
from greengagepoint.balancing.choice import (
    CONSECUTIVE_FAILURES_MAX,
    record_request_end,
    record_request_start,
)
from greengagepoint.balancing.reports import record_load_report
from greengagepoint.balancing.rows import set_listed_leaving, sync_rows
from greengagepoint.balancing.shared_reports import reports_to_send
from greengagepoint.balancing.sharing import SharingTable, used_pools
from greengagepoint.balancing.system import EJECTION_SECONDS
from greengagepoint.balancing.tables import BackendTable, Load, Outcome
from greengagepoint.configuration import EMPTY
from greengagepoint.records.schemas import BackendServer, Drain, DrainTarget, Site

SERVERS = ("a", "b", "c")
STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ["start", "answer", "fail", "report", "leave", "list", "drain", "remove"]
            + ["break"]
        ),
        st.sampled_from(SERVERS),
        st.sampled_from([0.0, 0.25, 3.0, 11.0, 40.0]),
    ),
    max_size=40,
)


def make_configuration(generation: int, removed: set[str], drained: set[str]):
    servers = tuple(
        BackendServer(name, "booking", f"{name}:80", 10)
        for name in SERVERS
        if name not in removed
    )
    site = Site(name="s", region="r", zone="z", capacity=30, backend_servers=servers)
    drains = {
        name: Drain(
            name=name,
            target_kind=DrainTarget.BACKEND_SERVER,
            target=name,
            start_at="1970-01-01T00:00:00Z",
        )
        for name in drained
    }
    return EMPTY._replace(generation=generation, sites={"s": site}, drains=drains)


class Host:
    """One host's table; with ``skips_idle`` False each tick checks every pool."""

    def __init__(self, *, skips_idle: bool) -> None:
        self.skips_idle = skips_idle
        self.table = BackendTable()
        self.sharing = SharingTable()
        self.generation = 1
        self.removed: set[str] = set()
        self.drained: set[str] = set()
        sync_rows(self.table, make_configuration(1, set(), set()), 0.0, 0)

    def step(self, action: str, name: str, now: float) -> None:
        row = self.table.rows.get(("booking", "s", name))
        if action in ("drain", "remove"):
            (
                self.drained if action == "drain" else self.removed
            ).symmetric_difference_update({name})
            self.generation += 1
        elif action == "list":
            set_listed_leaving(self.table, frozenset({name}))
        elif row is None:
            return
        elif action == "start":
            record_request_start(row, now)
        elif action == "break":
            for _ in range(CONSECUTIVE_FAILURES_MAX):
                record_request_start(row, now)
                record_request_end(row, Outcome.FAILED, 0.05, now)
        elif action in ("answer", "fail"):
            outcome = Outcome.ANSWERED if action == "answer" else Outcome.FAILED
            if row.in_flight:
                record_request_end(row, outcome, 0.05, now)
        else:
            record_load_report(row, Load(1, 10, leaving=action == "leave"), now)

    def tick(self, now: float) -> tuple:
        if not self.skips_idle:
            for pool in self.table.pools.values():
                pool.active = True
        current_records = make_configuration(
            self.generation, self.removed, self.drained
        )
        sync_rows(self.table, current_records, now, 0)
        reports_to_send(self.sharing, self.table, "me", now)
        announced = set(self.sharing.announced_leaving)
        events = system.run(self.table, now)
        return events, used_pools(self.table, now), announced, set(self.table.rows)


@given(STEPS)
def test_skipping_idle_pools_changes_no_result(steps):
    """A host sends to few of a thousand sites and skips the idle pools of the others.

    Its events, the pools in use, announced leaving servers and rows must be the same
    as if each tick checked all rows. Otherwise a server that leaves or fails in an
    idle pool would not be detected.
    """
    skipping, checking_all = Host(skips_idle=True), Host(skips_idle=False)
    now = 100.0
    for action, name, seconds in steps:
        for host in (skipping, checking_all):
            host.step(action, name, now)
        assert skipping.tick(now) == checking_all.tick(now)
        now += seconds
        assert skipping.tick(now) == checking_all.tick(now)


def test_an_idle_pool_becomes_inactive_until_used():
    host = Host(skips_idle=True)
    pool = host.table.pools["booking", "s"]
    host.tick(0.0)
    assert not pool.active
    host.step("start", "a", 1.0)
    host.step("answer", "a", 1.0)
    for now in (1.25, 5.0, 10.9):
        host.tick(now)
        assert pool.active
    host.tick(12.0)
    host.tick(23.0)
    assert not pool.active


def test_a_removed_row_is_dropped_after_its_last_request():
    host = Host(skips_idle=True)
    host.step("start", "a", 0.0)
    host.step("remove", "a", 0.0)
    host.tick(0.25)
    assert ("booking", "s", "a") in host.table.rows
    host.step("answer", "a", 60.0)
    host.tick(60.0)
    assert ("booking", "s", "a") not in host.table.rows


def test_an_ejected_server_is_readmitted_without_traffic():
    host = Host(skips_idle=True)
    now = 0.0
    for ejections in range(1, 7):
        host.step("break", "a", now)
        seconds = 0
        row = host.table.rows["booking", "s", "a"]
        while seconds == 0 or row.ejected_until is not None:
            host.tick(now + seconds)
            seconds += 1
            assert seconds <= EJECTION_SECONDS * ejections + 2
        now += seconds
