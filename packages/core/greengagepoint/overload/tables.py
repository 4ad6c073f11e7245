"""Rows of the tables that admission works on."""

from collections import deque
from dataclasses import dataclass, field
from typing import Final, NamedTuple

from greengagepoint.errors import ErrorKind
from greengagepoint.overload.limiter import Limiter
from greengagepoint.records.schemas import RequestClass

CLASS_ORDER: Final = tuple(RequestClass)
HOLD_DEFAULT_SECONDS: Final = 0.05


class Ticket(NamedTuple):
    """One request that asks to be sent; times are monotonic seconds."""

    id: int
    team: str
    weight: float
    request_class: RequestClass
    ends_at: float
    arrived_at: float


class Admitted(NamedTuple):
    """The request may be sent now."""


class Queued(NamedTuple):
    """The request waits; ``wait_seconds`` is the estimate."""

    wait_seconds: float


class Refused(NamedTuple):
    """The request has not run; the caller may come back after some seconds."""

    kind: ErrorKind
    retry_after_seconds: int
    detail: str


class RefusedTicket(NamedTuple):
    """A request that waited and is given up."""

    ticket: Ticket
    refusal: Refused


class Released(NamedTuple):
    """What leaves the queue: requests to send now and requests to refuse now."""

    admitted: tuple[Ticket, ...]
    refused: tuple[RefusedTicket, ...]


@dataclass(slots=True)
class TeamQueue:
    """Waiting requests of one team; ``virtual_start`` is the tag of the first."""

    weight: float
    virtual_start: float
    tickets: deque[Ticket] = field(default_factory=deque)


@dataclass(slots=True)
class ClassQueue:
    """Waiting requests of one class, and its measured times in seconds.

    ``share`` is the fraction of the pool's admissions that go to the class.
    """

    teams: dict[str, TeamQueue] = field(default_factory=dict)
    virtual_time: float = 0.0
    length: int = 0
    in_flight: int = 0
    hold_mean: float = 0.0
    hold_deviation: float = 0.0
    share: float = 0.0


@dataclass(slots=True)
class Pool:
    """Admission to one service on this host."""

    limiter: Limiter
    queues: dict[RequestClass, ClassQueue] = field(
        default_factory=lambda: {name: ClassQueue() for name in CLASS_ORDER}
    )
    in_flight: dict[int, float] = field(default_factory=dict)
    hold_mean: float = HOLD_DEFAULT_SECONDS
    held_samples: int = 0
    turns: int = 0
    booked_until: float = 0.0

    @property
    def length(self) -> int:
        """Return how many requests wait."""
        return sum(queue.length for queue in self.queues.values())


def create_pool(limit: float, maximum: float) -> Pool:
    """Return an empty pool; ``limit`` is this host's share of the declared slots."""
    return Pool(Limiter(limit=limit, maximum=maximum, share=limit))
