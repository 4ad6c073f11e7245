"""What hosts report to the ledger of their region, and what it answers."""

from typing import NamedTuple

import msgspec

from greengagepoint.accounts.messages import UsageAnswer, UsageReport
from greengagepoint.placing.key_balance import KeyPlace


class MovesCursor(NamedTuple):
    """Up to where a host knows the moves of a ledger's lifetime.

    ``forgotten`` is how often that ledger began its list anew.
    """

    ledger: str
    started: int
    forgotten: int
    index: int


class Report(msgspec.Struct, array_like=True):
    """The use of accounts, and where keys ran.

    A ledger that reports to another one sends ``moves``: keys that it has given another
    server in its own region.
    """

    usage: UsageReport
    keys: list[KeyPlace] = []
    cursor: MovesCursor | None = None
    moves: list[KeyPlace] = []


class ReportAnswer(msgspec.Struct, array_like=True):
    """Limits of accounts, and the moves of keys since the report's cursor."""

    usage: UsageAnswer
    moves: list[KeyPlace] = []
    cursor: MovesCursor | None = None


encode = msgspec.msgpack.Encoder().encode
decode_report = msgspec.msgpack.Decoder(Report).decode
decode_answer = msgspec.msgpack.Decoder(ReportAnswer).decode
