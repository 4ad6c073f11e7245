"""One measured figure."""

from typing import NamedTuple


class Figure(NamedTuple):
    """A value with its unit and, where there is one, the baseline's value.

    ``limit`` is the bound that ``value`` must keep, where one is stated: the most it
    may be, or with ``at_least`` the least.
    """

    name: str
    value: float
    unit: str
    baseline: float | None = None
    baseline_name: str = ""
    limit: float | None = None
    at_least: bool = False

    @property
    def ratio(self) -> float | None:
        """Return value over baseline."""
        return self.value / self.baseline if self.baseline else None

    @property
    def holds(self) -> bool | None:
        """Tell whether the limit is kept, None where none is stated."""
        if self.limit is None:
            return None
        if self.at_least:
            return self.value >= self.limit
        return self.value <= self.limit
