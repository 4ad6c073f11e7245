"""A cost measured at several sizes, and the line through it."""

import gc
import time
import tracemalloc
from collections.abc import Callable
from statistics import linear_regression, median
from typing import Any, Final, NamedTuple

from measure.figure import Figure

LINEAR_WITHIN: Final = 0.15
ROUNDS: Final = 5
MILLISECONDS: Final = 1e3


class Slope(NamedTuple):
    """Values of one cost by size; the last size is the expected one.

    ``over`` names what the size counts. ``limit`` is the allowance at that size.
    """

    name: str
    over: str
    unit: str
    points: tuple[tuple[float, float], ...]
    limit: float | None = None

    @property
    def full(self) -> float:
        """Return the value measured at the expected size."""
        return self.points[-1][1]

    @property
    def each(self) -> float:
        """Return what one more costs."""
        return self._line()[0]

    @property
    def is_linear(self) -> bool:
        """Tell whether all points lie near one line, measured by the largest value."""
        slope, intercept = self._line()
        largest = max(abs(value) for _, value in self.points) or 1.0
        return all(
            abs(intercept + slope * size - value) <= LINEAR_WITHIN * largest
            for size, value in self.points
        )

    def _line(self) -> tuple[float, float]:
        """Return slope and intercept of the least squares line."""
        sizes = [size for size, _ in self.points]
        values = [value for _, value in self.points]
        found = linear_regression(sizes, values)
        return found.slope, found.intercept

    def figures(self) -> list[Figure]:
        """Return a figure for each size."""
        return [
            Figure(
                f"capacity: {self.name}, {size:,.0f} {self.over}",
                value,
                self.unit,
                limit=self.limit if size == self.points[-1][0] else None,
            )
            for size, value in self.points
        ]


def milliseconds(call: Callable[[], Any], rounds: int = ROUNDS) -> float:
    """Return the median processor time of a call."""
    found = []
    for _ in range(rounds):
        started = time.process_time()
        call()
        found.append(time.process_time() - started)
    return median(found) * MILLISECONDS


def held_bytes(build: Callable[[], Any]) -> tuple[Any, int]:
    """Return what is built and the bytes that it holds."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    built = build()
    gc.collect()
    held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return built, held
