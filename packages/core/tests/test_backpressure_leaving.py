"""How the word of a server that leaves spreads from host to host."""

import random

import pytest

from greengagepoint.backpressure.leaving import (
    KEPT_MAX,
    KEPT_SECONDS,
    SHARED_SECONDS,
    UNDATED_KEPT_SECONDS,
    LeavingServers,
)
from greengagepoint.backpressure.messages import LeavingNotice
from greengagepoint.placing.tables import Incarnation

SERVER = Incarnation("i-1", 7, "10.0.0.1:1")
EXCHANGE_SECONDS = 0.5
# A server is drained for at least this long after it says that it leaves.
DRAIN_SECONDS = 5.0


@pytest.mark.parametrize("count", [3, 11, 87, 300])
def test_all_hosts_hear_of_a_leaving_server_by_exchanges_alone(count):
    draw = random.Random(1)
    hosts = [LeavingServers() for _ in range(count)]
    hosts[0].record(SERVER, 0.0)
    now = 0.0
    while not all(SERVER in host for host in hosts):
        now += EXCHANGE_SECONDS
        for host in hosts:
            peer = draw.choice(hosts)
            for one, other in ((host, peer), (peer, host)):
                other.merge(one.shared(now), now)
        assert now <= DRAIN_SECONDS


@pytest.mark.parametrize(
    ("born", "seconds"), [(7, KEPT_SECONDS), (0, UNDATED_KEPT_SECONDS)]
)
def test_a_server_without_an_entry_is_forgotten_in_the_end(born, seconds):
    server = SERVER._replace(born=born)
    servers = LeavingServers()
    servers.record(server, -5.0)
    servers.record(server, 0.0)
    servers.retain((), seconds)
    assert server in servers
    servers.retain((), seconds + 1)
    assert server not in servers


def test_a_server_with_an_entry_is_never_forgotten():
    servers = LeavingServers()
    servers.record(SERVER, 0.0)
    servers.retain([SERVER], 10 * KEPT_SECONDS)
    assert SERVER in servers


def test_an_old_notice_is_ignored():
    notice = LeavingNotice(*SERVER, round(SHARED_SECONDS * 1000) + 1)
    assert LeavingServers().merge([notice], 100.0) == []


def test_the_oldest_of_too_many_servers_is_dropped():
    servers = LeavingServers()
    for number in range(KEPT_MAX + 1):
        servers.record(Incarnation(f"i-{number}", 7, ""), float(number))
    assert len(servers.heard_at) == KEPT_MAX
    assert Incarnation("i-0", 7, "") not in servers
