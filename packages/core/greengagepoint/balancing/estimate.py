"""Estimate how busy a backend server is from own counts and aged reports."""

from typing import Final

from greengagepoint.balancing.tables import BackendRow

HALF_LIFE_SERVICE_TIMES: Final = 0.1
HALF_LIFE_MIN_SECONDS: Final = 0.005
HALF_LIFE_MAX_SECONDS: Final = 0.5
SLOW_START_SECONDS: Final = 10.0
SLOW_START_FLOOR: Final = 0.1
CONNECTION_SECONDS: Final = 0.001
LATENCY_FLOOR_SECONDS: Final = 0.001
LATENCY_ASSUMED_SECONDS: Final = 0.01
EJECTION_WANTED_FACTOR: Final = 10.0


def load_of_others(row: BackendRow, now: float) -> float:
    """Return requests in flight from other hosts, as far as reports are believed.

    The less a report is believed, the more the pool's mean stands for it, so that
    a server without one is neither sought nor shunned. A report is worth as much
    as the requests that it counted are still there: it loses half its weight each
    service time. Longer belief makes all hosts rush to whichever server was idle
    at the last report.
    """
    mean = mean_of_others(row)
    reported = row.reported
    if reported is None:
        return mean
    half_life = row.latency_seconds * HALF_LIFE_SERVICE_TIMES
    half_life = min(HALF_LIFE_MAX_SECONDS, max(HALF_LIFE_MIN_SECONDS, half_life))
    weight = row.trust * 0.5 ** (max(0.0, now - row.reported_at) / half_life)
    return mean + weight * (reported_by_others(row) - mean)


def mean_of_others(row: BackendRow) -> float:
    """Return what the pool's mean says of requests in flight from other hosts."""
    return row.pool.others_a_slot * row.slots


def reported_by_others(row: BackendRow) -> float:
    """Return what the last report says beyond this host's own requests."""
    reported = row.reported
    if reported is None:
        return 0.0
    return max(0, reported.in_flight + reported.queued - row.own_at_report)


def slow_start_share(row: BackendRow, now: float) -> float:
    """Return the part of its slots that a new or readmitted server is given."""
    if row.slow_start_from is None:
        return 1.0
    progress = (now - row.slow_start_from) / SLOW_START_SECONDS
    if progress >= 1.0:
        row.slow_start_from = None
        return 1.0
    return max(SLOW_START_FLOOR, progress)


def score(row: BackendRow, now: float) -> float:
    """Return the expected load by slot after one more request; lower is better.

    A new connection counts as the share of a service time that it costs.
    """
    load = row.in_flight + load_of_others(row, now) + 1.0
    value = load / (max(1, row.slots) * slow_start_share(row, now))
    if row.in_flight >= row.warm:
        latency = row.latency_seconds or LATENCY_ASSUMED_SECONDS
        value += CONNECTION_SECONDS / max(latency, LATENCY_FLOOR_SECONDS)
    value /= 1.0 - min(0.9, row.failure_rate)
    return value * EJECTION_WANTED_FACTOR if row.ejection_wanted else value
