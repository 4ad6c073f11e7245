"""A host's view of the fleet, in whatever order and way updates arrive.

Updates come from a watch, from a snapshot after a gap, and from peers, late and
duplicated. If an older one won, the host would send requests to a server that has left
or return to a configuration that operators have replaced.
"""

import pytest
from gateway_world import ZONES, EventLog
from hypothesis import given
from hypothesis import strategies as st

from greengagepoint.errors import RecordError
from greengagepoint.events import Event
from greengagepoint.routing.tables import (
    CallerLimits,
    ServicePolicy,
    create_route_table,
)
from greengagepoint_node.gateway import view as module
from greengagepoint_node.gateway.store_types import (
    Changes,
    Configuration,
    Evacuation,
    RemovedKey,
    ServerEntry,
    Snapshot,
    StoredItem,
)
from greengagepoint_node.gateway.view import LAPSED_SECONDS, FleetView

NOW = 50.0
POLICY = ServicePolicy(name="booking", cold_seconds=3.0, cold_requests_per_second=16)


def decode(item):
    kind, _, rest = item.value.decode().partition(":")
    if kind == "bad":
        raise RecordError("no number", field="version")
    if kind == "config":
        table = create_route_table(int(rest), {}, [POLICY], CallerLimits())
        return Configuration(table)
    if kind == "evacuate":
        return Evacuation(rest)
    zone, _, state = rest.partition(",")
    return ServerEntry(
        item.key, "booking", "10.0.0.1:1", zone, 4, state == "leaving", 0.0
    )


def view():
    return FleetView(ZONES, decode, EventLog())


def item(key, value, revision):
    return StoredItem(key, value.encode(), revision)


def members(fleet):
    found = fleet.servers.members.values()
    return sorted(row.instance for group in found for row in group.servers)


START = (
    item("op", "config:3", 1),
    item("i-1", "server:zone-a", 2),
    item("i-2", "server:zone-b", 3),
)


def started():
    fleet = view()
    fleet.replace(Snapshot(START, 3), NOW)
    return fleet


def test_a_snapshot_sets_servers_and_configuration():
    fleet = started()
    assert members(fleet) == ["i-1", "i-2"]
    assert fleet.routes.version == 3


@pytest.mark.parametrize(
    ("change", "left"),
    [
        (item("i-1", "server:zone-a,leaving", 4), ["i-2"]),
        (RemovedKey("i-1", 4), ["i-2"]),
        (item("e", "evacuate:zone-a", 4), ["i-2"]),
        (item("i-3", "server:zone-a", 4), ["i-1", "i-2", "i-3"]),
        (item("i-1", "server:zone-a,leaving", 2), ["i-1", "i-2"]),
        (RemovedKey("i-1", 2), ["i-1", "i-2"]),
        (RemovedKey("unknown", 4), ["i-1", "i-2"]),
    ],
)
def test_a_change_takes_effect_at_once_unless_it_is_older(change, left):
    fleet = started()
    fleet.apply(Changes((change,), 4), NOW)
    assert members(fleet) == left


def test_servers_are_cold_after_an_evacuation_ends():
    # The servers of an evacuated zone get no requests, so no host notices when they
    # become cold. All callers at once would crash them when the evacuation ends.
    fleet = started()
    fleet.apply(Changes((item("e", "evacuate:zone-a", 4),), 4), NOW)
    fleet.apply(Changes((RemovedKey("e", 5),), 5), NOW + 8)
    assert members(fleet) == ["i-1", "i-2"]
    assert fleet.servers.servers["i-1"].cold_until == NOW + 11
    assert fleet.servers.servers["i-2"].cold_until == 0


def test_servers_missing_from_a_later_snapshot_are_removed():
    fleet = started()
    fleet.replace(Snapshot(START[:2], 9), NOW)
    assert members(fleet) == ["i-1"]


def test_an_older_snapshot_changes_nothing():
    fleet = started()
    fleet.apply(Changes((item("i-4", "server:zone-a", 8),), 8), NOW)
    fleet.replace(Snapshot(START, 3), NOW)
    assert members(fleet) == ["i-1", "i-2", "i-4"]


def test_an_invalid_configuration_leaves_the_last_one_active():
    fleet = started()
    fleet.apply(Changes((item("op", "bad:", 4),), 4), NOW)
    assert fleet.routes.version == 3
    assert fleet.events.of(Event.RECORD_REFUSED)[0]["field"] == "version"


def test_entries_that_lapsed_in_an_outage_stay_until_they_can_be_rewritten():
    # All servers' entries lapse during a store outage, but the servers are alive and
    # write them again. If the host applied the removals at once, it would reject every
    # caller for two seconds. An entry that stays missing is removed.
    fleet = started()
    fleet.expect_lapses(NOW)
    fleet.apply(Changes((RemovedKey("i-1", 4), RemovedKey("i-2", 5)), 5), NOW + 0.1)
    assert members(fleet) == ["i-1", "i-2"]
    fleet.apply(Changes((item("i-1", "server:zone-a", 6),), 6), NOW + 1.0)
    fleet.tick(NOW + 0.1 + LAPSED_SECONDS)
    assert members(fleet) == ["i-1"]


def test_a_removal_without_an_outage_takes_effect_at_once():
    fleet = started()
    fleet.expect_lapses(NOW)
    fleet.apply(Changes((RemovedKey("i-1", 4),), 4), NOW + 5)
    assert members(fleet) == ["i-2"]


@pytest.mark.parametrize(
    ("lapsed", "left"),
    [({}, ["i-2"]), ({"i-1": 0.0}, ["i-2"]), ({"i-1": 0.5}, ["i-1", "i-2"])],
)
def test_a_peer_marks_removals_that_may_be_lapses(lapsed, left):
    fleet = started()
    fleet.apply(Changes((RemovedKey("i-1", 4),), 4), NOW, lapsed)
    assert members(fleet) == left


def test_a_server_whose_address_another_one_has_gets_no_requests():
    # A server stopped and its address went to another service. Its entry lapses seconds
    # later; until then the other service would reject all requests for its keys.
    fleet = started()
    first = fleet.servers.servers["i-1"].incarnation
    fleet.record_replacement(first)
    fleet.record_replacement(first)
    fleet.record_replacement(first._replace(instance="unknown"))
    assert members(fleet) == ["i-2"]
    (line,) = fleet.events.of(Event.BACKEND_SERVER_LEAVING)
    assert line["instance"] == "i-1"
    fleet.apply(Changes((item("i-1", "server:zone-a", 4),), 4), NOW)
    assert members(fleet) == ["i-2"]


def test_a_peer_that_lags_gets_only_the_changes_it_lacks():
    fleet = started()
    fleet.apply(Changes((RemovedKey("i-1", 4), item("op", "config:5", 5)), 5), NOW)
    changes = fleet.changes_after(3)
    assert [row.key for row in changes.changes] == ["op", "i-1"]
    other = started()
    other.apply(changes, NOW, {})
    assert members(other) == members(fleet)
    assert other.routes.version == 5


@given(
    order=st.permutations(range(6)),
    duplicated=st.lists(st.integers(0, 5), max_size=6),
)
def test_any_order_of_updates_ends_in_the_same_state(order, duplicated):
    updates = [
        item("i-1", "server:zone-a", 4),
        item("i-1", "server:zone-a,leaving", 6),
        RemovedKey("i-2", 7),
        item("op", "config:5", 8),
        item("op", "config:9", 9),
        item("i-5", "server:zone-b", 10),
    ]
    fleet = started()
    for index in [*order, *duplicated]:
        before = fleet.routes.version
        row = updates[index]
        fleet.apply(Changes((row,), row.revision), NOW, {})
        assert fleet.routes.version >= before
    assert members(fleet) == ["i-5"]
    assert fleet.routes.version == 9


def test_a_gap_in_known_removals_is_kept(monkeypatch):
    # After a snapshot a host does not know which keys were removed before it. Then as
    # many removals follow as the host keeps. A peer at a revision before the snapshot
    # must get all items, or it would keep servers that have left.
    monkeypatch.setattr(module, "REMOVED_KEPT", 2)
    view = FleetView(ZONES, lambda item: Evacuation(item.key), EventLog())
    view.apply(Changes((RemovedKey("a", 10), RemovedKey("b", 11)), 11), 0.0)
    view.replace(Snapshot((), 100), 0.0)
    view.apply(Changes((RemovedKey("c", 101),), 101), 0.0)
    assert isinstance(view.changes_after(50), Snapshot)
