"""Hold the retries of all hosts together to one budget a service.

Load answered: backend servers fail part of their requests, and every host sends again.
Each host spends a part of its own first tries and an equal part of the slack, so no
message is needed and the sum over all hosts stays within the budget in any window.
"""

from dataclasses import dataclass, field
from typing import Final

# The budget may be looked at in any window; what a host saved before counts there too.
# The rest is for first tries that were counted here and never arrived.
USED_RATIO: Final = 0.9
# Of what a host may have saved, the part that only the most urgent requests use up.
# While servers turn away half of what they get, all requests want more than there is,
# and a reservation that is told to come back is worth two look-ups.
URGENT_SHARE: Final = 0.5
# Half of the slack is what all hosts may have saved up, the other half is for hosts
# that started again with a new part.
USED_SLACK: Final = 0.5
# Of what a window allows a host, the part that it may spend ahead at once. A server
# that ends breaks all its requests in one moment, and most other servers are sound.
# Among hundreds of hosts the part of the slack is one retry a host.
AHEAD_SHARE: Final = 0.3
# The part of the ratio that a host uses in its first window. All hosts may start again
# in a window in which they spent ahead.
START_RATIO: Final = 0.5


@dataclass(slots=True)
class Spending:
    """What a host has sent to one service: tokens, and counts by second."""

    tokens: float
    firsts: dict[int, int] = field(default_factory=dict)
    repeats: dict[int, int] = field(default_factory=dict)


@dataclass(slots=True)
class SharedRetryBudget:
    """Tokens by service for sending once more; times are monotonic seconds.

    ``ratio`` is repeats to first tries in any ``window_seconds``, ``slack`` what all
    ``hosts`` may send beyond. The host started at ``started_at``.
    """

    ratio: float
    slack: float
    hosts: int = 1
    window_seconds: float = 10.0
    started_at: float = float("-inf")
    services: dict[str, Spending] = field(default_factory=dict)

    def most(self) -> float:
        """Return the most that this host may save up."""
        return self.slack * USED_SLACK / max(1, self.hosts)

    def deposit(self, service: str, now: float) -> None:
        """Add what one first try is worth."""
        row = self._spending(service)
        used = START_RATIO if self._is_new(now) else USED_RATIO
        row.tokens = min(self.most(), row.tokens + self.ratio * used)
        self._count(row.firsts, now)

    def withdraw(
        self, service: str, now: float, *, urgent: bool = True, shed: bool = False
    ) -> bool:
        """Take the token for one more send; tell whether there was one.

        ``shed`` is a request that a full server turned away. Others are likely to be
        full as well, so it never spends ahead.
        """
        row = self._spending(service)
        kept = 0.0 if urgent else self._kept_for_urgent()
        if row.tokens < 1 + kept and (shed or not self._may_spend_ahead(row, now)):
            return False
        row.tokens -= 1
        self._count(row.repeats, now)
        return True

    def _may_spend_ahead(self, row: Spending, now: float) -> bool:
        """Tell whether this host's last window has room, and its debt is small.

        While the window has room, what was sent in it stays within the ratio. Tokens
        that are owed are paid back by later first tries, so the next window does too.
        """
        if self._is_new(now):
            return False
        allowed = USED_RATIO * self.ratio * self._recent(row.firsts, now)
        in_debt = row.tokens - 1 < -AHEAD_SHARE * allowed
        return not in_debt and self._recent(row.repeats, now) + 1 <= allowed

    def _is_new(self, now: float) -> bool:
        """Tell whether the last window began before this host did."""
        return now - self.started_at < self.window_seconds

    def _kept_for_urgent(self) -> float:
        """Return what others have to leave; with many hosts each saves little more."""
        return max(0.0, min(URGENT_SHARE * self.most(), self.most() - 1))

    def _spending(self, service: str) -> Spending:
        """Return what was sent to a service, with a full part of the slack at first."""
        row = self.services.get(service)
        if row is None:
            row = self.services[service] = Spending(self.most())
        return row

    def _count(self, counts: dict[int, int], now: float) -> None:
        """Count one send, and forget those before the last window."""
        second = int(now)
        if second not in counts:
            oldest = second - self.window_seconds
            for old in [row for row in counts if row <= oldest]:
                del counts[old]
        counts[second] = counts.get(second, 0) + 1

    def _recent(self, counts: dict[int, int], now: float) -> int:
        """Return how many were sent in the last window."""
        oldest = int(now) - self.window_seconds
        return sum(count for second, count in counts.items() if second > oldest)
