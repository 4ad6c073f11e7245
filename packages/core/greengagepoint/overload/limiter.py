"""Let a concurrency limit follow the measured latency."""

from dataclasses import dataclass, field
from typing import Final

from greengagepoint.records.schemas import RequestClass

WINDOW_SAMPLES: Final = 32
WINDOW_SECONDS: Final = 0.5
CLASS_SAMPLES_MIN: Final = 8
# How much longer answers may take than when nothing waits inside the backend
# servers. Twice as long means that as many wait there as are running. A host far
# below its share of the slots tolerates more than one far above it.
TOLERANCE_BELOW_SHARE: Final = 3.0
TOLERANCE_ABOVE_SHARE: Final = 1.5
BELOW_SHARE: Final = 0.5
ABOVE_SHARE: Final = 1.25
DECREASE_FACTOR: Final = 0.85
FAILED_FRACTION: Final = 0.1
INCREASE_FRACTION: Final = 0.05
LIMIT_MIN: Final = 1.0
BASELINE_SECONDS: Final = 20.0
FIRST_PROBE_SECONDS: Final = 1.0
BASELINE_FELL: Final = 0.9
PROBE_FRACTION: Final = 0.5
PROBE_SECONDS: Final = 0.3


@dataclass(slots=True)
class ClassLatency:
    """Latencies of one class in the open window, and its lowest means; seconds."""

    total: float = 0.0
    count: int = 0
    lowest: float = float("inf")
    lowest_before: float = float("inf")

    @property
    def baseline(self) -> float:
        """Return the lowest mean of the present and the last period."""
        return min(self.lowest, self.lowest_before)


@dataclass(slots=True)
class Limiter:
    """A limit on requests in flight; times are monotonic seconds.

    ``share`` is this host's part of the slots that the records declare.
    """

    limit: float
    maximum: float
    share: float
    classes: dict[RequestClass, ClassLatency] = field(default_factory=dict)
    was_full: bool = False
    failures: int = 0
    window_from: float | None = None
    period_until: float = 0.0
    probe_until: float = float("-inf")
    mean: float = 0.0


def allowed(limiter: Limiter, now: float) -> int:
    """Return how many requests may be in flight now."""
    limit = limiter.limit
    if now < limiter.probe_until:
        limit *= PROBE_FRACTION
    return max(int(LIMIT_MIN), int(limit))


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
    if limiter.window_from is None:
        limiter.window_from = now
        limiter.period_until = now + FIRST_PROBE_SECONDS
    if now < limiter.window_from:
        return
    row = limiter.classes.setdefault(request_class, ClassLatency())
    row.total += latency
    row.count += 1
    _close_if_due(limiter, now)


def failed(limiter: Limiter, now: float) -> None:
    """Take in that a backend server shed a request or did not answer.

    Only a window with many failures lowers the limit. One broken backend server
    among many fails all the time until it is ejected, and the others can still
    carry the load.
    """
    if limiter.window_from is None:
        limiter.window_from = now
        limiter.period_until = now + FIRST_PROBE_SECONDS
    if now >= limiter.window_from:
        limiter.failures += 1
        _close_if_due(limiter, now)


def _close_if_due(limiter: Limiter, now: float) -> None:
    """Close the window when it has lasted and has enough in it."""
    if now - limiter.window_from < _window_seconds(limiter, now):
        return
    if _answers(limiter) + limiter.failures >= WINDOW_SAMPLES:
        _close_window(limiter, now)


def _answers(limiter: Limiter) -> int:
    """Return how many latencies the open window holds."""
    return sum(row.count for row in limiter.classes.values())


def _window_seconds(limiter: Limiter, now: float) -> float:
    """Return how long a window lasts; a probe is kept short."""
    return PROBE_SECONDS if now < limiter.probe_until else WINDOW_SECONDS


def _close_window(limiter: Limiter, now: float) -> None:
    """Compare the window with the baseline, and begin the next one."""
    probing = now < limiter.probe_until
    limiter.probe_until = float("-inf")
    count = _answers(limiter)
    if count:
        total = sum(row.total for row in limiter.classes.values())
        limiter.mean = total / count
    failing = limiter.failures > FAILED_FRACTION * (count + limiter.failures)
    limiter.failures = 0
    ratio = _compare(limiter)
    limiter.window_from = now
    if probing:
        # Answers to what was sent during the probe say nothing of the full limit.
        limiter.window_from = now + limiter.mean
        if _baseline_fell(limiter):
            limiter.period_until = now + FIRST_PROBE_SECONDS
    elif failing or ratio > _tolerance(limiter):
        _decrease(limiter, now)
    elif limiter.was_full:
        step = max(1.0, limiter.limit * INCREASE_FRACTION)
        limiter.limit = min(limiter.maximum, limiter.limit + step)
    if now >= limiter.period_until:
        _begin_period(limiter, now)
    limiter.was_full = False


def _tolerance(limiter: Limiter) -> float:
    """Return by which factor latency may have grown.

    All hosts see the same backend servers' queue. With one tolerance for all,
    those with few answers see it with more noise, shrink more often and end up
    starved by the others; payments then wait there for seconds. A tolerance that
    falls as the limit rises has one balance, near equal parts of the share.
    """
    part = limiter.limit / limiter.share
    above = min(1.0, max(0.0, (part - BELOW_SHARE) / (ABOVE_SHARE - BELOW_SHARE)))
    span = TOLERANCE_BELOW_SHARE - TOLERANCE_ABOVE_SHARE
    return TOLERANCE_BELOW_SHARE - above * span


def _compare(limiter: Limiter) -> float:
    """Return the window's latency over the baseline's, and clear the window."""
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


def _baseline_fell(limiter: Limiter) -> bool:
    """Tell whether a probe has shown that the old baseline was taken in a queue."""
    return any(
        row.lowest < BASELINE_FELL * row.lowest_before < float("inf")
        for row in limiter.classes.values()
    )


def _begin_period(limiter: Limiter, now: float) -> None:
    """Forget the baseline of the period before last, and probe for a new one.

    Under constant load nothing shows how fast an answer is when nothing waits,
    and a baseline taken while the backend servers queue makes the limit grow for
    ever. So the limit is halved for a moment. As it mostly is above the number of
    slots, that costs little.
    """
    limiter.period_until = now + BASELINE_SECONDS
    for row in limiter.classes.values():
        row.lowest_before = row.lowest
        row.lowest = float("inf")
    if limiter.was_full:
        settled_at = now + 2 * limiter.mean
        limiter.window_from = settled_at
        limiter.probe_until = settled_at + 10 * PROBE_SECONDS


def _decrease(limiter: Limiter, now: float) -> None:
    """Lower the limit, and wait until the effect can be seen."""
    limiter.limit = max(LIMIT_MIN, limiter.limit * DECREASE_FACTOR)
    limiter.window_from = now + limiter.mean
