"""Estimate the load of a backend server from local counts and load reports."""

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
EJECTION_PENDING_FACTOR: Final = 10.0


def load_from_peers(row: BackendRow, now: float) -> float:
    """Return the estimated requests in flight from other hosts.

    The estimate is a weighted mean of the last report and the pool's mean. Without
    a report it is the pool's mean, so that such a server is neither preferred nor
    avoided. The weight of a report halves each ``HALF_LIFE_SERVICE_TIMES`` of the
    server's service time, as the requests that it counted finish. A longer half-life
    would make all hosts send to the server that was idle at the last report.
    """
    mean = mean_load_from_peers(row)
    reported = row.reported
    if reported is None:
        return mean
    half_life = row.latency_seconds * HALF_LIFE_SERVICE_TIMES
    half_life = min(HALF_LIFE_MAX_SECONDS, max(HALF_LIFE_MIN_SECONDS, half_life))
    weight = row.trust * 0.5 ** (max(0.0, now - row.reported_at) / half_life)
    return mean + weight * (reported_load_from_peers(row) - mean)


def mean_load_from_peers(row: BackendRow) -> float:
    """Return the requests in flight from other hosts expected by the pool's mean."""
    return row.pool.peer_load_per_slot * row.slots


def reported_load_from_peers(row: BackendRow) -> float:
    """Return the requests in the last report that are not this host's own."""
    reported = row.reported
    if reported is None:
        return 0.0
    return max(0, reported.in_flight + reported.queued - row.own_in_flight_at_report)


def slow_start_share(row: BackendRow, now: float) -> float:
    """Return the share of its slots that a server may use during slow start, 0 to 1."""
    if row.slow_start_from is None:
        return 1.0
    progress = (now - row.slow_start_from) / SLOW_START_SECONDS
    if progress >= 1.0:
        row.slow_start_from = None
        return 1.0
    return max(SLOW_START_FLOOR, progress)


def score(row: BackendRow, now: float) -> float:
    """Return the expected load per slot after one more request; lower is better.

    The setup time of a new connection is added as a fraction of the service time.
    """
    load = row.in_flight + load_from_peers(row, now) + 1.0
    value = load / (max(1, row.slots) * slow_start_share(row, now))
    if row.in_flight >= row.warm_connections:
        latency = row.latency_seconds or LATENCY_ASSUMED_SECONDS
        value += CONNECTION_SECONDS / max(latency, LATENCY_FLOOR_SECONDS)
    value /= 1.0 - min(0.9, row.failure_rate)
    return value * EJECTION_PENDING_FACTOR if row.ejection_pending else value
