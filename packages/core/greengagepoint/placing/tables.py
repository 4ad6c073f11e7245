"""Track the backend servers that a host knows: membership, load and failures."""

import math
from dataclasses import dataclass, field
from typing import Final, NamedTuple

from greengagepoint.placing.demand_mode import DemandMode
from greengagepoint.placing.pace import USUAL_PACE, expected_pace
from greengagepoint.placing.typical_load import RUN_SECONDS_START, TypicalLoad

# Minimum time constant for the decay of a load report. If runs take longer, their
# duration is used, because a queue changes no faster than that. If reports were dropped
# at a fixed age, all hosts would send a burst once the report of a full queue expired.
REPORT_DECAY_SECONDS: Final = 1.0
# Servers shed load once two to three requests wait for each slot.
SHEDDING_QUEUE_PER_SLOT: Final = 2
SERVICE_SECONDS_WEIGHT: Final = 0.05
# Requests per second that a server gets whatever limit it names. An answer is needed to
# learn that a limit of zero has ended.
REQUEST_LIMIT_MIN: Final = 0.25


class Incarnation(NamedTuple):
    """Identify one incarnation of a backend server, which may restart under its id.

    ``born`` is its start time in Unix milliseconds, 0 if the server does not report it.
    A server keeps its address until it stops, so a different address also means a
    different incarnation.
    """

    instance: str
    born: int
    address: str


@dataclass(slots=True)
class Server:
    """Hold the state of one incarnation of a backend server.

    Times are monotonic seconds. A newer incarnation gets a new row; requests that are
    still in flight at the older one are counted in its own row, which is no longer in
    any table. ``others_in_flight`` is the number of requests from other hosts in the
    last load report, received at ``reported_at``. ``request_limit`` is the rate that
    the server takes from all hosts together, in requests per second, None if it named
    none; it wants nothing from this host before ``rest_until``. ``typical`` is shared
    by the members of a service in a region. ``initial_weight`` is the weight that the
    initial value still has in the moving average ``service_seconds``. ``pace`` is the
    factor by which work took longer on the server's machine at ``paced_at``.
    """

    instance: str
    service: str
    address: str
    zone: str
    region: str
    slots: int
    cold_until: float = 0.0
    in_flight: int = 0
    others_in_flight: int = 0
    reported_at: float = float("-inf")
    senders: int = 1
    suspect_until: float = 0.0
    failures: int = 0
    answered_at: float = float("-inf")
    service_seconds: float = RUN_SECONDS_START
    initial_weight: float = 1.0
    request_limit: float | None = None
    rest_until: float = 0.0
    born: int = 0
    pace: float = USUAL_PACE
    paced_at: float = float("-inf")
    typical: TypicalLoad = field(default_factory=TypicalLoad)
    incarnation: Incarnation = field(init=False)

    def __post_init__(self) -> None:
        """Build the incarnation once, because each request looks it up."""
        self.incarnation = Incarnation(self.instance, self.born, self.address)

    @property
    def run_seconds(self) -> float:
        """Return the estimated duration of a run on this server.

        While this host has few measurements of the server, the estimate relies on
        other servers of the same service and region.
        """
        correction = self.typical.cautious_run_seconds() - RUN_SECONDS_START
        return self.service_seconds + self.initial_weight * correction

    @property
    def usable_slots(self) -> float:
        """Return how many slots the server's request limit lets hosts use."""
        if self.request_limit is None:
            return self.slots
        limit = max(REQUEST_LIMIT_MIN, self.request_limit)
        return min(self.slots, limit * self.run_seconds)

    @property
    def is_measured(self) -> bool:
        """Return True if a report or a run time tells how long requests wait here."""
        return math.isfinite(self.reported_at) or self.typical.run_seconds is not None

    def is_resting(self, now: float) -> bool:
        """Return True if the server asked this host to send it nothing now."""
        return self.rest_until > now

    def is_unrestricted(self, now: float) -> bool:
        """Return True if any host may send to the server without a permission."""
        return self.cold_until <= now and self.request_limit is None

    def expected_pace(self, now: float) -> float:
        """Return the factor by which runs on the server take longer now."""
        return expected_pace(self.pace, now - self.paced_at)

    def apply_pace(self, pace: float, now: float) -> None:
        """Apply the pace that the server reported to this host."""
        self.pace = pace
        self.paced_at = now

    def requests_ahead(self, now: float) -> float:
        """Return how many requests must end before a new one gets a slot."""
        return max(0.0, self.occupancy(now) + 1 - self.slots)

    def occupancy(self, now: float) -> float:
        """Return the estimated number of requests running or queued at the server.

        The requests of other hosts come from the last load report. As the report ages,
        the estimate shifts to the typical load of servers like this one.
        """
        decay_seconds = max(REPORT_DECAY_SECONDS, self.run_seconds)
        weight = math.exp(-max(0.0, now - self.reported_at) / decay_seconds)
        estimated = self.typical.estimate_others(
            self.in_flight, self.slots, self.senders
        )
        return (
            self.in_flight + weight * self.others_in_flight + (1 - weight) * estimated
        )

    def expected_wait(self, now: float) -> float:
        """Return how many seconds a new request is expected to wait for a slot."""
        return self.requests_ahead(now) * self.run_seconds / self.slots

    def apply_report(self, running: int, waiting: int, now: float) -> None:
        """Apply a load report that this host received from the server."""
        self.others_in_flight = max(0, running + waiting - self.in_flight)
        self.reported_at = now
        self.typical.record_load((running + waiting) / self.slots)

    def apply_peer_report(self, held: int, at: float) -> None:
        """Apply a load report that a peer received from the server at time ``at``."""
        self.others_in_flight = max(0, held - self.in_flight)
        self.reported_at = at

    def apply_shedding(self, now: float) -> None:
        """Assume a full queue after the server shed a request without a load report."""
        self.apply_report(self.slots, SHEDDING_QUEUE_PER_SLOT * self.slots, now)

    def record_service_time(self, seconds: float) -> None:
        """Record the run time of a request, excluding its wait for a slot."""
        difference = seconds - self.service_seconds
        self.service_seconds += SERVICE_SECONDS_WEIGHT * difference
        self.initial_weight *= 1 - SERVICE_SECONDS_WEIGHT
        self.typical.record_run(seconds)


@dataclass(slots=True)
class Members:
    """Hold the servers of one service in one region that may receive requests.

    ``slots`` are those that request limits let hosts use.
    """

    servers: tuple[Server, ...] = ()
    slots: float = 0


@dataclass(slots=True)
class ServerTable:
    """Hold all backend servers and track which of them may receive requests.

    ``servers`` holds the newest incarnation of each id. ``services`` lists the services
    that may have members, None while they are unknown. ``limited`` are the servers
    with a request limit. ``demand`` tells whether the demand-aware decisions apply.
    ``version`` changes with the membership, so that cached ranks
    can be invalidated.

    ``key_weights`` are the weights other than 1 of servers in the ranking of keys, by
    instance id. ``key_homes`` are the numbers of homes of each key by region and
    service, where it is not 1. Both change with ``key_weights_version``.
    """

    servers: dict[str, Server] = field(default_factory=dict)
    limited: set[Incarnation] = field(default_factory=set)
    leaving: set[Incarnation] = field(default_factory=set)
    evacuated_zones: frozenset[str] = frozenset()
    services: frozenset[str] | None = None
    members: dict[tuple[str, str], Members] = field(default_factory=dict)
    regions: dict[str, tuple[str, ...]] = field(default_factory=dict)
    typical: dict[tuple[str, str], TypicalLoad] = field(default_factory=dict)
    demand: DemandMode = field(default_factory=DemandMode)
    version: int = 0
    key_weights: dict[str, float] = field(default_factory=dict)
    key_homes: dict[tuple[str, str], int] = field(default_factory=dict)
    key_weights_version: int = 0

    def set_key_placement(
        self, weights: dict[str, float], homes: dict[tuple[str, str], int]
    ) -> None:
        """Replace the weights of servers and the numbers of homes of keys."""
        if (weights, homes) != (self.key_weights, self.key_homes):
            self.key_weights, self.key_homes = weights, homes
            self.key_weights_version += 1

    def find(self, service: str, region: str) -> Members:
        """Return the members of a service in a region."""
        return self.members.get((service, region), NO_MEMBERS)

    def regions_of(self, service: str) -> tuple[str, ...]:
        """Return the regions in which a service has members, sorted by name."""
        return self.regions.get(service, ())

    def is_newest(self, server: Server) -> bool:
        """Return True if a server is the newest incarnation of its id."""
        return self.servers.get(server.instance) is server

    def set_senders(self, senders: int) -> None:
        """Set how many hosts, including this one, send to the same servers."""
        for server in self.servers.values():
            server.senders = senders

    def set_request_limit(self, server: Server, limit: float | None) -> None:
        """Set a server's request limit; the caller rebuilds the membership."""
        server.request_limit = limit
        if limit is not None:
            self.limited.add(server.incarnation)
        else:
            self.limited.discard(server.incarnation)

    def rebuild(self) -> None:
        """Recompute the members after a change."""
        self.version += 1
        grouped: dict[tuple[str, str], list[Server]] = {}
        for server in filter(self._is_eligible, self.servers.values()):
            key = (server.service, server.region)
            server.typical = self.typical.setdefault(key, TypicalLoad())
            grouped.setdefault(key, []).append(server)
        self.members = {
            key: Members(tuple(servers), sum(server.usable_slots for server in servers))
            for key, servers in grouped.items()
        }
        regions: dict[str, list[str]] = {}
        for service, region in sorted(grouped):
            regions.setdefault(service, []).append(region)
        self.regions = {service: tuple(names) for service, names in regions.items()}

    def is_member(self, server: Server) -> bool:
        """Return True if a server may receive requests now."""
        return self.is_newest(server) and self._is_eligible(server)

    def _is_eligible(self, server: Server) -> bool:
        """Return True if a server's service, state and zone let it receive requests."""
        if self.services is not None and server.service not in self.services:
            return False
        if server.incarnation in self.leaving:
            return False
        return server.zone not in self.evacuated_zones


NO_MEMBERS: Final = Members()
