"""What operators say of routes, services and callers' limits."""

from bisect import bisect_left
from collections.abc import Iterable
from enum import StrEnum
from typing import Final

import msgspec

from greengagepoint.accounts.tables import Account, AccountTable


class RequestKind(StrEnum):
    """What a request's kind says of repeating it."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    DOWNLOAD = "download"


REPEATABLE_KINDS: Final = frozenset({RequestKind.SAFE, RequestKind.DOWNLOAD})


class Destination(msgspec.Struct, frozen=True, gc=False):
    """A service and its weight among the destinations of one route."""

    service: str
    weight: float = 1.0


class Route(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """How requests under one path prefix of one host are treated.

    ``rank`` is the order under overload, 0 first. ``home_regions`` empty means any.
    Callers of a ``public`` route need no key of an account.
    Nothing in a route leads back to it, so the garbage collector need not know it; a
    full collection would walk through thousands of them in one step of the event loop.
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
        """Tell whether a request may run more than once."""
        return self.kind in REPEATABLE_KINDS


class ServicePolicy(msgspec.Struct, frozen=True, kw_only=True):
    """What all backend servers of a service have in common.

    ``cold_requests_per_second`` is what a cold server bears, summed over all hosts.
    """

    name: str
    connections_max: int = 400
    cold_seconds: float = 0.0
    cold_requests_per_second: float = 0.0


class CallerLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds on what a caller may send, and how slowly."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 64 * 1024 * 1024
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


class HostRoutes(msgspec.Struct):
    """The routes of one host name by prefix, which grow while a table is built.

    ``depth`` is the most slashes in a prefix; ``uneven`` are the lengths of prefixes
    that no slash ends, shortest first.
    """

    prefixes: dict[str, Route] = {}
    depth: int = 0
    uneven: list[int] = []

    def add(self, route: Route) -> None:
        """Add a route; of equal prefixes the first one counts."""
        prefix = route.prefix
        self.prefixes.setdefault(prefix, route)
        self.depth = max(self.depth, prefix.count("/"))
        if not prefix.endswith("/"):
            place = bisect_left(self.uneven, len(prefix))
            if self.uneven[place : place + 1] != [len(prefix)]:
                self.uneven.insert(place, len(prefix))

    def find(self, path: str) -> Route | None:
        """Return the route with the longest prefix that begins the path.

        It asks once for each slash of the path down to the deepest prefix, so neither
        the number of routes counts nor the length of a path.
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
    """One version of the configuration; host names are in lower case."""

    version: int
    hosts: dict[str, HostRoutes]
    services: dict[str, ServicePolicy]
    limits: CallerLimits = CallerLimits()
    urgent_ranks: dict[str, int] = {}
    accounts: AccountTable = msgspec.field(default_factory=AccountTable)

    def is_urgent(self, rank: int, service: str) -> bool:
        """Tell whether no request to a service comes before those of a rank."""
        return rank <= self.urgent_ranks.get(service, rank)


class RouteTableBuilder:
    """Gather one version of the configuration, a part at a time.

    Each call costs in proportion to what it adds and no more, so that a large version
    can be spread over many steps of an event loop.
    """

    def __init__(self, version: int, limits: CallerLimits) -> None:
        self.version = version
        self.limits = limits
        self.hosts: dict[str, HostRoutes] = {}
        self.services: dict[str, ServicePolicy] = {}
        self.urgent_ranks: dict[str, int] = {}
        self.accounts = AccountTable()

    def add_account(self, account: Account, keys: Iterable[str]) -> None:
        """Add a client account with its keys; raise ValueError that names no key."""
        self.accounts.add(account, keys)

    def add_route(self, host: str, route: Route) -> None:
        """Add a route of a host name, whatever the case of the name's letters."""
        self.hosts.setdefault(host.lower(), HostRoutes()).add(route)
        for destination in route.destinations:
            known = self.urgent_ranks.get(destination.service, route.rank)
            self.urgent_ranks[destination.service] = min(known, route.rank)

    def add_service(self, policy: ServicePolicy) -> None:
        """Add what is known of a service."""
        self.services[policy.name] = policy

    def table(self) -> RouteTable:
        """Return what was gathered; nothing may be added after that."""
        return RouteTable(
            version=self.version,
            hosts=self.hosts,
            services=self.services,
            limits=self.limits,
            urgent_ranks=self.urgent_ranks,
            accounts=self.accounts,
        )


def create_route_table(
    version: int,
    hosts: dict[str, list[Route]],
    services: list[ServicePolicy],
    limits: CallerLimits,
) -> RouteTable:
    """Return the table of all routes at once."""
    builder = RouteTableBuilder(version, limits)
    for host, routes in hosts.items():
        for route in routes:
            builder.add_route(host, route)
    for service in services:
        builder.add_service(service)
    return builder.table()


def find_route(table: RouteTable, host: str, path: str) -> Route | None:
    """Return the route with the longest prefix that begins the path."""
    rows = table.hosts.get(host_name(host).lower())
    return rows.find(path) if rows is not None else None


def host_name(host: str) -> str:
    """Return the name in a Host header, which may be followed by a port."""
    name, colon, port = host.rpartition(":")
    return name if colon and port.isdigit() else host
