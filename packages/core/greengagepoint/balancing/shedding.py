"""Detect pools whose backend servers shed most of their requests."""

from typing import Final

from greengagepoint.balancing.tables import BackendTable, Pool

SHED_WEIGHT: Final = 0.2
SHED_SHARE_MAX: Final = 0.5
SHED_HALF_LIFE_SECONDS: Final = 2.0


def record_outcome(pool: Pool, now: float, *, shed: bool) -> None:
    """Update the moving average of the share of requests that a pool sheds."""
    if not shed and not pool.shed_share:
        return
    share = shed_share(pool, now)
    pool.shed_share = share + SHED_WEIGHT * (shed - share)
    pool.shed_at = now


def shed_share(pool: Pool, now: float) -> float:
    """Return the recent share of requests that a pool shed, 0 to 1.

    It halves each ``SHED_HALF_LIFE_SECONDS``, so that a pool without requests is tried
    again.
    """
    if not pool.shed_share:
        return 0.0
    age = max(0.0, now - pool.shed_at)
    return pool.shed_share * 0.5 ** (age / SHED_HALF_LIFE_SECONDS)


def is_shedding(table: BackendTable, service: str, site: str, now: float) -> bool:
    """Return True if requests for a service should try other sites first.

    A site that sheds everything still has free units and idle servers, so it would
    stay the first choice for each request. Each request would need a retry, the retry
    budget would run out, and most callers would be rejected although other sites have
    free capacity.
    """
    pool = table.pools.get((service, site))
    return pool is not None and shed_share(pool, now) > SHED_SHARE_MAX
