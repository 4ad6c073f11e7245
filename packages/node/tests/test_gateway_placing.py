"""Which regions a host may use for a request."""

import pytest
from gateway_world import ZONES, EventLog

from greengagepoint.placing.choice import NoPlace
from greengagepoint.placing.region_loads import RegionLoad
from greengagepoint.placing.tables import Server
from greengagepoint.routing.tables import Destination, Route
from greengagepoint_node.gateway.call import Call
from greengagepoint_node.gateway.placing import Placer
from greengagepoint_node.gateway.region_weights import RegionWeights
from greengagepoint_node.gateway.view import FleetView

NOW = 50.0
ROUTE = Route(name="r", prefix="/", destinations=(Destination("booking"),))


def create_placer(round_trip_seconds):
    """Return the placer of a host in the north, whose region has just lost a server."""
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
    view.servers.servers["north-3"].take_report(4, 40, NOW)
    placer.loads.take([RegionLoad("south", "booking", 0.1, 0.0)], NOW)
    placer.waiting.tokens = 0.0
    return placer


def places(placer, count=200):
    """Return the region or refusal of many keys of callers in the north."""
    found = {}
    for number in range(count):
        key = f"k{number}"
        call = Call(f"id-{number}", ROUTE, "booking", key, "/", NOW, NOW + 5)
        place = placer.place(call, frozenset(), NOW)
        found[key] = None if isinstance(place, NoPlace) else place.region
    return found


@pytest.mark.parametrize(
    ("round_trip_seconds", "refused_least", "refused_most"),
    [(0.9, 10, 30), (0.0, 30, 50)],
    ids=["keys near their callers", "keys spread by slots"],
)
def test_callers_are_refused_only_as_far_as_no_region_may_run_them(
    round_trip_seconds, refused_least, refused_most
):
    # Three of four servers of a region have left, the other one is full, and the next
    # region is idle. Of keys that run near their callers, four in ten belong here and
    # three quarters of these may leave. The others are spread by the slots that are
    # left: one in five belongs here and stays.
    found = places(create_placer(round_trip_seconds))
    refused = sum(region is None for region in found.values())
    assert refused_least <= refused <= refused_most


def test_keys_that_are_spread_do_not_leave_their_region():
    # Each region is as full as the others, and a key that leaves runs cold there.
    placer = create_placer(0.0)
    found = places(placer)
    weights = placer.weights.current(next(iter(placer.weights.weights)))
    assert weights["north"] == pytest.approx(0.2)
    for _ in range(3):
        assert places(placer) == found
    assert set(found.values()) == {None, "south"}
    placer.view.servers.servers["north-3"].take_report(0, 0, NOW)
    home = {key for key, region in places(placer).items() if region == "north"}
    assert home == {key for key, region in found.items() if region is None}
