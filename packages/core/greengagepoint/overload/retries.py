"""Limit retries and hedges by a budget, and spread retries with jitter."""

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
    """Tokens for retries; each first attempt adds a fraction of one.

    When everything fails, retries add at most that fraction to the load. Without a
    budget, two retries per request would triple the load on overloaded servers.
    """

    tokens: float = RETRY_TOKENS_START


@dataclass(slots=True)
class LatencyQuantile:
    """Recent latencies in seconds, in order of arrival and sorted."""

    recent: deque[float] = field(default_factory=deque)
    sorted_seconds: list[float] = field(default_factory=list)


def deposit(budget: RetryBudget) -> None:
    """Add the tokens earned by one first attempt."""
    budget.tokens = min(RETRY_TOKENS_MAX, budget.tokens + RETRY_FRACTION)


def withdraw(budget: RetryBudget) -> bool:
    """Take a token for one more attempt; return False if there is none."""
    if budget.tokens < 1:
        return False
    budget.tokens -= 1
    return True


def retry_delay(attempt: int, random: Random) -> float:
    """Return seconds to wait before a retry; ``attempt`` is 1 for the first.

    Full jitter: requests that failed together would otherwise be retried together.
    """
    max_delay = min(BACKOFF_MAX_SECONDS, BACKOFF_BASE_SECONDS * 2**attempt)
    return max_delay * random.random()


def record_latency(quantile: LatencyQuantile, seconds: float) -> None:
    """Record the latency of one response in seconds."""
    if len(quantile.recent) >= HEDGE_SAMPLES:
        quantile.sorted_seconds.remove(quantile.recent.popleft())
    quantile.recent.append(seconds)
    insort(quantile.sorted_seconds, seconds)


def hedge_wait_seconds(quantile: LatencyQuantile) -> float | None:
    """Return the seconds after which to hedge, or None with too few samples."""
    if len(quantile.sorted_seconds) < HEDGE_SAMPLES_MIN:
        return None
    index = int(len(quantile.sorted_seconds) * HEDGE_QUANTILE)
    return max(HEDGE_WAIT_MIN_SECONDS, quantile.sorted_seconds[index])


def may_hedge(
    pool: Pool,
    budget: RetryBudget,
    quantile: LatencyQuantile,
    elapsed: float,
    *,
    repeatable: bool,
) -> bool:
    """Take a token for a hedge; return False if hedging isn't allowed.

    ``elapsed`` is seconds since the request was sent. No hedge is sent while the
    pool is full or requests wait: it would take a slot from them.
    """
    wait = hedge_wait_seconds(quantile)
    if not repeatable or wait is None or elapsed < wait:
        return False
    if pool.length or len(pool.in_flight) >= int(pool.limiter.limit):
        return False
    return withdraw(budget)
