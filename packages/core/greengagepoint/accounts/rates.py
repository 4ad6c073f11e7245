"""Exponentially weighted rates of events."""

import math
from dataclasses import dataclass


@dataclass(slots=True)
class Rate:
    """Events per second, decaying exponentially with time constant ``seconds``."""

    seconds: float
    value: float = 0.0
    at: float = 0.0

    def add(self, count: int, now: float) -> None:
        """Add events that occurred now."""
        self.value = self.read(now) + count / self.seconds
        self.at = max(self.at, now)

    def start(self, value: float, until: float) -> None:
        """Set the rate, to be held until a time."""
        self.value, self.at = value, until

    def read(self, now: float) -> float:
        """Return the rate now."""
        return self.value * math.exp(-max(0.0, now - self.at) / self.seconds)
