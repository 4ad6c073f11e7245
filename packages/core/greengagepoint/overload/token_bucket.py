"""Hold something to a rate, with a burst."""

from dataclasses import dataclass


@dataclass(slots=True)
class TokenBucket:
    """Tokens that are left; ``filled_at`` is monotonic seconds."""

    tokens: float
    filled_at: float


def take(bucket: TokenBucket, rate: float, burst: float, now: float) -> float:
    """Take a token; return 0, or the seconds until there will be one.

    ``rate`` is tokens a second, ``burst`` the most that can be saved up.
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
