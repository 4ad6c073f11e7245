"""Types of the steering records at their newest schema versions."""

from collections.abc import Sequence
from enum import StrEnum
from typing import Final

import msgspec

CONCURRENT_REQUESTS_MAX: Final = 10_000_000


class RecordKind(StrEnum):
    """Kinds of steering records."""

    REGION = "region"
    SITE = "site"
    SERVICE = "service"
    TEAM = "team"
    CAP = "cap"
    SHIFT = "shift"
    DRAIN = "drain"
    CALLERS = "callers"


class RequestClass(StrEnum):
    """Order in which requests are kept under overload, most important first."""

    PAYMENT = "payment"
    LOOKUP = "lookup"
    ARCHIVE = "archive"


class StoreOutage(StrEnum):
    """What to do with a keyed request while the store is down."""

    REFUSE = "refuse"
    MEMORY_ONLY = "memory_only"


class DrainTarget(StrEnum):
    """What a drain empties."""

    BACKEND_SERVER = "backend_server"
    HOST = "host"
    SITE = "site"


class BackendServer(msgspec.Struct, frozen=True):
    """One backend server of a site; ``address`` is host:port."""

    name: str
    service: str
    address: str
    slots: int
    connections: int = 400


class Region(msgspec.Struct, frozen=True, kw_only=True):
    """A region; ``capacity`` is concurrent requests."""

    name: str
    zones: tuple[str, ...]
    capacity: int


class Site(msgspec.Struct, frozen=True, kw_only=True):
    """A data centre; ``capacity`` is concurrent requests."""

    name: str
    region: str
    zone: str
    capacity: int
    backend_servers: tuple[BackendServer, ...] = ()


class Cap(msgspec.Struct, frozen=True, kw_only=True):
    """The most concurrent requests that all hosts together send to a site."""

    name: str
    site: str
    limit: int


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """How requests under a path prefix of whole segments are treated; the longest wins.

    ``methods`` empty means all methods.
    """

    path: str
    methods: tuple[str, ...] = ()
    request_class: RequestClass = RequestClass.LOOKUP
    repeatable: bool = False
    needs_key: bool = False
    deadline_ms: int = 10_000


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """A service, the sites its traffic may go to, and its routes.

    ``max_deadline_ms`` bounds every request; it also bounds how long a lost
    host's share stays unused.
    """

    name: str
    sites: tuple[str, ...]
    routes: tuple[Route, ...] = ()
    max_deadline_ms: int = 30_000
    store_outage: StoreOutage = StoreOutage.REFUSE
    lookup_ttl_seconds: int = 5


class Team(msgspec.Struct, frozen=True, kw_only=True):
    """A team, its rate limit and its weight under overload."""

    name: str
    requests_per_second: float
    burst: int
    weight: float = 1.0


class Shift(msgspec.Struct, frozen=True, kw_only=True):
    """Move a fraction of a service's traffic between sites from a time on.

    ``start_at`` is RFC 3339 with an offset; ``fraction`` is 0 to 1.
    """

    name: str
    service: str
    from_site: str
    to_site: str
    fraction: float
    start_at: str
    ramp_seconds: int


class Drain(msgspec.Struct, frozen=True, kw_only=True):
    """Empty a backend server, a host or a site before it leaves.

    Times are RFC 3339 with an offset.
    """

    name: str
    target_kind: DrainTarget
    target: str
    start_at: str
    leave_at: str | None = None


class Callers(msgspec.Struct, frozen=True, kw_only=True):
    """Blocks of caller addresses (CIDR) and the order of regions for them.

    ``blocks`` of a record in force is a packed sequence: each pass unpacks it.
    """

    name: str
    blocks: Sequence[str]
    regions: tuple[str, ...]


Record = Region | Site | Service | Team | Cap | Shift | Drain | Callers

RECORD_TYPES: Final[dict[RecordKind, type[Record]]] = {
    RecordKind.REGION: Region,
    RecordKind.SITE: Site,
    RecordKind.SERVICE: Service,
    RecordKind.TEAM: Team,
    RecordKind.CAP: Cap,
    RecordKind.SHIFT: Shift,
    RecordKind.DRAIN: Drain,
    RecordKind.CALLERS: Callers,
}

NEWEST_VERSIONS: Final[dict[RecordKind, int]] = {
    RecordKind.REGION: 1,
    RecordKind.SITE: 1,
    RecordKind.SERVICE: 2,
    RecordKind.TEAM: 1,
    RecordKind.CAP: 1,
    RecordKind.SHIFT: 1,
    RecordKind.DRAIN: 1,
    RecordKind.CALLERS: 1,
}
