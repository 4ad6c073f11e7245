"""Hold the recently used keys of a region with their request rates."""

import math
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Final

from greengagepoint.key_placement.messages import KeyUsageReport, KeyUsageRow
from greengagepoint.key_placement.usage import REPORT_ROWS_MAX, is_reportable
from greengagepoint.placing.ranking import find_candidates
from greengagepoint.placing.tables import Server

# 10,000 keys with their candidates take about 8 MB.
KEYS_MAX: Final = 10_000
# A server keeps its last 8 to 20 keys warm; a key that has not run for this long has
# been evicted by others.
KEEP_SECONDS: Final = 30.0
# Time constant of the request rates: with 0.4 requests per second a rate is from six
# requests, and a key that becomes popular is noticed within seconds.
RATE_SECONDS: Final = 15.0
# A key's first requests would give a rate of any height if divided by its age.
AGE_SECONDS_MIN: Final = 5.0
# More runs of one key than all servers of a service make between two reports.
ROW_RUNS_MAX: Final = 100_000
# Time constant of the share of cold runs of a service, so that the cold runs of a
# change are forgotten when the share decides about the next one.
COLD_SECONDS: Final = 5.0


@dataclass(slots=True)
class KeyRow:
    """The requests of one key, and its candidates among the members.

    ``runs`` decays with ``RATE_SECONDS`` and is as of ``seen_at``. ``strengths`` are
    the scores of the candidates at weight 1, ``indices`` their places in the tuple
    ``members`` for which they were determined.
    """

    key: str
    first_at: float
    seen_at: float
    runs: float = 0.0
    members: tuple[str, ...] | None = None
    indices: tuple[int, ...] = ()
    strengths: tuple[float, ...] = ()

    def add(self, runs: int, now: float) -> None:
        """Add runs reported at ``now``."""
        self.runs = self.runs * math.exp((self.seen_at - now) / RATE_SECONDS) + runs
        self.seen_at = now

    def rate(self, now: float) -> float:
        """Return the requests per second."""
        age = max(AGE_SECONDS_MIN, now - self.first_at)
        seconds = RATE_SECONDS * (1 - math.exp(-age / RATE_SECONDS))
        return self.runs * math.exp((self.seen_at - now) / RATE_SECONDS) / seconds

    def find_candidates(
        self, servers: Sequence[Server], members: tuple[str, ...], index: dict[str, int]
    ) -> None:
        """Determine the candidates of the key among the members."""
        found = find_candidates(self.key, servers)
        self.indices = tuple(index[row.instance] for row in found.servers)
        self.strengths = found.strengths
        self.members = members


@dataclass(slots=True)
class RunCounts:
    """Decaying counts of the runs and cold runs of keys that were known before."""

    runs: float = 0.0
    cold_runs: float = 0.0
    counted_at: float = 0.0

    def add(self, runs: int, cold_runs: int, now: float) -> None:
        """Add runs reported at ``now``."""
        keep = math.exp((self.counted_at - now) / COLD_SECONDS)
        self.runs = self.runs * keep + runs
        self.cold_runs = self.cold_runs * keep + cold_runs
        self.counted_at = now

    @property
    def cold_share(self) -> float:
        """Return the share of cold runs, 1 without any run."""
        return self.cold_runs / self.runs if self.runs else 1.0


@dataclass(slots=True)
class KnownKeys:
    """Hold at most ``KEYS_MAX`` keys by service and key, the last used ones last."""

    rows: dict[tuple[str, str], KeyRow] = field(default_factory=dict)
    counts: dict[str, RunCounts] = field(default_factory=dict)

    def apply(self, report: KeyUsageReport, services: Sequence[str], now: float) -> int:
        """Add the runs of a report; return the number of invalid rows.

        Rows of services without members in the region are left out: a host may know
        servers that the coordinator does not.
        """
        if len(report.rows) > REPORT_ROWS_MAX:
            return len(report.rows)
        invalid = 0
        for row in report.rows:
            if not is_valid_row(row):
                invalid += 1
            elif row.service in services:
                self._add(row, now)
        return invalid

    def _add(self, row: KeyUsageRow, now: float) -> None:
        """Add the runs of one key."""
        place = (row.service, row.key)
        known = self.rows.pop(place, None)
        if known is None:
            known = KeyRow(row.key, now, now)
        else:
            counts = self.counts.setdefault(row.service, RunCounts(counted_at=now))
            counts.add(row.measured_runs, row.cold_runs, now)
        known.add(row.runs, now)
        self.rows[place] = known
        if len(self.rows) > KEYS_MAX:
            del self.rows[next(iter(self.rows))]

    def drop_expired(self, now: float) -> None:
        """Drop the keys that have not run recently."""
        oldest = now - KEEP_SECONDS
        while self.rows:
            place = next(iter(self.rows))
            if self.rows[place].seen_at >= oldest:
                return
            del self.rows[place]

    def cold_share(self, service: str) -> float | None:
        """Return the share of cold runs of known keys, None without any run."""
        counts = self.counts.get(service)
        return counts.cold_share if counts is not None and counts.runs else None

    def of_service(self, service: str) -> list[KeyRow]:
        """Return the keys of a service."""
        return [row for place, row in self.rows.items() if place[0] == service]


def is_valid_row(row: KeyUsageRow) -> bool:
    """Return True if a row of a report has figures in range."""
    if not is_reportable(row.key):
        return False
    if not 0 < row.runs <= ROW_RUNS_MAX:
        return False
    return 0 <= row.cold_runs <= row.measured_runs <= row.runs
