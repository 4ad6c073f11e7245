from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengagepoint.balancing import sharing
from greengagepoint.balancing.choice import choose, finished, started
from greengagepoint.balancing.messages import LoadReports, PoolLoad, ServerLoad
from greengagepoint.balancing.reports import report
from greengagepoint.balancing.rows import sync_rows
from greengagepoint.balancing.shared_reports import (
    reports_to_send,
    rows_to_ask,
    take_reports,
)
from greengagepoint.balancing.sharing import SharingTable
from greengagepoint.balancing.tables import BackendTable, Load, Outcome
from greengagepoint.configuration import EMPTY
from greengagepoint.hosts import HostIdentity
from greengagepoint.records.schemas import BackendServer, Site

POOL = ("booking", "s")


def identity(name, region="r", zone="z"):
    return HostIdentity(name, 1, region, zone, f"{name}:80", f"{name}:81")


HOSTS = tuple(identity(f"h{number}") for number in range(4))
SITE = Site(
    name="s",
    region="r",
    zone="z",
    capacity=20,
    backend_servers=tuple(
        BackendServer(f"b{number}", "booking", f"b{number}:80", 10)
        for number in range(2)
    ),
)
CONFIGURATION = EMPTY._replace(generation=1, sites={"s": SITE})


class Host:
    """One host that sends to the pool and shares its load."""

    def __init__(self, name):
        self.name = name
        self.sharing = SharingTable()
        self.table = BackendTable()
        sync_rows(self.table, CONFIGURATION, 0.0, 0)

    def row(self, name):
        return self.table.rows[*POOL, name]

    def wants(self, now):
        used = sharing.used_pools(self.table, now)
        return sharing.wants_to_send(
            self.sharing, used, CONFIGURATION, HOSTS, self.name, now
        )

    def use(self, now):
        started(self.row("b0"), now)
        finished(self.row("b0"), Outcome.ANSWERED, 0.01, now)


@pytest.fixture
def fleet():
    """Return hosts by name; all have sent to the pool and told its askers."""
    hosts = {host.name: Host(host.name) for host in HOSTS}
    for host in hosts.values():
        host.use(100.0)
        for receiver, message in host.wants(100.0).items():
            sharing.note_wanted(hosts[receiver].sharing, host.name, message, 100.0)
    return hosts


def askers_of(fleet):
    return sharing.pollers(SharingTable(), POOL, CONFIGURATION, HOSTS)


@pytest.mark.parametrize(
    ("hosts", "expected"),
    [
        ([identity("a"), identity("b", zone="y")], {"a"}),
        ([identity("b", zone="y"), identity("c", "q")], {"b"}),
        ([identity("c", "q"), identity("d", "q")], {"c", "d"}),
        ([], set()),
    ],
)
def test_askers_are_the_nearest_hosts(hosts, expected):
    assert set(sharing.pollers(SharingTable(), POOL, CONFIGURATION, hosts)) == expected
    assert sharing.pollers(SharingTable(), ("x", "none"), CONFIGURATION, hosts) == ()


@given(st.permutations(HOSTS), st.sampled_from(HOSTS))
def test_hosts_agree_on_askers_and_a_lost_one_moves_only_its_part(hosts, lost):
    before = sharing.pollers(SharingTable(), POOL, CONFIGURATION, HOSTS)
    assert sharing.pollers(SharingTable(), POOL, CONFIGURATION, hosts) == before
    rest = [host for host in hosts if host is not lost]
    after = sharing.pollers(SharingTable(), POOL, CONFIGURATION, rest)
    kept = [name for name in before if name != lost.name]
    assert [name for name in after if name in before] == kept


def test_only_wanted_pools_are_asked_and_an_answers_header_saves_asking(fleet):
    asking = fleet[askers_of(fleet)[0]]
    other = next(fleet[name] for name in fleet if name not in askers_of(fleet))
    assert rows_to_ask(other.sharing, other.table, 100.0) == []
    due = rows_to_ask(asking.sharing, asking.table, 100.0)
    assert [row.name for row in due] == ["b0", "b1"]
    assert rows_to_ask(asking.sharing, asking.table, 100.9) == []
    report(asking.row("b0"), Load(1, 10), 101.0)
    due = rows_to_ask(asking.sharing, asking.table, 101.5)
    assert [row.name for row in due] == ["b1"]
    assert rows_to_ask(asking.sharing, asking.table, 200.0) == []


def test_own_word_that_a_server_leaves_reaches_all_at_the_next_tick(fleet):
    """A server tells one asker that it leaves, between two rounds of sharing.

    The asker tells the hosts that send there at its next tick; their next choice
    passes the server over, and the news isn't sent again each tick.
    """
    asking = fleet[askers_of(fleet)[0]]
    reports_to_send(asking.sharing, asking.table, asking.name, 100.0)
    report(asking.row("b0"), Load(0, 10, leaving=True), 100.2)
    told = reports_to_send(asking.sharing, asking.table, asking.name, 100.3)
    assert set(told) == set(fleet) - {asking.name}
    for name, message in told.items():
        host = fleet[name]
        assert take_reports(host.table, message, 100.35) == []
        row = choose(host.table, *POOL, 100.35, Random(1))
        assert row.name == "b1"
    again = reports_to_send(asking.sharing, asking.table, asking.name, 100.5)
    assert again == {}


def test_shared_reports_are_not_passed_on_and_age(fleet):
    """Two askers want the same pool and tell each other what they know.

    What one has from the other is not sent back, or an old report would look new
    for ever.
    """
    first, second = (fleet[name] for name in askers_of(fleet))
    report(first.row("b0"), Load(3, 10), 100.0)
    message = reports_to_send(first.sharing, first.table, first.name, 101.0)
    take_reports(second.table, message[second.name], 101.0)
    assert second.row("b0").reported == Load(3, 10)
    assert second.row("b0").reported_at == pytest.approx(100.0)
    back = reports_to_send(second.sharing, second.table, second.name, 103.0)
    assert back == {}


@pytest.mark.parametrize("counts", [(-1, 10, 0), (1, 10, 10**9)])
def test_impossible_shared_report_is_told_and_left(counts):
    host = Host("h0")
    servers = (ServerLoad("b0", 5, *counts, False), ServerLoad("x", 5, 1, 1, 1, False))
    message = LoadReports((PoolLoad(*POOL, servers), PoolLoad("x", "y", servers)))
    assert take_reports(host.table, message, 1.0) == [host.row("b0")]
    assert host.row("b0").reported is None


def test_wants_are_repeated_and_dropped_when_unused(fleet):
    name = next(name for name in fleet if name not in askers_of(fleet))
    host = fleet[name]
    assert host.wants(101.0) == {}
    host.use(120.0)
    assert set(host.wants(121.0)) == set(askers_of(fleet))
    assert host.wants(140.0) == {}
    assert host.sharing.sent_subscriptions == {}
