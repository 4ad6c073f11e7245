"""A host's view of a server that restarts under its id.

The newer incarnation has no state of the older one. Late messages about the older
one, in any order, must not change the newer one.
"""

import random

import pytest
from gateway_runs import (
    ADDRESS,
    LATER,
    NOW,
    OTHER_ADDRESS,
    apply_changes,
    members,
    server_incarnation,
    stored_item,
    undecodable_item,
    view,
    view_with_server,
)
from gateway_world import EventLog

from greengagepoint.placing import suspicion
from greengagepoint.routing.tables import (
    Destination,
    Route,
)
from greengagepoint_node.clock import SystemClock
from greengagepoint_node.gateway.call import Call
from greengagepoint_node.gateway.exchange import Exchange, Verdict
from greengagepoint_node.gateway.gossip import Gossip
from greengagepoint_node.gateway.gossip_messages import HostState
from greengagepoint_node.gateway.placing import Placer
from greengagepoint_node.gateway.region_weights import RegionWeights
from greengagepoint_node.gateway.store_types import (
    HostEntry,
    RemovedKey,
    StoredItem,
)
from greengagepoint_node.gateway.writes import WRITES_MAX
from greengagepoint_platform.load import decode_load

ROUTE = Route(name="r", prefix="/", destinations=(Destination("booking"),))
CALL = Call("id-1", ROUTE, "booking", "k", "/", NOW, NOW + 5)


@pytest.mark.parametrize("address", [ADDRESS, OTHER_ADDRESS])
def test_a_newer_incarnation_starts_with_a_clean_state(address):
    # A server crashes and restarts under its id. The host holds failures, a full load
    # and warm keys of the older incarnation. With these the new incarnation would get
    # no requests, or too many while it is cold.
    fleet = view_with_server()
    older = fleet.servers.servers["i-1"]
    older.in_flight = 3
    older.apply_report(4, 9, NOW)
    suspicion.record_failure(older, NOW)
    apply_changes(fleet, stored_item(3, 200, address, cold=2.5))
    newer = fleet.servers.servers["i-1"]
    assert members(fleet) == {server_incarnation(200, address)}
    assert newer is not older
    assert (newer.in_flight, newer.others_in_flight, newer.failures) == (0, 0, 0)
    assert newer.cold_until == NOW + 2.5
    assert older.in_flight == 3


@pytest.mark.parametrize(
    "born", [(100, 200), (0, 0)], ids=["with start times", "without start times"]
)
def test_a_drained_server_gets_requests_after_a_restart(born):
    # A server is drained, exits and restarts under its id. If it still counted as
    # draining, it would get no requests for as long as it runs.
    fleet = view_with_server(born[0], state="draining")
    assert members(fleet) == set()
    apply_changes(fleet, stored_item(3, born[1]))
    assert members(fleet) == {server_incarnation(born[1])}
    assert not fleet.servers.leaving


def test_a_new_address_is_a_new_incarnation_without_a_start_time():
    fleet = view_with_server(0)
    suspicion.record_failure(fleet.servers.servers["i-1"], NOW)
    apply_changes(fleet, stored_item(3, 0, OTHER_ADDRESS))
    assert members(fleet) == {server_incarnation(0, OTHER_ADDRESS)}
    assert fleet.servers.servers["i-1"].failures == 0


def test_an_update_of_the_same_incarnation_keeps_its_state():
    fleet = view_with_server()
    before = fleet.servers.servers["i-1"]
    apply_changes(fleet, stored_item(3, 100, cold=1))
    assert fleet.servers.servers["i-1"] is before
    assert before.cold_until == NOW + 1


@pytest.mark.parametrize(
    ("changes", "lapsed"),
    [
        ((stored_item(4, 100, OTHER_ADDRESS),), ()),
        ((stored_item(4, 100, state="draining"),), ()),
        ((stored_item(2, 100),), ()),
        ((RemovedKey("i-1", 2),), ()),
        ((RemovedKey("i-1", 3),), ("i-1",)),
        ((undecodable_item(2),), ()),
        ((stored_item(4, 100, OTHER_ADDRESS), RemovedKey("i-1", 2)), ()),
    ],
    ids=[
        "late write",
        "late drain",
        "older revision",
        "removal",
        "expiry",
        "invalid",
        "write and removal",
    ],
)
def test_late_changes_of_the_older_incarnation_are_ignored(changes, lapsed):
    # A server was restarted. A write of its older incarnation, the expiry of its older
    # entry or an update from a peer with older state arrives only now. If applied, it
    # would remove the new incarnation, or send requests to an address where nothing
    # listens any more.
    fleet = view_with_server()
    apply_changes(fleet, stored_item(3, 200))
    newer = fleet.servers.servers["i-1"]
    apply_changes(fleet, *changes, lapsed=lapsed)
    fleet.tick(LATER)
    assert members(fleet) == {server_incarnation(200)}
    assert fleet.servers.servers["i-1"] is newer


def test_an_expired_server_is_not_replaced_by_an_older_incarnation():
    # The store returns from an outage in which all entries expired. A late write of the
    # older incarnation arrives first; the newer one is alive and writes its entry a
    # moment later.
    fleet = view_with_server()
    apply_changes(fleet, stored_item(3, 200))
    apply_changes(fleet, RemovedKey("i-1", 4), lapsed=("i-1",))
    apply_changes(fleet, stored_item(5, 100, OTHER_ADDRESS))
    assert members(fleet) == {server_incarnation(200)}
    apply_changes(fleet, stored_item(6, 200))
    fleet.tick(LATER)
    assert members(fleet) == {server_incarnation(200)}


def test_a_replaced_former_address_does_not_affect_the_newer_incarnation():
    # The address of the older incarnation was given to another server, which rejected
    # a request. The host learns of it after it has the new incarnation at its own
    # address.
    fleet = view_with_server()
    apply_changes(fleet, stored_item(3, 200, OTHER_ADDRESS))
    fleet.record_replacement(server_incarnation(100))
    assert members(fleet) == {server_incarnation(200, OTHER_ADDRESS)}
    fleet.record_replacement(server_incarnation(200, OTHER_ADDRESS))
    assert members(fleet) == set()
    apply_changes(fleet, stored_item(4, 300))
    assert members(fleet) == {server_incarnation(300)}


def create_gossip(name, fleet):
    """Return the gossip of a host without a network."""
    entry = HostEntry(name, "north", "zone-a", f"{name}:1", f"{name}:2")
    own_state = HostState(entry, 1, 0, leaving=False)
    return Gossip(
        own_state, fleet, [], SystemClock(), random.Random(1), EventLog(), None
    )


@pytest.mark.parametrize(
    "receiver_state", ["empty", "older incarnation", "newer incarnation"]
)
def test_gossip_converges_on_the_newer_incarnation(receiver_state):
    # A server restarts, and the store's last write of it is a late one of the older
    # incarnation. A host that received all writes in order sends its state to a host
    # that has just started, to one that has been partitioned since the older
    # incarnation, and to one that has all but the late write.
    store_items = [
        StoredItem("op", b"", 1),
        stored_item(2, 100),
        stored_item(3, 200, OTHER_ADDRESS),
    ]
    late_write = stored_item(4, 100)
    sender_view, receiver_view = view_with_server(), view()
    apply_changes(sender_view, *store_items, late_write)
    apply_changes(
        receiver_view,
        *store_items[: {"empty": 0, "older incarnation": 2}.get(receiver_state, 3)],
    )
    receiver, sender = (
        create_gossip("h1", receiver_view),
        create_gossip("h2", sender_view),
    )
    receiver.apply_exchange(sender.encode_exchange(receiver_view.revision))
    assert receiver_view.revision == 4
    assert (
        members(receiver_view)
        == members(sender_view)
        == {server_incarnation(200, OTHER_ADDRESS)}
    )
    sender.apply_exchange(receiver.encode_exchange(0))
    assert members(sender_view) == {server_incarnation(200, OTHER_ADDRESS)}


def create_placer(fleet):
    weights = RegionWeights("north", 2, fleet.servers, EventLog())
    return Placer(
        "h1",
        "north",
        fleet,
        weights,
        0.0,
        EventLog(),
        decode_load=decode_load,
    )


@pytest.mark.parametrize("verdict", Verdict)
def test_outcomes_at_the_older_incarnation_do_not_affect_the_newer(verdict):
    # A request is in flight at a server that crashes and restarts. Its outcome, a load
    # report or a broken connection, arrives when the new incarnation is active.
    fleet = view_with_server()
    placer = create_placer(fleet)
    older = fleet.servers.servers["i-1"]
    placer.warm_keys.note("k", older.incarnation, NOW)
    apply_changes(fleet, stored_item(3, 200))
    newer = fleet.servers.servers["i-1"]
    clean_repr = repr(newer)
    placer.record_attempt(
        CALL, older, Exchange(verdict, load="4,9,4,250"), 2.0, 0.0, NOW + 1
    )
    placer.suspect(older, verdict, NOW + 1)
    assert repr(newer) == clean_repr
    assert members(fleet) == {server_incarnation(200)}
    assert newer.incarnation not in placer.warm_keys.servers("k", NOW)
    placer.record_attempt(
        CALL, newer, Exchange(verdict, load="1,0,4"), 2.0, 0.0, NOW + 1
    )
    assert newer.reported_at == NOW + 1


def test_a_newer_incarnation_has_its_own_cold_start_allowance():
    # The older incarnation's allowance is used up when the server restarts. A request
    # rejected for that could be served by the new one.
    fleet = view_with_server()
    placer = create_placer(fleet)
    older = fleet.servers.servers["i-1"]
    allowed = [
        placer.cold_starts.may_send(older.incarnation, 16, ["h1"], NOW)
        for _ in range(3)
    ]
    apply_changes(fleet, stored_item(3, 200))
    newer = fleet.servers.servers["i-1"]
    assert allowed == [True, False, False]
    assert placer.cold_starts.may_send(newer.incarnation, 16, ["h1"], NOW)
    placer.tick(NOW)
    assert set(placer.cold_starts.buckets) == {newer.incarnation}


def test_a_key_stays_on_its_instance_id_across_restarts():
    fleet = view_with_server()
    apply_changes(fleet, *(stored_item(3 + n, 100, key=f"i-{n + 2}") for n in range(5)))
    ranks = create_placer(fleet).ranks
    before = [
        ranks.rank(fleet.servers, "booking", "north", f"k{n}")[0].instance
        for n in range(50)
    ]
    apply_changes(
        fleet,
        *(stored_item(13 + n, 200, OTHER_ADDRESS, key=f"i-{n + 1}") for n in range(6)),
    )
    after = [
        ranks.rank(fleet.servers, "booking", "north", f"k{n}")[0] for n in range(50)
    ]
    assert [row.instance for row in after] == before
    assert {row.born for row in after} == {200}


def test_stored_writes_of_a_server_are_bounded():
    # Another writer keeps writing entries with ever older start times.
    fleet = view_with_server(10_000)
    apply_changes(
        fleet, *(stored_item(3 + n, 9_000 - n, OTHER_ADDRESS) for n in range(200))
    )
    assert members(fleet) == {server_incarnation(10_000)}
    assert len(fleet.writes["i-1"].writes) == WRITES_MAX
