"""Messages between hosts about the usage of accounts."""

import msgspec

from greengagepoint.accounts.certainty import Proof


class UsageRow(msgspec.Struct, array_like=True, gc=False):
    """Requests of an account sent to and admitted by a host since it started."""

    account: str
    asked: int
    admitted: int


class UsageReport(msgspec.Struct, array_like=True):
    """The rows that changed since the last report that was answered.

    ``started`` is the start time of the host's incarnation. ``summed`` rows are totals
    of all hosts that report to the sender. ``unanswered`` is true while no report of
    this incarnation was answered, so that its rows count in full. ``silent_parts`` are
    the parts of each account's requests received by hosts that no longer report to the
    sender. ``region`` is the sender's, ``answered_by`` the ledger that answered its
    last report. A host that turns to another ledger adds the ``last_limits`` it was
    told, and their age in seconds. ``moved`` are hosts that another ledger answered
    before they turned to the sender, with the seconds since they reported to it.
    """

    host: str
    started: int
    rows: list[UsageRow]
    summed: bool = False
    unanswered: bool = False
    silent_parts: dict[str, float] = {}
    region: str = ""
    answered_by: str = ""
    last_limits: list["LimitRow"] = []
    last_limits_age: float = 0.0
    moved: dict[str, float] = {}


class LimitRow(msgspec.Struct, array_like=True, gc=False):
    """The share of an account's requests to admit, and its request rate.

    ``asked_per_second`` is the rate over all hosts, ``tokens`` the fill level of the
    account's bucket; None if the sender does not know it.
    """

    account: str
    share: float
    asked_per_second: float
    tokens: int | None = None


class UsageAnswer(msgspec.Struct, array_like=True):
    """The limits of all accounts over their limit, and of those in the report.

    ``proof`` is the sender's proof of how fresh its configuration is, ``ledger`` the
    sender's name.
    """

    limits: list[LimitRow]
    proof: Proof | None = None
    ledger: str = ""
