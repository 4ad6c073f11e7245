"""Tables of the backend servers known to one host."""

from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final

import msgspec

from greengagepoint.configuration import EMPTY, Configuration

LATENCIES_KEPT: Final = 64


class LeavingSource(StrEnum):
    """Who says that a backend server is leaving."""

    DRAIN_RECORD = "drain_record"
    OWN_SIGNAL = "own_signal"
    RECORD_REMOVED = "record_removed"
    HOST_LIST = "host_list"


class Outcome(StrEnum):
    """How one request to a backend server ended."""

    ANSWERED = "answered"
    FAILED = "failed"
    REFUSED = "refused"
    SHED = "shed"
    CANCELLED = "cancelled"


class Load(msgspec.Struct, frozen=True):
    """What a backend server says of itself; counts are of requests."""

    in_flight: int
    slots: int
    queued: int = 0
    leaving: bool = False


def _latencies() -> deque[float]:
    """Return an empty window of service times in seconds."""
    return deque(maxlen=LATENCIES_KEPT)


def _pool() -> "Pool":
    """Return a pool for a row that is in none yet."""
    return Pool()


@dataclass(slots=True)
class BackendRow:
    """One backend server as this host sees it.

    Times are monotonic seconds. ``started_at`` is when a request was last sent.
    ``reported`` is the last load report, ``reported_at`` when it was true,
    ``reported_own`` whether this host had it from the server itself and
    ``own_at_report`` this host's part of it.
    ``trust`` is its weight, 0 to 1. ``warm`` estimates the connections that are open,
    ``slow_start_from`` is when requests to it began to ramp up (None: at full
    rate), ``signalled_at`` when it last said itself that it leaves. ``pool`` is
    what the row is in.
    """

    name: str
    service: str
    site: str
    address: str
    slots: int
    connections: int
    in_flight: int = 0
    started_at: float | None = None
    warm: int = 0
    window_peak: int = 0
    window_from: float = 0.0
    latency_seconds: float = 0.0
    answered: int = 0
    reported: Load | None = None
    reported_at: float = 0.0
    reported_own: bool = False
    own_at_report: int = 0
    trust: float = 1.0
    failures_in_row: int = 0
    failure_rate: float = 0.0
    ejected_until: float | None = None
    ejections: int = 0
    readmitted_at: float = float("-inf")
    ejection_wanted: bool = False
    slow_start_from: float | None = None
    leaving: set[LeavingSource] = field(default_factory=set)
    signalled_at: float = 0.0
    pool: "Pool" = field(default_factory=_pool)
    leaving_told: bool = False
    drained_told: bool = False
    distrust_told: bool = False


RowKey = tuple[str, str, str]
PoolKey = tuple[str, str]


@dataclass(slots=True)
class Pool:
    """The backend servers of one service at one site.

    ``latencies`` are the newest service times in seconds, ``others_a_slot`` the
    mean of what reports say of other hosts' requests; ``probed_at`` is when a pool
    that is down was last tried. ``active`` tells that the periodic work has something
    to do: of a thousand sites a host sends to few. ``shed_share`` is the part of its
    requests that were shed, as of ``shed_at``. ``last_choice`` is for policies that go
    round.
    """

    rows: list[BackendRow] = field(default_factory=list)
    latencies: deque[float] = field(default_factory=_latencies)
    others_a_slot: float = 0.0
    probed_at: float = float("-inf")
    shed_share: float = 0.0
    shed_at: float = 0.0
    active: bool = True
    last_choice: int = 0


@dataclass(slots=True)
class BackendTable:
    """All backend servers by (service, site, name) and pools by (service, site).

    ``next_drain_wall_ms`` is when the next planned drain begins.
    """

    rows: dict[RowKey, BackendRow] = field(default_factory=dict)
    pools: dict[PoolKey, Pool] = field(default_factory=dict)
    synced: Configuration = EMPTY
    next_drain_wall_ms: int | None = None
