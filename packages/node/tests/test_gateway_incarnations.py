"""What a host believes of a server that starts again under its id.

The newer run holds and knows nothing of the older one. Whatever still comes of the
older one, in whatever order, must change nothing of the newer.
"""

import pytest
from gateway_world import ZONES, Lines
from hypothesis import given
from hypothesis import strategies as st

from greengagepoint.errors import RecordError
from greengagepoint.placing import suspicion
from greengagepoint.placing.tables import Incarnation
from greengagepoint.routing.tables import (
    CallerLimits,
    Destination,
    Route,
    ServicePolicy,
    create_route_table,
)
from greengagepoint_node.gateway.call import Call
from greengagepoint_node.gateway.exchange import Exchange, Verdict
from greengagepoint_node.gateway.facts import (
    Changes,
    Configuration,
    RemovedKey,
    ServerEntry,
    Snapshot,
    StoredItem,
)
from greengagepoint_node.gateway.placing import Placer
from greengagepoint_node.gateway.region_weights import RegionWeights
from greengagepoint_node.gateway.view import LAPSED_SECONDS, FleetView
from greengagepoint_node.gateway.writes import WRITES_MAX

NOW = 50.0
LATER = NOW + 10 * LAPSED_SECONDS
HERE, THERE = "10.0.0.1:1", "10.0.0.2:1"
POLICY = ServicePolicy(name="booking", cold_seconds=3.0, cold_requests_per_second=16)
ROUTE = Route(name="r", prefix="/", destinations=(Destination("booking"),))
CALL = Call("id-1", ROUTE, "booking", "k", "/", NOW, NOW + 5)


def decode(item):
    """Read "born,address,state,cold seconds"; anything else is refused."""
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
    return FleetView(ZONES, decode, Lines())


def write(revision, born, address=HERE, state="ready", cold=0, key="i-1"):
    return StoredItem(key, f"{born},{address},{state},{cold}".encode(), revision)


def bad(revision, key="i-1"):
    return StoredItem(key, b"?", revision)


def tell(fleet, *changes, now=NOW, lapsed=()):
    for change in changes:
        fleet.apply(Changes((change,), change.revision), now, lapsed)


def members(fleet):
    found = fleet.servers.members.values()
    return {row.incarnation for group in found for row in group.servers}


def run(born, address=HERE, key="i-1"):
    return Incarnation(key, born, address)


def started(born=100, **fields):
    fleet = view()
    tell(fleet, StoredItem("op", b"", 1), write(2, born, **fields))
    return fleet


@pytest.mark.parametrize("address", [HERE, THERE])
def test_a_newer_run_begins_clean_and_as_its_entry_says(address):
    # A server crashes and starts again under its id. Its host holds failures, a full
    # load and a key's runs of the former run; with these the new run would get nothing,
    # or too much while it is cold.
    fleet = started()
    older = fleet.servers.servers["i-1"]
    older.in_flight = 3
    older.take_report(4, 9, NOW)
    suspicion.note_failure(older, NOW)
    tell(fleet, write(3, 200, address, cold=2.5))
    newer = fleet.servers.servers["i-1"]
    assert members(fleet) == {run(200, address)}
    assert newer is not older
    assert (newer.in_flight, newer.others, newer.failures) == (0, 0, 0)
    assert newer.cold_until == NOW + 2.5
    assert older.in_flight == 3


@pytest.mark.parametrize("born", [(100, 200), (0, 0)], ids=["told", "not told"])
def test_a_server_that_said_it_leaves_and_starts_again_ready_gets_work_again(born):
    # A server is drained, exits and is started again under its id. Taken for leaving
    # still, it would idle for the rest of its time.
    fleet = started(born[0], state="draining")
    assert members(fleet) == set()
    tell(fleet, write(3, born[1]))
    assert members(fleet) == {run(born[1])}
    assert not fleet.servers.leaving


def test_an_address_of_its_own_is_a_run_of_its_own_where_born_is_not_told():
    fleet = started(0)
    suspicion.note_failure(fleet.servers.servers["i-1"], NOW)
    tell(fleet, write(3, 0, THERE))
    assert members(fleet) == {run(0, THERE)}
    assert fleet.servers.servers["i-1"].failures == 0


def test_the_same_run_keeps_what_is_known_of_it():
    fleet = started()
    before = fleet.servers.servers["i-1"]
    tell(fleet, write(3, 100, cold=1))
    assert fleet.servers.servers["i-1"] is before
    assert before.cold_until == NOW + 1


@pytest.mark.parametrize(
    ("changes", "lapsed"),
    [
        ((write(4, 100, THERE),), ()),
        ((write(4, 100, state="draining"),), ()),
        ((write(2, 100),), ()),
        ((RemovedKey("i-1", 2),), ()),
        ((RemovedKey("i-1", 3),), ("i-1",)),
        ((bad(2),), ()),
        ((write(4, 100, THERE), RemovedKey("i-1", 2)), ()),
    ],
    ids=["late write", "late drain", "old news", "removal", "lapse", "bad", "both"],
)
def test_what_still_comes_from_the_older_run_changes_nothing(changes, lapsed):
    # A server was started again. A write of its former run, a lapse of its former entry
    # or news of a peer that is behind comes only now. Believed, it would take the new
    # run out, or send callers to where nothing listens any more.
    fleet = started()
    tell(fleet, write(3, 200))
    newer = fleet.servers.servers["i-1"]
    tell(fleet, *changes, lapsed=lapsed)
    fleet.tick(LATER)
    assert members(fleet) == {run(200)}
    assert fleet.servers.servers["i-1"] is newer


def test_a_lapsed_server_is_not_replaced_by_one_born_before_it():
    # The store returns from an outage in which all entries lapsed. The former run's
    # late write is there first; the new run lives and writes its entry a moment later.
    fleet = started()
    tell(fleet, write(3, 200))
    tell(fleet, RemovedKey("i-1", 4), lapsed=("i-1",))
    tell(fleet, write(5, 100, THERE))
    assert members(fleet) == {run(200)}
    tell(fleet, write(6, 200))
    fleet.tick(LATER)
    assert members(fleet) == {run(200)}


def test_that_another_server_answers_at_its_former_address_is_not_held_against_it():
    # The former run's address went to another server, which turned a request away. The
    # host hears it when the new run has been taken in at its own address.
    fleet = started()
    tell(fleet, write(3, 200, THERE))
    fleet.note_replaced(run(100))
    assert members(fleet) == {run(200, THERE)}
    fleet.note_replaced(run(200, THERE))
    assert members(fleet) == set()
    tell(fleet, write(4, 300))
    assert members(fleet) == {run(300)}


def placer_of(fleet):
    weights = RegionWeights("north", 2, fleet.servers, Lines())
    return Placer("h1", "north", fleet, weights, 0.0, Lines())


@pytest.mark.parametrize("verdict", Verdict)
def test_how_a_try_at_the_older_run_ends_says_nothing_of_the_newer(verdict):
    # A request is in flight at a server that crashes and starts again. Its end, a load
    # report or a broken connection, comes when the new run is in force.
    fleet = started()
    placer = placer_of(fleet)
    older = fleet.servers.servers["i-1"]
    placer.warm_keys.note("k", older.incarnation, NOW)
    tell(fleet, write(3, 200))
    newer = fleet.servers.servers["i-1"]
    clean = repr(newer)
    placer.learn(CALL, older, Exchange(verdict, load="4,9,4"), 2.0, 0.0, NOW + 1)
    placer.suspect(older, verdict, NOW + 1)
    assert repr(newer) == clean
    assert members(fleet) == {run(200)}
    assert newer.incarnation not in placer.warm_keys.servers("k", NOW)
    placer.learn(CALL, newer, Exchange(verdict, load="1,0,4"), 2.0, 0.0, NOW + 1)
    assert newer.reported_at == NOW + 1


def test_a_newer_run_has_a_cold_start_allowance_of_its_own():
    # The older run's allowance is used up in the moment in which the server starts
    # again. A caller who is refused for it could be served.
    fleet = started()
    placer = placer_of(fleet)
    older = fleet.servers.servers["i-1"]
    asked = [placer.cold.may_send(older.incarnation, 16, ["h1"], NOW) for _ in range(3)]
    tell(fleet, write(3, 200))
    newer = fleet.servers.servers["i-1"]
    assert asked == [True, False, False]
    assert placer.cold.may_send(newer.incarnation, 16, ["h1"], NOW)
    placer.tick(NOW)
    assert set(placer.cold.buckets) == {newer.incarnation}


def test_a_key_stays_on_the_id_that_it_had():
    fleet = started()
    tell(fleet, *(write(3 + n, 100, key=f"i-{n + 2}") for n in range(5)))
    ranks = placer_of(fleet).ranks
    before = [
        ranks.rank(fleet.servers, "booking", "north", f"k{n}")[0].instance
        for n in range(50)
    ]
    tell(fleet, *(write(13 + n, 200, THERE, key=f"i-{n + 1}") for n in range(6)))
    after = [
        ranks.rank(fleet.servers, "booking", "north", f"k{n}")[0] for n in range(50)
    ]
    assert [row.instance for row in after] == before
    assert {row.born for row in after} == {200}


def test_a_writer_that_never_ends_is_kept_within_bounds():
    # Another writer goes on to write ever older times of birth.
    fleet = started(10_000)
    tell(fleet, *(write(3 + n, 9_000 - n, THERE) for n in range(200)))
    assert members(fleet) == {run(10_000)}
    assert len(fleet.writes["i-1"].writes) == WRITES_MAX


KEYS = ("i-1", "i-2")
CHANGE = st.tuples(
    st.sampled_from(KEYS),
    st.one_of(
        st.sampled_from(["remove", "bad"]),
        st.tuples(
            st.integers(0, 4),
            st.sampled_from([HERE, THERE]),
            st.sampled_from(["ready", "draining"]),
        ),
    ),
)
STEP = st.one_of(
    st.tuples(st.just("watch"), st.integers(0, 9), st.integers(1, 3)),
    st.tuples(st.just("snapshot"), st.integers(0, 9)),
    st.tuples(st.just("peer"), st.lists(st.integers(0, 9), min_size=1, max_size=4)),
)


def history_of(rows):
    """Return the changes that a store made, from revision 1 on."""
    changes = []
    for revision, (key, what) in enumerate(rows, start=1):
        if what == "remove":
            changes.append(RemovedKey(key, revision))
        elif what == "bad":
            changes.append(bad(revision, key))
        else:
            changes.append(write(revision, *what, key=key))
    return changes


def believed(seen):
    """Say what is in force by the plainest rule: one change after the other."""
    force = {}
    for change in sorted(seen, key=lambda row: row.revision):
        entry = None
        if isinstance(change, StoredItem) and change.value != b"?":
            entry = decode(change)
        known = force.get(change.key)
        if known and entry and known.born and entry.born and entry.born < known.born:
            continue
        force[change.key] = entry
    return {
        entry.incarnation: entry.leaving
        for entry in force.values()
        if entry is not None
    }


def in_force(fleet):
    table = fleet.servers
    assert members(fleet) == {
        row.incarnation
        for row in table.servers.values()
        if row.incarnation not in table.leaving
    }
    return {
        row.incarnation: row.incarnation in table.leaving
        for row in table.servers.values()
    }


def at_revision(changes, revision):
    """Return the items of a snapshot of the store."""
    items = {}
    for change in changes[:revision]:
        items.pop(change.key, None)
        if isinstance(change, StoredItem):
            items[change.key] = change
    return items


def play(fleet, changes, step, seen):
    """Give a host some news, and note in ``seen`` what that says."""
    kind, *rest = step
    if kind == "snapshot":
        revision = min(rest[0], len(changes))
        items = at_revision(changes, revision)
        if revision >= fleet.revision:
            absent = {change.key for change in seen} - set(items)
            seen.update(items.values())
            seen.update(RemovedKey(key, revision) for key in absent)
        fleet.replace(Snapshot(tuple(items.values()), revision), NOW)
        return
    if kind == "watch":
        news = changes[rest[0] : rest[0] + rest[1]]
    else:
        news = [changes[index] for index in rest[0] if index < len(changes)]
    if news:
        seen.update(news)
        most = max(change.revision for change in news)
        fleet.apply(Changes(tuple(news), most), NOW, ())


@given(rows=st.lists(CHANGE, max_size=9), steps=st.lists(STEP, max_size=8))
def test_any_order_of_news_gives_what_the_plain_rule_gives(rows, steps):
    changes, seen, fleet = history_of(rows), set(), view()
    for step in [*steps, ("watch", 0, len(changes))]:
        play(fleet, changes, step, seen)
        assert in_force(fleet) == believed(seen)
    assert in_force(fleet) == believed(changes)


@given(
    rows=st.lists(CHANGE, max_size=9),
    steps=st.lists(STEP, max_size=6),
    lapses=st.lists(st.tuples(st.integers(0, 8), st.booleans()), max_size=6),
)
def test_lapses_end_in_what_the_plain_rule_gives(rows, steps, lapses):
    changes, fleet = history_of(rows), view()
    for step in steps:
        play(fleet, changes, step, set())
    for index, doubtful in lapses:
        if index < len(changes):
            tell(fleet, changes[index], lapsed=KEYS if doubtful else ())
    tell(fleet, *changes, lapsed=KEYS)
    fleet.tick(LATER)
    assert in_force(fleet) == believed(changes)


@given(rows=st.lists(CHANGE, max_size=9), behind=st.integers(0, 9))
def test_a_host_that_starts_or_is_behind_believes_what_its_peer_believes(rows, behind):
    changes, teller, asker = history_of(rows), view(), view()
    tell(teller, *changes)
    tell(asker, *changes[:behind])
    news = teller.changes_after(asker.revision)
    asker.apply(news, NOW, ())
    assert in_force(asker) == in_force(teller) == believed(changes)
    starting = view()
    whole = Snapshot(tuple(teller.changes_after(0).changes), teller.revision)
    items = tuple(row for row in whole.items if isinstance(row, StoredItem))
    starting.replace(Snapshot(items, whole.revision), NOW, ())
    assert in_force(starting) == believed(changes)
