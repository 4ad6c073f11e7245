"""What a host believes of a server that starts again under its id.

The newer run holds and knows nothing of the older one. Whatever still comes of the
older one, in whatever order, must change nothing of the newer.
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
from greengagepoint_node.gateway.facts import (
    HostEntry,
    RemovedKey,
    StoredItem,
)
from greengagepoint_node.gateway.gossip import Gossip
from greengagepoint_node.gateway.gossip_messages import HostState
from greengagepoint_node.gateway.placing import Placer
from greengagepoint_node.gateway.region_weights import RegionWeights
from greengagepoint_node.gateway.writes import WRITES_MAX

ROUTE = Route(name="r", prefix="/", destinations=(Destination("booking"),))
CALL = Call("id-1", ROUTE, "booking", "k", "/", NOW, NOW + 5)


@pytest.mark.parametrize("address", [ADDRESS, OTHER_ADDRESS])
def test_a_newer_run_begins_clean_and_as_its_entry_says(address):
    # A server crashes and starts again under its id. Its host holds failures, a full
    # load and a key's runs of the former run; with these the new run would get nothing,
    # or too much while it is cold.
    fleet = view_with_server()
    older = fleet.servers.servers["i-1"]
    older.in_flight = 3
    older.take_report(4, 9, NOW)
    suspicion.note_failure(older, NOW)
    apply_changes(fleet, stored_item(3, 200, address, cold=2.5))
    newer = fleet.servers.servers["i-1"]
    assert members(fleet) == {server_incarnation(200, address)}
    assert newer is not older
    assert (newer.in_flight, newer.others, newer.failures) == (0, 0, 0)
    assert newer.cold_until == NOW + 2.5
    assert older.in_flight == 3


@pytest.mark.parametrize("born", [(100, 200), (0, 0)], ids=["told", "not told"])
def test_a_server_that_said_it_leaves_and_starts_again_ready_gets_work_again(born):
    # A server is drained, exits and is started again under its id. Taken for leaving
    # still, it would idle for the rest of its time.
    fleet = view_with_server(born[0], state="draining")
    assert members(fleet) == set()
    apply_changes(fleet, stored_item(3, born[1]))
    assert members(fleet) == {server_incarnation(born[1])}
    assert not fleet.servers.leaving


def test_an_address_of_its_own_is_a_run_of_its_own_where_born_is_not_told():
    fleet = view_with_server(0)
    suspicion.note_failure(fleet.servers.servers["i-1"], NOW)
    apply_changes(fleet, stored_item(3, 0, OTHER_ADDRESS))
    assert members(fleet) == {server_incarnation(0, OTHER_ADDRESS)}
    assert fleet.servers.servers["i-1"].failures == 0


def test_the_same_run_keeps_what_is_known_of_it():
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
    ids=["late write", "late drain", "old news", "removal", "lapse", "bad", "both"],
)
def test_what_still_comes_from_the_older_run_changes_nothing(changes, lapsed):
    # A server was started again. A write of its former run, a lapse of its former entry
    # or news of a peer that is behind comes only now. Believed, it would take the new
    # run out, or send callers to where nothing listens any more.
    fleet = view_with_server()
    apply_changes(fleet, stored_item(3, 200))
    newer = fleet.servers.servers["i-1"]
    apply_changes(fleet, *changes, lapsed=lapsed)
    fleet.tick(LATER)
    assert members(fleet) == {server_incarnation(200)}
    assert fleet.servers.servers["i-1"] is newer


def test_a_lapsed_server_is_not_replaced_by_one_born_before_it():
    # The store returns from an outage in which all entries lapsed. The former run's
    # late write is there first; the new run lives and writes its entry a moment later.
    fleet = view_with_server()
    apply_changes(fleet, stored_item(3, 200))
    apply_changes(fleet, RemovedKey("i-1", 4), lapsed=("i-1",))
    apply_changes(fleet, stored_item(5, 100, OTHER_ADDRESS))
    assert members(fleet) == {server_incarnation(200)}
    apply_changes(fleet, stored_item(6, 200))
    fleet.tick(LATER)
    assert members(fleet) == {server_incarnation(200)}


def test_that_another_server_answers_at_its_former_address_is_not_held_against_it():
    # The former run's address went to another server, which turned a request away. The
    # host hears it when the new run has been taken in at its own address.
    fleet = view_with_server()
    apply_changes(fleet, stored_item(3, 200, OTHER_ADDRESS))
    fleet.note_replaced(server_incarnation(100))
    assert members(fleet) == {server_incarnation(200, OTHER_ADDRESS)}
    fleet.note_replaced(server_incarnation(200, OTHER_ADDRESS))
    assert members(fleet) == set()
    apply_changes(fleet, stored_item(4, 300))
    assert members(fleet) == {server_incarnation(300)}


def host(name, fleet):
    """Return a host's gossip, without a network."""
    entry = HostEntry(name, "north", "zone-a", f"{name}:1", f"{name}:2")
    own = HostState(entry, 1, 0, leaving=False)
    return Gossip(own, fleet, [], SystemClock(), random.Random(1), EventLog(), None)


@pytest.mark.parametrize("behind", ["starts", "knows the older", "knows the newer"])
def test_news_between_hosts_brings_all_to_the_newer_run(behind):
    # A server starts again, and a late write of its older run is the last one that the
    # store has. The hosts that saw it come tell one that has just started, one that has
    # been cut off since the older run, and one that heard of the newer run only.
    known = [
        StoredItem("op", b"", 1),
        stored_item(2, 100),
        stored_item(3, 200, OTHER_ADDRESS),
    ]
    late = stored_item(4, 100)
    teller, asker = view_with_server(), view()
    apply_changes(teller, *known, late)
    apply_changes(asker, *known[: {"starts": 0, "knows the older": 2}.get(behind, 3)])
    one, other = host("h1", asker), host("h2", teller)
    one.take_encoded(other.encoded(asker.revision))
    assert asker.revision == 4
    assert members(asker) == members(teller) == {server_incarnation(200, OTHER_ADDRESS)}
    other.take_encoded(one.encoded(0))
    assert members(teller) == {server_incarnation(200, OTHER_ADDRESS)}


def placer_of(fleet):
    weights = RegionWeights("north", 2, fleet.servers, EventLog())
    return Placer("h1", "north", fleet, weights, 0.0, EventLog())


@pytest.mark.parametrize("verdict", Verdict)
def test_how_a_try_at_the_older_run_ends_says_nothing_of_the_newer(verdict):
    # A request is in flight at a server that crashes and starts again. Its end, a load
    # report or a broken connection, comes when the new run is in force.
    fleet = view_with_server()
    placer = placer_of(fleet)
    older = fleet.servers.servers["i-1"]
    placer.warm_keys.note("k", older.incarnation, NOW)
    apply_changes(fleet, stored_item(3, 200))
    newer = fleet.servers.servers["i-1"]
    clean = repr(newer)
    placer.learn(CALL, older, Exchange(verdict, load="4,9,4"), 2.0, 0.0, NOW + 1)
    placer.suspect(older, verdict, NOW + 1)
    assert repr(newer) == clean
    assert members(fleet) == {server_incarnation(200)}
    assert newer.incarnation not in placer.warm_keys.servers("k", NOW)
    placer.learn(CALL, newer, Exchange(verdict, load="1,0,4"), 2.0, 0.0, NOW + 1)
    assert newer.reported_at == NOW + 1


def test_a_newer_run_has_a_cold_start_allowance_of_its_own():
    # The older run's allowance is used up in the moment in which the server starts
    # again. A caller who is refused for it could be served.
    fleet = view_with_server()
    placer = placer_of(fleet)
    older = fleet.servers.servers["i-1"]
    asked = [placer.cold.may_send(older.incarnation, 16, ["h1"], NOW) for _ in range(3)]
    apply_changes(fleet, stored_item(3, 200))
    newer = fleet.servers.servers["i-1"]
    assert asked == [True, False, False]
    assert placer.cold.may_send(newer.incarnation, 16, ["h1"], NOW)
    placer.tick(NOW)
    assert set(placer.cold.buckets) == {newer.incarnation}


def test_a_key_stays_on_the_id_that_it_had():
    fleet = view_with_server()
    apply_changes(fleet, *(stored_item(3 + n, 100, key=f"i-{n + 2}") for n in range(5)))
    ranks = placer_of(fleet).ranks
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


def test_a_writer_that_never_ends_is_kept_within_bounds():
    # Another writer goes on to write ever older times of birth.
    fleet = view_with_server(10_000)
    apply_changes(
        fleet, *(stored_item(3 + n, 9_000 - n, OTHER_ADDRESS) for n in range(200))
    )
    assert members(fleet) == {server_incarnation(10_000)}
    assert len(fleet.writes["i-1"].writes) == WRITES_MAX
