"""Hold each team to its rate with a token bucket."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class TokenBucket:
    """Tokens of one team on this host; ``filled_at`` is monotonic seconds."""

    tokens: float
    filled_at: float


@dataclass(slots=True)
class TeamLimits:
    """Token buckets by team."""

    buckets: dict[str, TokenBucket] = field(default_factory=dict)


def take(limits: TeamLimits, team: str, rate: float, burst: float, now: float) -> float:
    """Take a token; return 0, or the seconds until there will be one.

    ``rate`` (per second) and ``burst`` are this host's part of the team's limit.
    """
    bucket = limits.buckets.get(team)
    if bucket is None:
        bucket = TokenBucket(tokens=burst, filled_at=now)
        limits.buckets[team] = bucket
    elapsed = max(0.0, now - bucket.filled_at)
    bucket.tokens = min(max(burst, 1.0), bucket.tokens + elapsed * rate)
    bucket.filled_at = now
    if bucket.tokens >= 1:
        bucket.tokens -= 1
        return 0.0
    if rate <= 0:
        return float("inf")
    return (1 - bucket.tokens) / rate
