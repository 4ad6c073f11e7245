"""Play the use of client accounts on many hosts, with delays, cuts and restarts."""

import math
import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import accumulate
from typing import Final, NamedTuple

from greengagepoint.accounts.bounds import LimitBounds
from greengagepoint.accounts.gate import REPORT_IDLE_SECONDS, AccountGate
from greengagepoint.accounts.ledger import UsageLedger
from greengagepoint.accounts.messages import UsageReport, UsageRow
from greengagepoint.accounts.tables import Account

STEP_SECONDS: Final = 0.02
PERIOD_SECONDS: Final = 0.2
NEAR_SECONDS: Final = 0.004
FAR_SECONDS: Final = 0.042
REVOKE_SECONDS: Final = 5.0
BOUNDS: Final = LimitBounds(window_seconds=5.0, overshoot=0.1, slack=20.0)
LIMIT_TO_USE: Final = 1.6
REGIONS: Final = 3


class Way(NamedTuple):
    """How hosts learn their part of a limit: told shares, own parts, even parts."""

    told: bool
    parts: bool


SHARES: Final = Way(told=True, parts=True)
PARTS: Final = Way(told=False, parts=True)
EVEN: Final = Way(told=False, parts=False)


class Fault(NamedTuple):
    """Cut off, or restart, the given part of the hosts for some seconds.

    The last ones, which "restart last" takes, are the ledgers.
    """

    kind: str
    at: float
    seconds: float
    part: float


@dataclass
class PlayedHost:
    """One lifetime of a host."""

    name: str
    region: int
    gate: AccountGate
    ledger: UsageLedger
    started: int
    next_report: float
    reported_at: float = -math.inf
    answered_by: int = 0
    cut_since: float = math.inf
    down_until: float = 0.0


@dataclass
class AccountPlay:
    """What was asked and admitted of one account, by time step."""

    asked: list[int] = field(default_factory=list)
    admitted: list[int] = field(default_factory=list)
    limits: list[float] = field(default_factory=list)


class Outcome(NamedTuple):
    """How an account fared: most above its bound in a window, and wrongly refused.

    ``refused_inside`` is the share of what a bucket of the whole fleet would have
    admitted and was refused.
    """

    over: float
    refused_inside: float
    asked: int


class AccountsWorld:
    """Hosts in regions that serve accounts, driven in steps.

    ``usual`` are the accounts' requests a second; ``factor`` tells for a time by how
    much an account asks more, ``limit`` its rate then.
    """

    def __init__(
        self,
        usual: dict[str, float],
        *,
        hosts: int = 82,
        seed: int = 1,
        way: Way = SHARES,
        faults: tuple[Fault, ...] = (),
        factor: Callable[[str, float], float] = lambda name, now: 1.0,
        rate: Callable[[str, float, float], float] = lambda name, rate, now: rate,
        moves: Callable[[float], list[float]] = lambda now: [1.0] * REGIONS,
    ) -> None:
        self.usual = usual
        self.random = random.Random(seed)
        self.way = way
        self.faults = faults
        self.factor = factor
        self.rate = rate
        self.moves = moves
        self.now = 0.0
        self.lifetimes = 0
        self.hosts = [
            self._host(f"h-{number}", number % REGIONS, 0.0) for number in range(hosts)
        ]
        self.plays = {name: AccountPlay() for name in usual}
        self.accounts: dict[str, Account] = {}
        self.waiting: deque[tuple[float, Callable[[], None]]] = deque()

    def run(self, seconds: float) -> dict[str, Outcome]:
        """Play for some seconds and return how each account fared."""
        while self.now < seconds:
            self.now += STEP_SECONDS
            self._step()
        return {name: self._outcome(play) for name, play in self.plays.items()}

    def _host(self, name: str, region: int, at: float) -> PlayedHost:
        """Return a new lifetime of a host."""
        self.lifetimes += 1
        gate = AccountGate(self.random, BOUNDS)
        phase = at + PERIOD_SECONDS * self.random.random()
        ledger = UsageLedger(REVOKE_SECONDS, BOUNDS)
        return PlayedHost(name, region, gate, ledger, self.lifetimes, phase)

    def _step(self) -> None:
        """Let one step's requests come, and messages go."""
        for name, usual in self.usual.items():
            rate = self.rate(name, LIMIT_TO_USE * usual, self.now)
            self.accounts[name] = Account(
                name=name, requests_per_second=rate, burst=rate
            )
        self._apply_faults()
        for work in [row for row in self.waiting if row[0] <= self.now]:
            self.waiting.remove(work)
            work[1]()
        self._ask()
        for host in self.hosts:
            if host.next_report <= self.now and self._is_up(host):
                host.next_report = self.now + PERIOD_SECONDS
                self._report(host)

    def _is_up(self, host: PlayedHost) -> bool:
        """Tell whether a host runs."""
        return host.down_until <= self.now

    def _apply_faults(self) -> None:
        """Begin and end faults."""
        for fault in self.faults:
            number = round(fault.part * len(self.hosts))
            begins = fault.at <= self.now < fault.at + STEP_SECONDS
            last = len(self.hosts) - number if fault.kind == "restart last" else 0
            for index in range(last, last + number):
                host = self.hosts[index]
                if fault.kind.startswith("restart") and begins:
                    new = self._host(host.name, host.region, self.now + fault.seconds)
                    new.down_until = self.now + fault.seconds
                    self.hosts[index] = new
                elif fault.kind == "cut":
                    if begins:
                        host.cut_since = self.now
                    elif self.now >= fault.at + fault.seconds:
                        host.cut_since = math.inf

    def _ask(self) -> None:
        """Let each account's requests of a step come to hosts."""
        weights = self.moves(self.now)
        up = [host for host in self.hosts if self._is_up(host)]
        bounds = list(accumulate(weights[host.region] for host in up))
        for name, usual in self.usual.items():
            mean = usual * self.factor(name, self.now) * STEP_SECONDS
            count = _poisson(self.random, mean)
            admitted = 0
            for _ in range(count if up else 0):
                host = self.random.choices(up, cum_weights=bounds)[0]
                if self.now - host.cut_since > REVOKE_SECONDS:
                    continue
                admitted += host.gate.admit(self.accounts[name], self.now).admitted
            play = self.plays[name]
            play.asked.append(count)
            play.admitted.append(admitted)
            play.limits.append(self.accounts[name].requests_per_second)

    def _report(self, host: PlayedHost) -> None:
        """Let a host report to its region's ledger, and that one tell the others.

        One that was asked for nothing reports less often.
        """
        if not host.gate.changed and self.now - host.reported_at < REPORT_IDLE_SECONDS:
            return
        host.reported_at = self.now
        host.gate.hosts = len(self.hosts)
        rows = host.gate.report()
        chosen = self._ledger(host.region, host)
        if chosen is None:
            host.gate.report_again(rows)
            return
        unanswered = host.gate.unanswered
        report = UsageReport(host.name, host.started, rows, unanswered=unanswered)
        if chosen.started != host.answered_by and not unanswered:
            report.last_limits = host.gate.last_limits()
            report.last_limits_age = host.gate.age_of_limits(self.now)
        asked_at = self.now
        self._later(NEAR_SECONDS, lambda: self._answer(chosen, host, report, asked_at))
        if host is chosen:
            sums = [
                UsageRow(row.account, row.asked, row.admitted)
                for row in host.ledger.sums.values()
            ]
            silent = dict(host.ledger.silent_parts)
            summed = UsageReport(
                host.name,
                host.started,
                sums,
                summed=True,
                silent_parts=silent,
                region=f"region-{host.region}",
            )
            for region in range(REGIONS):
                other = self._ledger(region, host)
                if other is not None and other is not host:
                    self._later(
                        FAR_SECONDS / 2,
                        lambda other=other: other.ledger.take(
                            summed, self.accounts, self.now
                        ),
                    )

    def _ledger(self, region: int, asking: PlayedHost) -> PlayedHost | None:
        """Return the last host of a region that can be reached; its first ones fail."""
        if asking.cut_since <= self.now:
            return None
        for host in reversed(self.hosts):
            reachable = self._is_up(host) and host.cut_since > self.now
            if host.region == region and reachable:
                return host
        return None

    def _answer(
        self, ledger: PlayedHost, host: PlayedHost, report: UsageReport, asked_at: float
    ) -> None:
        """Take in a report and answer it."""
        ledger.ledger.take(report, self.accounts, self.now)
        ledger.ledger.tick(self.accounts, self.now)
        names = [row.account for row in report.rows]
        limits = ledger.ledger.limits(self.accounts, names, self.now)
        host.gate.told(limits, asked_at, self.now)
        host.answered_by = ledger.started
        if not self.way.told:
            host.gate.limits_requested_at = -math.inf
        if not self.way.parts:
            for use in host.gate.uses.values():
                use.part = None

    def _later(self, seconds: float, work: Callable[[], None]) -> None:
        """Run something after a while."""
        self.waiting.append((self.now + seconds, work))

    def _outcome(self, play: AccountPlay) -> Outcome:
        """Compare an account's play with its bound and with one bucket for all."""
        steps = round(BOUNDS.window_seconds / STEP_SECONDS)
        sums = [0, *accumulate(play.admitted)]
        over = -math.inf
        for end in range(steps, len(sums)):
            first = max(0, end - 2 * steps)
            rate = max(play.limits[first:end])
            account = Account(name="", requests_per_second=rate, burst=rate)
            bound = BOUNDS.max_requests(account)
            over = max(over, sums[end] - sums[end - steps] - bound)
        ideal = wrong = 0.0
        tokens = play.limits[0]
        for rate, asked, admitted in zip(
            play.limits, play.asked, play.admitted, strict=True
        ):
            tokens = min(rate, tokens + rate * STEP_SECONDS)
            fits = min(asked, tokens)
            tokens -= fits
            ideal += fits
            wrong += fits - admitted
        return Outcome(over, max(0.0, wrong) / max(1.0, ideal), sum(play.asked))


def _poisson(source: random.Random, mean: float) -> int:
    """Draw how many of many rare events happen."""
    bound, count, product = math.exp(-mean), 0, source.random()
    while product > bound:
        count += 1
        product *= source.random()
    return count


def long_tail(accounts: int, requests_per_second: float) -> dict[str, float]:
    """Return the usual requests a second of accounts, a few of them large."""
    weights = [1 / (rank + 1) for rank in range(accounts)]
    total = sum(weights)
    return {
        f"account-{rank}": requests_per_second * weight / total
        for rank, weight in enumerate(weights)
    }


def total(outcomes: dict[str, Outcome]) -> Counter[str]:
    """Return the worst excess and the mean share that was wrongly refused."""
    asked = sum(row.asked for row in outcomes.values())
    refused = sum(row.refused_inside * row.asked for row in outcomes.values())
    over = max(row.over for row in outcomes.values())
    return Counter({"over": over, "refused": refused / max(1, asked)})
