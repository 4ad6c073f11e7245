"""What callers get of a fleet that admits by level, at several sizes and loads."""

from functools import cache

import pytest
from admission_fleet import REGIONS, SERVICE, Caller, Fleet, Host, Result

# Small fleets vary more by chance, so several runs of them count together.
SERVERS_BY_HOSTS = {3: 6, 11: 16, 82: 40, 300: 60}
SEEDS_BY_HOSTS = {3: 6, 11: 3, 82: 2, 300: 1}
DISTURBED_AT = 16.0


def run(hosts, load, *, admission=True, **fields):
    """Return the results of all runs of a fleet together."""
    total = Result()
    for seed in range(SEEDS_BY_HOSTS[hosts]):
        fleet = Fleet(hosts, SERVERS_BY_HOSTS[hosts], seed + 1, admission=admission)
        total.add(fleet.run(lambda now: load, **fields))
    return total


@cache
def capacity(hosts):
    """Return what a fleet without admission answers in time at full load."""
    return run(hosts, 1.0, admission=False).goodput


@pytest.mark.parametrize(
    ("load", "goodput_min"), [(0.7, 0.0), (1.0, 0.95), (1.4, 0.95), (3.0, 0.95)]
)
@pytest.mark.parametrize("hosts", SERVERS_BY_HOSTS)
def test_capacity_is_used_for_the_urgent_and_no_rank_is_starved(
    hosts, load, goodput_min
):
    result = run(hosts, load)
    if load < 1:
        assert not result.shed
        assert result.in_time.total() >= 0.98 * result.sent.total()
    assert result.goodput >= goodput_min * capacity(hosts)
    assert result.in_time[Caller(0)] >= 0.95 * result.sent[Caller(0)]
    for caller in result.sent:
        assert result.served(caller) >= 0.25 * result.served_of_all


def test_a_flood_of_one_account_takes_no_more_than_its_fair_share():
    flood = Caller(1, "flood")
    others = [Caller(1, name) for name in "abcd"]
    callers = {flood: 0.6, **dict.fromkeys(others, 0.1)}
    result = run(11, 3.0, callers=callers)
    assert 0.25 * result.served_of_all <= result.served(flood) <= 0.2
    for caller in others:
        assert result.served(caller) >= 0.5


def restart(fleet, hosts, now):
    """Replace three hosts by ones that have just started."""
    if now == DISTURBED_AT:
        for index in range(3):
            region = REGIONS[index % len(REGIONS)]
            hosts[index] = Host(len(fleet.machines), len(hosts), region)


def freeze(fleet, hosts, now):
    """Freeze three hosts for four seconds."""
    if now == DISTURBED_AT:
        for host in hosts[:3]:
            host.frozen_until = now + 4.0


def cut_off(fleet, hosts, now):
    """Cut four hosts off from the others for four seconds."""
    for host in hosts[:4]:
        host.is_cut_off = DISTURBED_AT <= now < DISTURBED_AT + 4.0


def disagree(fleet, hosts, now):
    """Let half of the hosts admit all requests, and the others hardly any."""
    if now == DISTURBED_AT:
        for index, host in enumerate(hosts):
            host.levels.services[SERVICE].control.base = 1.0 if index % 2 else 0.05


@pytest.mark.parametrize(
    "disturb", [restart, freeze, cut_off, disagree], ids=lambda row: row.__name__
)
def test_hosts_agree_again_after_a_failure(disturb):
    # Integrated states that differ would never converge from the same pressures.
    fleet = Fleet(11, SERVERS_BY_HOSTS[11])
    result = fleet.run(
        lambda now: 3.0, disturb=lambda now, hosts: disturb(fleet, hosts, now)
    )
    at, shares = result.shares[-1]
    assert at >= DISTURBED_AT + 10
    assert max(shares) - min(shares) <= 0.1
    assert result.goodput >= 0.85 * capacity(11)
    assert result.in_time[Caller(0)] >= 0.9 * result.sent[Caller(0)]


def test_all_requests_are_admitted_again_after_an_overload():
    fleet = Fleet(11, SERVERS_BY_HOSTS[11])
    result = fleet.run(
        lambda now: 3.0 if now < 12 else 0.6, seconds=44.0, measured_from=36.0
    )
    assert min(min(shares) for at, shares in result.shares if 8 < at < 12) < 0.6
    assert not result.shed
    assert result.in_time.total() >= 0.98 * result.sent.total()
