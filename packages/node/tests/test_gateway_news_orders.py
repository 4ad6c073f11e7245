"""Any order in which news of runs, removals, lapses and bad entries may come.

A plain rule says what is in force: take one change of the store after the other. A host
that hears of them by watch, snapshot and peers, late and doubled, must end there.
"""

from gateway_runs import (
    ADDRESS,
    LATER,
    NOW,
    OTHER_ADDRESS,
    apply_changes,
    decode,
    members,
    stored_item,
    undecodable_item,
    view,
)
from hypothesis import given
from hypothesis import strategies as st

from greengagepoint_node.gateway.facts import (
    Changes,
    RemovedKey,
    Snapshot,
    StoredItem,
)

KEYS = ("i-1", "i-2")
CHANGE = st.tuples(
    st.sampled_from(KEYS),
    st.one_of(
        st.sampled_from(["remove", "bad"]),
        st.tuples(
            st.integers(0, 4),
            st.sampled_from([ADDRESS, OTHER_ADDRESS]),
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
            changes.append(undecodable_item(revision, key))
        else:
            changes.append(stored_item(revision, *what, key=key))
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
        fleet.apply(Changes(tuple(news), most), NOW, {})


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
            apply_changes(fleet, changes[index], lapsed=KEYS if doubtful else ())
    apply_changes(fleet, *changes, lapsed=KEYS)
    fleet.tick(LATER)
    assert in_force(fleet) == believed(changes)


@given(rows=st.lists(CHANGE, max_size=9), behind=st.integers(0, 9))
def test_a_host_that_starts_or_is_behind_believes_what_its_peer_believes(rows, behind):
    changes, teller, asker = history_of(rows), view(), view()
    apply_changes(teller, *changes)
    apply_changes(asker, *changes[:behind])
    news = teller.changes_after(asker.revision)
    asker.apply(news, NOW, {})
    assert in_force(asker) == in_force(teller) == believed(changes)
    starting = view()
    whole = Snapshot(tuple(teller.changes_after(0).changes), teller.revision)
    items = tuple(row for row in whole.items if isinstance(row, StoredItem))
    starting.replace(Snapshot(items, whole.revision), NOW, {})
    assert in_force(starting) == believed(changes)
