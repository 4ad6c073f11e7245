"""The request limit of a backend server, kept by all hosts together."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from quota_fleet import CONTACT_SECONDS, SERVER, WINDOW_SECONDS, QuotaFleet

from greengagepoint.backpressure.quota import (
    QUOTA_VALID_SECONDS,
    STARTUP_SECONDS,
    Grant,
    QuotaIssuer,
    QuotaPool,
    issuers_of,
)
from greengagepoint.overload.token_bucket import TokenBucket

FLEET_SIZES = (3, 11, 87, 300)
# Callers get at least this share of a limit that they exceed.
USED_SHARE_MIN = 0.3


@pytest.mark.parametrize("count", FLEET_SIZES)
@pytest.mark.parametrize("limit", [0.0, 0.5, 1.6, 10.0, 60.0])
def test_hosts_together_stay_within_the_limit(count, limit):
    fleet = QuotaFleet(count, limit)
    fleet.run(20.0, per_second=100.0)
    assert fleet.excess() <= 0


@pytest.mark.parametrize("count", FLEET_SIZES)
@pytest.mark.parametrize("limit", [1.6, 10.0, 60.0])
@pytest.mark.parametrize("demand", [1.2, 4.0], ids=["little more", "much more"])
def test_callers_get_most_of_the_limit(count, limit, demand):
    fleet = QuotaFleet(count, limit)
    fleet.run(5.0, per_second=limit * demand)
    since = fleet.now
    fleet.run(30.0, per_second=limit * demand)
    assert fleet.rate_since(since) >= USED_SHARE_MIN * limit


@pytest.mark.parametrize("count", FLEET_SIZES)
def test_callers_of_a_single_host_get_most_of_the_limit(count):
    fleet = QuotaFleet(count, 10.0)
    busy = [fleet.names[0]]
    fleet.run(10.0, per_second=40.0, at=busy)
    assert fleet.rate_since(CONTACT_SECONDS) >= USED_SHARE_MIN * 10.0


@pytest.mark.parametrize("count", FLEET_SIZES)
def test_the_limit_holds_while_hosts_disagree_about_the_first_issuer(count):
    fleet = QuotaFleet(count, 5.0)
    first = issuers_of(SERVER, fleet.names)[0]
    for host in list(fleet.hosts.values())[::2]:
        host.view.remove(first) if host.name != first else None
    fleet.run(20.0, per_second=100.0)
    assert fleet.excess() <= 0


def test_a_lost_issuer_is_replaced_by_the_second_at_a_reserve_share():
    fleet = QuotaFleet(11, 10.0)
    fleet.run(5.0, per_second=60.0)
    fleet.hosts[issuers_of(SERVER, fleet.names)[0]].frozen = True
    since = fleet.now
    fleet.run(10.0, per_second=60.0)
    assert 0.2 * 10.0 <= fleet.rate_since(since) <= 10.0


@pytest.mark.parametrize("count", FLEET_SIZES)
@pytest.mark.parametrize(("before", "after"), [(2.0, 20.0), (20.0, 2.0)])
def test_a_changed_limit_is_used_within_two_seconds(count, before, after):
    fleet = QuotaFleet(count, before)
    fleet.run(6.0, per_second=80.0)
    fleet.set_limit(after)
    fleet.run(2.0, per_second=80.0)
    since = fleet.now
    fleet.run(8.0, per_second=80.0)
    assert 0.5 * after <= fleet.rate_since(since) <= 1.5 * after


@pytest.mark.parametrize("count", FLEET_SIZES)
@pytest.mark.parametrize("limit", [0.0, 2.0])
def test_the_end_of_a_limit_reaches_all_hosts(count, limit):
    fleet = QuotaFleet(count, limit)
    fleet.run(6.0, per_second=80.0)
    fleet.set_limit(None)
    fleet.run(12.0, per_second=80.0)
    since = fleet.now
    fleet.run(2.0, per_second=80.0)
    assert fleet.rate_since(since) >= 60.0


@pytest.mark.parametrize("limit", [0.0, 0.1, 0.25, 1.0, 1.6, 10.0, 1000.0])
@pytest.mark.parametrize("firsts", [[True, True], [True, False, False]])
def test_issuers_that_disagree_stay_within_the_bound(limit, firsts):
    issuers = [(QuotaIssuer(-100.0), is_first) for is_first in firsts]
    issued = 0
    # The first grants find full buckets, and what they grant is used as late as it can.
    for tick in range(int((WINDOW_SECONDS + QUOTA_VALID_SECONDS) * 100)):
        for issuer, is_first in issuers:
            issuer.buckets.setdefault(SERVER, TokenBucket(1000.0, 0.0))
            now = tick / 100
            grant = issuer.grant(SERVER, limit, 1000, now, is_first=is_first)
            issued += grant.count
    assert issued <= 1.5 * limit * WINDOW_SECONDS + 5


def test_an_issuer_that_has_just_started_issues_nothing():
    issuer = QuotaIssuer(started_at=100.0)
    early = issuer.grant(SERVER, 10.0, 1, 100.0 + STARTUP_SECONDS / 2, is_first=True)
    assert early == Grant(0, ready=False)


def test_unused_quota_expires():
    pool = QuotaPool()
    pool.add(SERVER, Grant(2), asked_at=1.0, now=1.1)
    assert pool.withdraw(SERVER, 1.2)
    assert not pool.withdraw(SERVER, 1.0 + QUOTA_VALID_SECONDS)


class LimitedServerMachine(RuleBasedStateMachine):
    """Disturb hosts, their links and views while callers exceed a changing limit."""

    @initialize(
        count=st.sampled_from(FLEET_SIZES),
        limit=st.sampled_from([0.5, 1.6, 6.0, 30.0]),
        seed=st.integers(0, 1000),
    )
    def create(self, count, limit, seed):
        self.fleet = QuotaFleet(count, limit, seed)
        self.excused = set()

    def issuer(self, number):
        return issuers_of(SERVER, self.fleet.names)[number % 2]

    @rule(seconds=st.floats(0.2, 2.0), per_second=st.sampled_from([5.0, 60.0]))
    def run(self, seconds, per_second):
        self.fleet.run(seconds, per_second)

    @rule(limit=st.sampled_from([None, 0.0, 1.6, 6.0, 30.0]))
    def change_or_end_the_limit(self, limit):
        self.fleet.set_limit(limit)

    @rule(number=st.integers(0, 1))
    def freeze_an_issuer(self, number):
        host = self.fleet.hosts[self.issuer(number)]
        host.frozen = not host.frozen
        self.excused.add(host.name)

    @rule(number=st.integers(0, 1))
    def restart_an_issuer(self, number):
        name = self.issuer(number)
        self.fleet.restart(name)
        self.excused.add(name)

    @rule(number=st.integers(0, 1), part=st.integers(2, 4))
    def lose_an_issuer_from_some_views(self, number, part):
        self.agree_again()
        name = self.issuer(number)
        for host in list(self.fleet.hosts.values())[::part]:
            if name in host.view and host.name != name:
                host.view.remove(name)

    @rule()
    def agree_again(self):
        for host in self.fleet.hosts.values():
            host.view = list(self.fleet.names)

    @rule(part=st.integers(2, 4))
    def cut_an_issuer_from_some_hosts(self, part):
        for name in self.fleet.names[::part]:
            self.fleet.cut.add(frozenset((name, self.issuer(0))))

    @rule()
    def mend_all_cuts(self):
        self.fleet.cut.clear()

    @invariant()
    def the_limit_holds(self):
        if hasattr(self, "fleet"):
            assert self.fleet.excess(tuple(self.excused)) <= 0


LimitedServerMachine.TestCase.settings = settings(
    max_examples=40, stateful_step_count=25, deadline=None
)
TestLimitedServer = LimitedServerMachine.TestCase
