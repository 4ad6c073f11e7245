"""When a request may leave the region of its key."""

import pytest

from greengagepoint.placing.choice import NoServerAvailable, Permissions, ServerCriteria
from greengagepoint.placing.ranking import RankCache
from greengagepoint.placing.region_loads import (
    AGE_MAX_SECONDS,
    RegionLoad,
    RegionLoads,
)
from greengagepoint.placing.room import LostCapacityTracker
from greengagepoint.placing.spilling import (
    BUSY_CLOSED,
    BUSY_OPEN,
    RemoteRegion,
    can_spill_key,
    choose_with_spill,
)
from greengagepoint.placing.tables import Server, ServerTable

NOW = 100.0
SERVICE = "booking"


def table_of(**regions):
    table = ServerTable()
    for region, count in regions.items():
        for number in range(count):
            name = f"{region}-{number}"
            table.servers[name] = Server(name, SERVICE, "", region, region, 4)
    table.rebuild()
    return table


def fill(table, region, waiting=40):
    for row in table.find(SERVICE, region).servers:
        row.apply_report(4, waiting, NOW)


def chosen(table, *, may_wait=False, may_spill=True, round_trip=0.04):
    wanted = ServerCriteria(SERVICE, ["home"], "k", 0.4, 2.5)
    permissions = Permissions(lambda _: True, lambda: may_wait, lambda: False)
    result = choose_with_spill(
        table,
        RankCache(),
        wanted,
        [RemoteRegion("far", round_trip)],
        permissions,
        lambda _: may_spill,
        NOW,
    )
    return result if isinstance(result, NoServerAvailable) else result.region


@pytest.mark.parametrize(
    ("full", "may_wait", "may_spill", "expected"),
    [
        ((), False, True, "home"),
        (("home",), False, True, "far"),
        (("home",), True, True, "far"),
        (("home", "far"), True, True, "home"),
        (("home",), True, False, "home"),
    ],
    ids=["free", "full", "in time before late", "all full", "not allowed"],
)
def test_a_request_leaves_its_region_only_to_be_in_time(
    full, may_wait, may_spill, expected
):
    table = table_of(home=2, far=2)
    for region in full:
        fill(table, region, waiting=12)
    assert chosen(table, may_wait=may_wait, may_spill=may_spill) == expected


def test_a_rejection_describes_the_own_region():
    table = table_of(home=2, far=3)
    fill(table, "home")
    fill(table, "far")
    assert chosen(table).servers == 2


def test_the_round_trip_to_a_region_counts_as_a_wait():
    # The queue there is as long as callers of that region may wait. With the round trip
    # added, the answer would miss its goal.
    table = table_of(home=1, far=1)
    fill(table, "home")
    fill(table, "far", waiting=1)
    assert chosen(table, round_trip=0.0) == "far"
    assert isinstance(chosen(table, round_trip=0.15), NoServerAvailable)


@pytest.mark.parametrize(
    ("lost", "busy", "share"),
    [
        (1.0, 0.0, 1.0),
        (1.0, BUSY_OPEN, 1.0),
        (1.0, 0.75, 0.5),
        (1.0, BUSY_CLOSED, 0.0),
        (1.0, 1.0, 0.0),
        (0.25, 0.0, 0.25),
        (0.25, 0.75, 0.25),
        (0.0, 0.0, 0.0),
        (1.0, None, 0.0),
    ],
)
def test_no_more_keys_leave_than_capacity_was_lost_and_is_free_elsewhere(
    lost, busy, share
):
    # Servers cache few keys. Keys that leave a region that is only busy evict those of
    # the other one. Both then run cold, and both regions stay full.
    taken = sum(can_spill_key(f"k{number}", lost, busy) for number in range(2_000))
    assert taken / 2_000 == pytest.approx(share, abs=0.04)


def test_a_busier_region_keeps_some_of_the_keys_it_accepted():
    keys = [f"k{number}" for number in range(200)]
    first = {key for key in keys if can_spill_key(key, 1.0, 0.65)}
    later = {key for key in keys if can_spill_key(key, 1.0, 0.85)}
    assert later < first


@pytest.mark.parametrize("how", ["left", "suspected", "cold"])
def test_a_region_that_lost_a_server_has_lost_capacity(how):
    table = table_of(home=4)
    tracker = LostCapacityTracker()
    tracker.tick(table, NOW)
    assert tracker.lost_share(SERVICE, "home") == 0.0
    row = table.servers["home-0"]
    if how == "left":
        table.leaving.add(table.servers["home-0"].incarnation)
        table.rebuild()
    elif how == "suspected":
        row.suspect_until = NOW + 9
    else:
        row.cold_until = NOW + 9
    tracker.tick(table, NOW)
    assert tracker.lost_share(SERVICE, "home") == 0.25


def test_a_region_that_lost_all_servers_has_lost_all_capacity():
    table = table_of(home=1)
    tracker = LostCapacityTracker()
    tracker.tick(table, NOW)
    table.leaving.add(table.servers["home-0"].incarnation)
    table.rebuild()
    tracker.tick(table, NOW)
    assert tracker.lost_share(SERVICE, "home") == 1.0


def test_a_loss_decays_gradually():
    # Half of a region's servers have left permanently. Keys that spilled return as the
    # loss decays; if all returned at once, they would change their region within one
    # interval of 2 s and run cold in their own region at the same time.
    table = table_of(home=4)
    tracker = LostCapacityTracker()
    tracker.tick(table, NOW)
    table.leaving |= {table.servers[f"home-{n}"].incarnation for n in range(2)}
    table.rebuild()
    shares = []
    for second in range(100):
        tracker.tick(table, NOW + second)
        shares.append(tracker.lost_share(SERVICE, "home"))
    assert shares[0] == 0.5
    assert shares[99] == 0.0
    pairs = zip(shares, shares[2:], strict=False)
    assert max(before - after for before, after in pairs) < 0.03


def test_a_busy_region_has_lost_no_capacity():
    table = table_of(home=4)
    tracker = LostCapacityTracker()
    tracker.tick(table, NOW)
    fill(table, "home")
    tracker.tick(table, NOW + 1)
    assert tracker.lost_share(SERVICE, "home") == 0.0


def test_a_host_measures_its_own_region_and_merges_loads_of_others():
    table = table_of(home=2, far=2)
    table.servers["home-0"].apply_report(4, 9, NOW)
    loads = RegionLoads("home")
    loads.measure(table, NOW)
    loads.take([RegionLoad("far", SERVICE, 0.7, 1.0)], NOW)
    loads.take([RegionLoad("home", SERVICE, 0.9, 0.0)], NOW)
    assert loads.busy(SERVICE, "home", NOW) == 0.5
    assert loads.busy(SERVICE, "far", NOW) == 0.7
    assert loads.busy(SERVICE, "far", NOW + AGE_MAX_SECONDS) is None
    assert loads.busy(SERVICE, "unknown", NOW) is None


def test_an_older_load_does_not_replace_a_newer_one():
    loads = RegionLoads("home")
    loads.take([RegionLoad("far", SERVICE, 0.7, 0.5)], NOW)
    loads.take([RegionLoad("far", SERVICE, 0.1, 1.5)], NOW)
    assert loads.busy(SERVICE, "far", NOW) == 0.7
    assert loads.recent_loads(NOW) == [RegionLoad("far", SERVICE, 0.7, 0.5)]


def test_a_region_without_a_usable_server_is_full():
    table = table_of(home=1)
    table.servers["home-0"].suspect_until = NOW + 9
    loads = RegionLoads("home")
    loads.measure(table, NOW)
    assert loads.busy(SERVICE, "home", NOW) == 1.0
