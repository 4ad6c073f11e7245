"""Recover from one failure of caps: all units are of use again in the end."""

from collections.abc import Callable

import pytest

from greengagepoint_standins.caps_layout import Layout
from greengagepoint_standins.caps_store import LedgerFault
from greengagepoint_standins.caps_world import World


def pause(world: World) -> None:
    world.hosts["a-1"].paused = True


def isolate(world: World) -> None:
    world.hosts["a-1"].store_cut = True
    for host in world.layout.hosts:
        world.cut |= {("a-1", host), (host, "a-1")}


def cut_store(world: World) -> None:
    world.store.fault = LedgerFault.DOWN


def lose_replies(world: World) -> None:
    world.store.fault = LedgerFault.LOST_REPLY


def lose_messages(world: World) -> None:
    world.loss = 0.9


def kill(world: World) -> None:
    world.kill("a-1")


def kill_with_store_down(world: World) -> None:
    cut_store(world)
    kill(world)


def stop(world: World) -> None:
    world.hosts["a-1"].table.leaving = True


def restart(world: World) -> None:
    world.kill("a-1")
    world.start("a-1")


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
def test_all_units_are_of_use_again_after(fail: Callable[[World], None]) -> None:
    """One thing fails for twenty seconds under full load and is then put right.

    Requests are refused meanwhile, more or less. A minute later the remote host and
    its region's own have all units of the site in use between them again.
    """
    layout = Layout(
        ("a-1", "a-2", "a-3", "b-1"), {"s": "a"}, {"a": 12, "b": 1}, {"s": 12}, 4
    )
    world = World(layout, 1)
    for host in world.hosts.values():
        host.duration = 0.5
    for name in ("a-3", "b-1"):
        world.hosts[name].wanted["s"] = 9
    world.advance(15)
    assert world.in_flight()["s"] >= 11
    fail(world)
    world.advance(20)
    world.cut.clear()
    world.loss = 0.0
    world.store.fault = LedgerFault.NONE
    for host in world.hosts.values():
        host.paused = host.store_cut = False
    world.advance(60)
    assert world.excess() == {}
    assert world.in_flight()["s"] >= 11


@pytest.mark.parametrize("name", ["b-1", "a-9"])
def test_borrower_that_sees_no_owner_finds_them(name: str) -> None:
    """In a large fleet a host sees few others; here only one that owns nothing.

    A remote host asks that one, is told who the owners are, and borrows from them; a
    host of the region has them from the ledger.
    """
    hosts = ("a-1", "a-2", "a-3", "a-4", "a-5", "a-9", "b-1")
    layout = Layout(hosts, {"s": "a"}, {"a": 12, "b": 1}, {"s": 12}, 4)
    world = World(layout, 1)
    world.advance(5)
    owners = set(world.store.values["a"][0].owners)
    others = {host for host in hosts if host[0] == "a" and f"{host}#1" not in owners}
    assert len(others - {name}) >= 1
    world.hosts[name].contacts = {sorted(others - {name})[0]}
    world.hosts[name].wanted["s"] = 9
    world.advance(8)
    assert world.hosts[name].running["s"] == 9
