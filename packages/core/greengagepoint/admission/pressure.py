"""Measure how long requests wait for servers, and merge the figures of peers.

The pressure of a service is the mean expected wait of its servers as a share of the
goal of its routes. It is measured from the load reports in responses to this host. The
reports of peers in ``ServerTable`` are of full servers only, and would make every large
fleet look overloaded. A peer's figure that is out of range would shed callers of the
whole fleet, so it is ignored and counted.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from itertools import islice
from typing import Final, NamedTuple

import msgspec

from greengagepoint.placing.tables import Server, ServerTable
from greengagepoint.placing.typical_load import RUN_SECONDS_START

# Gossip spreads a figure within one to two seconds, and a queue grows or drains within
# two runs.
AGE_MAX_SECONDS: Final = 3.0
# A queue whose wait is this multiple of the goal is far beyond what servers accept.
PRESSURE_MAX: Final = 100.0
# A wait as long as the goal makes every answer late. Longer ones count as this one: a
# single wrong figure of 20 made 11 hosts reject two thirds of their callers for 18 s.
COUNTED_PRESSURE_MAX: Final = 1.0
# Three regions with ten services each; a message with more figures is invalid.
FIGURES_MAX: Final = 256
SHARE_MIN: Final = 0.02
# No request waits longer than this. A server that reports a million waiting requests
# would otherwise outweigh all other reports for ten seconds.
SAMPLE_WAIT_SECONDS_MAX: Final = 10.0
# Time constant of the mean over load reports.
SAMPLE_SECONDS: Final = 1.0
# Weight of peers in the figure of this host's region. A host of a large fleet gets a
# few reports per second, which is too noisy alone.
PEER_WEIGHT: Final = 0.5


class ServicePressure(msgspec.Struct, array_like=True):
    """Report the pressure of a service in a region, measured ``age`` seconds ago.

    ``share`` is the share of requests that the sender admits.
    """

    region: str
    service: str
    pressure: float
    age: float
    share: float = 1.0


class Figure(NamedTuple):
    """A pressure and an admitted share with the monotonic time of the measurement."""

    pressure: float
    share: float
    at: float


class MergedPressure(NamedTuple):
    """The pressure of a service over all regions with a recent figure.

    ``oldest_age`` is the age of the oldest figure in seconds; ``share`` is the mean
    admitted share of peers, None without any.
    """

    pressure: float
    oldest_age: float
    regions: int
    share: float | None


@dataclass(slots=True)
class WaitSamples:
    """Average the expected wait of servers over load reports, which decay.

    A busy server sends more responses than an idle one. Each report is weighted by the
    reciprocal of the requests that ran, so that the mean is one over servers and time.
    """

    total: float = 0.0
    weight: float = 0.0
    at: float = -math.inf

    def record(self, server: Server, held: int, now: float) -> None:
        """Record that a server held ``held`` requests after it sent a response."""
        run_seconds = server.typical.run_seconds or RUN_SECONDS_START
        wait = max(0, held + 1 - server.slots) * run_seconds / server.slots
        self.add(wait, 1 / min(held + 1, server.slots), now)

    def add(self, wait: float, weight: float, now: float) -> None:
        """Add an expected wait in seconds to the mean."""
        self._decay(now)
        self.total += weight * min(SAMPLE_WAIT_SECONDS_MAX, wait)
        self.weight += weight

    def mean(self) -> float:
        """Return the mean expected wait in seconds."""
        return self.total / self.weight

    def _decay(self, now: float) -> None:
        """Reduce the weight of earlier reports."""
        kept = math.exp(-max(0.0, now - self.at) / SAMPLE_SECONDS)
        self.total *= kept
        self.weight *= kept
        self.at = now


@dataclass(slots=True)
class Pressures:
    """Hold this host's measurements by service, and peers' by service and region.

    ``home`` is this host's region; ``invalid`` counts ignored figures of peers.
    """

    home: str
    samples: dict[str, WaitSamples] = field(default_factory=dict)
    measured: dict[str, Figure] = field(default_factory=dict)
    received: dict[tuple[str, str], Figure] = field(default_factory=dict)
    invalid: int = 0

    def record_load(self, server: Server, held: int, now: float) -> None:
        """Record a load report that this host received from a server."""
        if server.region == self.home and server.slots > 0:
            samples = self.samples.setdefault(server.service, WaitSamples())
            samples.record(server, held, now)

    def record_busy(
        self, table: ServerTable, service: str, wait: float, now: float
    ) -> None:
        """Record that a request found all servers busy, with an expected wait.

        In a small fleet, each host knows the queues of all servers and keeps them just
        short enough, so that only such requests show the load beyond the capacity. One
        counts like a report of a full server.
        """
        servers = table.find(service, self.home).servers
        if servers and 0 <= wait < math.inf:
            samples = self.samples.setdefault(service, WaitSamples())
            samples.add(wait, 1 / max(1, servers[0].slots), now)

    def measure(
        self,
        goals: Mapping[str, float],
        shares: Mapping[str, float],
        now: float,
    ) -> None:
        """Measure the services with a goal in this host's region.

        A figure is as old as the newest load report. ``shares`` are the shares of
        requests that this host admits.
        """
        self.measured = {}
        for service, samples in list(self.samples.items()):
            goal_seconds = goals.get(service, 0.0)
            if goal_seconds <= 0 or now - samples.at > AGE_MAX_SECONDS:
                del self.samples[service]
                continue
            pressure = min(COUNTED_PRESSURE_MAX, samples.mean() / goal_seconds)
            share = shares.get(service, 1.0)
            self.measured[service] = Figure(pressure, share, samples.at)
        self.received = {
            key: figure
            for key, figure in self.received.items()
            if now - figure.at <= AGE_MAX_SECONDS and key[0] in goals
        }

    def take(
        self,
        reports: Iterable[ServicePressure],
        table: ServerTable,
        goals: Mapping[str, float],
        now: float,
    ) -> None:
        """Merge the figures of a peer; the newer one of a region wins."""
        for report in islice(reports, FIGURES_MAX):
            regions = table.regions_of(report.service)
            if not is_valid(report) or report.service not in goals:
                self.invalid += 1
                continue
            if report.region not in regions:
                self.invalid += 1
                continue
            at = now - report.age
            key = (report.service, report.region)
            current = self.received.get(key)
            if report.age <= AGE_MAX_SECONDS and (current is None or current.at < at):
                pressure = min(COUNTED_PRESSURE_MAX, report.pressure)
                self.received[key] = Figure(pressure, report.share, at)

    def recent(self, now: float) -> list[ServicePressure]:
        """Return the figures to share with peers, without expired ones."""
        figures = {
            key: figure for key, figure in self.received.items() if key[1] != self.home
        }
        for service, own in self.measured.items():
            figures[service, self.home] = self._home_figure(service, now) or own
        return [
            ServicePressure(
                region,
                service,
                round(figure.pressure, 3),
                round(max(0.0, now - figure.at), 2),
                round(figure.share, 3),
            )
            for (service, region), figure in figures.items()
            if now - figure.at <= AGE_MAX_SECONDS
        ]

    def merge(
        self, table: ServerTable, service: str, now: float
    ) -> MergedPressure | None:
        """Return a service's pressure over its regions; None without any figure."""
        total = slots = oldest = 0.0
        shares: list[float] = []
        regions = 0
        for region in table.regions_of(service):
            figure = self._figure(service, region, now)
            if figure is None:
                continue
            weight = max(1.0, table.find(service, region).slots)
            total += weight * figure.pressure
            slots += weight
            oldest = max(oldest, now - figure.at)
            regions += 1
            received = self._received(service, region, now)
            if received is not None:
                shares.append(received.share)
        if not regions:
            return None
        share = sum(shares) / len(shares) if shares else None
        return MergedPressure(total / slots, oldest, regions, share)

    def _figure(self, service: str, region: str, now: float) -> Figure | None:
        """Return the figure of a service in a region, None if none is recent."""
        if region == self.home:
            return self._home_figure(service, now)
        return self._received(service, region, now)

    def _home_figure(self, service: str, now: float) -> Figure | None:
        """Return the mean of this host's measurement and the newest of its peers.

        Each host shares this mean, so that the figures of a region's hosts converge.
        This host's admitted share stays its own.
        """
        own = self.measured.get(service)
        if own is not None and now - own.at > AGE_MAX_SECONDS:
            own = None
        peer = self._received(service, self.home, now)
        if own is None or peer is None:
            return own or peer
        difference = peer.pressure - own.pressure
        return own._replace(pressure=own.pressure + PEER_WEIGHT * difference)

    def _received(self, service: str, region: str, now: float) -> Figure | None:
        """Return the newest figure of peers, None if it is too old."""
        figure = self.received.get((service, region))
        if figure is None or now - figure.at > AGE_MAX_SECONDS:
            return None
        return figure


def is_valid(report: ServicePressure) -> bool:
    """Return True if the figures of a peer are in their ranges."""
    return (
        0 <= report.pressure <= PRESSURE_MAX
        and 0 <= report.age < math.inf
        and SHARE_MIN <= report.share <= 1
    )
