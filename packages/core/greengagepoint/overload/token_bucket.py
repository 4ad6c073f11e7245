"""Token bucket rate limiter."""

from dataclasses import dataclass


@dataclass(slots=True)
class TokenBucket:
    """Remaining tokens; ``filled_at`` is the last refill in monotonic seconds."""

    tokens: float
    filled_at: float


def take(bucket: TokenBucket, rate: float, burst: float, now: float) -> float:
    """Take a token; return 0, or the seconds until one is available.

    ``rate`` is tokens per second, ``burst`` the capacity of the bucket.
    """
    elapsed = max(0.0, now - bucket.filled_at)
    bucket.tokens = min(max(burst, 1.0), bucket.tokens + elapsed * rate)
    bucket.filled_at = now
    if bucket.tokens >= 1:
        bucket.tokens -= 1
        return 0.0
    if rate <= 0:
        return float("inf")
    return (1 - bucket.tokens) / rate
