from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengagepoint.balancing import sharing
from greengagepoint.balancing.choice import (
    choose,
    record_request_end,
    record_request_start,
)
from greengagepoint.balancing.messages import LoadReports, PoolLoad, ServerLoad
from greengagepoint.balancing.reports import record_load_report
from greengagepoint.balancing.rows import sync_rows
from greengagepoint.balancing.shared_reports import (
    apply_shared_reports,
    reports_to_send,
    rows_to_poll,
)
from greengagepoint.balancing.sharing import SharingTable
from greengagepoint.balancing.tables import BackendTable, Load, Outcome
from greengagepoint.configuration import EMPTY
from greengagepoint.hosts import HostIdentity
from greengagepoint.records.schemas import BackendServer, Site

POOL = ("booking", "s")


def host_identity(name, region="r", zone="z"):
    return HostIdentity(name, 1, region, zone, f"{name}:80", f"{name}:81")


HOSTS = tuple(host_identity(f"h{number}") for number in range(4))
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
    """One host that sends requests to the pool and shares its load."""

    def __init__(self, name):
        self.name = name
        self.sharing = SharingTable()
        self.table = BackendTable()
        sync_rows(self.table, CONFIGURATION, 0.0, 0)

    def row(self, name):
        return self.table.rows[*POOL, name]

    def subscription_messages(self, now):
        used = sharing.used_pools(self.table, now)
        return sharing.subscriptions_to_send(
            self.sharing, used, CONFIGURATION, HOSTS, self.name, now
        )

    def send_request(self, now):
        record_request_start(self.row("b0"), now)
        record_request_end(self.row("b0"), Outcome.ANSWERED, 0.01, now)


@pytest.fixture
def fleet():
    """Return hosts by name that use the pool and subscribed at its pollers."""
    hosts = {host.name: Host(host.name) for host in HOSTS}
    for host in hosts.values():
        host.send_request(100.0)
        for receiver, message in host.subscription_messages(100.0).items():
            sharing.record_subscription(
                hosts[receiver].sharing, host.name, message, 100.0
            )
    return hosts


def pollers_of(fleet):
    return sharing.pollers(SharingTable(), POOL, CONFIGURATION, HOSTS)


@pytest.mark.parametrize(
    ("hosts", "expected"),
    [
        ([host_identity("a"), host_identity("b", zone="y")], {"a"}),
        ([host_identity("b", zone="y"), host_identity("c", "q")], {"b"}),
        ([host_identity("c", "q"), host_identity("d", "q")], {"c", "d"}),
        ([], set()),
    ],
)
def test_pollers_are_the_nearest_hosts(hosts, expected):
    assert set(sharing.pollers(SharingTable(), POOL, CONFIGURATION, hosts)) == expected
    assert sharing.pollers(SharingTable(), ("x", "none"), CONFIGURATION, hosts) == ()


@given(st.permutations(HOSTS), st.sampled_from(HOSTS))
def test_hosts_agree_on_pollers_and_only_a_lost_one_is_replaced(hosts, lost):
    before = sharing.pollers(SharingTable(), POOL, CONFIGURATION, HOSTS)
    assert sharing.pollers(SharingTable(), POOL, CONFIGURATION, hosts) == before
    remaining_hosts = [host for host in hosts if host is not lost]
    after = sharing.pollers(SharingTable(), POOL, CONFIGURATION, remaining_hosts)
    kept = [name for name in before if name != lost.name]
    assert [name for name in after if name in before] == kept


def test_only_subscribed_pools_are_polled_and_reports_in_answers_save_polls(fleet):
    poller = fleet[pollers_of(fleet)[0]]
    other = next(fleet[name] for name in fleet if name not in pollers_of(fleet))
    assert rows_to_poll(other.sharing, other.table, 100.0) == []
    due = rows_to_poll(poller.sharing, poller.table, 100.0)
    assert [row.name for row in due] == ["b0", "b1"]
    assert rows_to_poll(poller.sharing, poller.table, 100.9) == []
    record_load_report(poller.row("b0"), Load(1, 10), 101.0)
    due = rows_to_poll(poller.sharing, poller.table, 101.5)
    assert [row.name for row in due] == ["b1"]
    assert rows_to_poll(poller.sharing, poller.table, 200.0) == []


def test_leaving_signal_reaches_all_hosts_at_the_next_tick(fleet):
    """A server signals leaving to one poller between two regular share messages.

    The poller tells its subscribers at its next tick, and their next choice skips
    the server. The signal is not sent again on each tick.
    """
    poller = fleet[pollers_of(fleet)[0]]
    reports_to_send(poller.sharing, poller.table, poller.name, 100.0)
    record_load_report(poller.row("b0"), Load(0, 10, leaving=True), 100.2)
    leaving_messages = reports_to_send(poller.sharing, poller.table, poller.name, 100.3)
    assert set(leaving_messages) == set(fleet) - {poller.name}
    for name, message in leaving_messages.items():
        host = fleet[name]
        assert apply_shared_reports(host.table, message, 100.35) == []
        row = choose(host.table, *POOL, 100.35, Random(1))
        assert row.name == "b1"
    repeated_messages = reports_to_send(
        poller.sharing, poller.table, poller.name, 100.5
    )
    assert repeated_messages == {}


def test_shared_reports_keep_their_age_and_are_not_forwarded(fleet):
    """Two pollers of the same pool share their reports with each other.

    A report received from the other is not sent back; otherwise an old report would
    look new forever.
    """
    first, second = (fleet[name] for name in pollers_of(fleet))
    record_load_report(first.row("b0"), Load(3, 10), 100.0)
    message = reports_to_send(first.sharing, first.table, first.name, 101.0)
    apply_shared_reports(second.table, message[second.name], 101.0)
    assert second.row("b0").reported == Load(3, 10)
    assert second.row("b0").reported_at == pytest.approx(100.0)
    returned_messages = reports_to_send(
        second.sharing, second.table, second.name, 103.0
    )
    assert returned_messages == {}


@pytest.mark.parametrize("counts", [(-1, 10, 0), (1, 10, 10**9)])
def test_out_of_range_shared_report_is_returned_and_ignored(counts):
    host = Host("h0")
    servers = (ServerLoad("b0", 5, *counts, False), ServerLoad("x", 5, 1, 1, 1, False))
    message = LoadReports((PoolLoad(*POOL, servers), PoolLoad("x", "y", servers)))
    assert apply_shared_reports(host.table, message, 1.0) == [host.row("b0")]
    assert host.row("b0").reported is None


def test_subscriptions_are_renewed_and_dropped_when_unused(fleet):
    name = next(name for name in fleet if name not in pollers_of(fleet))
    host = fleet[name]
    assert host.subscription_messages(101.0) == {}
    host.send_request(120.0)
    assert set(host.subscription_messages(121.0)) == set(pollers_of(fleet))
    assert host.subscription_messages(140.0) == {}
    assert host.sharing.sent_subscriptions == {}
