"""Keep retries and hedges within a budget, spread out by jitter."""

from bisect import insort
from collections import deque
from dataclasses import dataclass, field
from typing import Final

from greengagepoint.overload.tables import Pool
from greengagepoint.protocols import Random

RETRY_FRACTION: Final = 0.1
RETRY_TOKENS_MAX: Final = 20.0
RETRY_TOKENS_START: Final = 5.0
BACKOFF_BASE_SECONDS: Final = 0.01
BACKOFF_MAX_SECONDS: Final = 0.25
HEDGE_SAMPLES: Final = 256
HEDGE_SAMPLES_MIN: Final = 32
HEDGE_QUANTILE: Final = 0.95
HEDGE_WAIT_MIN_SECONDS: Final = 0.005


@dataclass(slots=True)
class RetryBudget:
    """Tokens for sending again; each first try adds a fraction of one.

    When everything fails, retries add at most that fraction to the load. Without
    it each of two more tries would triple the load on servers that are failing
    because of load.
    """

    tokens: float = RETRY_TOKENS_START


@dataclass(slots=True)
class LatencyQuantile:
    """The last latencies in order of arrival and of size; seconds."""

    recent: deque[float] = field(default_factory=deque)
    ordered: list[float] = field(default_factory=list)


def deposit(budget: RetryBudget) -> None:
    """Add what one first try is worth."""
    budget.tokens = min(RETRY_TOKENS_MAX, budget.tokens + RETRY_FRACTION)


def withdraw(budget: RetryBudget) -> bool:
    """Take the token for sending once more; tell whether there was one."""
    if budget.tokens < 1:
        return False
    budget.tokens -= 1
    return True


def retry_delay(attempt: int, random: Random) -> float:
    """Return seconds to wait before a retry; ``attempt`` is 1 for the first.

    The whole of the delay is drawn at random: callers that failed together
    would otherwise return together.
    """
    longest = min(BACKOFF_MAX_SECONDS, BACKOFF_BASE_SECONDS * 2**attempt)
    return longest * random.random()


def note_latency(quantile: LatencyQuantile, seconds: float) -> None:
    """Take in the latency of one answer."""
    if len(quantile.recent) >= HEDGE_SAMPLES:
        quantile.ordered.remove(quantile.recent.popleft())
    quantile.recent.append(seconds)
    insort(quantile.ordered, seconds)


def hedge_wait_seconds(quantile: LatencyQuantile) -> float | None:
    """Return after how long to send a hedge, or None with too few answers."""
    if len(quantile.ordered) < HEDGE_SAMPLES_MIN:
        return None
    index = int(len(quantile.ordered) * HEDGE_QUANTILE)
    return max(HEDGE_WAIT_MIN_SECONDS, quantile.ordered[index])


def may_hedge(
    pool: Pool,
    budget: RetryBudget,
    quantile: LatencyQuantile,
    elapsed: float,
    *,
    repeatable: bool,
) -> bool:
    """Take a token for a hedge, where one helps and does no harm.

    While requests wait for a place, a second copy would take it from them.
    """
    wait = hedge_wait_seconds(quantile)
    if not repeatable or wait is None or elapsed < wait:
        return False
    if pool.length or len(pool.in_flight) >= int(pool.limiter.limit):
        return False
    return withdraw(budget)
