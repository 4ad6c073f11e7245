"""Compute the typical service time at a site as observed by this host."""

from statistics import median
from typing import Final

from greengagepoint.balancing.tables import BackendTable

SERVICE_TIMES_MIN: Final = 8


def service_time(table: BackendTable, service: str | None, site: str) -> float | None:
    """Return the median service time in seconds of the newest answers.

    If ``service`` is None, it is the mean of the medians of all services at the site.
    Return None if there are too few answers.
    """
    if service is not None:
        return _pool_median(table, service, site)
    times = [
        _pool_median(table, name, pool_site)
        for name, pool_site in table.pools
        if pool_site == site
    ]
    known = [time for time in times if time is not None]
    return sum(known) / len(known) if known else None


def _pool_median(table: BackendTable, service: str, site: str) -> float | None:
    """Return the median service time of one pool, or None with too few answers."""
    pool = table.pools.get((service, site))
    if pool is None or len(pool.latencies) < SERVICE_TIMES_MIN:
        return None
    return median(pool.latencies)
