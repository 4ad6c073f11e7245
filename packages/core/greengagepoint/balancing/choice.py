"""Choose a backend server for one request and count what becomes of it."""

from typing import Final

from greengagepoint.balancing import shedding
from greengagepoint.balancing.estimate import (
    load_of_others,
    mean_of_others,
    reported_by_others,
)
from greengagepoint.balancing.policies import Policy, choose_by_score
from greengagepoint.balancing.tables import BackendRow, BackendTable, Outcome, Pool
from greengagepoint.protocols import Random

LATENCY_WEIGHT: Final = 0.1
FAILURE_WEIGHT: Final = 0.1
FAILURES_IN_ROW_MAX: Final = 5
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
    """Return the backend server for a request, or None when none may be used.

    ``exclude`` holds names that this request has already tried. Ejected servers
    are used only when all others are excluded or full, leaving ones never.
    """
    pool = table.pools.get((service, site))
    if pool is None:
        return None
    usable = [
        row for row in pool.rows if row.name not in exclude and has_room(row, now)
    ]
    rows = [row for row in usable if row.ejected_until is None] or usable
    if not rows:
        return None
    alive = [row for row in rows if row.failures_in_row < FAILURES_IN_ROW_MAX]
    if not alive and not _may_probe(pool, now):
        return None
    return policy(alive or rows, pool, now, random)


def _may_probe(pool: Pool, now: float) -> bool:
    """Tell whether a pool whose servers all fail may be tried by one request.

    Only a part of a pool is ejected, so where a whole site is down its requests
    would still go there, one failure each; without a server they go to the next
    site at once. One request a second finds out whether the site is back.
    """
    if now - pool.probed_at < PROBE_SECONDS:
        return False
    pool.probed_at = now
    return True


def has_room(row: BackendRow, now: float) -> bool:
    """Tell whether a row may get one more request."""
    if row.leaving or row.in_flight >= row.connections:
        return False
    # The estimate lies between the pool's mean and the report, so while both fit it
    # need not be worked out for each row of each request.
    most = max(mean_of_others(row), reported_by_others(row))
    if row.in_flight + most < row.connections:
        return True
    return row.in_flight + load_of_others(row, now) < row.connections


def started(row: BackendRow, now: float) -> None:
    """Count a request as in flight; call once before the first byte is sent."""
    if not row.pool.active:
        row.pool.active = True
        row.window_from = now
    row.in_flight += 1
    row.started_at = now
    row.warm = max(row.warm, row.in_flight)
    row.window_peak = max(row.window_peak, row.in_flight)
    row.drained_told = False


def finished(
    row: BackendRow, outcome: Outcome, latency_seconds: float, now: float
) -> None:
    """Count a request as ended; call once for each ``started``.

    ``latency_seconds`` is the time to the first byte of the answer, which a long
    download doesn't stretch. A cancelled request says nothing of the server, and a
    shed one only that it is alive.
    """
    row.in_flight = max(0, row.in_flight - 1)
    if outcome is Outcome.CANCELLED:
        return
    if outcome in FAILURE_OUTCOMES:
        _count_failure(row)
        return
    row.failures_in_row = 0
    row.failure_rate -= FAILURE_WEIGHT * row.failure_rate
    shed = outcome is Outcome.SHED
    shedding.note_outcome(row.pool, now, shed=shed)
    if shed:
        return
    row.answered += 1
    row.pool.latencies.append(latency_seconds)
    if row.answered == 1:
        row.latency_seconds = latency_seconds
    else:
        row.latency_seconds += LATENCY_WEIGHT * (latency_seconds - row.latency_seconds)


def _count_failure(row: BackendRow) -> None:
    """Count a failure; its connection is gone with it."""
    row.warm = max(row.in_flight, row.warm - 1)
    row.failures_in_row += 1
    row.failure_rate += FAILURE_WEIGHT * (1.0 - row.failure_rate)
    if (
        row.failures_in_row >= FAILURES_IN_ROW_MAX
        or row.failure_rate > FAILURE_RATE_MAX
    ):
        row.ejection_wanted = True
