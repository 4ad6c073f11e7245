"""Messages of etcd v3's JSON gateway as this client sends and reads them.

Bytes travel as base64. An int64 comes as a decimal string; fields with a zero
value are left out. Comparisons and operations are built by the functions below.
"""

from collections.abc import Iterator, Sequence
from typing import Final, Literal

import msgspec

# The service allows 128 operations a transaction; a nested one takes one of them
# and needs one for itself.
MAX_ITEMS_A_CALL: Final = 127
# The service refuses a request over 1.5 MiB; what is no value needs some of it.
MAX_VALUES_BYTES_A_CALL: Final = 1024 * 1024
HEADERS: Final = {"Content-Type": "application/json"}


class RangeRequest(msgspec.Struct, omit_defaults=True, kw_only=True):
    """Read one key, or all from ``key`` up to ``range_end``."""

    key: bytes
    range_end: bytes = b""
    limit: int = 0


class PutRequest(msgspec.Struct, omit_defaults=True, kw_only=True):
    """Write one key."""

    key: bytes
    value: bytes = b""
    lease: int = 0


class DeleteRequest(msgspec.Struct, omit_defaults=True, kw_only=True):
    """Delete one key."""

    key: bytes


class Compare(msgspec.Struct, omit_defaults=True, kw_only=True):
    """Compare the revision of creation or of the last change; 0 is absent."""

    key: bytes
    target: Literal["CREATE", "MOD"]
    result: Literal["EQUAL", "GREATER"]
    create_revision: int | None = None
    mod_revision: int | None = None


class RequestOperation(msgspec.Struct, omit_defaults=True, kw_only=True):
    """Hold exactly one operation of a transaction."""

    request_put: PutRequest | None = None
    request_delete_range: DeleteRequest | None = None
    request_txn: "TxnRequest | None" = None


class TxnRequest(msgspec.Struct, omit_defaults=True, kw_only=True):
    """Run ``success`` only if all comparisons hold."""

    compare: list[Compare] = []
    success: list[RequestOperation] = []


class LeaseGrantRequest(msgspec.Struct, kw_only=True):
    """Ask for a lease of some seconds."""

    ttl: int = msgspec.field(name="TTL")


class LeaseRequest(msgspec.Struct, kw_only=True):
    """Keep one lease."""

    id: int = msgspec.field(name="ID")


class WatchCreateRequest(msgspec.Struct, omit_defaults=True, kw_only=True):
    """Watch keys from a revision on (0: from now on)."""

    key: bytes
    range_end: bytes = b""
    start_revision: int = 0


class WatchRequest(msgspec.Struct, kw_only=True):
    """Open a watch."""

    create_request: WatchCreateRequest


class Header(msgspec.Struct, kw_only=True):
    """Tell the store's revision."""

    revision: int


class KeyValue(msgspec.Struct, kw_only=True):
    """One key as stored."""

    key: bytes
    mod_revision: int
    value: bytes = b""


class RangeResponse(msgspec.Struct, kw_only=True):
    """Answer a read."""

    header: Header
    kvs: list[KeyValue] = []


class ResponseOperation(msgspec.Struct, kw_only=True):
    """Hold one answer inside a transaction; others than nested ones are unread."""

    response_txn: "TxnResponse | None" = None


class TxnResponse(msgspec.Struct, kw_only=True):
    """Answer a transaction."""

    header: Header
    succeeded: bool = False
    responses: list[ResponseOperation] = []


class LeaseResponse(msgspec.Struct, kw_only=True):
    """Answer a call about a lease; a ttl of 0 means that it is gone."""

    header: Header
    id: int = msgspec.field(name="ID")
    ttl: int = msgspec.field(name="TTL", default=0)


class LeaseStreamed(msgspec.Struct, kw_only=True):
    """Wrap the answer to a kept lease."""

    result: LeaseResponse


class WatchEvent(msgspec.Struct, kw_only=True):
    """One change of one key."""

    kv: KeyValue
    type: Literal["PUT", "DELETE"] = "PUT"


class WatchResponse(msgspec.Struct, kw_only=True):
    """One message of a watch."""

    header: Header
    created: bool = False
    canceled: bool = False
    compact_revision: int = 0
    events: list[WatchEvent] = []


class WatchStreamed(msgspec.Struct, kw_only=True):
    """Wrap one message of a watch, or the error that ended it."""

    result: WatchResponse | None = None
    error: msgspec.Raw | None = None


class Refusal(msgspec.Struct, kw_only=True):
    """Tell why a call failed, with its gRPC code."""

    code: int
    error: str = ""
    message: str = ""


def absent(key: bytes) -> Compare:
    """Require that a key does not exist."""
    return Compare(key=key, target="CREATE", result="EQUAL", create_revision=0)


def present(key: bytes) -> Compare:
    """Require that a key exists."""
    return Compare(key=key, target="CREATE", result="GREATER", create_revision=0)


def unchanged(key: bytes, revision: int) -> Compare:
    """Require that a key's last change is the one at a revision (0: absent)."""
    return Compare(key=key, target="MOD", result="EQUAL", mod_revision=revision)


def put(key: bytes, value: bytes, lease: int = 0) -> RequestOperation:
    """Write a key."""
    request = PutRequest(key=key, value=value, lease=lease)
    return RequestOperation(request_put=request)


def delete(key: bytes) -> RequestOperation:
    """Delete a key."""
    return RequestOperation(request_delete_range=DeleteRequest(key=key))


def nested(compare: Compare, operation: RequestOperation) -> RequestOperation:
    """Run one operation inside a transaction if its own comparison holds."""
    txn = TxnRequest(compare=[compare], success=[operation])
    return RequestOperation(request_txn=txn)


def batches(
    operations: Sequence[RequestOperation],
) -> Iterator[list[RequestOperation]]:
    """Split nested operations into as few calls as the service's limits allow.

    A single value over the limit goes alone; the service decides about it.
    """
    part: list[RequestOperation] = []
    size = 0
    for operation in operations:
        added = nested_bytes(operation)
        full = len(part) == MAX_ITEMS_A_CALL or size + added > MAX_VALUES_BYTES_A_CALL
        if part and full:
            yield part
            part, size = [], 0
        part.append(operation)
        size += added
    if part:
        yield part


def nested_bytes(operation: RequestOperation) -> int:
    """Return the bytes of the value that a nested operation writes."""
    written = operation.request_txn.success[0].request_put
    return len(written.value) if written else 0
