"""Add up what all hosts admit of each account, and say which share may go on.

Load answered: one account asks several times its limit through all hosts at once, or
its limit is lowered below what it asks, beside accounts so small that a host sees one
of their requests a minute. An even part of a small account's limit is less than one
request, so no host may be held to its part while the whole is within the limit: all is
admitted until the sum nears the limit, and from then on each request with the same
probability, whichever host it comes to.
"""

import math
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Final

from greengagepoint.accounts.bounds import STRICT, LimitBounds
from greengagepoint.accounts.messages import LimitRow, UsageReport, UsageRow
from greengagepoint.accounts.rates import Rate
from greengagepoint.accounts.tables import Account

# What is asked of an account is averaged over this; a surge shows within half of it.
ASKED_SECONDS: Final = 0.5
# What the bucket holds beyond the rate is given out over this.
LEVEL_SECONDS: Final = 1.0
# A host that has not reported for so long goes on with its part of the limit.
SILENT_SECONDS: Final = 1.0
# Hosts that were over the limit for longer had been told so before they fell silent.
HELD_SECONDS: Final = 2 * SILENT_SECONDS
# After which nothing is known of what was admitted meanwhile.
UNINFORMED_SECONDS: Final = 1.5
RATE_MIN: Final = 1e-3
PART_MIN: Final = 1e-3
PART_SECONDS: Final = 2.0
# Requests a second below which an account is small: they tell too little of where they
# are asked, and no host that is cut off gets enough of them to matter.
SMALL_RATE: Final = 10.0


@dataclass(slots=True)
class AccountUse:
    """What is known of one account; ``level`` is what its bucket holds.

    ``heard_part`` is the part of the limit that hosts use which are heard of; the rest
    is left to those that are not. ``over_since`` is infinite while all is admitted.
    """

    level: float
    filled_at: float
    full_rate: float
    heard_part: float = 1.0
    over_since: float = math.inf
    asked: Rate = field(default_factory=lambda: Rate(ASKED_SECONDS))
    asked_of_late: Rate = field(default_factory=lambda: Rate(PART_SECONDS))

    def fill(self, account: Account, now: float) -> None:
        """Add what the rate has given since the last time, up to the burst."""
        gained = self.rate * max(0.0, now - self.filled_at)
        self.level = min(account.burst, self.level + gained)
        self.filled_at = now

    def leave(self, silent_part: float, account: Account, now: float) -> None:
        """Leave a part of the rate to hosts that are silent, and once of the burst.

        They hold none of the burst that were told that the account is over its limit.
        What is left to them comes back with them, less what they report.
        """
        part = max(PART_MIN, 1.0 - silent_part)
        heard = part - self.heard_part
        self.heard_part = part
        if heard > 0 or now - self.over_since < HELD_SECONDS:
            self.level = min(account.burst, self.level + heard * account.burst)

    @property
    def rate(self) -> float:
        """Return the requests a second of the hosts that are heard of."""
        return self.full_rate * self.heard_part


@dataclass(slots=True)
class Reporter:
    """A host, or another ledger, with what it told last.

    ``region`` is that of a ledger, "" for a host. ``complete`` tells that it has been
    heard since its start, so that a row which was not there before is all news.
    ``parts`` are its parts of what was asked of each account then, ``silent_parts``
    those of hosts that it no longer hears.
    """

    started: int
    heard_at: float
    region: str = ""
    complete: bool = False
    rows: dict[str, UsageRow] = field(default_factory=dict)
    asked: dict[str, Rate] = field(default_factory=dict)
    parts: dict[str, float] = field(default_factory=dict)
    silent_parts: dict[str, float] = field(default_factory=dict)


class UsageLedger:
    """Sum up reports; ``silent_seconds_max`` is how long a cut-off host may admit.

    A ledger that begins to hear reports does not know what was admitted before, so its
    buckets start empty: for a moment only the rate is given out.
    """

    def __init__(self, silent_seconds_max: float, bounds: LimitBounds = STRICT) -> None:
        self.silent_seconds_max = silent_seconds_max
        self.bounds = bounds
        self.reporters: dict[tuple[str, bool], Reporter] = {}
        self.over: set[str] = set()
        self.uses: dict[str, AccountUse] = {}
        self.sums: dict[str, UsageRow] = {}
        self.silent_parts: Counter[str] = Counter()
        self.regions_heard_at: dict[str, float] = {}
        self.informed_since = 0.0
        self.heard_at = -math.inf

    def take(
        self,
        report: UsageReport,
        accounts: Mapping[str, Account],
        now: float,
        *,
        answered_here: bool = True,
    ) -> None:
        """Take in a report, where the one before it was answered by this ledger.

        Else it only tells where its host stands: what it did before has been reported
        elsewhere, and counted twice it would use up the limits of its accounts.
        """
        if now - self.heard_at > UNINFORMED_SECONDS:
            self.uses.clear()
            self.informed_since = now
        if not report.summed:
            self.heard_at = now
        # A ledger may report what it was asked itself beside its sums.
        key = report.host, report.summed
        reporter = self.reporters.get(key)
        known = reporter is not None and reporter.started == report.started
        if reporter is None or not known:
            region = report.region if report.summed else ""
            complete = report.unanswered
            reporter = Reporter(report.started, now, region, complete)
            self.reporters[key] = reporter
        reporter.heard_at = now
        self.regions_heard_at[report.region] = now
        reporter.silent_parts = report.silent_parts
        counts = report.unanswered or (known and (answered_here or report.summed))
        for row in report.rows:
            self._take_row(reporter, row, accounts, now, counts, report.summed)

    def _take_row(
        self,
        reporter: Reporter,
        row: UsageRow,
        accounts: Mapping[str, Account],
        now: float,
        counts: bool,
        summed: bool,
    ) -> None:
        """Count what is new of one account."""
        before = reporter.rows.get(row.account)
        reporter.rows[row.account] = row
        account = accounts.get(row.account)
        is_news = before is not None or reporter.complete
        if account is None or not counts or not is_news:
            return
        asked = row.asked - (before.asked if before else 0)
        admitted = row.admitted - (before.admitted if before else 0)
        if asked < 0 or admitted < 0:
            return
        use = self._use(account, now)
        use.fill(account, now)
        use.level -= admitted
        use.asked.add(asked, now)
        use.asked_of_late.add(asked, now)
        rate = reporter.asked.setdefault(row.account, Rate(PART_SECONDS))
        rate.add(asked, now)
        total_rate = max(RATE_MIN, use.asked_of_late.read(now))
        reporter.parts[row.account] = rate.read(now) / total_rate
        if not summed:
            total = self.sums.setdefault(row.account, UsageRow(row.account, 0, 0))
            total.asked += asked
            total.admitted += admitted

    def _use(self, account: Account, now: float) -> AccountUse:
        """Return what is known of an account's use."""
        use = self.uses.get(account.name)
        if use is None:
            # Nothing of it was asked since the ledger began to hear.
            rate = self.bounds.rate(account)
            gained = rate * (now - self.informed_since)
            use = AccountUse(min(account.burst, gained), now, rate)
            self.uses[account.name] = use
        else:
            use.full_rate = self.bounds.rate(account)
        return use

    def limit(self, account: Account, now: float) -> LimitRow:
        """Return which share of an account's requests may be admitted now."""
        use = self._use(account, now)
        use.fill(account, now)
        asked = use.asked.read(now)
        if not account.limited or asked < RATE_MIN:
            return LimitRow(account.name, 1.0, asked)
        room = use.rate + use.level / LEVEL_SECONDS
        share = min(1.0, max(0.0, room / asked))
        if share < 1.0:
            use.over_since = min(use.over_since, now)
            self.over.add(account.name)
        else:
            use.over_since = math.inf
        return LimitRow(account.name, share, asked / use.heard_part)

    def limits(
        self, accounts: Mapping[str, Account], reported: Iterable[str], now: float
    ) -> list[LimitRow]:
        """Return all accounts that are over their limits, and those reported."""
        names = {*reported, *self.over}
        self.over.clear()
        limited = [
            account
            for name in names
            if (account := accounts.get(name)) is not None and account.limited
        ]
        return [self.limit(account, now) for account in limited]

    def tick(self, accounts: Mapping[str, Account], now: float) -> None:
        """Leave their parts to hosts that are silent, until they can't use them."""
        self.silent_parts.clear()
        silent: Counter[str] = Counter()
        for key, reporter in list(self.reporters.items()):
            silent.update(reporter.silent_parts)
            if now - reporter.heard_at > self.silent_seconds_max:
                del self.reporters[key]
            elif now - reporter.heard_at > SILENT_SECONDS:
                self._count_silent(reporter, silent, now)
        silent.update(self.silent_parts)
        for name, use in self.uses.items():
            account = accounts.get(name)
            if account is not None and account.requests_per_second >= SMALL_RATE:
                use.fill(account, now)
                use.leave(silent[name], account, now)

    def _count_silent(
        self, reporter: Reporter, silent: Counter[str], now: float
    ) -> None:
        """Add the parts of a silent reporter; another ledger may stand in for one."""
        if not reporter.region:
            self.silent_parts.update(reporter.parts)
        elif now - self.regions_heard_at[reporter.region] > SILENT_SECONDS:
            silent.update(reporter.parts)
