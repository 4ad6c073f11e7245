"""What operators say of routes, services and callers' limits."""

from enum import StrEnum
from itertools import chain
from typing import Final

import msgspec


class RequestKind(StrEnum):
    """What a request's kind says of repeating it."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    DOWNLOAD = "download"


REPEATABLE_KINDS: Final = frozenset({RequestKind.SAFE, RequestKind.DOWNLOAD})


class Destination(msgspec.Struct, frozen=True):
    """A service and its weight among the destinations of one route."""

    service: str
    weight: float = 1.0


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """How requests under one path prefix of one host are treated.

    ``rank`` is the order under overload, 0 first. ``home_regions`` empty means any.
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


class RouteTable(msgspec.Struct, frozen=True, kw_only=True):
    """One version of the configuration; routes of a host stand longest prefix first."""

    version: int
    hosts: dict[str, tuple[Route, ...]]
    services: dict[str, ServicePolicy]
    limits: CallerLimits = CallerLimits()
    urgent_ranks: dict[str, int] = {}

    def is_urgent(self, route: Route, service: str) -> bool:
        """Tell whether no request to a service comes before those of a route."""
        return route.rank <= self.urgent_ranks.get(service, route.rank)


def create_route_table(
    version: int,
    hosts: dict[str, list[Route]],
    services: list[ServicePolicy],
    limits: CallerLimits,
) -> RouteTable:
    """Return the table, with the routes of each host in the order of their match."""
    ordered = {
        host.lower(): tuple(sorted(routes, key=lambda route: -len(route.prefix)))
        for host, routes in hosts.items()
    }
    by_name = {service.name: service for service in services}
    return RouteTable(
        version=version,
        hosts=ordered,
        services=by_name,
        limits=limits,
        urgent_ranks=_urgent_ranks(hosts),
    )


def _urgent_ranks(hosts: dict[str, list[Route]]) -> dict[str, int]:
    """Return the first rank among the routes to each service."""
    ranks: dict[str, int] = {}
    for route in chain.from_iterable(hosts.values()):
        for destination in route.destinations:
            known = ranks.get(destination.service, route.rank)
            ranks[destination.service] = min(known, route.rank)
    return ranks


def find_route(table: RouteTable, host: str, path: str) -> Route | None:
    """Return the route with the longest prefix that begins the path."""
    for route in table.hosts.get(_without_port(host).lower(), ()):
        if path.startswith(route.prefix):
            return route
    return None


def _without_port(host: str) -> str:
    """Return the name of a Host header."""
    name, colon, port = host.rpartition(":")
    return name if colon and port.isdigit() else host
