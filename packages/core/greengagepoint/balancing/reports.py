"""Decode load reports of backend servers, check them and update the rows."""

from statistics import median
from typing import Final

import msgspec

from greengagepoint.balancing.estimate import reported_load_from_peers
from greengagepoint.balancing.tables import BackendRow, LeavingSource, Load

LOAD_BYTES_MAX: Final = 512
LOAD_COUNT_MAX: Final = 1_000_000
TRUST_LOSS: Final = 0.5
TRUST_GAIN: Final = 0.01
MEAN_WEIGHT: Final = 0.05
TRUST_FLOOR: Final = 0.05
DISTRUST_THRESHOLD: Final = 0.5
OWN_COUNT_SLACK: Final = 1
LEAVING_SIGNAL_SECONDS: Final = 30.0
SLOW_FACTOR: Final = 3.0
SAMPLES_MIN: Final = 16

_decoder = msgspec.json.Decoder(Load)


class InvalidLoadError(ValueError):
    """Raised when a load report cannot be decoded or is out of range."""


def parse_load(text: str | bytes) -> Load:
    """Decode a load report from the load endpoint or from an answer's header.

    Raise ``InvalidLoadError`` if it is too long, malformed or out of range.
    """
    if len(text) > LOAD_BYTES_MAX:
        raise InvalidLoadError("the load report is too long")
    try:
        load = _decoder.decode(text)
    except (msgspec.DecodeError, UnicodeEncodeError) as error:
        raise InvalidLoadError(f"the load report is malformed: {error}") from error
    check_load(load)
    return load


def check_load(load: Load) -> None:
    """Raise ``InvalidLoadError`` if a count is out of range."""
    counts = (load.in_flight, load.slots, load.queued)
    if min(counts) < 0 or max(counts) > LOAD_COUNT_MAX:
        raise InvalidLoadError("the load report has a count out of range")


def record_load_report(
    row: BackendRow,
    load: Load,
    now: float,
    age_seconds: float = 0.0,
    *,
    direct: bool = True,
) -> None:
    """Apply a load report that its server made ``age_seconds`` ago.

    ``direct`` is True if this host received it from the server itself. A report older
    than the row's newest is ignored, because reports from peers arrive late and out
    of order.
    """
    reported_at = now - max(0.0, age_seconds)
    if row.reported is not None and reported_at < row.reported_at:
        return
    row.reported = load
    row.reported_directly = direct
    row.reported_at = reported_at
    row.own_in_flight_at_report = row.in_flight
    if contradicts_local_state(row, load):
        row.trust = max(TRUST_FLOOR, row.trust * TRUST_LOSS)
    else:
        row.trust = min(1.0, row.trust + TRUST_GAIN)
    others = reported_load_from_peers(row) / max(1, row.slots)
    row.pool.peer_load_per_slot += (
        MEAN_WEIGHT * row.trust * (others - row.pool.peer_load_per_slot)
    )
    _update_leaving_signal(row, load, now)
    row.pool.active = True


def _update_leaving_signal(row: BackendRow, load: Load, now: float) -> None:
    """Set a server's leaving signal, or clear it when it was not repeated for long.

    The load endpoint may lag behind the header in answers. If each report replaced
    the one before, a late one would send new requests to a server about to stop.
    """
    if load.leaving:
        row.leaving.add(LeavingSource.OWN_SIGNAL)
        row.leaving_signal_at = now
        return
    if now - row.leaving_signal_at < LEAVING_SIGNAL_SECONDS:
        return
    if LeavingSource.OWN_SIGNAL in row.leaving:
        row.leaving.discard(LeavingSource.OWN_SIGNAL)
        row.drained_event_emitted = False


def contradicts_local_state(row: BackendRow, load: Load) -> bool:
    """Return True if a report contradicts what this host observes.

    Three contradictions are detected: fewer requests than this host alone has in
    flight, a server reported as less than half busy that is far slower than the pool's
    median, and a server reported as overloaded that is no slower than the median.
    """
    reported_requests = load.in_flight + load.queued
    if reported_requests + OWN_COUNT_SLACK < row.in_flight:
        return True
    if len(row.pool.latencies) < SAMPLES_MIN or row.answered < SAMPLES_MIN:
        return False
    median_seconds = median(row.pool.latencies)
    if reported_requests * 2 < row.slots:
        return row.latency_seconds > median_seconds * SLOW_FACTOR
    return (
        reported_requests > row.slots * SLOW_FACTOR
        and row.latency_seconds <= median_seconds
    )
