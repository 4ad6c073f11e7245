"""Tell the usual service time at a site as this host sees it."""

from statistics import median
from typing import Final

from greengagepoint.balancing.tables import BackendTable

SERVICE_TIMES_MIN: Final = 8


def service_time(table: BackendTable, service: str | None, site: str) -> float | None:
    """Return the median service time in seconds of the newest answers.

    For all services it is the mean of their medians; None when there were too few
    answers to tell.
    """
    if service is not None:
        return _median(table, service, site)
    times = [
        _median(table, name, place) for name, place in table.pools if place == site
    ]
    known = [time for time in times if time is not None]
    return sum(known) / len(known) if known else None


def _median(table: BackendTable, service: str, site: str) -> float | None:
    """Return the median service time of one pool."""
    pool = table.pools.get((service, site))
    if pool is None or len(pool.latencies) < SERVICE_TIMES_MIN:
        return None
    return median(pool.latencies)
