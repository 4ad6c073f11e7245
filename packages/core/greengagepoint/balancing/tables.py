"""Tables of backend servers and their state as seen by one host."""

from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final

import msgspec

from greengagepoint.configuration import EMPTY, Configuration

LATENCIES_MAX: Final = 64


class LeavingSource(StrEnum):
    """Source of the information that a backend server is leaving."""

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
    """Load reported by a backend server; counts are requests."""

    in_flight: int
    slots: int
    queued: int = 0
    leaving: bool = False


def _empty_latencies() -> deque[float]:
    """Return an empty window of service times in seconds."""
    return deque(maxlen=LATENCIES_MAX)


def _empty_pool() -> "Pool":
    """Return an empty pool for a row that is not in a pool yet."""
    return Pool()


@dataclass(slots=True)
class BackendRow:
    """State of one backend server as seen by this host; times are monotonic seconds.

    ``started_at`` is when a request was last sent. ``reported`` is the last load
    report, ``reported_at`` the time it describes, ``reported_directly`` whether it
    came from the server itself and not from a peer, and
    ``own_in_flight_at_report`` this host's requests in flight when it was received.
    ``trust`` is the weight of its reports, 0 to 1. ``warm_connections`` estimates the
    open connections, ``peak_in_flight`` is the most requests in flight since
    ``window_started_at``. ``slow_start_from`` is when slow start began (None: full
    rate), ``leaving_signal_at`` when a report last marked the server as leaving.
    """

    name: str
    service: str
    site: str
    address: str
    slots: int
    connections: int
    in_flight: int = 0
    started_at: float | None = None
    warm_connections: int = 0
    peak_in_flight: int = 0
    window_started_at: float = 0.0
    latency_seconds: float = 0.0
    answered: int = 0
    reported: Load | None = None
    reported_at: float = 0.0
    reported_directly: bool = False
    own_in_flight_at_report: int = 0
    trust: float = 1.0
    consecutive_failures: int = 0
    failure_rate: float = 0.0
    ejected_until: float | None = None
    ejections: int = 0
    readmitted_at: float = float("-inf")
    ejection_pending: bool = False
    slow_start_from: float | None = None
    leaving: set[LeavingSource] = field(default_factory=set)
    leaving_signal_at: float = 0.0
    pool: "Pool" = field(default_factory=_empty_pool)
    leaving_event_emitted: bool = False
    drained_event_emitted: bool = False
    distrust_event_emitted: bool = False


RowKey = tuple[str, str, str]
PoolKey = tuple[str, str]


@dataclass(slots=True)
class Pool:
    """The backend servers of one service at one site.

    ``latencies`` are the newest service times in seconds. ``peer_load_per_slot`` is the
    mean of the peers' requests per slot according to load reports. ``probed_at`` is
    when a pool that is down was last probed. ``active`` is False while the pool needs
    no periodic work: of a thousand sites, a host sends requests to few. ``shed_share``
    is the share of requests that were shed, as of ``shed_at``. ``last_choice`` is the
    position of the round-robin policy.
    """

    rows: list[BackendRow] = field(default_factory=list)
    latencies: deque[float] = field(default_factory=_empty_latencies)
    peer_load_per_slot: float = 0.0
    probed_at: float = float("-inf")
    shed_share: float = 0.0
    shed_at: float = 0.0
    active: bool = True
    last_choice: int = 0


@dataclass(slots=True)
class BackendTable:
    """All backend servers by (service, site, name) and pools by (service, site).

    ``synced_configuration`` is the one that the rows were last updated from.
    ``next_drain_wall_ms`` is when the next planned drain begins, in wall-clock
    milliseconds.
    """

    rows: dict[RowKey, BackendRow] = field(default_factory=dict)
    pools: dict[PoolKey, Pool] = field(default_factory=dict)
    synced_configuration: Configuration = EMPTY
    next_drain_wall_ms: int | None = None
