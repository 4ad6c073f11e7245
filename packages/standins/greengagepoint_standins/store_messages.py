"""Messages of etcd v3's JSON gateway: base64 bytes, int64 as decimal strings."""

from enum import StrEnum
from typing import Final

import msgspec

ZERO: Final = "0"


def number(value: int) -> str:
    """Write an int64 as the gateway does; a zero then is left out as a default.

    Defaults are known by identity, so another string "0" would be sent.
    """
    return str(value) if value else ZERO


class Target(StrEnum):
    """What a comparison looks at."""

    VERSION = "VERSION"
    CREATE = "CREATE"
    MOD = "MOD"
    VALUE = "VALUE"


class Result(StrEnum):
    """How a comparison must come out."""

    EQUAL = "EQUAL"
    GREATER = "GREATER"
    LESS = "LESS"
    NOT_EQUAL = "NOT_EQUAL"


class RangeRequest(msgspec.Struct, kw_only=True):
    """Read one key, or all from ``key`` up to ``range_end``."""

    key: bytes
    range_end: bytes = b""
    limit: int = 0
    revision: int = 0
    serializable: bool = False
    keys_only: bool = False
    count_only: bool = False


class PutRequest(msgspec.Struct, kw_only=True):
    """Write one key."""

    key: bytes
    value: bytes = b""
    lease: int = 0
    prev_kv: bool = False


class DeleteRangeRequest(msgspec.Struct, kw_only=True):
    """Delete one key, or all from ``key`` up to ``range_end``."""

    key: bytes
    range_end: bytes = b""
    prev_kv: bool = False


class Compare(msgspec.Struct, kw_only=True):
    """Compare one attribute of one key."""

    key: bytes
    target: Target = Target.VERSION
    result: Result = Result.EQUAL
    version: int = 0
    create_revision: int = 0
    mod_revision: int = 0
    value: bytes = b""


class RequestOperation(msgspec.Struct, kw_only=True):
    """Hold exactly one operation of a transaction."""

    request_range: RangeRequest | None = None
    request_put: PutRequest | None = None
    request_delete_range: DeleteRangeRequest | None = None
    request_txn: "TxnRequest | None" = None


class TxnRequest(msgspec.Struct, kw_only=True):
    """Run ``success`` if all comparisons hold, else ``failure``."""

    compare: list[Compare] = []
    success: list[RequestOperation] = []
    failure: list[RequestOperation] = []


class LeaseGrantRequest(msgspec.Struct, kw_only=True):
    """Ask for a lease of some seconds; id 0 lets the store choose."""

    ttl: int = msgspec.field(name="TTL")
    id: int = msgspec.field(name="ID", default=0)


class LeaseRequest(msgspec.Struct, kw_only=True):
    """Keep or revoke one lease."""

    id: int = msgspec.field(name="ID")


class WatchCreateRequest(msgspec.Struct, kw_only=True):
    """Watch keys from a revision on (0: from now on)."""

    key: bytes
    range_end: bytes = b""
    start_revision: int = 0
    progress_notify: bool = False


class WatchRequest(msgspec.Struct, kw_only=True):
    """Open a watch."""

    create_request: WatchCreateRequest


class Header(msgspec.Struct, omit_defaults=True, kw_only=True):
    """Tell the store's revision."""

    revision: str = ZERO


class KeyValue(msgspec.Struct, omit_defaults=True, kw_only=True):
    """One key as stored."""

    key: bytes
    create_revision: str = ZERO
    mod_revision: str = ZERO
    version: str = ZERO
    value: bytes = b""
    lease: str = ZERO


class RangeResponse(msgspec.Struct, omit_defaults=True, kw_only=True):
    """Answer a read; ``count`` ignores the limit."""

    header: Header
    kvs: list[KeyValue] = []
    more: bool = False
    count: str = ZERO


class PutResponse(msgspec.Struct, omit_defaults=True, kw_only=True):
    """Answer a write."""

    header: Header
    prev_kv: KeyValue | None = None


class DeleteRangeResponse(msgspec.Struct, omit_defaults=True, kw_only=True):
    """Answer a deletion."""

    header: Header
    deleted: str = ZERO
    prev_kvs: list[KeyValue] = []


class ResponseOperation(msgspec.Struct, omit_defaults=True, kw_only=True):
    """Hold exactly one answer inside a transaction."""

    response_range: RangeResponse | None = None
    response_put: PutResponse | None = None
    response_delete_range: DeleteRangeResponse | None = None
    response_txn: "TxnResponse | None" = None


class TxnResponse(msgspec.Struct, omit_defaults=True, kw_only=True):
    """Answer a transaction; ``succeeded`` tells which branch ran."""

    header: Header
    succeeded: bool = False
    responses: list[ResponseOperation] = []


class LeaseResponse(msgspec.Struct, omit_defaults=True, kw_only=True):
    """Answer a call about a lease; no TTL means that it is gone."""

    header: Header
    id: str = msgspec.field(name="ID", default=ZERO)
    ttl: str = msgspec.field(name="TTL", default=ZERO)


class WatchEvent(msgspec.Struct, omit_defaults=True, kw_only=True):
    """One change of one key."""

    type: str = "PUT"
    kv: KeyValue


class WatchResponse(msgspec.Struct, omit_defaults=True, kw_only=True):
    """One message of a watch."""

    header: Header
    created: bool = False
    canceled: bool = False
    compact_revision: str = ZERO
    events: list[WatchEvent] = []


class Streamed(msgspec.Struct):
    """Wrap one message of a stream."""

    result: msgspec.Struct


class GatewayError(msgspec.Struct, kw_only=True):
    """Tell a failure with its gRPC code."""

    error: str
    code: int
    message: str
