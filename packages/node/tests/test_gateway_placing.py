"""The regions that a host may use for a request."""

import msgspec
import pytest
from gateway_world import ZONES, EventLog

from greengagepoint.placing.choice import NoServerAvailable
from greengagepoint.placing.region_loads import RegionLoad
from greengagepoint.placing.tables import Server
from greengagepoint.routing.tables import Destination, Route
from greengagepoint_node.gateway.call import Call
from greengagepoint_node.gateway.exchange import Exchange, Verdict
from greengagepoint_node.gateway.placing import Placer
from greengagepoint_node.gateway.region_weights import RegionWeights
from greengagepoint_node.gateway.view import FleetView

NOW = 50.0
ROUTE = Route(name="r", prefix="/", destinations=(Destination("booking"),))


def create_placer_after_losses(round_trip_seconds):
    """Return the placer of a host in the north, which has just lost three servers."""
    view = FleetView(ZONES, lambda item: None, EventLog())
    for region, zone in (("north", "zone-a"), ("south", "zone-b")):
        for number in range(4):
            name = f"{region}-{number}"
            row = Server(name, "booking", "", zone, region, 4)
            view.servers.servers[name] = row
    view.servers.rebuild()
    weights = RegionWeights("north", 2, view.servers, EventLog())
    placer = Placer("h1", "north", view, weights, 0.0, EventLog())
    placer.round_trip_seconds = round_trip_seconds
    placer.tick(NOW)
    for number in range(3):
        row = view.servers.servers[f"north-{number}"]
        view.servers.leaving.add(row.incarnation)
    view.servers.rebuild()
    placer.tick(NOW)
    view.servers.servers["north-3"].apply_report(4, 40, NOW)
    placer.loads.take([RegionLoad("south", "booking", 0.1, 0.0)], NOW)
    placer.wait_allowance.tokens = 0.0
    return placer


def choose_regions(placer, count=200):
    """Return the region chosen for each of many keys, or None if rejected."""
    regions_by_key = {}
    for number in range(count):
        key = f"k{number}"
        call = Call(f"id-{number}", ROUTE, "booking", key, "/", NOW, NOW + 5)
        place = placer.place(call, frozenset(), NOW)
        regions_by_key[key] = (
            None if isinstance(place, NoServerAvailable) else place.region
        )
    return regions_by_key


@pytest.mark.parametrize(
    ("round_trip_seconds", "rejected_min", "rejected_max"),
    [(0.9, 10, 30), (0.0, 30, 50)],
    ids=["keys near their callers", "keys spread by slots"],
)
def test_requests_are_rejected_only_if_no_region_may_run_them(
    round_trip_seconds, rejected_min, rejected_max
):
    # Three of four servers of a region have left, the fourth is full, and the other
    # region is idle. Of the keys that run near their callers, four in ten belong to the
    # first region, and three quarters of these may spill. The other keys are spread by
    # the slots that are left: one in five belongs to the first region and stays.
    regions_by_key = choose_regions(create_placer_after_losses(round_trip_seconds))
    rejected = sum(region is None for region in regions_by_key.values())
    assert rejected_min <= rejected <= rejected_max


def test_keys_spread_by_slots_do_not_spill():
    # All regions are equally full, and a key that spills runs cold in the other region.
    placer = create_placer_after_losses(0.0)
    regions_by_key = choose_regions(placer)
    weights = placer.weights.current(next(iter(placer.weights.weights)))
    assert weights["north"] == pytest.approx(0.2)
    for _ in range(3):
        assert choose_regions(placer) == regions_by_key
    assert set(regions_by_key.values()) == {None, "south"}
    placer.view.servers.servers["north-3"].apply_report(0, 0, NOW)
    local_keys = {
        key for key, region in choose_regions(placer).items() if region == "north"
    }
    assert local_keys == {
        key for key, region in regions_by_key.items() if region is None
    }


@pytest.mark.parametrize(
    ("is_on", "key", "seconds", "rows"),
    [
        (True, "/p\0k", 0.8, [("booking", "/p\0k", 1, 1, 1)]),
        (True, "/p\0k", 0.2, [("booking", "/p\0k", 1, 1, 0)]),
        (True, None, 0.5, []),
        (False, "/p\0k", 0.5, []),
    ],
    ids=["cold", "warm", "no key", "mode off"],
)
def test_answered_runs_of_keys_are_counted_with_the_mode_on(is_on, key, seconds, rows):
    placer = create_placer_after_losses(0.0)
    placer.view.servers.demand.uneven_servers = is_on
    call = Call("id", ROUTE, "booking", key, "/", NOW, NOW + 5)
    for row in placer.view.servers.servers.values():
        row.apply_report(0, 0, NOW)
    server = placer.place(call, frozenset(), NOW)
    for verdict in (Verdict.ANSWERED, Verdict.SHED, Verdict.BROKEN):
        exchange = Exchange(verdict)
        placer.record_attempt(call, server, exchange, seconds, 0.0, NOW)
    found = [
        msgspec.structs.astuple(row) for row in placer.key_usage.take(server.region)
    ]
    assert found == rows
