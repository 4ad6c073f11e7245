"""What hosts tell each other of the use of accounts."""

import msgspec

from greengagepoint.accounts.certainty import Proof


class UsageRow(msgspec.Struct, array_like=True, gc=False):
    """How many requests of an account were asked and admitted in a host's lifetime."""

    account: str
    asked: int
    admitted: int


class UsageReport(msgspec.Struct, array_like=True):
    """The rows that changed since the last report that was answered.

    ``started`` tells the lifetimes of a host apart. ``summed`` rows are those of all
    hosts that report to the sender. ``unanswered`` tells that no report of this
    lifetime was answered, so all of it is news. ``silent_parts`` are the parts of each
    account's requests that hosts got which the sender no longer hears. ``region`` is
    the sender's, ``answered_by`` the ledger that answered its last report.
    """

    host: str
    started: int
    rows: list[UsageRow]
    summed: bool = False
    unanswered: bool = False
    silent_parts: dict[str, float] = {}
    region: str = ""
    answered_by: str = ""


class LimitRow(msgspec.Struct, array_like=True, gc=False):
    """Which share of an account's requests may be admitted, and how many are asked.

    ``asked_per_second`` is over all hosts.
    """

    account: str
    share: float
    asked_per_second: float


class UsageAnswer(msgspec.Struct, array_like=True):
    """All accounts over their limits, and those of the report.

    ``proof`` is what the sender knows of the newest configuration, ``ledger`` its name.
    """

    limits: list[LimitRow]
    proof: Proof | None = None
    ledger: str = ""
