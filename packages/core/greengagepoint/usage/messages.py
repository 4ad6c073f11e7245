"""Usage counters as hosts share them and as the store keeps them."""

from typing import Final

import msgspec

RECORD_SCHEMA: Final = 1


class UsageRow(msgspec.Struct, frozen=True, array_like=True):
    """What one team sent to one service through one run of one host on one day.

    ``day`` is the UTC date as YYYY-MM-DD. All counters only grow, so the larger of
    two readings of a counter is always the newer one.
    """

    day: str
    team: str
    service: str
    answered: int
    failed: int
    not_run: int
    bytes_in: int
    bytes_out: int


class UsageRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The value of one key of the store: one run of one host on one day."""

    schema: int = RECORD_SCHEMA
    host: str
    incarnation: int
    sequence: int
    rows: tuple[UsageRow, ...]


class Share(
    msgspec.Struct, frozen=True, array_like=True, tag="usage.share", kw_only=True
):
    """Give a holder the rows that changed after ``base``, up to ``sequence``.

    Days before ``oldest_day`` are in the store and need not be held any longer.
    """

    incarnation: int
    sequence: int
    base: int
    oldest_day: str
    rows: tuple[UsageRow, ...]


class ShareAck(
    msgspec.Struct, frozen=True, array_like=True, tag="usage.ack", kw_only=True
):
    """Tell up to which sequence a run's rows are held without a gap."""

    incarnation: int
    sequence: int


MESSAGES: tuple[type, ...] = (Share, ShareAck)
