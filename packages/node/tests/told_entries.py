"""A host's view that gets entries in the platform's format."""

import msgspec
from gateway_world import ZONES, EventLog

from greengagepoint.events import Event
from greengagepoint_node.gateway.store_types import Changes, RemovedKey, StoredItem
from greengagepoint_node.gateway.view import FleetView
from greengagepoint_platform.decoding import decode_item

NOW = 50.0
BORN = 1_765_000_000_000
ENTRY = {
    "service": "booking",
    "address": "10.0.0.1:8080",
    "zone": "zone-a",
    "version": "4.2",
    "slots": 8,
    "state": "ready",
    "coldLeftS": 0.5,
    "sequence": 3,
    "born": BORN,
}
HOST = {
    "name": "h1",
    "region": "north",
    "zone": "zone-a",
    "front_address": "10.0.0.1:1",
    "peer_address": "10.0.0.1:2",
}


def configuration(version, *services):
    return {
        "version": f"r{version}",
        "listeners": [],
        "clusters": [{"name": name} for name in services],
    }


def encoded(document):
    return document if isinstance(document, bytes) else msgspec.json.encode(document)


def with_fields(document, **fields):
    """Return a document with some fields replaced, without those set to None."""
    rest = {**document, **fields}
    return {name: value for name, value in rest.items() if value is not None}


class ViewFixture:
    """A host's view that gets one change after the other, writes twice."""

    def __init__(self) -> None:
        self.view = FleetView(dict(ZONES), decode_item, EventLog())
        self.revision = 0

    def put(self, key, document):
        self.revision += 1
        item = StoredItem(key, encoded(document), self.revision)
        for _ in range(2):
            self.view.apply(Changes((item,), self.revision), NOW)

    def remove(self, key):
        self.revision += 1
        change = RemovedKey(key, self.revision)
        self.view.apply(Changes((change,), self.revision), NOW)

    def members(self):
        found = self.view.servers.members.values()
        return sorted(row.instance for group in found for row in group.servers)

    def refused(self):
        lines = self.view.events.of(Event.RECORD_REFUSED)
        return [(line["key"], str(line["reason"])) for line in lines]

    def rejection_counts(self):
        return {reason: count for (reason,), count in self.view.rejected.counts.items()}


def create_view_fixture():
    fleet = ViewFixture()
    fleet.put("op/config", configuration(1, "booking"))
    fleet.put("servers/i-1", ENTRY)
    fleet.put("servers/i-2", with_fields(ENTRY, address="10.0.0.2:8080"))
    assert fleet.members() == ["i-1", "i-2"]
    assert fleet.refused() == []
    return fleet
