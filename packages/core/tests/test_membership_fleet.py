"""Membership under faults: hosts on a virtual clock and a lossy bus."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from greengagepoint.membership import regions, seeds, systems
from greengagepoint.membership.messages import HostState
from greengagepoint.membership.tables import RegionChange
from greengagepoint.protocols import ListedHost
from measure.membership_fleet import TWELVE, Fleet, lay_out

NAMES = {name for name, _, _ in TWELVE}


def test_twelve_hosts_find_each_other():
    fleet = Fleet(TWELVE).run(10)
    assert all(fleet.live(name) == NAMES for name in NAMES)


def test_stopped_host_is_gone_everywhere_and_nobody_else():
    fleet = Fleet(TWELVE).run(15)
    fleet.stop("h0-0-0")
    fleet.run(20)
    assert all(fleet.live(name) == NAMES - {"h0-0-0"} for name in fleet.tables)
    assert {host for _, _, host in fleet.seen(HostState.GONE)} == {"h0-0-0"}


@pytest.mark.parametrize("seed", range(3))
def test_loss_and_repetition_hold_nobody_gone(seed):
    """A tenth of all messages is lost and a tenth comes twice, late and out of order.

    Helpers reach whom the direct ping does not, so no live host is held gone, and the
    one that does stop is held gone by all.
    """
    fleet = Fleet(TWELVE, seed, loss=0.1, doubled=0.1, delay=(0.001, 0.6)).run(120)
    assert fleet.seen(HostState.GONE) == []
    fleet.stop("h1-1-1")
    fleet.run(30)
    assert all(fleet.live(name) == NAMES - {"h1-1-1"} for name in fleet.tables)


@pytest.mark.parametrize("ways", [1, 2])
def test_cut_between_two_hosts_is_bridged_by_helpers(ways):
    """Messages from one host to another are lost, or those back as well.

    Neither gets the other's answers, yet helpers reach both, so neither is suspected,
    and look-ups go on naming both.
    """
    fleet = Fleet(TWELVE).run(10)
    pair = ("h0-0-0", "h1-0-0")
    fleet.cut = {pair, pair[::-1]} if ways == 2 else {pair}
    fleet.run(90)
    assert fleet.seen(HostState.SUSPECTED) == []
    assert all(fleet.live(name) == NAMES for name in NAMES)


def test_paused_host_wakes_and_condemns_nobody():
    """A host is paused for 30 s, so the others hold it gone; then it goes on.

    Its own clock says that nobody answered for 30 s. It must not tell the others that
    all are gone, and it comes back to their look-ups under the same incarnation.
    """
    fleet = Fleet(TWELVE).run(15)
    run = fleet.tables["h0-0-0"].me.incarnation
    fleet.paused.add("h0-0-0")
    fleet.run(30)
    assert all("h0-0-0" not in fleet.live(name) for name in NAMES - {"h0-0-0"})
    fleet.paused.clear()
    woken = fleet.now
    fleet.run(15)
    assert {host for _, _, host in fleet.seen(HostState.GONE, woken)} <= {"h0-0-0"}
    assert all(fleet.live(name) == NAMES for name in NAMES)
    assert fleet.held("h2-0-0", "h0-0-0").incarnation == run


def test_deaf_host_tells_nobody_of_its_doubts():
    """Nothing reaches one host any more, though all it sends arrives.

    It suspects everyone, but as it hears nobody it keeps that to itself: the others
    go on seeing each other.
    """
    fleet = Fleet(TWELVE).run(15)
    fleet.cut = {(name, "h0-0-0") for name in NAMES}
    deaf = fleet.now
    fleet.run(60)
    late = fleet.seen(HostState.SUSPECTED, deaf + 10) + fleet.seen(HostState.GONE)
    assert {host for _, viewer, host in late if viewer != "h0-0-0"} <= {"h0-0-0"}
    others = NAMES - {"h0-0-0"}
    assert all(others <= fleet.live(name) for name in others)


def test_suspect_is_not_condemned_on_the_first_tick_after_a_pause():
    """A host is paused while it suspects another, whose answers came meanwhile.

    On waking its clock says that the suspect's time is up, but the answers are still
    unread; it starts the suspicion over.
    """
    fleet = Fleet(TWELVE).run(15)
    tables = fleet.tables["h0-0-0"]
    row = tables.members["h1-0-0"]
    row.claim = msgspec.structs.replace(row.claim, state=HostState.SUSPECTED)
    row.suspicion_ends_at = fleet.now + 2
    systems.run(tables, fleet.now + 30, fleet.random)
    assert row.claim.state is HostState.SUSPECTED


@pytest.mark.parametrize(
    ("minutes_of_clock", "stopped_seconds"), [(1, 1), (-60, 1), (-60, 30), (-60, 900)]
)
def test_restarted_host_is_a_new_one_whatever_its_clock_says(
    minutes_of_clock, stopped_seconds
):
    """A host restarts, and its wall clock jumped, so its incarnation may be lower.

    The others answer its first messages with what they hold of the earlier run; it
    raises its version above that, and all take it for the new run.
    """
    fleet = Fleet(TWELVE).run(15)
    before = fleet.tables["h0-0-0"].me.incarnation
    fleet.stop("h0-0-0")
    fleet.run(stopped_seconds)
    run = before + minutes_of_clock * 60_000
    fleet.start("h0-0-0", run)
    fleet.run(12)
    for name in NAMES - {"h0-0-0"}:
        assert fleet.live(name) == NAMES
        assert fleet.held(name, "h0-0-0").incarnation == run


def test_all_hosts_replaced_within_a_minute():
    """Each host stops and starts again, one every 5 s, under a stale host list.

    At each moment every host has live peers to name, and at the end all hold all
    hosts in their new runs.
    """
    fleet = Fleet(TWELVE).run(15)
    for name in sorted(NAMES):
        fleet.stop(name)
        fleet.run(1)
        fleet.start(name)
        fleet.run(4)
        assert all(len(fleet.live(viewer)) >= 8 for viewer in NAMES)
    fleet.run(10)
    assert all(fleet.live(name) == NAMES for name in NAMES)
    for viewer, name in [("h0-0-0", "h2-1-1"), ("h2-1-1", "h0-0-0")]:
        assert fleet.held(viewer, name).incarnation == fleet.tables[name].me.incarnation


def test_flapping_host_ends_as_what_it_is():
    fleet = Fleet(TWELVE).run(15)
    for _ in range(8):
        fleet.stop("h0-0-0")
        fleet.run(3)
        fleet.start("h0-0-0")
        fleet.run(3)
    fleet.run(8)
    assert all(fleet.live(name) == NAMES for name in NAMES)
    fleet.stop("h0-0-0")
    fleet.run(20)
    assert all("h0-0-0" not in fleet.live(name) for name in fleet.tables)


def test_cut_regions_find_each_other_again():
    """One region is cut off for ten minutes; both sides go on by themselves.

    Each side reports the other as out of reach and, soon after the cut has ended, as
    back; no host restarts for it.
    """
    fleet = Fleet(TWELVE).run(15)
    inside = {name for name in NAMES if name.startswith("h0")}
    pairs = {(one, two) for one in inside for two in NAMES - inside}
    fleet.cut = pairs | {(two, one) for one, two in pairs}
    fleet.run(600)
    assert fleet.live("h0-0-0") == inside
    assert fleet.live("h1-0-0") == NAMES - inside
    assert fleet.tables["h0-0-0"].unreachable == {"r1", "r2"}
    assert fleet.tables["h1-0-0"].unreachable == {"r0"}
    fleet.cut = set()
    fleet.run(20)
    assert all(fleet.live(name) == NAMES for name in NAMES)
    assert all(not tables.unreachable for tables in fleet.tables.values())
    assert RegionChange("r0", True) in [change for _, _, change in fleet.changes]


def test_stale_list_makes_nobody_alive_and_listed_leaving_leaves_lookups():
    fleet = Fleet(TWELVE)
    for tables in fleet.tables.values():
        stale = [
            ListedHost(f"old{n}", "", "10.9.9.9:81", "r0", "z00", False)
            for n in range(80)
        ]
        seeds.apply_list(tables, [*fleet.listed, *stale])
    fleet.run(90)
    assert all(fleet.live(name) == NAMES for name in NAMES)
    tables = fleet.tables["h0-0-0"]
    seeds.apply_list(tables, [fleet.listing("h1-0-0", leaving=True)])
    serving = {host.name for host in systems.serving_hosts(tables, fleet.now)}
    assert serving == NAMES - {"h1-0-0"}
    assert fleet.live("h0-0-0") == NAMES
    fleet.stop("h1-0-0")
    fleet.start("h1-0-0")
    fleet.run(10)
    seeds.apply_list(tables, [fleet.listing("h1-0-0", leaving=True)])
    serving = {host.name for host in systems.serving_hosts(tables, fleet.now)}
    assert serving == NAMES


SIX = lay_out(3, 1, 2)
FAULT = st.tuples(
    st.sampled_from(["stop", "start", "pause", "cut", "heal", "flap", "clock"]),
    st.integers(0, 5),
    st.integers(1, 20),
)


@settings(max_examples=40)
@given(st.lists(FAULT, max_size=12), st.integers(0, 99))
def test_after_any_faults_all_hold_what_is_true(faults, seed):
    """Hosts stop, start with any clock, pause and lose links, in any order, while a
    tenth of the messages is lost.

    Once that has ended, each host names exactly the running ones, in their last runs.
    """
    fleet = Fleet(SIX, seed, loss=0.1).run(5)
    names = sorted(fleet.places)
    for fault, index, seconds in faults:
        name = names[index]
        running = name in fleet.tables
        if fault == "stop" and running and len(fleet.tables) > 2:
            fleet.stop(name)
        elif fault in ("start", "flap", "clock"):
            clock = 1_780_000_000_000 + index if fault == "clock" else None
            fleet.start(name, clock)
        elif fault == "pause":
            fleet.paused ^= {name}
        elif fault == "cut":
            fleet.cut.add((name, names[seconds % 6]))
        elif fault == "heal":
            fleet.cut.clear()
        fleet.run(seconds)
    fleet.cut.clear()
    fleet.paused.clear()
    fleet.loss = 0.0
    fleet.run(60)
    running = set(fleet.tables)
    for name in running:
        assert fleet.live(name) == running
        for other in running - {name}:
            held = fleet.held(name, other).incarnation
            assert held == fleet.tables[other].me.incarnation


LARGE = lay_out(3, 3, 8)


def test_large_system_sees_its_zone_in_detail_and_the_rest_in_sums():
    """72 hosts are more than are tracked one by one.

    Each tracks its zone of 8 and knows contacts of all other zones and regions and
    how many hosts there are; a host lost elsewhere only changes sums.
    """
    fleet = Fleet(LARGE).run(90)
    tables = fleet.tables["h0-0-0"]
    assert not any(one.detail_everywhere for one in fleet.tables.values())
    zone = {name for name in fleet.tables if name.startswith("h0-0")}
    live = fleet.live("h0-0-0")
    assert zone <= live
    assert {host.split("-")[0] for host in live} == {"h0", "h1", "h2"}
    assert regions.population(tables, fleet.now) == 72
    fleet.stop("h2-2-7")
    fleet.run(60)
    assert regions.population(tables, fleet.now) == 71
    assert {viewer[:4] for _, viewer, _ in fleet.seen(HostState.GONE)} == {"h2-2"}


def test_large_system_notices_a_lost_region_and_its_return():
    fleet = Fleet(LARGE).run(60)
    lost = [name for name in fleet.tables if name.startswith("h1")]
    for name in lost:
        fleet.stop(name)
    fleet.run(100)
    assert all(one.unreachable == {"r1"} for one in fleet.tables.values())
    assert all(not name.startswith("h1") for name in fleet.live("h0-0-0"))
    for name in lost:
        fleet.start(name)
    fleet.run(60)
    assert all(not one.unreachable for one in fleet.tables.values())


def test_system_that_shrinks_tracks_all_hosts_again():
    fleet = Fleet(LARGE).run(90)
    for name in list(fleet.tables):
        if name.split("-")[2] not in "01":
            fleet.stop(name)
    left = set(fleet.tables)
    fleet.listed = [fleet.listing(name) for name in left]
    for tables in fleet.tables.values():
        seeds.apply_list(tables, fleet.listed)
    fleet.run(150)
    assert all(one.detail_everywhere for one in fleet.tables.values())
    assert all(fleet.live(name) == left for name in left)
