"""Notice when the backend servers of a pool shed most of what they get."""

from typing import Final

from greengagepoint.balancing.tables import BackendTable, Pool

SHED_WEIGHT: Final = 0.2
SHED_SHARE_MAX: Final = 0.5
SHED_HALF_LIFE_SECONDS: Final = 2.0


def note_outcome(pool: Pool, now: float, *, shed: bool) -> None:
    """Follow the share of requests that a pool sheds."""
    if not shed and not pool.shed_share:
        return
    share = shed_share(pool, now)
    pool.shed_share = share + SHED_WEIGHT * (shed - share)
    pool.shed_at = now


def shed_share(pool: Pool, now: float) -> float:
    """Return the share of requests that a pool shed lately, 0 to 1.

    It halves with time, so that a pool that gets nothing is tried again.
    """
    if not pool.shed_share:
        return 0.0
    age = max(0.0, now - pool.shed_at)
    return pool.shed_share * 0.5 ** (age / SHED_HALF_LIFE_SECONDS)


def is_shedding(table: BackendTable, service: str, site: str, now: float) -> bool:
    """Tell whether a service's requests had better go to another site first.

    A site that sheds everything still has free units and idle servers, so it would
    stay the first choice of each request. Each would be sent on, the retry budget
    would be used up, and most callers would be refused though other sites have room.
    """
    pool = table.pools.get((service, site))
    return pool is not None and shed_share(pool, now) > SHED_SHARE_MAX
