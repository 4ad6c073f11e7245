"""Spread the retries of rejected callers over time."""

import math
from typing import Final

from greengagepoint.overload import estimates
from greengagepoint.overload.tables import Pool
from greengagepoint.protocols import Random

RETRY_AFTER_MIN_SECONDS: Final = 1
RETRY_AFTER_MAX_SECONDS: Final = 10


def retry_after_seconds(pool: Pool, now: float, random: Random) -> int:
    """Return whole seconds after which a slot is likely to be free.

    Each rejection reserves the next slot that becomes free, so callers retry at the
    rate at which they can be served. At the maximum the times are drawn at random,
    because all of those callers would otherwise retry together.
    """
    rate = estimates.drain_rate(pool)
    drained_at = now + pool.length / rate
    reserved = max(pool.reserved_until, drained_at) + 1 / rate
    pool.reserved_until = min(reserved, now + RETRY_AFTER_MAX_SECONDS)
    seconds = reserved - now
    if seconds >= RETRY_AFTER_MAX_SECONDS:
        seconds = RETRY_AFTER_MAX_SECONDS * (1 + random.random()) / 2
    # Rounded up or down at random, so that the mean matches the reserved times.
    rounded = math.floor(seconds + random.random())
    return min(RETRY_AFTER_MAX_SECONDS, max(RETRY_AFTER_MIN_SECONDS, rounded))
