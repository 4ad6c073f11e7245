"""Let a concurrency limit follow the measured latency."""

from dataclasses import dataclass, field
from typing import Final

from greengagepoint.records.schemas import RequestClass

WINDOW_SAMPLES: Final = 32
# The window's mean may be this many times the lowest mean seen lately. Requests
# that wait inside a full backend server double the latency when as many again as
# it has slots are in flight.
LATENCY_TOLERANCE: Final = 2.0
DECREASE_FACTOR: Final = 0.85
INCREASE_FRACTION: Final = 0.02
BASELINE_RISE: Final = 1.02
LIMIT_MIN: Final = 1.0


@dataclass(slots=True)
class LatencyWindow:
    """Latencies of one class; seconds."""

    baseline: float = 0.0
    total: float = 0.0
    count: int = 0


@dataclass(slots=True)
class Limiter:
    """A limit on requests in flight, and the latencies that it follows."""

    limit: float
    maximum: float
    windows: dict[RequestClass, LatencyWindow] = field(default_factory=dict)
    was_full: bool = False
    decreased_at: float = float("-inf")


def note_full(limiter: Limiter) -> None:
    """Note that the limit held a request back."""
    limiter.was_full = True


def sample(
    limiter: Limiter, request_class: RequestClass, latency: float, now: float
) -> None:
    """Take in the latency of one answer, in seconds, and adjust the limit.

    Classes are compared with themselves only, so that a burst of archives does
    not look like a slow backend server.
    """
    window = limiter.windows.setdefault(request_class, LatencyWindow())
    window.total += latency
    window.count += 1
    if window.count < WINDOW_SAMPLES:
        return
    mean = window.total / window.count
    window.total = 0.0
    window.count = 0
    if window.baseline == 0.0:
        window.baseline = mean
    _adjust(limiter, mean, window.baseline, now)
    # The baseline creeps up: a backend server that is slower for good, as with a
    # cold cache, would otherwise hold the limit at its minimum for ever.
    window.baseline = min(mean, window.baseline * BASELINE_RISE)


def failed(limiter: Limiter, now: float, latency: float) -> None:
    """Lower the limit because a backend server shed or did not answer."""
    _decrease(limiter, now, latency)


def _adjust(limiter: Limiter, mean: float, baseline: float, now: float) -> None:
    """Lower the limit where latency has grown, raise it where it was reached."""
    if mean > LATENCY_TOLERANCE * baseline:
        _decrease(limiter, now, mean)
    elif limiter.was_full:
        step = max(1.0, limiter.limit * INCREASE_FRACTION)
        limiter.limit = min(limiter.maximum, limiter.limit + step)
        limiter.was_full = False


def _decrease(limiter: Limiter, now: float, settle_seconds: float) -> None:
    """Lower the limit once for each time that its effect takes to be seen."""
    if now - limiter.decreased_at < settle_seconds:
        return
    limiter.decreased_at = now
    limiter.limit = max(LIMIT_MIN, limiter.limit * DECREASE_FACTOR)
