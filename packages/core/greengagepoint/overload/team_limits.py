"""Limit the request rate of each team."""

from dataclasses import dataclass, field

from greengagepoint.overload import token_bucket
from greengagepoint.overload.token_bucket import TokenBucket


@dataclass(slots=True)
class TeamLimits:
    """Token buckets by team."""

    buckets: dict[str, TokenBucket] = field(default_factory=dict)


def take(limits: TeamLimits, team: str, rate: float, burst: float, now: float) -> float:
    """Take a token; return 0, or the seconds until one is available.

    ``rate`` (per second) and ``burst`` are this host's share of the team's limit.
    """
    bucket = limits.buckets.get(team)
    if bucket is None:
        bucket = TokenBucket(tokens=burst, filled_at=now)
        limits.buckets[team] = bucket
    return token_bucket.take(bucket, rate, burst, now)
