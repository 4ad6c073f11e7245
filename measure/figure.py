"""One measured figure."""

from typing import NamedTuple


class Figure(NamedTuple):
    """A value with its unit and, where there is one, the baseline's value.

    ``limit`` is the bound the figure must keep, where one is stated.
    """

    name: str
    value: float
    unit: str
    baseline: float | None = None
    baseline_name: str = ""
    limit: float | None = None

    @property
    def ratio(self) -> float | None:
        """Return value over baseline."""
        return self.value / self.baseline if self.baseline else None
