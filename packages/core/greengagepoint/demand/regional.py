"""Combine the figures of this host and its peers into the shares of regions."""

from collections.abc import Mapping
from typing import Final, NamedTuple

from greengagepoint.demand.peaks import RecentPeak
from greengagepoint.demand.rates import ServiceRates
from greengagepoint.demand.shares import region_shares
from greengagepoint.demand.table import DemandTable, Figure, mean_run
from greengagepoint.placing.regions import Weights
from greengagepoint.placing.tables import ServerTable
from greengagepoint.placing.typical_load import RUN_SECONDS_START

# Hosts exchange messages as often.
MEASURE_PERIOD_SECONDS: Final = 0.5
# Hosts start before their callers. If no demand counted as a figure, all weights would
# have moved to the home region when the first callers arrive.
DEMAND_SHARE_MIN: Final = 0.05


class ServiceDemand(NamedTuple):
    """Hold the slots that callers of each region need, and the inputs of that.

    ``slots`` are those at the recent peak of each region, ``total`` those that all
    regions needed at the same time. ``ages`` are the ages of the figures by region in
    seconds; regions without a figure are not in it.
    """

    slots: dict[str, float]
    total: float
    ages: dict[str, float]
    run_seconds: float


class RegionalDemand:
    """Measure, exchange and evaluate the demand of regions with the mode on.

    ``regions`` are the names of all regions with hosts.
    """

    def __init__(
        self, host: str, home: str, regions: frozenset[str], servers: ServerTable
    ) -> None:
        self.host = host
        self.home = home
        self.servers = servers
        self.rates = ServiceRates()
        self.table = DemandTable(host, home, regions | {home})
        self.totals: dict[str, RecentPeak] = {}
        self.measured_at = float("-inf")

    @property
    def is_on(self) -> bool:
        """Return True if the demand-aware decisions apply."""
        return self.servers.demand.is_on

    def count(self, service: str, now: float) -> None:
        """Count a request of a caller on a route that runs near its callers."""
        if self.is_on:
            self.rates.count(service, now)

    def record_run(self, service: str, seconds: float) -> None:
        """Record the run time of a request that did not wait for a slot."""
        if self.is_on:
            self.rates.record_run(service, seconds)

    def tick(self, host_count: int, now: float) -> None:
        """Update the figures of this host and its region.

        ``host_count`` is the number of hosts of the region.
        """
        if not self.is_on:
            self.table.clear()
            self.rates = ServiceRates()
            self.totals.clear()
            return
        if now - self.measured_at < MEASURE_PERIOD_SECONDS:
            return
        self.measured_at = now
        self.rates.start(now)
        self.table.services = set(self.servers.regions)
        self.rates.retain(self.table.services)
        self.table.drop_old(now)
        self._measure_host(now)
        self.table.measure_home(host_count, now)
        self._measure_totals(now)

    def _measure_host(self, now: float) -> None:
        """Store this host's figures, also for services that only peers report.

        Without the zeros, a host that has no requests of a service could not be told
        from one whose figures were lost.
        """
        services = {service for _, service in self.table.hosts} | set(self.rates.rates)
        for service in services:
            rate = self.rates.per_second(service, now)
            if rate is not None:
                run = self.rates.run_seconds(service)
                self.table.hosts[self.host, service] = Figure(rate, run, now)

    def _measure_totals(self, now: float) -> None:
        """Record the rates of all regions together."""
        services = {service for _, service in self.table.regions}
        self.totals = {
            service: self.totals.get(service, RecentPeak()) for service in services
        }
        for service, peak in self.totals.items():
            peak.note(self._total(service, now), now, now)

    def _figures(self, service: str, now: float) -> dict[str, Figure]:
        """Return the recent figures of a service by region."""
        return {
            region: row
            for (region, name), row in self.table.regions.items()
            if name == service and row.is_recent(now)
        }

    def _total(self, service: str, now: float) -> float:
        """Return the rate of all regions; those without a figure count as the mean."""
        rates = [
            row.requests_per_second for row in self._figures(service, now).values()
        ]
        return sum(rates) / len(rates) * len(self.table.names) if rates else 0.0

    def demand(self, service: str, now: float) -> ServiceDemand | None:
        """Return the demand of all regions, None without figures or callers."""
        figures = self._figures(service, now)
        rates = {region: self.table.peak((region, service), now) for region in figures}
        if not any(rates.values()):
            return None
        mean = sum(rates.values()) / len(rates)
        run = mean_run(figures.values()) or self._typical_run_seconds(service)
        slots = {name: rates.get(name, mean) * run for name in self.table.names}
        if sum(slots.values()) < DEMAND_SHARE_MIN * self._slots(service):
            return None
        ages = {region: now - row.at for region, row in figures.items()}
        peak = self.totals.get(service)
        held = peak.current(now) if peak is not None else 0.0
        total = max(held, self._total(service, now)) * run
        return ServiceDemand(slots, total, ages, run)

    def shares(
        self, service: str, slots: Mapping[str, float], now: float
    ) -> Weights | None:
        """Return the target weights of the home region's keys, None without figures."""
        demand = self.demand(service, now)
        if demand is None:
            return None
        return region_shares(slots, demand.slots, self.home, demand.total)

    def _slots(self, service: str) -> float:
        """Return the slots of a service in all regions."""
        regions = self.servers.regions_of(service)
        return sum(self.servers.find(service, region).slots for region in regions)

    def _typical_run_seconds(self, service: str) -> float:
        """Return the run time by the servers' measurements, if hosts report none."""
        runs = [
            row.run_seconds
            for (name, _), row in self.servers.typical.items()
            if name == service and row.run_seconds is not None
        ]
        return sum(runs) / len(runs) if runs else RUN_SECONDS_START
