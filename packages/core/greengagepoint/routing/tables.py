"""The routing table: routes, services and callers' limits set by operators."""

from bisect import bisect_left
from collections import Counter
from collections.abc import Iterable
from enum import StrEnum
from typing import Final

import msgspec

from greengagepoint.accounts.tables import Account, AccountTable


class RequestKind(StrEnum):
    """The kind of a request, which decides whether it may be repeated.

    ``UPLOAD`` requests have large bodies and run at most once, ``DOWNLOAD`` requests
    have large answers and may be repeated.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    DOWNLOAD = "download"
    UPLOAD = "upload"


REPEATABLE_KINDS: Final = frozenset({RequestKind.SAFE, RequestKind.DOWNLOAD})


class Destination(msgspec.Struct, frozen=True, gc=False):
    """A service and its weight among the destinations of one route."""

    service: str
    weight: float = 1.0


class Route(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """How to handle requests under one path prefix of one host name.

    ``rank`` is the priority under overload, 0 first. Empty ``home_regions`` allow any
    region. Callers of a ``public`` route need no account key.
    Routes hold no reference cycles, so the garbage collector does not track them
    (``gc=False``); a full collection would otherwise visit thousands of them in one
    step of the event loop.
    """

    name: str
    prefix: str
    destinations: tuple[Destination, ...]
    kind: RequestKind = RequestKind.UNSAFE
    timeout_seconds: float | None = None
    goal_seconds: float = 1.0
    attempts_max: int = 1
    rank: int = 0
    affinity: bool = False
    home_regions: frozenset[str] = frozenset()
    public: bool = False

    @property
    def repeatable(self) -> bool:
        """Return True if a request may run more than once."""
        return self.kind in REPEATABLE_KINDS


class ServicePolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Settings shared by all backend servers of a service.

    ``cold_requests_per_second`` is the rate that a cold server can serve, summed over
    all hosts. Each server answers ``health_path`` with its load, once a slot is free;
    it is empty if there is none.
    """

    name: str
    connections_max: int = 400
    cold_seconds: float = 0.0
    cold_requests_per_second: float = 0.0
    health_path: str = ""


class CallerLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on the size of a caller's requests and on how slowly it may send them."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 64 * 1024 * 1024
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


class HostRoutes(msgspec.Struct):
    """The routes of one host name by prefix, mutable while a table is built.

    ``depth`` is the largest number of slashes in a prefix; ``uneven`` holds the lengths
    of prefixes without a trailing slash, in ascending order.
    """

    prefixes: dict[str, Route] = {}
    depth: int = 0
    uneven: list[int] = []

    def add(self, route: Route) -> None:
        """Add a route; the first of several routes with the same prefix wins."""
        prefix = route.prefix
        self.prefixes.setdefault(prefix, route)
        self.depth = max(self.depth, prefix.count("/"))
        if not prefix.endswith("/"):
            position = bisect_left(self.uneven, len(prefix))
            if self.uneven[position : position + 1] != [len(prefix)]:
                self.uneven.insert(position, len(prefix))

    def find(self, path: str) -> Route | None:
        """Return the route with the longest prefix that matches the path.

        The lookups are one for each slash in the path, up to ``depth``, and one for
        each length in ``uneven``, so their number depends neither on the number of
        routes nor on the length of the path.
        """
        found: Route | None = None
        end = 0
        for _ in range(self.depth):
            end = path.find("/", end) + 1
            if not end:
                break
            found = self.prefixes.get(path[:end], found)
        for length in self.uneven:
            if found is None or length > len(found.prefix):
                found = self.prefixes.get(path[:length], found)
        return found


class RouteTable(msgspec.Struct, frozen=True, kw_only=True):
    """One version of the configuration; host names are in lower case.

    ``competing_callers`` is True if some routes take uploads and routes differ in rank:
    uploads hold slots and memory of servers that more urgent requests need.
    ``service_goals`` are the mean goals of the services' routes in seconds.
    """

    version: int
    hosts: dict[str, HostRoutes]
    services: dict[str, ServicePolicy]
    limits: CallerLimits = CallerLimits()
    urgent_ranks: dict[str, int] = {}
    accounts: AccountTable = msgspec.field(default_factory=AccountTable)
    competing_callers: bool = False
    service_goals: dict[str, float] = {}

    def is_urgent(self, rank: int, service: str) -> bool:
        """Return True if no route to the service is more urgent than the rank."""
        return rank <= self.urgent_ranks.get(service, rank)


# A version that is passed on has 64 bits. One above that would also make every later
# configuration an older one.
VERSION_MAX: Final = 2**63 - 1


class RouteTableBuilder:
    """Build the table of one configuration version incrementally.

    The cost of each call is proportional to what it adds, so that building a large
    table can be spread over many steps of an event loop. Raise ValueError for a version
    out of range.
    """

    def __init__(self, version: int, limits: CallerLimits) -> None:
        if not 0 <= version <= VERSION_MAX:
            raise ValueError("the version is negative or does not fit into 64 bits")
        self.version = version
        self.limits = limits
        self.hosts: dict[str, HostRoutes] = {}
        self.services: dict[str, ServicePolicy] = {}
        self.urgent_ranks: dict[str, int] = {}
        self.ranks: set[int] = set()
        self.service_goals: dict[str, float] = {}
        self.routes_by_service: Counter[str] = Counter()
        self.has_uploads = False
        self.accounts = AccountTable()

    def add_account(self, account: Account, keys: Iterable[str]) -> None:
        """Add a client account with its keys.

        Raise ValueError for an invalid account; its text contains none of the keys.
        """
        self.accounts.add(account, keys)

    def add_route(self, host: str, route: Route) -> None:
        """Add a route of a host name, which is not case-sensitive."""
        self.hosts.setdefault(host.lower(), HostRoutes()).add(route)
        self.has_uploads |= route.kind is RequestKind.UPLOAD
        self.ranks.add(route.rank)
        for destination in route.destinations:
            lowest_rank = self.urgent_ranks.get(destination.service, route.rank)
            self.urgent_ranks[destination.service] = min(lowest_rank, route.rank)
            self._add_goal(destination.service, route.goal_seconds)

    def _add_goal(self, service: str, goal_seconds: float) -> None:
        """Add the goal of one more route to the mean of its service."""
        self.routes_by_service[service] += 1
        mean = self.service_goals.get(service, 0.0)
        step = (goal_seconds - mean) / self.routes_by_service[service]
        self.service_goals[service] = mean + step

    def add_service(self, policy: ServicePolicy) -> None:
        """Add the policy of a service."""
        self.services[policy.name] = policy

    def table(self) -> RouteTable:
        """Return the finished table; nothing may be added afterwards."""
        return RouteTable(
            version=self.version,
            hosts=self.hosts,
            services=self.services,
            limits=self.limits,
            urgent_ranks=self.urgent_ranks,
            accounts=self.accounts,
            competing_callers=self.has_uploads and len(self.ranks) > 1,
            service_goals=self.service_goals,
        )


def create_route_table(
    version: int,
    hosts: dict[str, list[Route]],
    services: list[ServicePolicy],
    limits: CallerLimits,
) -> RouteTable:
    """Build a table from all its routes and services in one call."""
    builder = RouteTableBuilder(version, limits)
    for host, routes in hosts.items():
        for route in routes:
            builder.add_route(host, route)
    for service in services:
        builder.add_service(service)
    return builder.table()


def find_route(table: RouteTable, host: str, path: str) -> Route | None:
    """Return the route of the host with the longest prefix that matches the path.

    Return None if the host or the path has no route.
    """
    host_routes = table.hosts.get(host_name(host).lower())
    return host_routes.find(path) if host_routes is not None else None


def host_name(host: str) -> str:
    """Return the name in a Host header, without its port."""
    name, colon, port = host.rpartition(":")
    return name if colon and port.isdigit() else host
