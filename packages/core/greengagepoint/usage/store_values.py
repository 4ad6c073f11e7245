"""Keys and values of usage in the store."""

from collections.abc import Iterable
from typing import Final, NamedTuple

import msgspec

from greengagepoint.usage.counters import merge, row_key
from greengagepoint.usage.messages import UsageRecord, UsageRow

USAGE_PREFIX: Final = "/greengagepoint/usage/"
WRITE_SECONDS_MIN: Final = 10.0
# At 4,900 hosts each writes about every 245 s, so that all together make 20 writes
# and 20 reads a second; holders bridge the time.
WRITE_SECONDS_PER_HOST: Final = 0.05

DECODER: Final = msgspec.json.Decoder(UsageRecord)


class UsageKey(NamedTuple):
    """What one value of the store counts."""

    day: str
    host: str
    incarnation: int


def encode_key(key: UsageKey) -> str:
    """Return the key of the store for one run of one host on one day."""
    return f"{USAGE_PREFIX}{key.day}/{key.host}/{key.incarnation}"


def decode_key(text: str) -> UsageKey | None:
    """Return what a key of the store stands for, or None for a foreign key."""
    parts = text.removeprefix(USAGE_PREFIX).split("/")
    if not text.startswith(USAGE_PREFIX) or len(parts) != 3 or not parts[2].isdigit():
        return None
    return UsageKey(parts[0], parts[1], int(parts[2]))


def encode_record(record: UsageRecord) -> bytes:
    """Return the value of the store for a record."""
    return msgspec.json.encode(record)


def decode_record(value: bytes) -> UsageRecord | None:
    """Return a value of the store, or None when it cannot be decoded."""
    try:
        return DECODER.decode(value)
    except msgspec.MsgspecError:
        return None


def merge_record(
    held: UsageRecord | None,
    key: UsageKey,
    sequence: int,
    rows: Iterable[UsageRow],
) -> UsageRecord | None:
    """Merge rows into a record of the store; return None when it says it all already.

    Repeating a write whose reply was lost therefore changes nothing.
    """
    before = {row_key(row): row for row in held.rows} if held else {}
    after = merge(before, rows)
    if held is not None and after == before:
        return None
    newest = max(sequence, held.sequence if held else 0)
    return UsageRecord(
        host=key.host,
        incarnation=key.incarnation,
        sequence=newest,
        rows=tuple(after.values()),
    )


def write_seconds(hosts: int) -> float:
    """Return how long after the last write of this host's counters the next is due."""
    return max(WRITE_SECONDS_MIN, WRITE_SECONDS_PER_HOST * hosts)
