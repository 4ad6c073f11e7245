"""Check each record alone."""

import ipaddress
import re
from collections.abc import Iterator
from typing import Final

from greengagepoint.errors import RecordError
from greengagepoint.records.faults import (
    Fault,
    bind,
    check_address,
    check_name,
    check_not_empty,
    check_range,
    check_time,
    check_unique,
    parse_time,
)
from greengagepoint.records.schemas import (
    CONCURRENT_REQUESTS_MAX,
    BackendServer,
    Callers,
    Cap,
    Drain,
    Record,
    RecordKind,
    Region,
    Route,
    Service,
    Shift,
    Site,
    Team,
)

PATH: Final = re.compile(r"/[A-Za-z0-9._~!$&'()*+,;=:@%/-]*")
METHOD: Final = re.compile(r"[A-Z]+")
DEADLINE_MS_MAX: Final = 3_600_000
LOOKUP_TTL_SECONDS_MAX: Final = 3600
CONNECTIONS_MAX: Final = 1_000_000
RATE_MAX: Final = 10_000_000.0
WEIGHT_MAX: Final = 1000.0
RAMP_SECONDS_MAX: Final = 86_400


def validate_record(record: Record) -> list[RecordError]:
    """Return what is wrong with a record taken alone."""
    kind = KINDS[type(record)]
    faults = [*check_name("name", record.name), *CHECKS[kind](record)]
    return [bind(kind, record.name, fault) for fault in faults]


def _region(region: Region) -> Iterator[Fault]:
    yield from check_not_empty("zones", region.zones)
    yield from check_unique("zones", region.zones)
    for index, zone in enumerate(region.zones):
        yield from check_name(f"zones[{index}]", zone)
    yield from check_range("capacity", region.capacity, 1, CONCURRENT_REQUESTS_MAX)


def _site(site: Site) -> Iterator[Fault]:
    yield from check_range("capacity", site.capacity, 1, CONCURRENT_REQUESTS_MAX)
    yield from check_unique("backend_servers", (b.name for b in site.backend_servers))
    for index, server in enumerate(site.backend_servers):
        yield from _backend_server(f"backend_servers[{index}]", server)


def _backend_server(field: str, server: BackendServer) -> Iterator[Fault]:
    yield from check_name(f"{field}.name", server.name)
    yield from check_address(f"{field}.address", server.address)
    yield from check_range(f"{field}.slots", server.slots, 1, CONCURRENT_REQUESTS_MAX)
    yield from check_range(
        f"{field}.connections", server.connections, 1, CONNECTIONS_MAX
    )


def _service(service: Service) -> Iterator[Fault]:
    yield from check_not_empty("sites", service.sites)
    yield from check_unique("sites", service.sites)
    yield from check_range(
        "max_deadline_ms", service.max_deadline_ms, 1, DEADLINE_MS_MAX
    )
    yield from check_range(
        "lookup_ttl_seconds", service.lookup_ttl_seconds, 1, LOOKUP_TTL_SECONDS_MAX
    )
    yield from check_unique(
        "routes",
        (
            f"{method} {route.path}".strip()
            for route in service.routes
            for method in route.methods or ("",)
        ),
    )
    for index, route in enumerate(service.routes):
        yield from _route(f"routes[{index}]", route, service.max_deadline_ms)


def _route(field: str, route: Route, max_deadline_ms: int) -> Iterator[Fault]:
    if not PATH.fullmatch(route.path):
        yield Fault(
            f"{field}.path", f"{route.path!r} is no path", "'/' and URL path characters"
        )
    for index, method in enumerate(route.methods):
        if not METHOD.fullmatch(method):
            yield Fault(
                f"{field}.methods[{index}]",
                f"{method!r} is no method",
                "capital letters, such as POST",
            )
    if route.repeatable and route.needs_key:
        yield Fault(
            f"{field}.needs_key",
            "a repeatable request needs no idempotency key",
            "at most one of repeatable and needs_key true",
        )
    yield from check_range(
        f"{field}.deadline_ms", route.deadline_ms, 1, max_deadline_ms
    )


def _team(team: Team) -> Iterator[Fault]:
    yield from check_range(
        "requests_per_second", team.requests_per_second, 0.001, RATE_MAX
    )
    yield from check_range("burst", team.burst, 1, CONCURRENT_REQUESTS_MAX)
    yield from check_range("weight", team.weight, 0.001, WEIGHT_MAX)


def _cap(cap: Cap) -> Iterator[Fault]:
    yield from check_range("limit", cap.limit, 0, CONCURRENT_REQUESTS_MAX)


def _shift(shift: Shift) -> Iterator[Fault]:
    yield from check_range("fraction", shift.fraction, 0.0, 1.0)
    yield from check_range("ramp_seconds", shift.ramp_seconds, 0, RAMP_SECONDS_MAX)
    yield from check_time("start_at", shift.start_at)
    if shift.from_site == shift.to_site:
        yield Fault("to_site", "is the site that it moves from", "another site")


def _drain(drain: Drain) -> Iterator[Fault]:
    yield from check_time("start_at", drain.start_at)
    if drain.leave_at is None:
        return
    yield from check_time("leave_at", drain.leave_at)
    start, leave = parse_time(drain.start_at), parse_time(drain.leave_at)
    if start is not None and leave is not None and leave <= start:
        yield Fault("leave_at", "is not after start_at", "a later time")


def _callers(callers: Callers) -> Iterator[Fault]:
    yield from check_not_empty("blocks", callers.blocks)
    yield from check_not_empty("regions", callers.regions)
    yield from check_unique("regions", callers.regions)
    for index, block in enumerate(callers.blocks):
        try:
            ipaddress.ip_network(block)
        except ValueError as error:
            yield Fault(f"blocks[{index}]", str(error), "CIDR, such as 10.1.0.0/16")


CHECKS: Final = {
    RecordKind.REGION: _region,
    RecordKind.SITE: _site,
    RecordKind.SERVICE: _service,
    RecordKind.TEAM: _team,
    RecordKind.CAP: _cap,
    RecordKind.SHIFT: _shift,
    RecordKind.DRAIN: _drain,
    RecordKind.CALLERS: _callers,
}
KINDS: Final[dict[type, RecordKind]] = {
    Region: RecordKind.REGION,
    Site: RecordKind.SITE,
    Service: RecordKind.SERVICE,
    Team: RecordKind.TEAM,
    Cap: RecordKind.CAP,
    Shift: RecordKind.SHIFT,
    Drain: RecordKind.DRAIN,
    Callers: RecordKind.CALLERS,
}
