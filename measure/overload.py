"""Replay one set of arrivals against admission and against an unbounded queue."""

import heapq
import random
from collections import deque
from collections.abc import Callable
from functools import partial
from time import process_time
from typing import Final, NamedTuple, Protocol

from greengagepoint.overload import admission
from greengagepoint.overload.tables import Admitted, Rejected, Ticket, create_pool
from greengagepoint.records.schemas import RequestClass
from measure.figure import Figure

SEED: Final = 20_26
SLOTS: Final = 20
SERVICE_SECONDS: Final = 0.05
SERVICE_SIGMA: Final = 0.5
DURATION_SECONDS: Final = 12.0
WARM_UP_SECONDS: Final = 4.0
ROUND_TRIP_SECONDS: Final = 0.006
TICK_SECONDS: Final = 0.1
TRIES_MAX: Final = 10
LOADS: Final = (0.7, 1.0, 1.5, 3.0)
START_LIMITS: Final = (SLOTS // 4, SLOTS * 3)
CLASSES: Final = (
    (RequestClass.PAYMENT, 0.2, 2.0),
    (RequestClass.LOOKUP, 0.7, 1.0),
    (RequestClass.ARCHIVE, 0.1, 5.0),
)
HOSTS: Final = 4
OFFERS: Final = 10_000
TEAMS: Final = ("drivers", "partners", "fleet")


class Arrival(NamedTuple):
    """One request of the recorded load; seconds."""

    at: float
    request_class: RequestClass
    team: str
    deadline: float
    work: float


class Result(NamedTuple):
    """Answers in time a second, and the 99th percentile of answers in seconds."""

    goodput: float
    p99_by_class: dict[RequestClass, float]


class Way(Protocol):
    """One way to put requests before the backend servers."""

    def offer(self, ticket: Ticket, now: float) -> int | None:
        """Take a request; return seconds to come back after if it is refused."""

    def finish(self, ticket: Ticket, latency: float, now: float) -> None:
        """Note the end of a request."""

    def tick(self, now: float) -> None:
        """Run periodic work."""


class Replay:
    """Arrivals, backend slots and callers in discrete time."""

    def __init__(self, arrivals: list[Arrival], *, obey: bool) -> None:
        self.arrivals = arrivals
        self.obey = obey
        self.events: list[tuple[float, int, Callable[[float], None]]] = []
        self.order = 0
        self.last_id = 0
        self.rows: dict[int, tuple[Arrival, int, float]] = {}
        self.waiting: deque[tuple[Ticket, float]] = deque()
        self.busy = 0
        self.latencies: list[tuple[float, float, RequestClass]] = []
        self.way: Way

    def at(self, when: float, action: Callable[[float], None]) -> None:
        """Plan an action."""
        self.order += 1
        heapq.heappush(self.events, (when, self.order, action))

    def run(self, way: Way) -> Result:
        """Play everything and sum up."""
        self.way = way
        for arrival in self.arrivals:
            self.at(arrival.at, lambda now, row=arrival: self.arrive(row, 1, now))
        ticks = int(DURATION_SECONDS / TICK_SECONDS)
        for number in range(ticks):
            self.at(number * TICK_SECONDS, way.tick)
        while self.events and self.events[0][0] <= DURATION_SECONDS:
            when, _, action = heapq.heappop(self.events)
            action(when)
        return self.sum_up()

    def arrive(self, arrival: Arrival, tries: int, now: float) -> None:
        """Offer a request; a caller that keeps trying has a shorter deadline left."""
        first_at = arrival.at
        ends_at = (now if self.obey else first_at) + arrival.deadline
        if ends_at <= now:
            return
        self.last_id += 1
        ticket = Ticket(
            self.last_id, arrival.team, 1.0, arrival.request_class, ends_at, now
        )
        self.rows[ticket.id] = (arrival, tries, now)
        seconds = self.way.offer(ticket, now)
        if seconds is not None:
            self.refused(ticket, seconds, now)

    def refused(self, ticket: Ticket, seconds: int, now: float) -> None:
        """Let a refused caller come back as told, or at once."""
        arrival, tries, _ = self.rows.pop(ticket.id)
        if tries >= TRIES_MAX:
            return
        wait = seconds if self.obey else ROUND_TRIP_SECONDS
        self.at(now + wait, lambda when: self.arrive(arrival, tries + 1, when))

    def send(self, ticket: Ticket, now: float) -> None:
        """Hand a request to the backend servers, which queue what they can't run."""
        self.waiting.append((ticket, now))
        self.start(now)

    def start(self, now: float) -> None:
        """Run what has a slot."""
        while self.waiting and self.busy < SLOTS:
            ticket, sent_at = self.waiting.popleft()
            self.busy += 1
            work = self.rows[ticket.id][0].work
            self.at(now + work, lambda when, t=ticket, s=sent_at: self.end(t, s, when))

    def end(self, ticket: Ticket, sent_at: float, now: float) -> None:
        """Free the slot and note whether the caller was still there."""
        self.busy -= 1
        _, _, offered_at = self.rows.pop(ticket.id)
        if now <= ticket.ends_at:
            row = (now, now - offered_at, ticket.request_class)
            self.latencies.append(row)
        self.way.finish(ticket, now - sent_at, now)
        self.start(now)

    def sum_up(self) -> Result:
        """Count answers in time after the warm-up."""
        rows = [row for row in self.latencies if row[0] >= WARM_UP_SECONDS]
        seconds = DURATION_SECONDS - WARM_UP_SECONDS
        by_class = {
            name: percentile([row[1] for row in rows if row[2] is name], 0.99)
            for name, _, _ in CLASSES
        }
        return Result(len(rows) / seconds, by_class)


def percentile(values: list[float], fraction: float) -> float:
    """Return a quantile, or infinity where there are no values."""
    ordered = sorted(values)
    return ordered[int(len(ordered) * fraction)] if ordered else float("inf")


class Unbounded:
    """Send everything on; the queue has no bound and no deadline."""

    def __init__(self, replay: Replay) -> None:
        self.replay = replay

    def offer(self, ticket: Ticket, now: float) -> int | None:
        """Send at once."""
        self.replay.send(ticket, now)

    def finish(self, ticket: Ticket, latency: float, now: float) -> None:
        """Do nothing."""

    def tick(self, now: float) -> None:
        """Do nothing."""


class WithAdmission:
    """Send what admission lets through."""

    def __init__(self, replay: Replay, start_limit: float = SLOTS) -> None:
        self.replay = replay
        self.start_limit = start_limit
        self.pool = create_pool(start_limit, 10 * SLOTS)
        self.random = random.Random(SEED)

    def offer(self, ticket: Ticket, now: float) -> int | None:
        """Ask admission."""
        answer = admission.offer(self.pool, ticket, now, self.random)
        if isinstance(answer, Rejected):
            return answer.retry_after_seconds
        if isinstance(answer, Admitted):
            self.replay.send(ticket, now)
        return None

    def finish(self, ticket: Ticket, latency: float, now: float) -> None:
        """Free the place and send what follows."""
        self.take(admission.finish(self.pool, ticket, latency, now, self.random), now)

    def tick(self, now: float) -> None:
        """Give up what can't finish."""
        self.take(admission.expire(self.pool, now, self.random), now)

    def take(self, released: admission.Released, now: float) -> None:
        """Send and refuse what left the queue."""
        for ticket in released.admitted:
            self.replay.send(ticket, now)
        for ticket, refusal in released.refused:
            self.replay.refused(ticket, refusal.retry_after_seconds, now)


class WithFixedLimit(WithAdmission):
    """The same, with a limit that stays where it started."""

    def finish(self, ticket: Ticket, latency: float, now: float) -> None:
        """Undo what was learnt."""
        super().finish(ticket, latency, now)
        self.pool.limiter.limit = self.start_limit
        self.pool.limiter.probe_until = float("-inf")


class Several:
    """Several hosts over the same backend servers, each with its own admission."""

    def __init__(self, replay: Replay, way: type[WithAdmission], busy: float) -> None:
        self.hosts = [way(replay, SLOTS / HOSTS) for _ in range(HOSTS)]
        self.busy = busy

    def host_of(self, ticket: Ticket) -> WithAdmission:
        """Return the host that a caller goes to; one of them may get more."""
        if ticket.id % 100 < 100 * self.busy:
            return self.hosts[0]
        return self.hosts[ticket.id % HOSTS]

    def offer(self, ticket: Ticket, now: float) -> int | None:
        """Ask the host's admission."""
        return self.host_of(ticket).offer(ticket, now)

    def finish(self, ticket: Ticket, latency: float, now: float) -> None:
        """Free the place on the host."""
        self.host_of(ticket).finish(ticket, latency, now)

    def tick(self, now: float) -> None:
        """Run all hosts' periodic work."""
        for host in self.hosts:
            host.tick(now)


def arrivals(load: float, seed: int = SEED) -> list[Arrival]:
    """Draw Poisson arrivals at a multiple of what the slots can carry."""
    draw = random.Random(seed)
    rate = load * SLOTS / SERVICE_SECONDS
    mean_log = -(SERVICE_SIGMA**2) / 2
    rows = []
    now = 0.0
    weights = [weight for _, weight, _ in CLASSES]
    while (now := now + draw.expovariate(rate)) < DURATION_SECONDS:
        name, _, deadline = draw.choices(CLASSES, weights)[0]
        work = SERVICE_SECONDS * draw.lognormvariate(mean_log, SERVICE_SIGMA)
        rows.append(Arrival(now, name, draw.choice(TEAMS), deadline, work))
    return rows


def replay(load: float, way: Callable[[Replay], Way], *, obey: bool) -> Result:
    """Play one load through one way."""
    player = Replay(arrivals(load), obey=obey)
    return player.run(way(player))


def run() -> list[Figure]:
    """Measure goodput and p99 of each load, with callers that obey and that don't."""
    figures = _at_all_loads("callers come back as told", obey=True)
    figures += _at_all_loads("callers retry at once", obey=False)
    for limit in START_LIMITS:
        figures += _against_fixed_limit(limit)
    figures += _several_hosts(LOADS[-1], 0.0, "evenly")
    figures += _several_hosts(1.0, 0.6, "60% of it on one")
    return [*figures, _processor_time()]


def _several_hosts(load: float, busy: float, spread: str) -> list[Figure]:
    """Measure hosts that know of each other only by the latency they see."""
    ways = (WithAdmission, WithFixedLimit)
    adaptive, fixed = (
        replay(load, partial(Several, way=way, busy=busy), obey=True) for way in ways
    )
    label = f"at {load} times capacity over {HOSTS} hosts, {spread}"
    return [
        Figure(
            f"overload: goodput {label}",
            adaptive.goodput,
            "requests/s",
            fixed.goodput,
            "fixed limit",
        ),
        *_p99(label, adaptive, fixed, "fixed limit"),
    ]


def _processor_time() -> Figure:
    """Measure what admission itself costs a request while 3 times too many come."""
    player = Replay([], obey=True)
    way = WithAdmission(player)
    rows = arrivals(LOADS[-1])[:OFFERS]
    tickets = [
        Ticket(number, row.team, 1.0, row.request_class, row.at + row.deadline, row.at)
        for number, row in enumerate(rows)
    ]
    started = process_time()
    for ticket in tickets:
        now = ticket.arrived_at
        admission.offer(way.pool, ticket, now, way.random)
        if ticket.id % 3 == 0 and way.pool.in_flight:
            first = next(iter(way.pool.in_flight))
            admission.finish(way.pool, tickets[first], SERVICE_SECONDS, now, way.random)
    spent = process_time() - started
    return Figure("overload: processor time", spent / OFFERS * 1e6, "us/request")


def _against_fixed_limit(limit: int) -> list[Figure]:
    """Measure what following the latency is worth when the records are wrong."""
    adaptive = replay(LOADS[-1], partial(WithAdmission, start_limit=limit), obey=True)
    fixed = replay(LOADS[-1], partial(WithFixedLimit, start_limit=limit), obey=True)
    label = f"at 3 times capacity, limit starts at {limit} with {SLOTS} slots"
    return [
        Figure(
            f"overload: goodput {label}",
            adaptive.goodput,
            "requests/s",
            fixed.goodput,
            "fixed limit",
        ),
        *_p99(label, adaptive, fixed, "fixed limit"),
    ]


def _p99(label: str, ours: Result, other: Result, other_name: str) -> list[Figure]:
    """Return the 99th percentile of each class; a class may have no answer in time."""
    return [
        Figure(
            f"overload: p99 of {name.value} {label}",
            ours.p99_by_class[name] * 1000,
            "ms",
            _finite(other.p99_by_class[name] * 1000),
            other_name,
        )
        for name, _, _ in CLASSES
    ]


def _finite(value: float) -> float | None:
    """Return None for infinity, which no report can show."""
    return value if value < float("inf") else None


def _at_all_loads(name: str, *, obey: bool) -> list[Figure]:
    """Measure one kind of callers against the unbounded queue."""
    figures = []
    goodput: dict[float, float] = {}
    for load in LOADS:
        ours = replay(load, WithAdmission, obey=obey)
        plain = replay(load, Unbounded, obey=obey)
        goodput[load] = ours.goodput
        label = f"at {load} times capacity, {name}"
        figures += [
            Figure(
                f"overload: goodput {label}",
                ours.goodput,
                "requests/s",
                plain.goodput,
                "unbounded queue",
            ),
            *_p99(label, ours, plain, "unbounded queue"),
        ]
    ratio = goodput[LOADS[-1]] / goodput[1.0]
    title = f"overload: goodput at 3 times over that at 1.0, {name}"
    return [*figures, Figure(title, ratio, "ratio", limit=0.9, at_least=True)]
