"""Test the stand-in store's state against a plain model of the same history."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengagepoint_standins import store_messages as messages
from greengagepoint_standins import store_operations as operations
from greengagepoint_standins.store_control import RateLimit
from greengagepoint_standins.store_state import (
    CompactedError,
    LeaseNotFoundError,
    StoreState,
)

KEYS = st.sampled_from([b"a", b"b", b"c"])
STEPS = st.lists(st.tuples(st.sampled_from(["put", "delete"]), KEYS), max_size=30)


def put(key, value=b"", lease=0):
    request = messages.PutRequest(key=key, value=value, lease=lease)
    return messages.RequestOperation(request_put=request)


def delete(key):
    request = messages.DeleteRangeRequest(key=key)
    return messages.RequestOperation(request_delete_range=request)


def nested(operation):
    txn = messages.TxnRequest(success=[operation])
    return messages.RequestOperation(request_txn=txn)


def run(state, *success, compare=(), failure=()):
    txn = messages.TxnRequest(
        compare=list(compare), success=list(success), failure=list(failure)
    )
    return operations.run_txn(state, txn)


def replay(steps):
    """Return the state after all steps, and a plain copy for each revision."""
    state = StoreState()
    copies = {1: {}}
    for number, (action, key) in enumerate(steps):
        value = str(number).encode()
        run(state, put(key, value) if action == "put" else delete(key))
        copy = dict(copies[max(copies)])
        if action == "put":
            copy[key] = value
        else:
            copy.pop(key, None)
        copies[state.revision] = copy
    return state, copies


def shown(state, revision):
    return {entry.key: entry.value for entry in state.read(b"", b"\0", revision)}


@given(STEPS)
def test_every_revision_stays_readable(steps):
    state, copies = replay(steps)
    assert state.revision == max(copies)
    for revision, copy in copies.items():
        assert shown(state, revision) == copy


@given(STEPS, st.integers(1, 30))
def test_restore_goes_back_and_compaction_keeps_the_rest(steps, revision):
    state, copies = replay(steps)
    revision = min(revision, state.revision)
    state.compact(revision)
    for later in range(revision, state.revision + 1):
        assert shown(state, later) == copies[later]
    if revision > 1:
        with pytest.raises(CompactedError):
            state.read(b"", b"\0", revision - 1)
    state.restore(revision)
    assert (state.revision, shown(state, 0)) == (revision, copies[revision])


@given(STEPS)
def test_changes_replay_to_the_same_keys(steps):
    state, copies = replay(steps)
    copy = {}
    for change in state.changes_from(0):
        if change.version:
            copy[change.key] = change.value
        else:
            del copy[change.key]
    assert copy == shown(state, 0)


@pytest.mark.parametrize(
    ("target", "field", "found"),
    [
        ("VERSION", "version", 2),
        ("CREATE", "create_revision", 2),
        ("MOD", "mod_revision", 3),
        ("VALUE", "value", b"2"),
    ],
)
@pytest.mark.parametrize(
    ("result", "holds"),
    [("EQUAL", True), ("NOT_EQUAL", False), ("GREATER", False), ("LESS", False)],
)
def test_comparisons(target, field, found, result, holds):
    state = StoreState()
    run(state, put(b"a", b"1"))
    run(state, put(b"a", b"2"))
    compare = messages.Compare(
        key=b"a",
        target=messages.Target(target),
        result=messages.Result(result),
        **{field: found},
    )
    assert run(state, compare=[compare]).succeeded is holds


@pytest.mark.parametrize(
    ("success", "text"),
    [
        ([put(b"a"), put(b"a")], "duplicate key"),
        ([put(str(i).encode()) for i in range(129)], "too many operations"),
        ([put(b"a", b"x" * (1024 * 1024 + 1))], "too large"),
        ([put(b"")], "key is not provided"),
        ([messages.RequestOperation()], "empty operation"),
        ([nested(put(str(i).encode())) for i in range(127)], "too many operations"),
        ([nested(put(b"first"))], "duplicate key"),
    ],
)
def test_refused_transaction_changes_nothing(success, text):
    state = StoreState()
    with pytest.raises(operations.InvalidRequestError, match=text):
        run(state, put(b"first"), *success)
    assert state.revision == 1


def test_one_transaction_is_one_revision():
    state = StoreState()
    seen = []
    state.listen(seen.append)
    answer = run(state, put(b"a"), put(b"b"))
    assert (state.revision, answer.header.revision) == (2, "2")
    assert [[change.key for change in changes] for changes in seen] == [[b"a", b"b"]]


def test_lease_ends_with_the_keys_that_still_hang_on_it():
    state = StoreState()
    lease = state.grant(5, 0, now=0.0)
    run(state, put(b"a", lease=lease), put(b"b", lease=lease))
    run(state, put(b"b"))
    assert state.keep(lease, now=4.0) == 5
    state.expire(now=8.9)
    assert state.get(b"a")
    state.expire(now=9.0)
    assert (state.get(b"a"), state.get(b"b") is not None) == (None, True)
    assert state.keep(lease, now=9.0) == 0
    with pytest.raises(LeaseNotFoundError):
        run(state, put(b"c"), put(b"d", lease=lease))
    assert state.get(b"c") is None


def test_rate_limit_allows_one_second_at_once_and_then_the_rate():
    limit = RateLimit()
    assert sum(limit.take(10, now=0.0) for _ in range(20)) == 10
    assert sum(limit.take(10, now=0.5) for _ in range(20)) == 5
    assert sum(limit.take(10, now=99.0) for _ in range(20)) == 10


def test_zero_fields_are_left_out_as_the_gateway_does():
    state = StoreState()
    answer = run(state, put(b"a"), nested(delete(b"b")))
    assert msgspec.to_builtins(answer) == {
        "header": {"revision": "2"},
        "succeeded": True,
        "responses": [
            {"response_put": {"header": {"revision": "2"}}},
            {
                "response_txn": {
                    "header": {"revision": "2"},
                    "succeeded": True,
                    "responses": [
                        {"response_delete_range": {"header": {"revision": "2"}}}
                    ],
                }
            },
        ],
    }
