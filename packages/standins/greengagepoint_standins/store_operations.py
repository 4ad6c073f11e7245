"""Run the gateway's operations on the state of the stand-in store."""

from typing import Final

from greengagepoint_standins import store_messages as messages
from greengagepoint_standins.store_state import Entry, StoreState

MAX_TXN_OPERATIONS: Final = 128
MAX_VALUE_BYTES: Final = 1024 * 1024


class InvalidRequestError(Exception):
    """Report a request that the store refuses whole."""


def to_key_value(entry: Entry) -> messages.KeyValue:
    """Build the message for one key."""
    return messages.KeyValue(
        key=entry.key,
        value=entry.value,
        create_revision=messages.number(entry.create_revision),
        mod_revision=messages.number(entry.mod_revision),
        version=messages.number(entry.version),
        lease=messages.number(entry.lease),
    )


def header(state: StoreState) -> messages.Header:
    """Build the header for an answer given now."""
    return messages.Header(revision=messages.number(state.revision))


def run_range(
    state: StoreState, request: messages.RangeRequest, at: int = 0
) -> messages.RangeResponse:
    """Read a range at the request's revision, or at ``at`` when it names none."""
    entries = state.read(request.key, request.range_end, request.revision or at)
    shown = entries[: request.limit] if request.limit else entries
    return messages.RangeResponse(
        header=messages.Header(revision=messages.number(at or state.revision)),
        kvs=[] if request.count_only else [to_key_value(entry) for entry in shown],
        more=len(shown) < len(entries),
        count=messages.number(len(entries)),
    )


def run_txn(state: StoreState, request: messages.TxnRequest) -> messages.TxnResponse:
    """Run a whole transaction at one new revision."""
    check_txn(request, MAX_TXN_OPERATIONS)
    check_leases(state, request)
    revision = state.revision + 1
    response = apply_txn(state, request, revision)
    state.commit(revision)
    set_headers(response, header(state))
    return response


def check_txn(request: messages.TxnRequest, allowed: int) -> None:
    """Refuse a transaction with too many operations or a key put twice."""
    operations = max(len(request.compare), len(request.success), len(request.failure))
    if operations > allowed:
        raise InvalidRequestError("etcdserver: too many operations in txn request")
    for branch in (request.success, request.failure):
        keys = put_keys(branch)
        if len(set(keys)) < len(keys):
            raise InvalidRequestError("etcdserver: duplicate key given in txn request")
        for operation in branch:
            check_operation(operation, allowed - operations)


def check_operation(operation: messages.RequestOperation, allowed: int) -> None:
    """Refuse an operation that is empty, too large or nested too wide."""
    if operation.request_txn:
        check_txn(operation.request_txn, allowed)
    elif operation.request_put:
        check_put(operation.request_put)
    elif not (operation.request_range or operation.request_delete_range):
        raise InvalidRequestError("etcdserver: empty operation in txn request")


def check_put(request: messages.PutRequest) -> None:
    """Refuse an empty key or a value over the limit."""
    if not request.key:
        raise InvalidRequestError("etcdserver: key is not provided")
    if len(request.value) > MAX_VALUE_BYTES:
        raise InvalidRequestError("etcdserver: request is too large")


def put_keys(operations: list[messages.RequestOperation]) -> list[bytes]:
    """Return the keys that a branch may put, with those of nested branches."""
    keys = []
    for operation in operations:
        if operation.request_put:
            keys.append(operation.request_put.key)
        if operation.request_txn:
            nested = operation.request_txn
            keys += {*put_keys(nested.success), *put_keys(nested.failure)}
    return keys


def check_leases(state: StoreState, request: messages.TxnRequest) -> None:
    """Refuse a put under a lease that is gone before anything is written."""
    for operation in (*request.success, *request.failure):
        if operation.request_put and operation.request_put.lease:
            state.require_lease(operation.request_put.lease)
        if operation.request_txn:
            check_leases(state, operation.request_txn)


def apply_txn(
    state: StoreState, request: messages.TxnRequest, revision: int
) -> messages.TxnResponse:
    """Run the branch that the comparisons choose."""
    succeeded = all(holds(state, compare) for compare in request.compare)
    branch = request.success if succeeded else request.failure
    responses = [apply_operation(state, operation, revision) for operation in branch]
    return messages.TxnResponse(
        header=header(state), succeeded=succeeded, responses=responses
    )


def apply_operation(
    state: StoreState, operation: messages.RequestOperation, revision: int
) -> messages.ResponseOperation:
    """Run one operation of a transaction."""
    if operation.request_put:
        put = operation.request_put
        state.put(put.key, put.value, put.lease, revision)
        done = messages.PutResponse(header=header(state))
        return messages.ResponseOperation(response_put=done)
    if operation.request_delete_range:
        deleted = apply_delete(state, operation.request_delete_range, revision)
        return messages.ResponseOperation(response_delete_range=deleted)
    if operation.request_txn:
        nested = apply_txn(state, operation.request_txn, revision)
        return messages.ResponseOperation(response_txn=nested)
    found = run_range(state, operation.request_range)
    return messages.ResponseOperation(response_range=found)


def apply_delete(
    state: StoreState, request: messages.DeleteRangeRequest, revision: int
) -> messages.DeleteRangeResponse:
    """Delete all present keys of a range."""
    entries = state.read(request.key, request.range_end)
    for entry in entries:
        state.delete(entry.key, revision)
    return messages.DeleteRangeResponse(
        header=header(state), deleted=messages.number(len(entries))
    )


def holds(state: StoreState, compare: messages.Compare) -> bool:
    """Tell whether one comparison comes out as asked; an absent key counts as 0."""
    entry = state.get(compare.key)
    if compare.target is messages.Target.VALUE:
        if entry is None:
            return False
        found, wanted = entry.value, compare.value
    elif compare.target is messages.Target.CREATE:
        found, wanted = entry.create_revision if entry else 0, compare.create_revision
    elif compare.target is messages.Target.MOD:
        found, wanted = entry.mod_revision if entry else 0, compare.mod_revision
    else:
        found, wanted = entry.version if entry else 0, compare.version
    if compare.result is messages.Result.EQUAL:
        return found == wanted
    if compare.result is messages.Result.NOT_EQUAL:
        return found != wanted
    if compare.result is messages.Result.GREATER:
        return found > wanted
    return found < wanted


def set_headers(response: messages.TxnResponse, value: messages.Header) -> None:
    """Give a transaction's answer and its parts the revision after the commit."""
    response.header = value
    for part in response.responses:
        if part.response_put:
            part.response_put.header = value
        if part.response_delete_range:
            part.response_delete_range.header = value
        if part.response_txn:
            set_headers(part.response_txn, value)
