"""Updates of incarnations, removals, lapses and bad entries in any order.

A simple model determines which entries are active: it applies the store's changes one
after the other. A host that gets them by watch, snapshot and peers, late and
duplicated, must reach the same state.
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

from greengagepoint_node.gateway.store_types import (
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
    """Return the changes of a store, from revision 1 on."""
    changes = []
    for revision, (key, what) in enumerate(rows, start=1):
        if what == "remove":
            changes.append(RemovedKey(key, revision))
        elif what == "bad":
            changes.append(undecodable_item(revision, key))
        else:
            changes.append(stored_item(revision, *what, key=key))
    return changes


def expected_entries(seen):
    """Return the active entries by the model: one change after the other."""
    active = {}
    for change in sorted(seen, key=lambda row: row.revision):
        entry = None
        if isinstance(change, StoredItem) and change.value != b"?":
            entry = decode(change)
        known = active.get(change.key)
        if known and entry and known.born and entry.born and entry.born < known.born:
            continue
        active[change.key] = entry
    return {
        entry.incarnation: entry.leaving
        for entry in active.values()
        if entry is not None
    }


def active_entries(fleet):
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


def items_at(changes, revision):
    """Return the store's items at a revision."""
    items = {}
    for change in changes[:revision]:
        items.pop(change.key, None)
        if isinstance(change, StoredItem):
            items[change.key] = change
    return items


def apply_step(fleet, changes, step, seen):
    """Send a host some updates and add the changes they contain to ``seen``."""
    kind, *rest = step
    if kind == "snapshot":
        revision = min(rest[0], len(changes))
        items = items_at(changes, revision)
        if revision >= fleet.revision:
            absent = {change.key for change in seen} - set(items)
            seen.update(items.values())
            seen.update(RemovedKey(key, revision) for key in absent)
        fleet.replace(Snapshot(tuple(items.values()), revision), NOW)
        return
    if kind == "watch":
        updates = changes[rest[0] : rest[0] + rest[1]]
    else:
        updates = [changes[index] for index in rest[0] if index < len(changes)]
    if updates:
        seen.update(updates)
        newest = max(change.revision for change in updates)
        fleet.apply(Changes(tuple(updates), newest), NOW, {})


@given(rows=st.lists(CHANGE, max_size=9), steps=st.lists(STEP, max_size=8))
def test_any_order_of_updates_matches_the_model(rows, steps):
    changes, seen, fleet = history_of(rows), set(), view()
    for step in [*steps, ("watch", 0, len(changes))]:
        apply_step(fleet, changes, step, seen)
        assert active_entries(fleet) == expected_entries(seen)
    assert active_entries(fleet) == expected_entries(changes)


@given(
    rows=st.lists(CHANGE, max_size=9),
    steps=st.lists(STEP, max_size=6),
    lapses=st.lists(st.tuples(st.integers(0, 8), st.booleans()), max_size=6),
)
def test_state_after_lapses_matches_the_model(rows, steps, lapses):
    changes, fleet = history_of(rows), view()
    for step in steps:
        apply_step(fleet, changes, step, set())
    for index, may_be_lapse in lapses:
        if index < len(changes):
            apply_changes(fleet, changes[index], lapsed=KEYS if may_be_lapse else ())
    apply_changes(fleet, *changes, lapsed=KEYS)
    fleet.tick(LATER)
    assert active_entries(fleet) == expected_entries(changes)


@given(rows=st.lists(CHANGE, max_size=9), behind=st.integers(0, 9))
def test_a_host_that_starts_or_lags_reaches_its_peers_state(rows, behind):
    changes, sender, receiver = history_of(rows), view(), view()
    apply_changes(sender, *changes)
    apply_changes(receiver, *changes[:behind])
    updates = sender.changes_after(receiver.revision)
    receiver.apply(updates, NOW, {})
    assert (
        active_entries(receiver) == active_entries(sender) == expected_entries(changes)
    )
    starting = view()
    whole = Snapshot(tuple(sender.changes_after(0).changes), sender.revision)
    items = tuple(row for row in whole.items if isinstance(row, StoredItem))
    starting.replace(Snapshot(items, whole.revision), NOW, {})
    assert active_entries(starting) == expected_entries(changes)
