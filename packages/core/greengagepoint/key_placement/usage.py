"""Count the runs of keys on this host between two reports."""

from dataclasses import dataclass, field
from typing import Final

from greengagepoint.key_placement.messages import KeyUsageRow

# A key is a route prefix and a cookie value; callers choose the latter.
KEY_BYTES_MAX: Final = 64
REPORT_ROWS_MAX: Final = 256
# Limits the memory while no coordinator answers: 1,000 keys take 0.2 MB.
KEYS_MAX: Final = 1_000


def is_reportable(key: str) -> bool:
    """Return True if a key is short enough to be reported, and UTF-8.

    Messages between hosts cannot hold a cookie value that is not UTF-8.
    """
    if key.isascii() or len(key) > KEY_BYTES_MAX:
        return len(key) <= KEY_BYTES_MAX
    try:
        return len(key.encode()) <= KEY_BYTES_MAX
    except UnicodeEncodeError:
        return False


@dataclass(slots=True)
class KeyUsage:
    """Count runs, measured and cold ones by region and key since the last report."""

    regions: dict[str, dict[tuple[str, str], list[int]]] = field(default_factory=dict)

    def note(
        self, region: str, service: str, key: str, *, is_cold: bool | None
    ) -> None:
        """Count a run; drop it if too many keys wait to be reported.

        ``is_cold`` is None if its time contains a wait.
        """
        if not is_reportable(key):
            return
        keys = self.regions.setdefault(region, {})
        counts = keys.get((service, key))
        if counts is None:
            if len(keys) >= KEYS_MAX:
                return
            counts = keys[service, key] = [0, 0, 0]
        counts[0] += 1
        counts[1] += is_cold is not None
        counts[2] += bool(is_cold)

    def take(self, region: str) -> list[KeyUsageRow]:
        """Return the rows of a region's next report, and count them anew."""
        keys = self.regions.get(region, {})
        chosen = list(keys)[:REPORT_ROWS_MAX]
        return [KeyUsageRow(*place, *keys.pop(place)) for place in chosen]

    def put_back(self, region: str, rows: list[KeyUsageRow]) -> None:
        """Count rows again whose report was not answered."""
        keys = self.regions.setdefault(region, {})
        for row in rows:
            counts = keys.get((row.service, row.key))
            if counts is not None:
                counts[0] += row.runs
                counts[1] += row.measured_runs
                counts[2] += row.cold_runs
            elif len(keys) < KEYS_MAX:
                place = (row.service, row.key)
                keys[place] = [row.runs, row.measured_runs, row.cold_runs]

    def clear(self) -> None:
        """Drop all counts."""
        self.regions.clear()
