"""Sum up each account's usage over all hosts, and return the share to admit.

Handles one account that sends several times its limit through all hosts at once, or
whose limit is lowered below its request rate, next to accounts so small that a host
sees one of their requests a minute. An even split of a small account's limit is less
than one request per host, so hosts must not be held to a fixed part of it while the
account as a whole is within its limit. Everything is admitted until the sum nears the
limit; from then on each request is admitted with the same probability on every host.
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

# Averaging time of an account's request rate; a surge shows within half of it.
ASKED_AVERAGE_SECONDS: Final = 0.5
# Tokens in the bucket are granted over this time, on top of the rate.
TOKEN_GRANT_SECONDS: Final = 1.0
# A host that has not reported for this long applies its part of the limit locally.
SILENT_SECONDS: Final = 1.0
# If an account has been over its limit for longer than this, its silent hosts knew of
# that before they fell silent.
LIMIT_KNOWN_SECONDS: Final = 2 * SILENT_SECONDS
# After a gap between reports of this length, what was admitted meanwhile is unknown.
REPORT_GAP_SECONDS: Final = 1.5
# Hosts report at least each 0.4 s. A ledger without reports for longer may have been
# replaced for that time, as when hosts that start believe for a moment to be alone.
HANDOVER_GAP_SECONDS: Final = 0.6
# Hosts turn to another ledger within a time-out and a period of reports.
HANDOVER_SECONDS: Final = 1.0
# An account's requests change within seconds; hosts on a full link hold their limits
# for this long.
HANDOVER_AGE_SECONDS_MAX: Final = 2.5
# More requests per second than the fleet is designed for can only be an error.
HANDOVER_RATE_MAX: Final = 1e7
REPORT_PERIOD_SECONDS: Final = 0.2
# A host's usage counts from its first report on, which comes within one period; held
# for one period, accounts exceeded their bound by up to 29 requests.
HANDOVER_HOLD_PERIODS: Final = 1.5
RATE_MIN: Final = 1e-3
PART_MIN: Final = 1e-3
PART_AVERAGE_SECONDS: Final = 2.0
# After this, most hosts have reported most accounts, and a part changes little between
# two requests of an account.
PARTS_SETTLE_SECONDS: Final = 5.0
# Accounts with a lower limit, in requests per second, are small. They have too few
# requests to estimate how these are spread over hosts, and no host that is cut off
# receives enough of them to matter.
SMALL_RATE: Final = 10.0


@dataclass(slots=True)
class AccountUsage:
    """The usage of one account; ``tokens`` is the fill level of its bucket.

    ``reporting_part`` is the part of the limit that hosts use which still report; the
    rest is reserved for silent hosts. ``over_since`` is infinite while all requests are
    admitted.
    """

    tokens: float
    filled_at: float
    full_rate: float
    reporting_part: float = 1.0
    over_since: float = math.inf
    asked: Rate = field(default_factory=lambda: Rate(ASKED_AVERAGE_SECONDS))
    asked_recently: Rate = field(default_factory=lambda: Rate(PART_AVERAGE_SECONDS))

    def fill(self, account: Account, now: float) -> None:
        """Add the tokens gained since the last call, up to the burst."""
        gained = self.rate * max(0.0, now - self.filled_at)
        self.tokens = min(account.burst, self.tokens + gained)
        self.filled_at = max(self.filled_at, now)

    def adopt(self, limit: LimitRow, age: float, now: float, until: float) -> None:
        """Start from what a former ledger told a host ``age`` seconds ago.

        Usage before a host's first report is not counted; so the request rate is held,
        and no tokens are added, until a time at which all hosts have reported.
        """
        tokens = float(limit.tokens or 0)
        if limit.share < 1.0:
            # Hosts were told to use up the tokens over this time.
            tokens *= math.exp(-age / TOKEN_GRANT_SECONDS)
        else:
            tokens += (self.full_rate - limit.asked_per_second) * age
        self.tokens = min(self.tokens, tokens)
        self.filled_at = max(self.filled_at, until)
        for rate in (self.asked, self.asked_recently):
            if limit.asked_per_second > rate.read(now):
                rate.start(limit.asked_per_second, until)

    def reserve_for_silent(
        self, silent_part: float, account: Account, now: float
    ) -> None:
        """Reserve a part of the rate, and once of the burst, for silent hosts.

        Hosts that were told that the account is over its limit have no burst left to
        use. When silent hosts report again, their reserve is released, less the usage
        that they report.
        """
        part = max(PART_MIN, 1.0 - silent_part)
        released = part - self.reporting_part
        self.reporting_part = part
        if released > 0 or now - self.over_since < LIMIT_KNOWN_SECONDS:
            self.tokens = min(account.burst, self.tokens + released * account.burst)

    @property
    def rate(self) -> float:
        """Return the requests per second granted to the hosts that still report."""
        return self.full_rate * self.reporting_part


@dataclass(slots=True)
class Reporter:
    """A host, or another ledger, with the state of its last report.

    ``region`` is that of a ledger, "" for a host. ``complete`` is true if this ledger
    has received its reports since it started, so that a row seen for the first time
    counts in full. ``parts`` are its parts of each account's requests, ``silent_parts``
    those of the hosts that no longer report to it. ``moved_at`` is when it last turned
    here from another ledger, ``elsewhere_at`` when another ledger last had its reports.
    """

    started: int
    heard_at: float
    region: str = ""
    complete: bool = False
    rows: dict[str, UsageRow] = field(default_factory=dict)
    asked: dict[str, Rate] = field(default_factory=dict)
    parts: dict[str, float] = field(default_factory=dict)
    silent_parts: dict[str, float] = field(default_factory=dict)
    moved_at: float = -math.inf
    elsewhere_at: float = -math.inf


class UsageLedger:
    """Sum up usage reports of hosts.

    ``silent_seconds_max`` is how long a host that is cut off may admit requests,
    ``region`` the one whose hosts report here.

    A ledger that starts to receive reports does not know what was admitted before, so
    its buckets start empty: at first it grants only the rate. Hosts pass on what the
    former ledger told them, so that an account that was over its limit stays so.
    ``invalid_limits`` counts the limits passed on that were out of range.
    """

    def __init__(self, silent_seconds_max: float, bounds: LimitBounds = STRICT) -> None:
        self.silent_seconds_max = silent_seconds_max
        self.bounds = bounds
        self.reporters: dict[tuple[str, bool], Reporter] = {}
        self.over_limit: set[str] = set()
        self.uses: dict[str, AccountUsage] = {}
        self.sums: dict[str, UsageRow] = {}
        self.silent_parts: Counter[str] = Counter()
        self.region = ""
        self.region_reported_at: dict[str, float] = {}
        self.receiving_since = 0.0
        self.resumed_at = 0.0
        self.report_period_seconds = REPORT_PERIOD_SECONDS
        self.invalid_limits = 0
        self.heard_at = -math.inf

    def take(
        self,
        report: UsageReport,
        accounts: Mapping[str, Account],
        now: float,
        *,
        answered_here: bool = True,
    ) -> None:
        """Count the usage in a report.

        If another ledger answered the host's previous report (``answered_here`` is
        false), this one only sets the baseline for the next: that usage has been
        reported elsewhere, and counting it twice would use up the accounts' limits.
        """
        if now - self.heard_at > REPORT_GAP_SECONDS:
            self.uses.clear()
            self.receiving_since = now
        if now - self.heard_at > HANDOVER_GAP_SECONDS:
            self.resumed_at = now
        if not report.summed:
            self.heard_at = now
        # A ledger may report its own requests in addition to its sums.
        key = report.host, report.summed
        reporter = self.reporters.get(key)
        same_incarnation = reporter is not None and reporter.started == report.started
        if reporter is None or not same_incarnation:
            region = report.region if report.summed else ""
            complete = report.unanswered
            reporter = Reporter(report.started, now, region, complete)
            self.reporters[key] = reporter
        reporter.heard_at = now
        self._record_moves(report, reporter, now, answered_here=answered_here)
        self.region_reported_at[report.region] = now
        reporter.silent_parts = report.silent_parts
        should_count = report.unanswered or (
            same_incarnation and (answered_here or report.summed)
        )
        self._adopt_limits(report, accounts, now)
        for row in report.rows:
            self._count_row(reporter, row, accounts, now, should_count, report.summed)
        if now - self.receiving_since < PARTS_SETTLE_SECONDS:
            self._update_parts(reporter, now)

    def _update_parts(self, reporter: Reporter, now: float) -> None:
        """Update all parts of a reporter, not only those of its latest requests.

        While hosts start, the first one to report an account has all of its requests.
        If it kept that part until its next request of the account and then fell silent,
        the whole limit would be reserved for it.
        """
        for name, rate in reporter.asked.items():
            use = self.uses.get(name)
            if use is not None:
                total_rate = max(RATE_MIN, use.asked_recently.read(now))
                reporter.parts[name] = rate.read(now) / total_rate

    def _record_moves(
        self,
        report: UsageReport,
        reporter: Reporter,
        now: float,
        *,
        answered_here: bool,
    ) -> None:
        """Record hosts that turned here, or that now report to the sender.

        A ledger that is slow to answer loses hosts to the next one for some seconds.
        If it took them for silent, it would reserve their parts of all limits, and
        callers within their limits would be rejected.
        """
        # A host without any answer may have reported to a ledger that was too slow.
        if not report.summed and (report.unanswered or not answered_here):
            reporter.moved_at = now
        for host, age in report.moved.items():
            moved = self.reporters.get((host, False))
            if moved is not None and age >= 0:
                moved.elsewhere_at = max(moved.elsewhere_at, now - age)

    def moved_hosts(self, now: float) -> dict[str, float]:
        """Return the hosts that other ledgers may miss, and when they reported here.

        The times are in seconds before now.
        """
        return {
            host: round(now - reporter.heard_at, 3)
            for (host, summed), reporter in self.reporters.items()
            if not summed
            and now - reporter.moved_at <= self.silent_seconds_max
            and now - reporter.heard_at <= SILENT_SECONDS
        }

    def _adopt_limits(
        self, report: UsageReport, accounts: Mapping[str, Account], now: float
    ) -> None:
        """Start buckets and rates from what the former ledger told a host.

        A ledger that has received reports for some time knows better.
        """
        age = report.last_limits_age
        if report.last_limits and not 0.0 <= age < math.inf:
            self.invalid_limits += 1
            return
        if now - self.resumed_at > HANDOVER_SECONDS:
            return
        if age > HANDOVER_AGE_SECONDS_MAX:
            return
        hold_seconds = HANDOVER_HOLD_PERIODS * self.report_period_seconds
        until = self.resumed_at + hold_seconds
        for limit in report.last_limits:
            account = accounts.get(limit.account)
            if account is None or not account.limited:
                continue
            if not _is_valid(limit, self.bounds.max_requests(account)):
                self.invalid_limits += 1
                continue
            self._usage(account, now).adopt(limit, age, now, max(now, until))
            if limit.share < 1.0:
                self.over_limit.add(account.name)

    def _count_row(
        self,
        reporter: Reporter,
        row: UsageRow,
        accounts: Mapping[str, Account],
        now: float,
        should_count: bool,
        summed: bool,
    ) -> None:
        """Count what one account used since the reporter's previous row."""
        before = reporter.rows.get(row.account)
        reporter.rows[row.account] = row
        account = accounts.get(row.account)
        has_baseline = before is not None or reporter.complete
        if account is None or not should_count or not has_baseline:
            return
        asked = row.asked - (before.asked if before else 0)
        admitted = row.admitted - (before.admitted if before else 0)
        if asked < 0 or admitted < 0:
            return
        use = self._usage(account, now)
        use.fill(account, now)
        use.tokens -= admitted
        use.asked.add(asked, now)
        use.asked_recently.add(asked, now)
        rate = reporter.asked.setdefault(row.account, Rate(PART_AVERAGE_SECONDS))
        rate.add(asked, now)
        total_rate = max(RATE_MIN, use.asked_recently.read(now))
        reporter.parts[row.account] = rate.read(now) / total_rate
        if not summed:
            total = self.sums.setdefault(row.account, UsageRow(row.account, 0, 0))
            total.asked += asked
            total.admitted += admitted

    def _usage(self, account: Account, now: float) -> AccountUsage:
        """Return an account's usage, creating it at the first request."""
        use = self.uses.get(account.name)
        if use is None:
            # The account had no requests since the ledger started to receive reports.
            rate = self.bounds.rate(account)
            gained = rate * (now - self.receiving_since)
            use = AccountUsage(min(account.burst, gained), now, rate)
            self.uses[account.name] = use
        else:
            use.full_rate = self.bounds.rate(account)
        return use

    def limit(self, account: Account, now: float) -> LimitRow:
        """Return the share of an account's requests to admit now."""
        use = self._usage(account, now)
        use.fill(account, now)
        asked = use.asked.read(now)
        if not account.limited or asked < RATE_MIN:
            return LimitRow(account.name, 1.0, asked, round(use.tokens))
        available = use.rate + use.tokens / TOKEN_GRANT_SECONDS
        share = min(1.0, max(0.0, available / asked))
        if share < 1.0:
            use.over_since = min(use.over_since, now)
            self.over_limit.add(account.name)
        else:
            use.over_since = math.inf
        asked /= use.reporting_part
        return LimitRow(account.name, share, asked, round(use.tokens))

    def limits(
        self, accounts: Mapping[str, Account], reported: Iterable[str], now: float
    ) -> list[LimitRow]:
        """Return the limits of all accounts over their limit, and of those reported."""
        names = {*reported, *self.over_limit}
        self.over_limit.clear()
        limited = [
            account
            for name in names
            if (account := accounts.get(name)) is not None and account.limited
        ]
        return [self.limit(account, now) for account in limited]

    def tick(self, accounts: Mapping[str, Account], now: float) -> None:
        """Reserve the parts of silent hosts until they can no longer use them."""
        self.silent_parts.clear()
        silent: Counter[str] = Counter()
        for key, reporter in list(self.reporters.items()):
            last_heard_at = max(reporter.heard_at, reporter.elsewhere_at)
            if now - last_heard_at > self.silent_seconds_max:
                del self.reporters[key]
            elif now - last_heard_at > SILENT_SECONDS:
                self._count_silent(reporter, silent, now)
            else:
                silent.update(reporter.silent_parts)
        silent.update(self.silent_parts)
        for name, use in self.uses.items():
            account = accounts.get(name)
            if account is not None and account.requests_per_second >= SMALL_RATE:
                use.fill(account, now)
                use.reserve_for_silent(silent[name], account, now)

    def _count_silent(
        self, reporter: Reporter, silent: Counter[str], now: float
    ) -> None:
        """Add a silent reporter's parts unless another ledger covers its region.

        While hosts start, slow answers make several hosts of a region its ledger in
        turn. Those that are not any more took the hosts that left them for silent.
        """
        if not reporter.region:
            self.silent_parts.update(reporter.parts)
        elif not self._is_covered(reporter.region, now):
            silent.update(reporter.parts)
            silent.update(reporter.silent_parts)

    def _is_covered(self, region: str, now: float) -> bool:
        """Return True if some ledger reported a region's requests recently."""
        if region == self.region and now - self.heard_at <= SILENT_SECONDS:
            return True
        return now - self.region_reported_at[region] <= SILENT_SECONDS


def _is_valid(limit: LimitRow, tokens_max: float) -> bool:
    """Return True if the figures of a limit that a host passes on are in range."""
    return (
        0.0 <= limit.share <= 1.0
        and 0.0 <= limit.asked_per_second <= HANDOVER_RATE_MAX
        and limit.tokens is not None
        and abs(limit.tokens) <= max(tokens_max, HANDOVER_RATE_MAX)
    )
