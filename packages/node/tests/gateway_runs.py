"""Build fleet views and the store items of a server's incarnations."""

from gateway_world import ZONES, EventLog

from greengagepoint.errors import RecordError
from greengagepoint.placing.tables import Incarnation
from greengagepoint.routing.tables import (
    CallerLimits,
    ServicePolicy,
    create_route_table,
)
from greengagepoint_node.gateway.store_types import (
    Changes,
    Configuration,
    ServerEntry,
    StoredItem,
)
from greengagepoint_node.gateway.view import LAPSED_SECONDS, FleetView

NOW = 50.0
LATER = NOW + 10 * LAPSED_SECONDS
ADDRESS, OTHER_ADDRESS = "10.0.0.1:1", "10.0.0.2:1"
POLICY = ServicePolicy(name="booking", cold_seconds=3.0, cold_requests_per_second=16)


def decode(item):
    """Decode "born,address,state,cold seconds"; raise RecordError otherwise."""
    if item.key == "op":
        table = create_route_table(1, {}, [POLICY], CallerLimits())
        return Configuration(table)
    parts = item.value.decode().split(",")
    if len(parts) != 4:
        raise RecordError("no entry", field=item.key)
    born, address, state, cold = parts
    return ServerEntry(
        item.key,
        "booking",
        address,
        "zone-a",
        4,
        state == "draining",
        float(cold),
        int(born),
    )


def view():
    return FleetView(ZONES, decode, EventLog())


def stored_item(revision, born, address=ADDRESS, state="ready", cold=0, key="i-1"):
    return StoredItem(key, f"{born},{address},{state},{cold}".encode(), revision)


def undecodable_item(revision, key="i-1"):
    return StoredItem(key, b"?", revision)


def apply_changes(fleet, *changes, now=NOW, lapsed=()):
    for change in changes:
        doubts = dict.fromkeys(lapsed, LAPSED_SECONDS)
        fleet.apply(Changes((change,), change.revision), now, doubts)


def members(fleet):
    found = fleet.servers.members.values()
    return {row.incarnation for group in found for row in group.servers}


def server_incarnation(born, address=ADDRESS, key="i-1"):
    return Incarnation(key, born, address)


def view_with_server(born=100, **fields):
    fleet = view()
    apply_changes(fleet, StoredItem("op", b"", 1), stored_item(2, born, **fields))
    return fleet
