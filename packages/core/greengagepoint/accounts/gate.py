"""Admit or reject an account's requests on one host."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final, NamedTuple

from greengagepoint.accounts.bounds import STRICT, LimitBounds
from greengagepoint.accounts.messages import LimitRow, UsageRow
from greengagepoint.accounts.rates import Rate
from greengagepoint.accounts.tables import Account
from greengagepoint.overload.token_bucket import TokenBucket, take
from greengagepoint.protocols import Random

# Limits from a ledger expire after this; the host then enforces its own part locally.
LIMITS_VALID_SECONDS: Final = 0.7
# Answers take longer on a saturated link. The ledger reserves the part of a host that
# reports too rarely, so what that host admits meanwhile is accounted for.
FULL_LINK_LIMITS_VALID_SECONDS: Final = 2.5
# Averaging time of a host's part of an account's requests. The host keeps the last
# value while it gets no answers.
PART_AVERAGE_SECONDS: Final = 2.0
# An idle host still reports this often; otherwise the ledger would take it for one that
# is cut off.
REPORT_IDLE_SECONDS: Final = 0.4
RETRY_MIN_SECONDS: Final = 0.2
RETRY_MAX_SECONDS: Final = 5.0


class Admission(NamedTuple):
    """Whether a request is admitted, and the state the decision was based on.

    ``share`` is the admission probability from the ledger, ``limits_age`` its age in
    seconds. ``part`` is this host's part of the limit, set if it decided without a
    current answer from the ledger.
    """

    admitted: bool
    share: float | None = None
    part: float | None = None
    limits_age: float = 0.0
    retry_seconds: float = 0.0


@dataclass(slots=True)
class LocalUsage:
    """Usage of one account on this host, and the limit from the ledger."""

    row: UsageRow
    asked: Rate = field(default_factory=lambda: Rate(PART_AVERAGE_SECONDS))
    share: float = 1.0
    limit: LimitRow | None = None
    part: float | None = None
    admitted_since_answer: int = 0
    local_bucket: TokenBucket | None = None


class AccountGate:
    """Count and admit the requests of accounts.

    While a ledger answers with the share of requests to admit, each request is admitted
    with that probability. A host without a current answer enforces its part of the
    limit locally; the ledger reserves that part meanwhile. ``hosts`` is the number of
    hosts that serve callers.
    """

    def __init__(self, random: Random, bounds: LimitBounds = STRICT) -> None:
        self.random = random
        self.bounds = bounds
        self.hosts = 1
        self.limits_valid_seconds = LIMITS_VALID_SECONDS
        self.limits_requested_at = float("-inf")
        self.uses: dict[str, LocalUsage] = {}
        self.changed: set[str] = set()

    def admit(self, account: Account, now: float) -> Admission:
        """Count a request and return whether it is within its account's limit."""
        use = self.uses.get(account.name)
        if use is None:
            use = self.uses[account.name] = LocalUsage(UsageRow(account.name, 0, 0))
        use.row.asked += 1
        use.asked.add(1, now)
        self.changed.add(account.name)
        admission = self._decide(account, use, now)
        use.row.admitted += admission.admitted
        use.admitted_since_answer += admission.admitted
        return admission

    def _decide(self, account: Account, use: LocalUsage, now: float) -> Admission:
        """Decide whether a request is within its account's limit."""
        if not account.limited:
            return Admission(admitted=True)
        age = now - self.limits_requested_at
        if age > self.limits_valid_seconds:
            return self._decide_locally(account, use, now)
        use.local_bucket = None
        # Until the next answer, no single host may admit more than the account's
        # burst and reserve for all hosts.
        burst_and_reserve = account.burst + self.bounds.reserve(account)
        has_budget = use.admitted_since_answer < burst_and_reserve
        admitted = has_budget and self.random.random() < use.share
        # A share s fits the requests of one second into 1/s seconds of the limit, so
        # a rejected one has to wait for the difference.
        retry = 1 / use.share - 1 if use.share else RETRY_MAX_SECONDS
        return Admission(admitted, use.share, None, age, _clamp_retry_seconds(retry))

    def _decide_locally(
        self, account: Account, use: LocalUsage, now: float
    ) -> Admission:
        """Decide by this host's part of the limit."""
        part = use.part if use.part is not None else 1 / max(1, self.hosts)
        burst = part * account.burst
        if use.local_bucket is None:
            # A host that never got an answer does not know what was used before it
            # started. While all requests are admitted, the ledger reserves this host's
            # part of the full bucket for it.
            full = 0.0 if use.part is None or use.share < 1 else burst
            reserve = part * self.bounds.reserve(account)
            tokens = self._round_randomly(full + reserve) - use.admitted_since_answer
            use.local_bucket = TokenBucket(tokens, now)
        rate = part * self.bounds.rate(account)
        wait = take(use.local_bucket, rate, burst, now)
        return Admission(
            not wait,
            None,
            part,
            now - self.limits_requested_at,
            _clamp_retry_seconds(wait),
        )

    def _round_randomly(self, tokens: float) -> int:
        """Round up or down at random, so that the sum over many hosts is right."""
        return int(tokens + self.random.random())

    @property
    def unanswered(self) -> bool:
        """Return True if no report was answered since this host started."""
        return self.limits_requested_at == float("-inf")

    def report(self) -> list[UsageRow]:
        """Return the rows that changed since the last report, and clear the changes.

        The rows are copies, as this host keeps updating its own. Call
        ``report_again`` if no ledger answers.
        """
        names, self.changed = self.changed, set()
        rows = (self.uses[name].row for name in names)
        return [UsageRow(row.account, row.asked, row.admitted) for row in rows]

    def report_again(self, rows: Iterable[UsageRow]) -> None:
        """Mark rows to be reported again because no ledger answered."""
        self.changed.update(row.account for row in rows)

    def last_limits(self) -> list[LimitRow]:
        """Return the limits in the last answer, for a ledger that has just begun."""
        limits = (use.limit for use in self.uses.values())
        return [row for row in limits if row is not None and row.tokens is not None]

    def age_of_limits(self, now: float) -> float:
        """Return the seconds since the last report that was answered."""
        return now - self.limits_requested_at

    def told(self, limits: Iterable[LimitRow], asked_at: float, now: float) -> None:
        """Apply the answer to a report that was sent at ``asked_at``."""
        self.limits_requested_at = max(self.limits_requested_at, asked_at)
        shares = {row.account: row for row in limits}
        for name, use in self.uses.items():
            row = shares.get(name)
            use.share = row.share if row is not None else 1.0
            use.limit = row
            use.admitted_since_answer = 0
            if row is not None and row.asked_per_second > 0:
                use.part = min(1.0, use.asked.read(now) / row.asked_per_second)


def _clamp_retry_seconds(seconds: float) -> float:
    """Return the seconds to wait before a retry, within bounds."""
    return min(RETRY_MAX_SECONDS, max(RETRY_MIN_SECONDS, seconds))
