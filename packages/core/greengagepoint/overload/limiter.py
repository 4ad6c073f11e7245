"""Adapt a concurrency limit to the measured latency."""

from dataclasses import dataclass, field
from typing import Final

from greengagepoint.records.schemas import RequestClass

WINDOW_SAMPLES: Final = 32
WINDOW_SECONDS: Final = 0.5
CLASS_SAMPLES_MIN: Final = 8
# Tolerated ratio of latency to the baseline without queueing in the backend servers.
# A ratio of 2 means that as many requests queue there as are running. A host far below
# its share of the slots tolerates a higher ratio than one far above it.
TOLERANCE_BELOW_SHARE: Final = 3.0
TOLERANCE_ABOVE_SHARE: Final = 1.5
BELOW_SHARE: Final = 0.5
ABOVE_SHARE: Final = 1.25
DECREASE_FACTOR: Final = 0.85
FAILURE_FRACTION_MAX: Final = 0.1
INCREASE_FRACTION: Final = 0.05
LIMIT_MIN: Final = 1.0
BASELINE_PERIOD_SECONDS: Final = 20.0
FIRST_PROBE_SECONDS: Final = 1.0
BASELINE_DROP_FACTOR: Final = 0.9
PROBE_FRACTION: Final = 0.5
PROBE_SECONDS: Final = 0.3


@dataclass(slots=True)
class ClassLatency:
    """Latencies of one class in the open window, and its lowest means, in seconds."""

    total: float = 0.0
    count: int = 0
    lowest: float = float("inf")
    previous_lowest: float = float("inf")

    @property
    def baseline(self) -> float:
        """Return the lowest window mean of the current and the previous period."""
        return min(self.lowest, self.previous_lowest)


@dataclass(slots=True)
class Limiter:
    """A limit on requests in flight; times are in monotonic seconds.

    ``share`` is this host's share of the slots that the records declare.
    """

    limit: float
    maximum: float
    share: float
    classes: dict[RequestClass, ClassLatency] = field(default_factory=dict)
    limit_reached: bool = False
    failures: int = 0
    window_from: float | None = None
    period_until: float = 0.0
    probe_until: float = float("-inf")
    mean_latency: float = 0.0


def current_limit(limiter: Limiter, now: float) -> int:
    """Return how many requests may be in flight now, halved during a probe."""
    limit = limiter.limit
    if now < limiter.probe_until:
        limit *= PROBE_FRACTION
    return max(int(LIMIT_MIN), int(limit))


def record_limit_reached(limiter: Limiter) -> None:
    """Record that the limit delayed a request."""
    limiter.limit_reached = True


def record_sample(
    limiter: Limiter, request_class: RequestClass, latency: float, now: float
) -> None:
    """Record the latency of one response in seconds, and adjust the limit.

    Each class has its own baseline, so that a burst of slow archive requests
    doesn't look like a slow backend server.
    """
    if limiter.window_from is None:
        limiter.window_from = now
        limiter.period_until = now + FIRST_PROBE_SECONDS
    if now < limiter.window_from:
        return
    row = limiter.classes.setdefault(request_class, ClassLatency())
    row.total += latency
    row.count += 1
    _close_if_due(limiter, now)


def record_failure(limiter: Limiter, now: float) -> None:
    """Record that a backend server shed a request or did not answer.

    Only a window with many failures lowers the limit. A single broken server fails
    all its requests until it is ejected, but the others can still carry the load.
    """
    if limiter.window_from is None:
        limiter.window_from = now
        limiter.period_until = now + FIRST_PROBE_SECONDS
    if now >= limiter.window_from:
        limiter.failures += 1
        _close_if_due(limiter, now)


def _close_if_due(limiter: Limiter, now: float) -> None:
    """Close the window if it has lasted long enough and has enough samples."""
    if now - limiter.window_from < _window_seconds(limiter, now):
        return
    if _sample_count(limiter) + limiter.failures >= WINDOW_SAMPLES:
        _close_window(limiter, now)


def _sample_count(limiter: Limiter) -> int:
    """Return the number of latencies in the open window."""
    return sum(row.count for row in limiter.classes.values())


def _window_seconds(limiter: Limiter, now: float) -> float:
    """Return the minimum length of the window, which is shorter for a probe."""
    return PROBE_SECONDS if now < limiter.probe_until else WINDOW_SECONDS


def _close_window(limiter: Limiter, now: float) -> None:
    """Adjust the limit by the window's results, and begin the next window."""
    probing = now < limiter.probe_until
    limiter.probe_until = float("-inf")
    count = _sample_count(limiter)
    if count:
        total = sum(row.total for row in limiter.classes.values())
        limiter.mean_latency = total / count
    failing = limiter.failures > FAILURE_FRACTION_MAX * (count + limiter.failures)
    limiter.failures = 0
    ratio = _latency_ratio(limiter)
    limiter.window_from = now
    if probing:
        # Requests sent during the probe don't show the latency at the full limit.
        limiter.window_from = now + limiter.mean_latency
        if _has_baseline_dropped(limiter):
            limiter.period_until = now + FIRST_PROBE_SECONDS
    elif failing or ratio > _tolerance(limiter):
        _decrease(limiter, now)
    elif limiter.limit_reached:
        step = max(1.0, limiter.limit * INCREASE_FRACTION)
        limiter.limit = min(limiter.maximum, limiter.limit + step)
    if now >= limiter.period_until:
        _begin_period(limiter, now)
    limiter.limit_reached = False


def _tolerance(limiter: Limiter) -> float:
    """Return the tolerated ratio of latency to baseline.

    All hosts share the queues of the same backend servers. With an equal tolerance,
    hosts with few responses measure more noise, lower their limits more often and
    are starved by the others, so payments wait there for seconds. A tolerance that
    falls as the limit rises has one equilibrium, close to equal shares.
    """
    share_ratio = limiter.limit / limiter.share
    position = min(
        1.0, max(0.0, (share_ratio - BELOW_SHARE) / (ABOVE_SHARE - BELOW_SHARE))
    )
    span = TOLERANCE_BELOW_SHARE - TOLERANCE_ABOVE_SHARE
    return TOLERANCE_BELOW_SHARE - position * span


def _latency_ratio(limiter: Limiter) -> float:
    """Return the window's latency relative to the baseline, and clear the window."""
    actual = 0.0
    expected = 0.0
    for row in limiter.classes.values():
        if row.count >= CLASS_SAMPLES_MIN:
            row.lowest = min(row.lowest, row.total / row.count)
        if row.count and row.baseline < float("inf"):
            actual += row.total
            expected += row.count * row.baseline
        row.total = 0.0
        row.count = 0
    return actual / expected if expected else 1.0


def _has_baseline_dropped(limiter: Limiter) -> bool:
    """Return True if a probe shows that the old baseline included queueing."""
    return any(
        row.lowest < BASELINE_DROP_FACTOR * row.previous_lowest < float("inf")
        for row in limiter.classes.values()
    )


def _begin_period(limiter: Limiter, now: float) -> None:
    """Drop the baseline of the period before last, and probe for a new one.

    Under constant load the latency without queueing can't be observed, and a
    baseline that includes queueing in the backend servers lets the limit grow
    without bound. The limit is therefore halved briefly. This costs little, because
    the limit is usually above the number of slots.
    """
    limiter.period_until = now + BASELINE_PERIOD_SECONDS
    for row in limiter.classes.values():
        row.previous_lowest = row.lowest
        row.lowest = float("inf")
    if limiter.limit_reached:
        settled_at = now + 2 * limiter.mean_latency
        limiter.window_from = settled_at
        limiter.probe_until = settled_at + 10 * PROBE_SECONDS


def _decrease(limiter: Limiter, now: float) -> None:
    """Lower the limit, and ignore samples until the effect is measurable."""
    limiter.limit = max(LIMIT_MIN, limiter.limit * DECREASE_FACTOR)
    limiter.window_from = now + limiter.mean_latency
