"""Keep the recent peak of a periodic demand."""

import math
from dataclasses import dataclass
from typing import Final

# Demand has a period of 36 s, so its peak is renewed before it expires.
PEAK_SECONDS: Final = 40.0
# If the whole peak expired at once, shares would follow a demand that fell for good in
# one move.
PEAK_DECAY_SECONDS: Final = 20.0


@dataclass(slots=True)
class RecentPeak:
    """Hold the highest recent rate and the monotonic time at which it was reached."""

    value: float = 0.0
    at: float = float("-inf")

    def note(self, value: float, at: float, now: float) -> None:
        """Record a rate measured at time ``at``."""
        latest = RecentPeak(value, at)
        if latest.current(now) >= self.current(now):
            self.value, self.at = value, at

    def current(self, now: float) -> float:
        """Return the peak, which decays after ``PEAK_SECONDS``."""
        overdue = now - self.at - PEAK_SECONDS
        if overdue <= 0:
            return self.value
        return self.value * math.exp(-overdue / PEAK_DECAY_SECONDS)
