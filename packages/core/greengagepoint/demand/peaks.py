"""Keep the recent peak of a periodic demand."""

import math
from dataclasses import dataclass, field
from typing import Final, NamedTuple

# Callers come in waves of about half a minute, so that the next peak comes before the
# last one decays.
PEAK_SECONDS: Final = 40.0
# If a peak expired at once, shares would follow a demand that fell for good in one
# move.
PEAK_DECAY_SECONDS: Final = 20.0
# After this time a peak has decayed to an eighth.
PEAK_KEPT_SECONDS: Final = 80.0
INTERVAL_SECONDS: Final = 4.0


class Sample(NamedTuple):
    """Hold a rate and the monotonic time at which it was measured."""

    rate: float
    at: float

    def decayed(self, now: float) -> float:
        """Return the rate, which decays after ``PEAK_SECONDS``."""
        overdue = max(0.0, now - self.at - PEAK_SECONDS)
        return self.rate * math.exp(-overdue / PEAK_DECAY_SECONDS)


@dataclass(slots=True)
class RecentPeak:
    """Hold the highest rate of each recent interval.

    The highest one alone is not enough. If a burst is higher than the next wave, the
    peak of that wave would be forgotten with the burst, in a trough of the demand.
    """

    samples: dict[int, Sample] = field(default_factory=dict)

    def note(self, rate: float, at: float, now: float) -> None:
        """Record a rate measured at time ``at``, and drop old ones."""
        interval = int(at // INTERVAL_SECONDS)
        known = self.samples.get(interval)
        if known is None:
            oldest = now - PEAK_KEPT_SECONDS
            recent = {key: row for key, row in self.samples.items() if row.at >= oldest}
            self.samples = recent
        if (known is None or known.rate < rate) and now - at <= PEAK_KEPT_SECONDS:
            self.samples[interval] = Sample(rate, at)

    def highest(self, now: float) -> Sample | None:
        """Return the sample that is the peak, None if there is none."""
        rows = self.samples.values()
        return max(rows, key=lambda row: row.decayed(now), default=None)

    def current(self, now: float) -> float:
        """Return the peak, which decays after ``PEAK_SECONDS``; 0 without samples."""
        sample = self.highest(now)
        return sample.decayed(now) if sample is not None else 0.0
