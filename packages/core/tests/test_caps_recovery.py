"""Test that all units become usable again after a failure."""

from collections.abc import Callable

import pytest

from greengagepoint_standins.caps_layout import Layout
from greengagepoint_standins.caps_store import LedgerFault
from greengagepoint_standins.caps_world import World


def pause(cluster: World) -> None:
    cluster.hosts["a-1"].paused = True


def isolate(cluster: World) -> None:
    cluster.hosts["a-1"].store_cut = True
    for host in cluster.layout.hosts:
        cluster.cut |= {("a-1", host), (host, "a-1")}


def cut_store(cluster: World) -> None:
    cluster.store.fault = LedgerFault.DOWN


def lose_replies(cluster: World) -> None:
    cluster.store.fault = LedgerFault.LOST_REPLY


def lose_messages(cluster: World) -> None:
    cluster.loss = 0.9


def kill(cluster: World) -> None:
    cluster.kill("a-1")


def kill_with_store_down(cluster: World) -> None:
    cut_store(cluster)
    kill(cluster)


def stop(cluster: World) -> None:
    cluster.hosts["a-1"].table.leaving = True


def restart(cluster: World) -> None:
    cluster.kill("a-1")
    cluster.start("a-1")


@pytest.mark.parametrize(
    "fail",
    [
        pause,
        isolate,
        cut_store,
        lose_replies,
        lose_messages,
        kill,
        kill_with_store_down,
        stop,
        restart,
    ],
)
def test_all_units_are_usable_again_after_a_failure(
    fail: Callable[[World], None],
) -> None:
    """A component fails for 20 seconds under full load and then recovers.

    Requests may be rejected meanwhile. A minute later the remote host and a host of
    the site's region must use all units of the site between them again.
    """
    layout = Layout(
        ("a-1", "a-2", "a-3", "b-1"), {"s": "a"}, {"a": 12, "b": 1}, {"s": 12}, 4
    )
    cluster = World(layout, 1)
    for host in cluster.hosts.values():
        host.duration = 0.5
    for name in ("a-3", "b-1"):
        cluster.hosts[name].wanted["s"] = 9
    cluster.advance(15)
    assert cluster.in_flight()["s"] >= 11
    fail(cluster)
    cluster.advance(20)
    cluster.cut.clear()
    cluster.loss = 0.0
    cluster.store.fault = LedgerFault.NONE
    for host in cluster.hosts.values():
        host.paused = host.store_cut = False
    cluster.advance(60)
    assert cluster.excess() == {}
    assert cluster.in_flight()["s"] >= 11


@pytest.mark.parametrize("name", ["b-1", "a-9"])
def test_borrower_without_an_owner_in_view_finds_the_owners(name: str) -> None:
    """In a large fleet a host sees few peers; here only one, which owns nothing.

    A remote host asks that peer, which names the owners, and borrows from them. A
    host of the region reads the owners from the ledger.
    """
    hosts = ("a-1", "a-2", "a-3", "a-4", "a-5", "a-9", "b-1")
    layout = Layout(hosts, {"s": "a"}, {"a": 12, "b": 1}, {"s": 12}, 4)
    cluster = World(layout, 1)
    cluster.advance(5)
    owners = set(cluster.store.values["a"][0].owners)
    non_owners = {
        host for host in hosts if host[0] == "a" and f"{host}#1" not in owners
    }
    assert len(non_owners - {name}) >= 1
    cluster.hosts[name].contacts = {sorted(non_owners - {name})[0]}
    cluster.hosts[name].wanted["s"] = 9
    cluster.advance(8)
    assert cluster.hosts[name].running["s"] == 9
