"""Keep the demand figures of hosts and regions, with their ages and bounds."""

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final, NamedTuple

from greengagepoint.demand.messages import HostDemand, RegionDemand
from greengagepoint.demand.peaks import RecentPeak
from greengagepoint.demand.rates import RUN_SECONDS_MAX

# Gossip spreads a figure within two seconds, and a host may be frozen for four.
AGE_MAX_SECONDS: Final = 5.0
# A host has at most 2.15 cores and handles a few hundred requests per second.
HOST_RATE_MAX: Final = 2_000.0
REGION_RATE_MAX: Final = 1_000_000.0
# Limits the memory for figures of hosts; a region has a few hundred hosts.
HOST_ROWS_MAX: Final = 10_000
# Scaled up from fewer of the hosts, a rate varies more, and the peak would keep the
# highest of these values.
PEAK_HOSTS_SHARE_MIN: Final = 0.8
# Twice the one-way latency between regions, and some time in queues.
TRANSIT_SECONDS: Final = 0.05
# Rows of hosts are sent in parts of a unit. Most bytes of such a number are zero, so
# that the deflated rows take a third less.
RATE_PARTS: Final = 16
AGE_PARTS: Final = 8
RUN_PARTS: Final = 64


class Figure(NamedTuple):
    """Hold requests per second and the mean run time, as of a monotonic time."""

    requests_per_second: float
    run_seconds: float
    at: float

    def is_recent(self, now: float) -> bool:
        """Return True if the figure is not too old to be used."""
        return now - self.at <= AGE_MAX_SECONDS


@dataclass(slots=True)
class DemandTable:
    """Hold figures by (host, service) and by (region, service).

    ``names`` are the known regions and ``services`` the known services; figures of
    others are ignored. ``ignored`` counts figures of peers by the reason.
    """

    host: str
    home: str
    names: frozenset[str] = frozenset()
    services: set[str] = field(default_factory=set)
    hosts: dict[tuple[str, str], Figure] = field(default_factory=dict)
    regions: dict[tuple[str, str], Figure] = field(default_factory=dict)
    peaks: dict[tuple[str, str], RecentPeak] = field(default_factory=dict)
    ignored: Counter[tuple[str]] = field(default_factory=Counter)

    def take_hosts(self, rows: Iterable[HostDemand], now: float) -> None:
        """Merge a peer's figures of this region's hosts; the newer one wins."""
        for row in rows:
            key = (row.host, row.service)
            figure = self._check(row, HOST_RATE_MAX, now)
            if figure is None or row.host == self.host:
                continue
            if key not in self.hosts and len(self.hosts) >= HOST_ROWS_MAX:
                self.ignored["too_many",] += 1
                continue
            _keep_newer(self.hosts, key, figure)

    def take_regions(self, rows: Iterable[RegionDemand], now: float) -> None:
        """Merge a peer's figures of regions; the newer one and the higher peak win."""
        for row in rows:
            if row.region not in self.names:
                self.ignored["unknown_region",] += 1
                continue
            figure = self._check(row, REGION_RATE_MAX, now)
            if figure is None:
                continue
            if not _is_within(row.peak, REGION_RATE_MAX) or not _is_age(row.peak_age):
                self.ignored["peak",] += 1
                continue
            key = (row.region, row.service)
            if row.region != self.home:
                _keep_newer(self.regions, key, figure)
            self.note_peak(key, row.peak, now - row.peak_age, now)

    def note_peak(
        self, key: tuple[str, str], rate: float, at: float, now: float
    ) -> None:
        """Record a rate of a (region, service) as its peak if none is higher."""
        self.peaks.setdefault(key, RecentPeak()).note(rate, at, now)

    def measure_home(self, host_count: int, now: float) -> None:
        """Add up the figures of this region's hosts.

        ``host_count`` is the number of the region's hosts. With figures of fewer than
        half of them, the region has no figure.
        """
        rows: dict[str, list[Figure]] = {}
        for (_, service), figure in self.hosts.items():
            rows.setdefault(service, []).append(figure)
        for service, figures in rows.items():
            if 2 * len(figures) < host_count:
                continue
            scale = max(1.0, host_count / len(figures))
            rate = scale * sum(row.requests_per_second for row in figures)
            key = (self.home, service)
            self.regions[key] = Figure(rate, mean_run(figures), now)
            if len(figures) >= PEAK_HOSTS_SHARE_MIN * host_count:
                self.note_peak(key, rate, now, now)

    def recent_hosts(self, now: float) -> list[HostDemand]:
        """Return the figures of hosts to share with peers of this region."""
        return [
            HostDemand(
                host,
                service,
                _quantized(row.requests_per_second, RATE_PARTS),
                _age_sent(row, now),
                _quantized(row.run_seconds, RUN_PARTS),
            )
            for (host, service), row in self.hosts.items()
            if row.is_recent(now)
        ]

    def recent_regions(self, now: float) -> list[RegionDemand]:
        """Return the figures of regions to share with peers."""
        return [
            self._region_demand(key, row, now)
            for key, row in self.regions.items()
            if row.is_recent(now)
        ]

    def recent_figure(
        self, key: tuple[str, str], now: float
    ) -> tuple[float, float] | None:
        """Return the rate and the peak of a (region, service), None if too old."""
        row = self.regions.get(key)
        if row is None or not row.is_recent(now):
            return None
        return row.requests_per_second, self.peak(key, now)

    def peak(self, key: tuple[str, str], now: float) -> float:
        """Return the recent peak of a (region, service) in requests per second."""
        peak = self.peaks.get(key)
        held = peak.current(now) if peak is not None else 0.0
        return max(held, self.regions[key].requests_per_second)

    def drop_old(self, now: float) -> None:
        """Drop figures that are too old or of unknown services."""
        self.hosts = self._retained(self.hosts, now)
        self.regions = self._retained(self.regions, now)
        self.peaks = {
            key: peak for key, peak in self.peaks.items() if key[1] in self.services
        }

    def clear(self) -> None:
        """Drop all figures."""
        self.hosts.clear()
        self.regions.clear()
        self.peaks.clear()

    def _region_demand(
        self, key: tuple[str, str], row: Figure, now: float
    ) -> RegionDemand:
        """Return the report of a region's figure and its peak."""
        peak = self.peaks.get(key)
        highest = peak.highest(now) if peak is not None else None
        return RegionDemand(
            *key,
            round(row.requests_per_second, 2),
            _age_sent(row, now),
            round(row.run_seconds, 3),
            round(highest.rate, 2) if highest else 0.0,
            round(now - highest.at, 2) if highest else 0.0,
        )

    def _retained(
        self, rows: dict[tuple[str, str], Figure], now: float
    ) -> dict[tuple[str, str], Figure]:
        """Return the recent rows of known services."""
        return {
            key: row
            for key, row in rows.items()
            if row.is_recent(now) and key[1] in self.services
        }

    def _check(
        self, row: HostDemand | RegionDemand, rate_max: float, now: float
    ) -> Figure | None:
        """Return a peer's figure, or None if it is out of bounds or too old."""
        reason = None
        if row.service not in self.services:
            reason = "unknown_service"
        elif not _is_within(row.requests_per_second, rate_max):
            reason = "rate"
        elif not _is_within(row.run_seconds, RUN_SECONDS_MAX):
            reason = "run_seconds"
        elif not _is_age(row.age):
            reason = "age"
        if reason is not None:
            self.ignored[reason,] += 1
            return None
        figure = Figure(row.requests_per_second, row.run_seconds, now - row.age)
        return figure if figure.is_recent(now) else None


def mean_run(figures: Iterable[Figure]) -> float:
    """Return the mean run time weighted by requests, 0 if there is none."""
    measured = [row for row in figures if row.run_seconds > 0]
    requests = sum(row.requests_per_second for row in measured)
    if not requests:
        return 0.0
    work = sum(row.requests_per_second * row.run_seconds for row in measured)
    return work / requests


def _quantized(value: float, parts: int) -> float:
    """Return a value rounded to a multiple of 1 / ``parts``."""
    return round(value * parts) / parts


def _age_sent(row: Figure, now: float) -> float:
    """Return a figure's age when a peer receives it, rounded up.

    Hosts that pass a figure on to each other keep the newest copy. If it did not age in
    transit, it would outlive its host by seconds.
    """
    return math.ceil((now - row.at + TRANSIT_SECONDS) * AGE_PARTS) / AGE_PARTS


def _keep_newer(
    rows: dict[tuple[str, str], Figure], key: tuple[str, str], figure: Figure
) -> None:
    """Store a figure unless the known one is at least as new."""
    known = rows.get(key)
    if known is None or known.at < figure.at:
        rows[key] = figure


def _is_within(value: float, maximum: float) -> bool:
    """Return True for a number from 0 to the maximum; nan is not."""
    return 0.0 <= value <= maximum


def _is_age(value: float) -> bool:
    """Return True for a finite age."""
    return math.isfinite(value) and value >= 0.0
