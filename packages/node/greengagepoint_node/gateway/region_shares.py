"""Keep which part of this region's requests runs in which region, by service."""

from collections import Counter

from greengagepoint.events import Event
from greengagepoint.placing.spill import (
    SHARE_CHANGE_PER_SECOND,
    Shares,
    expected_demand,
    hold_peaks,
    moved_toward,
    wanted_shares,
)
from greengagepoint.placing.tables import ServerTable
from greengagepoint_node.context import EventSink
from greengagepoint_node.gateway.gossip import HostState

NO_HOMES: frozenset[str] = frozenset()
LOGGED_CHANGE = 0.1


class RegionShares:
    """Move the shares slowly toward what demand and servers ask for."""

    def __init__(self, region: str, events: EventSink) -> None:
        self.region = region
        self.events = events
        self.shares: dict[tuple[str, frozenset[str]], Shares] = {}
        self.logged: dict[tuple[str, frozenset[str]], Shares] = {}
        self.used: set[tuple[str, frozenset[str]]] = set()
        self.servers = ServerTable()
        self.peaks: dict[str, dict[str, float]] = {}
        self.hosts: Counter[str] = Counter()
        self.ticked_at: float | None = None

    def current(self, service: str, homes: frozenset[str]) -> Shares:
        """Return the shares of a service, among the home regions if there are any."""
        key = (service, homes)
        self.used.add(key)
        found = self.shares.get(key)
        if found is None:
            found = self._first(service, homes)
            self.shares[key] = found
        return found

    def tick(self, servers: ServerTable, hosts: list[HostState], now: float) -> None:
        """Take in demand and servers, and move the shares."""
        self.servers = servers
        self.hosts = Counter(state.entry.region for state in hosts)
        elapsed = now - self.ticked_at if self.ticked_at is not None else 0.0
        self.ticked_at = now
        for service, demand in _by_service(hosts).items():
            peaks = self.peaks.get(service, {})
            self.peaks[service] = hold_peaks(peaks, demand, elapsed)
        most = SHARE_CHANGE_PER_SECOND * min(elapsed, 1.0)
        for key, shares in list(self.shares.items()):
            self._move(key, shares, most)

    def _move(
        self, key: tuple[str, frozenset[str]], shares: Shares, most: float
    ) -> None:
        """Move the shares of one service toward what is wanted."""
        wanted = self._wanted(*key)
        # A region without servers can't run anything, so its share moves at once.
        possible = {
            name: part
            for name, part in shares.items()
            if name in wanted or self._has_servers(key[0], name)
        }
        moved = moved_toward(possible, wanted, most)
        self.shares[key] = moved
        logged = self.logged.get(key, {})
        change = max(
            (
                abs(moved.get(name, 0) - logged.get(name, 0))
                for name in {*moved, *logged}
            ),
            default=0,
        )
        if change >= LOGGED_CHANGE:
            self.logged[key] = moved
            self.events.record(
                Event.SPILL_CHANGED,
                service=key[0],
                homes=sorted(key[1]),
                shares={name: round(part, 3) for name, part in moved.items()},
                peaks={
                    region: round(busy, 1)
                    for region, busy in self.peaks.get(key[0], {}).items()
                },
            )

    def _has_servers(self, service: str, region: str) -> bool:
        """Tell whether a region has servers of a service that may be used."""
        return bool(self.servers.find(service, region).servers)

    def _first(self, service: str, homes: frozenset[str]) -> Shares:
        """Return the shares to begin with, before demand is known."""
        if service not in self.peaks:
            slots = self._slots(service, NO_HOMES)
            self.peaks[service] = expected_demand(self.hosts, slots)
        return self._wanted(service, homes)

    def _slots(self, service: str, homes: frozenset[str]) -> dict[str, float]:
        """Return the slots by region that requests may use."""
        return {
            region: float(self.servers.find(service, region).slots)
            for region in self.servers.regions_of(service)
            if not homes or region in homes
        }

    def _wanted(self, service: str, homes: frozenset[str]) -> Shares:
        """Return the shares that demand and servers ask for."""
        peaks = self.peaks.get(service, {})
        return wanted_shares(self.region, peaks, self._slots(service, homes))


def _by_service(hosts: list[HostState]) -> dict[str, dict[str, float]]:
    """Return the busy slots that requests ask for, by service and region."""
    found: dict[str, dict[str, float]] = {}
    for state in hosts:
        region = state.entry.region
        for service, busy in state.demand.items():
            regions = found.setdefault(service, {})
            regions[region] = regions.get(region, 0.0) + busy
    return found
