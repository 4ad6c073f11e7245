"""Limit the retries of all hosts together to one budget per service.

When backend servers fail part of their requests, every host retries. Each host may
spend a fraction of its own first attempts and an equal part of the slack, so the total
of all hosts stays within the budget in any window without coordination.
"""

from dataclasses import dataclass, field
from typing import Final

# Fraction of the ratio that hosts use. The budget has to hold in any window, including
# tokens saved before it. The rest covers first attempts that were counted here but
# never arrived.
RATIO_UTILIZATION: Final = 0.9
# Fraction of a host's maximum tokens that is reserved for the most urgent requests.
# While servers shed half of their requests, all requests together want more retries
# than there are tokens, and a rejected reservation costs as much as two look-ups.
URGENT_RESERVE_SHARE: Final = 0.5
# Half of the slack is for tokens that all hosts may have saved, the other half is for
# hosts that restarted with a new part.
SLACK_UTILIZATION: Final = 0.5
# Fraction of a host's allowance for a window by which it may overdraw its tokens. A
# server crash fails all its requests at once while most other servers are healthy, and
# with hundreds of hosts a host's part of the slack is only one retry.
OVERDRAFT_SHARE: Final = 0.3
# Fraction of the ratio that a host uses in its first window. All hosts may restart in a
# window in which they have overdrawn.
STARTUP_RATIO_UTILIZATION: Final = 0.5


@dataclass(slots=True)
class ServiceUsage:
    """Tokens for one service, and the attempts that a host sent to it by second."""

    tokens: float
    first_attempt_counts: dict[int, int] = field(default_factory=dict)
    retry_counts: dict[int, int] = field(default_factory=dict)


@dataclass(slots=True)
class SharedRetryBudget:
    """Retry tokens by service; times are in monotonic seconds.

    ``ratio`` is the allowed ratio of retries to first attempts in any
    ``window_seconds``, ``slack`` the number of retries that all ``hosts`` together may
    send in addition. The host started at ``started_at``.
    """

    ratio: float
    slack: float
    hosts: int = 1
    window_seconds: float = 10.0
    started_at: float = float("-inf")
    services: dict[str, ServiceUsage] = field(default_factory=dict)

    def max_tokens(self) -> float:
        """Return the most tokens that this host may save."""
        return self.slack * SLACK_UTILIZATION / max(1, self.hosts)

    def deposit(self, service: str, now: float) -> None:
        """Add the tokens earned by one first attempt."""
        usage = self._usage_of(service)
        utilization = (
            STARTUP_RATIO_UTILIZATION if self._is_starting(now) else RATIO_UTILIZATION
        )
        usage.tokens = min(self.max_tokens(), usage.tokens + self.ratio * utilization)
        self._record_send(usage.first_attempt_counts, now)

    def withdraw(
        self, service: str, now: float, *, urgent: bool = True, shed: bool = False
    ) -> bool:
        """Take a token for one retry; return False if there is none.

        ``shed`` is True if an overloaded server rejected the request. Other servers are
        likely to be overloaded as well, so its retry never overdraws the tokens.
        """
        usage = self._usage_of(service)
        reserved = 0.0 if urgent else self._urgent_reserve()
        if usage.tokens < 1 + reserved and (shed or not self._can_overdraw(usage, now)):
            return False
        usage.tokens -= 1
        self._record_send(usage.retry_counts, now)
        return True

    def _can_overdraw(self, usage: ServiceUsage, now: float) -> bool:
        """Return True if the last window allows another retry and the debt is small.

        The retries of the last window then stay within the ratio. Later first attempts
        pay back the debt, so the next window stays within it too.
        """
        if self._is_starting(now):
            return False
        allowed = (
            RATIO_UTILIZATION
            * self.ratio
            * self._count_in_window(usage.first_attempt_counts, now)
        )
        in_debt = usage.tokens - 1 < -OVERDRAFT_SHARE * allowed
        return (
            not in_debt
            and self._count_in_window(usage.retry_counts, now) + 1 <= allowed
        )

    def _is_starting(self, now: float) -> bool:
        """Return True if the last window began before this host started."""
        return now - self.started_at < self.window_seconds

    def _urgent_reserve(self) -> float:
        """Return the tokens reserved for urgent requests.

        At least one token stays usable by other requests: with many hosts, each saves
        little more than one.
        """
        return max(
            0.0, min(URGENT_RESERVE_SHARE * self.max_tokens(), self.max_tokens() - 1)
        )

    def _usage_of(self, service: str) -> ServiceUsage:
        """Return the usage of a service, which starts with the maximum of tokens."""
        usage = self.services.get(service)
        if usage is None:
            usage = self.services[service] = ServiceUsage(self.max_tokens())
        return usage

    def _record_send(self, counts: dict[int, int], now: float) -> None:
        """Count one attempt, and drop counts older than the last window."""
        second = int(now)
        if second not in counts:
            oldest = second - self.window_seconds
            for expired in [counted for counted in counts if counted <= oldest]:
                del counts[expired]
        counts[second] = counts.get(second, 0) + 1

    def _count_in_window(self, counts: dict[int, int], now: float) -> int:
        """Return the number of attempts in the last window."""
        oldest = int(now) - self.window_seconds
        return sum(count for second, count in counts.items() if second > oldest)
