"""Count values by upper bounds, cheaply enough for each request."""

from bisect import bisect_left
from collections.abc import Iterator
from itertools import accumulate


class Histogram:
    """Counts of values by upper bound, and their sum."""

    __slots__ = ("bounds", "counts", "total")

    def __init__(self, bounds: tuple[float, ...]) -> None:
        self.bounds = bounds
        self.counts = [0] * (len(bounds) + 1)
        self.total = 0.0

    def add(self, value: float) -> None:
        """Count one value."""
        self.counts[bisect_left(self.bounds, value)] += 1
        self.total += value

    def buckets(self) -> Iterator[tuple[str, int]]:
        """Yield upper bounds with the count of values up to each."""
        names = [*(f"{bound:g}" for bound in self.bounds), "+Inf"]
        yield from zip(names, accumulate(self.counts), strict=True)
