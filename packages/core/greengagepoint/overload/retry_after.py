"""Tell refused callers when to come back, each at another time."""

import math
from typing import Final

from greengagepoint.overload import estimates
from greengagepoint.overload.tables import Pool
from greengagepoint.protocols import Random

RETRY_AFTER_MIN_SECONDS: Final = 1
RETRY_AFTER_MAX_SECONDS: Final = 10


def retry_after_seconds(pool: Pool, now: float, random: Random) -> int:
    """Return whole seconds after which a place is likely to be free.

    Each refusal books the next place that the pool can give, so callers come
    back at the rate at which they can be served. Beyond the longest wait the
    times are drawn at random, else all of those callers would return together.
    """
    rate = estimates.drain_rate(pool)
    drained_at = now + pool.length / rate
    booked = max(pool.booked_until, drained_at) + 1 / rate
    pool.booked_until = min(booked, now + RETRY_AFTER_MAX_SECONDS)
    seconds = booked - now
    if seconds >= RETRY_AFTER_MAX_SECONDS:
        seconds = RETRY_AFTER_MAX_SECONDS * (1 + random.random()) / 2
    # Rounded up or down at random, so that the mean stays as booked.
    rounded = math.floor(seconds + random.random())
    return min(RETRY_AFTER_MAX_SECONDS, max(RETRY_AFTER_MIN_SECONDS, rounded))
