"""Take in what backend servers say of their load, as far as it can be believed."""

from statistics import median
from typing import Final

import msgspec

from greengagepoint.balancing.estimate import reported_by_others
from greengagepoint.balancing.tables import BackendRow, LeavingSource, Load

LOAD_BYTES_MAX: Final = 512
LOAD_COUNT_MAX: Final = 1_000_000
TRUST_LOSS: Final = 0.5
TRUST_GAIN: Final = 0.01
MEAN_WEIGHT: Final = 0.05
TRUST_FLOOR: Final = 0.05
DISTRUST_BELOW: Final = 0.5
OWN_COUNT_SLACK: Final = 1
SIGNAL_KEPT_SECONDS: Final = 30.0
SLOW_FACTOR: Final = 3.0
SAMPLES_MIN: Final = 16

_decoder = msgspec.json.Decoder(Load)


class InvalidLoadError(ValueError):
    """Refuse a load report that cannot be decoded or be true."""


def parse_load(text: str | bytes) -> Load:
    """Decode a load report, from the load endpoint or the answer's header.

    Raise ``InvalidLoadError`` when it is too long, malformed or impossible.
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
    """Raise ``InvalidLoadError`` when a load cannot be true."""
    counts = (load.in_flight, load.slots, load.queued)
    if min(counts) < 0 or max(counts) > LOAD_COUNT_MAX:
        raise InvalidLoadError("the load report has a count out of range")


def report(
    row: BackendRow,
    load: Load,
    now: float,
    age_seconds: float = 0.0,
    *,
    own: bool = True,
) -> None:
    """Take in a load report that was true ``age_seconds`` ago.

    ``own`` tells that the server itself said so to this host. A report older than
    the row's newest is ignored: shared ones come late and out of order.
    """
    reported_at = now - max(0.0, age_seconds)
    if row.reported is not None and reported_at < row.reported_at:
        return
    row.reported = load
    row.reported_own = own
    row.reported_at = reported_at
    row.own_at_report = row.in_flight
    if contradicts(row, load):
        row.trust = max(TRUST_FLOOR, row.trust * TRUST_LOSS)
    else:
        row.trust = min(1.0, row.trust + TRUST_GAIN)
    others = reported_by_others(row) / max(1, row.slots)
    row.pool.others_a_slot += (
        MEAN_WEIGHT * row.trust * (others - row.pool.others_a_slot)
    )
    _note_leaving(row, load, now)
    row.pool.active = True


def _note_leaving(row: BackendRow, load: Load, now: float) -> None:
    """Keep a server's own word that it leaves until it has long not said so.

    Its load endpoint may lag behind its answers' header: were each report to count
    alone, the late one would bring new requests to a server about to stop.
    """
    if load.leaving:
        row.leaving.add(LeavingSource.OWN_SIGNAL)
        row.signalled_at = now
        return
    if now - row.signalled_at < SIGNAL_KEPT_SECONDS:
        return
    if LeavingSource.OWN_SIGNAL in row.leaving:
        row.leaving.discard(LeavingSource.OWN_SIGNAL)
        row.drained_told = False


def contradicts(row: BackendRow, load: Load) -> bool:
    """Tell whether a report cannot be true beside what this host sees.

    Three lies show: fewer requests than this host alone has there, an idle server
    that answers far slower than its siblings, and a full one that answers no
    slower than they do while this host has next to nothing there.
    """
    busy = load.in_flight + load.queued
    if busy + OWN_COUNT_SLACK < row.in_flight:
        return True
    if len(row.pool.latencies) < SAMPLES_MIN or row.answered < SAMPLES_MIN:
        return False
    usual = median(row.pool.latencies)
    if busy * 2 < row.slots:
        return row.latency_seconds > usual * SLOW_FACTOR
    return busy > row.slots * SLOW_FACTOR and row.latency_seconds <= usual
