"""Backend servers as hosts know them: members, load, faults and coldness."""

import math
from dataclasses import dataclass, field
from typing import Final, NamedTuple

from greengagepoint.placing.typical_load import RUN_SECONDS_START, TypicalLoad

# How fast a load report loses its weight, at least; it is kept for a run where runs are
# longer, as a queue changes no faster. Dropped at a fixed age instead, a report of a
# full queue was followed by a burst of all hosts at once.
REPORT_MEMORY_SECONDS: Final = 1.0
# Servers shed with two to three requests waiting for each slot.
SHEDDING_QUEUE: Final = 2
SERVICE_SECONDS_WEIGHT: Final = 0.05


class Incarnation(NamedTuple):
    """One run of a backend server, which may start again under its id.

    ``born`` is the Unix millisecond of its start, 0 where it does not say. A server
    keeps its address for a run, so another address is another run as well.
    """

    instance: str
    born: int
    address: str


@dataclass(slots=True)
class Server:
    """One incarnation of a backend server; times are monotonic seconds.

    A newer incarnation is a new row. What is still in flight at the older one is held
    by its own row, which is in no table any more. ``typical`` is shared by the members
    of a service in a region. ``service_unknown`` is the part of its fixed beginning
    that ``service_seconds`` still has.
    """

    instance: str
    service: str
    address: str
    zone: str
    region: str
    slots: int
    cold_until: float = 0.0
    in_flight: int = 0
    others: int = 0
    reported_at: float = float("-inf")
    senders: int = 1
    suspect_until: float = 0.0
    failures: int = 0
    answered_at: float = float("-inf")
    service_seconds: float = RUN_SECONDS_START
    service_unknown: float = 1.0
    born: int = 0
    typical: TypicalLoad = field(default_factory=TypicalLoad)
    incarnation: Incarnation = field(init=False)

    def __post_init__(self) -> None:
        """Make the name of this run, which is looked up for each request."""
        self.incarnation = Incarnation(self.instance, self.born, self.address)

    @property
    def run_seconds(self) -> float:
        """Return how long a run takes here, as far as this host can tell.

        What is not known of this server yet is taken from servers like it.
        """
        begun = self.typical.cautious_run_seconds() - RUN_SECONDS_START
        return self.service_seconds + self.service_unknown * begun

    def occupancy(self, now: float) -> float:
        """Return how many requests the server holds, as far as this host can tell.

        What other hosts have there is known from the last report. As that ages, the
        server is taken for one like the others.
        """
        memory = max(REPORT_MEMORY_SECONDS, self.run_seconds)
        weight = math.exp(-max(0.0, now - self.reported_at) / memory)
        unseen = self.typical.others(self.in_flight, self.slots, self.senders)
        return self.in_flight + weight * self.others + (1 - weight) * unseen

    def expected_wait(self, now: float) -> float:
        """Return seconds that a new request waits for a slot."""
        ahead = self.occupancy(now) + 1 - self.slots
        return max(0.0, ahead) * self.run_seconds / self.slots

    def take_report(self, running: int, waiting: int, now: float) -> None:
        """Take in how many requests the server says that it holds."""
        self.others = max(0, running + waiting - self.in_flight)
        self.reported_at = now
        self.typical.take((running + waiting) / self.slots)

    def take_shared(self, held: int, at: float) -> None:
        """Take in what another host was told of this server's requests."""
        self.others = max(0, held - self.in_flight)
        self.reported_at = at

    def take_shedding(self, now: float) -> None:
        """Take in that the server's queue is full, where it did not tell its load."""
        self.take_report(self.slots, SHEDDING_QUEUE * self.slots, now)

    def take_service_time(self, seconds: float) -> None:
        """Take in how long a request ran, without its wait for a slot."""
        difference = seconds - self.service_seconds
        self.service_seconds += SERVICE_SECONDS_WEIGHT * difference
        self.service_unknown *= 1 - SERVICE_SECONDS_WEIGHT
        self.typical.take_run(seconds)


@dataclass(slots=True)
class Members:
    """Servers of one service in one region that may get requests."""

    servers: tuple[Server, ...] = ()
    slots: int = 0


@dataclass(slots=True)
class ServerTable:
    """All backend servers, and which of them may get requests.

    ``servers`` holds the newest incarnation of each id. ``services`` are those that
    may have members, None while that is not known. ``version`` changes whenever
    membership does, so that ranks can be kept by it.
    """

    servers: dict[str, Server] = field(default_factory=dict)
    leaving: set[Incarnation] = field(default_factory=set)
    evacuated_zones: frozenset[str] = frozenset()
    services: frozenset[str] | None = None
    members: dict[tuple[str, str], Members] = field(default_factory=dict)
    regions: dict[str, tuple[str, ...]] = field(default_factory=dict)
    typical: dict[tuple[str, str], TypicalLoad] = field(default_factory=dict)
    version: int = 0

    def find(self, service: str, region: str) -> Members:
        """Return the members of a service in a region."""
        return self.members.get((service, region), NO_MEMBERS)

    def regions_of(self, service: str) -> tuple[str, ...]:
        """Return the regions in which a service has members, in order of name."""
        return self.regions.get(service, ())

    def holds(self, server: Server) -> bool:
        """Tell whether a server is the newest incarnation of its id."""
        return self.servers.get(server.instance) is server

    def set_senders(self, senders: int) -> None:
        """Take in how many hosts send to the same servers as this one."""
        for server in self.servers.values():
            server.senders = senders

    def rebuild(self) -> None:
        """Work out the members again after a change."""
        self.version += 1
        grouped: dict[tuple[str, str], list[Server]] = {}
        for server in filter(self._is_eligible, self.servers.values()):
            key = (server.service, server.region)
            server.typical = self.typical.setdefault(key, TypicalLoad())
            grouped.setdefault(key, []).append(server)
        self.members = {
            key: Members(tuple(servers), sum(server.slots for server in servers))
            for key, servers in grouped.items()
        }
        regions: dict[str, list[str]] = {}
        for service, region in sorted(grouped):
            regions.setdefault(service, []).append(region)
        self.regions = {service: tuple(names) for service, names in regions.items()}

    def is_member(self, server: Server) -> bool:
        """Tell whether a server may get requests now, as far as this host knows."""
        return self.holds(server) and self._is_eligible(server)

    def _is_eligible(self, server: Server) -> bool:
        """Tell whether a server has a service, stays, and is in no evacuated zone."""
        if self.services is not None and server.service not in self.services:
            return False
        if server.incarnation in self.leaving:
            return False
        return server.zone not in self.evacuated_zones


NO_MEMBERS: Final = Members()
