"""Choose a backend server for a request and record the outcome."""

from typing import Final

from greengagepoint.balancing import shedding
from greengagepoint.balancing.estimate import (
    load_from_peers,
    mean_load_from_peers,
    reported_load_from_peers,
)
from greengagepoint.balancing.policies import Policy, choose_by_score
from greengagepoint.balancing.tables import BackendRow, BackendTable, Outcome, Pool
from greengagepoint.protocols import Random

LATENCY_WEIGHT: Final = 0.1
FAILURE_WEIGHT: Final = 0.1
CONSECUTIVE_FAILURES_MAX: Final = 5
FAILURE_RATE_MAX: Final = 0.5
PROBE_SECONDS: Final = 1.0
FAILURE_OUTCOMES: Final = frozenset({Outcome.FAILED, Outcome.REFUSED})
NOTHING_EXCLUDED: Final[frozenset[str]] = frozenset()


def choose(
    table: BackendTable,
    service: str,
    site: str,
    now: float,
    random: Random,
    exclude: frozenset[str] = NOTHING_EXCLUDED,
    policy: Policy = choose_by_score,
) -> BackendRow | None:
    """Return the backend server for a request, or None if none is usable.

    ``exclude`` holds the names of servers that this request has already tried.
    Ejected servers are used only when all others are excluded or full. Leaving
    servers are never used.
    """
    pool = table.pools.get((service, site))
    if pool is None:
        return None
    usable = [
        row
        for row in pool.rows
        if row.name not in exclude and has_free_connection(row, now)
    ]
    rows = [row for row in usable if row.ejected_until is None] or usable
    if not rows:
        return None
    healthy = [
        row for row in rows if row.consecutive_failures < CONSECUTIVE_FAILURES_MAX
    ]
    if not healthy and not _try_start_probe(pool, now):
        return None
    return policy(healthy or rows, pool, now, random)


def _try_start_probe(pool: Pool, now: float) -> bool:
    """Return True if a request may probe a pool whose servers all fail.

    Only part of a pool can be ejected, so when a whole site is down, each request
    would still be sent there and fail once. If no server is returned, the request
    goes to the next site at once. One probe each ``PROBE_SECONDS`` detects that the
    site has recovered.
    """
    if now - pool.probed_at < PROBE_SECONDS:
        return False
    pool.probed_at = now
    return True


def has_free_connection(row: BackendRow, now: float) -> bool:
    """Return True if a server can accept one more request."""
    if row.leaving or row.in_flight >= row.connections:
        return False
    # The estimate lies between the pool's mean and the report. If both fit, there is
    # no need to compute it for each server on each request.
    upper_bound = max(mean_load_from_peers(row), reported_load_from_peers(row))
    if row.in_flight + upper_bound < row.connections:
        return True
    return row.in_flight + load_from_peers(row, now) < row.connections


def record_request_start(row: BackendRow, now: float) -> None:
    """Record a request as in flight; call once before its first byte is sent."""
    if not row.pool.active:
        row.pool.active = True
        row.window_started_at = now
    row.in_flight += 1
    row.started_at = now
    row.warm_connections = max(row.warm_connections, row.in_flight)
    row.peak_in_flight = max(row.peak_in_flight, row.in_flight)
    row.drained_event_emitted = False


def record_request_end(
    row: BackendRow, outcome: Outcome, latency_seconds: float, now: float
) -> None:
    """Record the outcome of a request; call once for each ``record_request_start``.

    ``latency_seconds`` is the time to the first byte of the answer, so that a long
    download does not count as latency. A cancelled request is no evidence of the
    server's health; a shed one only shows that the server responds.
    """
    row.in_flight = max(0, row.in_flight - 1)
    if outcome is Outcome.CANCELLED:
        return
    if outcome in FAILURE_OUTCOMES:
        _count_failure(row)
        return
    row.consecutive_failures = 0
    row.failure_rate -= FAILURE_WEIGHT * row.failure_rate
    shed = outcome is Outcome.SHED
    shedding.record_outcome(row.pool, now, shed=shed)
    if shed:
        return
    row.answered += 1
    row.pool.latencies.append(latency_seconds)
    if row.answered == 1:
        row.latency_seconds = latency_seconds
    else:
        row.latency_seconds += LATENCY_WEIGHT * (latency_seconds - row.latency_seconds)


def _count_failure(row: BackendRow) -> None:
    """Record a failure, which also closes the request's connection."""
    row.warm_connections = max(row.in_flight, row.warm_connections - 1)
    row.consecutive_failures += 1
    row.failure_rate += FAILURE_WEIGHT * (1.0 - row.failure_rate)
    if (
        row.consecutive_failures >= CONSECUTIVE_FAILURES_MAX
        or row.failure_rate > FAILURE_RATE_MAX
    ):
        row.ejection_pending = True
