"""Data structures for admission control."""

from collections import deque
from dataclasses import dataclass, field
from typing import Final, NamedTuple

from greengagepoint.errors import ErrorKind
from greengagepoint.overload.limiter import Limiter
from greengagepoint.records.schemas import RequestClass

CLASS_ORDER: Final = tuple(RequestClass)
SERVICE_TIME_DEFAULT_SECONDS: Final = 0.05


class Ticket(NamedTuple):
    """One request that asks for admission; times are in monotonic seconds."""

    id: int
    team: str
    weight: float
    request_class: RequestClass
    ends_at: float
    arrived_at: float


class Admitted(NamedTuple):
    """The request may be sent now."""


class Queued(NamedTuple):
    """The request waits in the queue for an estimated ``wait_seconds``."""

    wait_seconds: float


class Rejected(NamedTuple):
    """The request has not run; the caller may retry after some seconds."""

    kind: ErrorKind
    retry_after_seconds: int
    detail: str


class RejectedTicket(NamedTuple):
    """A waiting request that was rejected."""

    ticket: Ticket
    rejection: Rejected


class Released(NamedTuple):
    """Requests that left the queue: admitted ones to send, and rejected ones."""

    admitted: tuple[Ticket, ...]
    refused: tuple[RejectedTicket, ...]


@dataclass(slots=True)
class TeamQueue:
    """Waiting requests of one team; ``virtual_start`` is the first one's start tag."""

    weight: float
    virtual_start: float
    tickets: deque[Ticket] = field(default_factory=deque)


@dataclass(slots=True)
class ClassQueue:
    """Waiting requests of one class, and its service times in seconds.

    ``share`` is the fraction of the pool's admissions that go to the class.
    """

    teams: dict[str, TeamQueue] = field(default_factory=dict)
    virtual_time: float = 0.0
    length: int = 0
    in_flight: int = 0
    service_time_mean: float = 0.0
    service_time_deviation: float = 0.0
    share: float = 0.0


@dataclass(slots=True)
class Pool:
    """Admission state of one service on this host."""

    limiter: Limiter
    queues: dict[RequestClass, ClassQueue] = field(
        default_factory=lambda: {name: ClassQueue() for name in CLASS_ORDER}
    )
    in_flight: dict[int, float] = field(default_factory=dict)
    service_time_mean: float = SERVICE_TIME_DEFAULT_SECONDS
    service_time_samples: int = 0
    turns: int = 0
    reserved_until: float = 0.0

    @property
    def length(self) -> int:
        """Return the number of waiting requests."""
        return sum(queue.length for queue in self.queues.values())


def create_pool(limit: float, maximum: float) -> Pool:
    """Return an empty pool; ``limit`` is this host's share of the declared slots."""
    return Pool(Limiter(limit=limit, maximum=maximum, share=limit))
