"""Admit or refuse an account's requests on one host."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final, NamedTuple

from greengagepoint.accounts.bounds import STRICT, LimitBounds
from greengagepoint.accounts.messages import LimitRow, UsageRow
from greengagepoint.accounts.rates import Rate
from greengagepoint.accounts.tables import Account
from greengagepoint.overload.token_bucket import TokenBucket, take
from greengagepoint.protocols import Random

# What was told longer ago does not hold; the host goes on with its own part.
TOLD_SECONDS: Final = 0.7
# On a full link an answer takes longer. The ledger leaves its part to a host that it
# hears too seldom, so what that one admits meanwhile is accounted for.
FULL_LINK_TOLD_SECONDS: Final = 2.5
# A host's part of what is asked is averaged over this, and kept while it hears nothing.
PART_SECONDS: Final = 2.0
# A host that is asked for nothing reports this often, or it would be taken for one that
# is cut off.
REPORT_IDLE_SECONDS: Final = 0.4
RETRY_MIN_SECONDS: Final = 0.2
RETRY_MAX_SECONDS: Final = 5.0


class Admission(NamedTuple):
    """Whether a request is admitted, by which share of them, told how long ago.

    ``part`` is this host's part of the limit where it goes by that, being told nothing.
    """

    admitted: bool
    share: float | None = None
    part: float | None = None
    told_age: float = 0.0
    retry_seconds: float = 0.0


@dataclass(slots=True)
class HostUse:
    """What this host has seen of one account, and what it was told of it."""

    row: UsageRow
    asked: Rate = field(default_factory=lambda: Rate(PART_SECONDS))
    share: float = 1.0
    part: float | None = None
    admitted_since_told: int = 0
    alone: TokenBucket | None = None


class AccountGate:
    """Count and admit the requests of accounts; ``hosts`` serve callers.

    While a ledger tells which share of the requests may go on, each is admitted with
    that probability. A host that is told nothing keeps to its part of the limit, which
    the ledger leaves to it meanwhile.
    """

    def __init__(self, random: Random, bounds: LimitBounds = STRICT) -> None:
        self.random = random
        self.bounds = bounds
        self.hosts = 1
        self.told_seconds = TOLD_SECONDS
        self.told_at = float("-inf")
        self.uses: dict[str, HostUse] = {}
        self.changed: set[str] = set()

    def admit(self, account: Account, now: float) -> Admission:
        """Count a request and tell whether it is within its account's limit."""
        use = self.uses.get(account.name)
        if use is None:
            use = self.uses[account.name] = HostUse(UsageRow(account.name, 0, 0))
        use.row.asked += 1
        use.asked.add(1, now)
        self.changed.add(account.name)
        admission = self._decide(account, use, now)
        use.row.admitted += admission.admitted
        use.admitted_since_told += admission.admitted
        return admission

    def _decide(self, account: Account, use: HostUse, now: float) -> Admission:
        """Tell whether a request is within its account's limit."""
        if not account.limited:
            return Admission(admitted=True)
        age = now - self.told_at
        if age > self.told_seconds:
            return self._decide_alone(account, use, now)
        use.alone = None
        # Until it is told again, one host alone must not use more than all may.
        most = account.burst + self.bounds.reserve(account)
        in_time = use.admitted_since_told < most
        admitted = in_time and self.random.random() < use.share
        # So much longer than they come do the requests of a moment take to fit.
        retry = 1 / use.share - 1 if use.share else RETRY_MAX_SECONDS
        return Admission(admitted, use.share, None, age, _bounded(retry))

    def _decide_alone(self, account: Account, use: HostUse, now: float) -> Admission:
        """Keep to this host's part of the limit."""
        part = use.part if use.part is not None else 1 / max(1, self.hosts)
        burst = part * account.burst
        if use.alone is None:
            # One that was never told knows nothing of what was used before it started.
            # While all is admitted, part of what the whole bucket holds is left to it.
            full = 0.0 if use.part is None or use.share < 1 else burst
            reserve = part * self.bounds.reserve(account)
            tokens = self._rounded(full + reserve) - use.admitted_since_told
            use.alone = TokenBucket(tokens, now)
        rate = part * self.bounds.rate(account)
        wait = take(use.alone, rate, burst, now)
        return Admission(not wait, None, part, now - self.told_at, _bounded(wait))

    def _rounded(self, tokens: float) -> int:
        """Round up or down at random, so that many hosts round to the right sum."""
        return int(tokens + self.random.random())

    @property
    def unanswered(self) -> bool:
        """Tell whether no report was answered in this lifetime."""
        return self.told_at == float("-inf")

    def report(self) -> list[UsageRow]:
        """Return what has changed since the last report; the ledger has yet to answer.

        The rows are copies, as those of this host go on counting.
        """
        names, self.changed = self.changed, set()
        rows = (self.uses[name].row for name in names)
        return [UsageRow(row.account, row.asked, row.admitted) for row in rows]

    def take_back(self, rows: Iterable[UsageRow]) -> None:
        """Report rows again that were not answered."""
        self.changed.update(row.account for row in rows)

    def told(self, limits: Iterable[LimitRow], asked_at: float, now: float) -> None:
        """Take in an answer to a report that was sent at a time."""
        self.told_at = max(self.told_at, asked_at)
        shares = {row.account: row for row in limits}
        for name, use in self.uses.items():
            row = shares.get(name)
            use.share = row.share if row is not None else 1.0
            use.admitted_since_told = 0
            if row is not None and row.asked_per_second > 0:
                use.part = min(1.0, use.asked.read(now) / row.asked_per_second)


def _bounded(seconds: float) -> float:
    """Return when to come back, within bounds."""
    return min(RETRY_MAX_SECONDS, max(RETRY_MIN_SECONDS, seconds))
