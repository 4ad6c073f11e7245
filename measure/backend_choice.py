"""Compare policies for the choice of a backend server on the same arrivals."""

import heapq
import random
import time
from collections import deque
from dataclasses import dataclass, field
from typing import Final, NamedTuple

from greengagepoint.balancing.choice import (
    choose,
    record_request_end,
    record_request_start,
)
from greengagepoint.balancing.policies import POLICIES
from greengagepoint.balancing.reports import record_load_report
from greengagepoint.balancing.rows import sync_rows
from greengagepoint.balancing.system import run as run_balancing
from greengagepoint.balancing.tables import BackendRow, BackendTable, Load, Outcome
from greengagepoint.configuration import EMPTY, Configuration
from greengagepoint.records.schemas import BackendServer, Site
from measure.figure import Figure

HOSTS: Final = 4
SERVERS: Final = 6
SLOTS: Final = 10
SERVICE_SECONDS: Final = 0.050
CONNECTION_SECONDS: Final = 0.001
UTILISATION: Final = 0.85
SECONDS: Final = 8.0
WARM_UP_SECONDS: Final = 2.0
POLL_SECONDS: Final = 1.0
TICK_SECONDS: Final = 0.25
KEEP_ALIVE_SECONDS: Final = 15.0
COLD_FACTOR: Final = 4.0
COLD_SECONDS: Final = 5.0
SLOW_FACTOR: Final = 3.0
SEED: Final = 5
BASELINE: Final = "least_in_flight"
OURS: Final = "score"


class Scenario(NamedTuple):
    """What is unusual in a replay.

    ``header`` reports load with each answer; ``busy_host`` is the share of requests
    that one host gets beyond its even part.
    """

    name: str
    utilisation: float = UTILISATION
    header: bool = True
    lying: int = 0
    cold: int = 0
    slow: int = 0
    failing: int = 0
    hosts: int = HOSTS
    slots: int = SLOTS
    service_seconds: float = SERVICE_SECONDS
    busy_host: float = 0.0
    polled: bool = True
    seconds: float = SECONDS


ARCHIVES: Final = Scenario(
    "archives", hosts=12, slots=3, service_seconds=2.0, seconds=400.0
)
SCENARIOS: Final = (
    Scenario("even"),
    Scenario("even, 12 hosts", hosts=12),
    Scenario("even, polled reports only", header=False),
    Scenario("light", utilisation=0.02, seconds=60.0),
    ARCHIVES,
    ARCHIVES._replace(name="archives, polled reports only", header=False),
    ARCHIVES._replace(name="archives, no reports", header=False, polled=False),
    Scenario("one server reports itself idle", lying=1),
    Scenario("two cold starts", cold=2, utilisation=0.6),
    Scenario("one slow server", slow=1, utilisation=0.6),
    Scenario("one server refuses all", failing=1, utilisation=0.6),
)


class Arrival(NamedTuple):
    """One request: when, at which entry host, and how long its work takes."""

    at: float
    host: int
    work_seconds: float


class Result(NamedTuple):
    """Latencies in seconds, the longest queue and the shares by request.

    ``failed`` is the share that failed, ``connections`` new ones by request.
    """

    p50: float
    p99: float
    queue_max: int
    failed: float
    connections: float


@dataclass(slots=True)
class Server:
    """One simulated backend server: slots and a queue without end."""

    number: int
    name: str
    busy: int = 0
    queue: deque = field(default_factory=deque)
    cold_from: float | None = None
    connections: dict[int, int] = field(default_factory=dict)

    def seconds(self, work: float, now: float, scenario: Scenario) -> float:
        """Return how long a request takes in a slot."""
        if self.number < scenario.slow:
            work *= SLOW_FACTOR
        if self.cold_from is not None:
            warm = min(1.0, (now - self.cold_from) / COLD_SECONDS)
            work *= COLD_FACTOR + (1.0 - COLD_FACTOR) * warm
        return work

    def load(self, scenario: Scenario) -> Load:
        """Return what the server says of itself."""
        if self.number < scenario.lying:
            return Load(0, scenario.slots)
        return Load(self.busy, scenario.slots, len(self.queue))


def arrivals(scenario: Scenario, seed: int = SEED) -> list[Arrival]:
    """Return the recorded arrivals, the same for every policy."""
    draw = random.Random(seed)
    seconds = scenario.seconds
    slots = SERVERS * scenario.slots
    rate = slots / scenario.service_seconds * scenario.utilisation
    found: list[Arrival] = []
    now = 0.0
    while now < seconds:
        now += draw.expovariate(rate)
        work = draw.lognormvariate(-0.32, 0.8) * scenario.service_seconds
        host = draw.randrange(scenario.hosts)
        if draw.random() < scenario.busy_host:
            host = 0
        found.append(Arrival(now, host, work))
    return found


def configuration(servers: int = SERVERS, slots: int = SLOTS) -> Configuration:
    """Return the records of one site."""
    rows = tuple(
        BackendServer(f"b{number}", "booking", f"b{number}:80", slots)
        for number in range(servers)
    )
    site = Site(name="s", region="r", zone="z", capacity=1000, backend_servers=rows)
    return EMPTY._replace(generation=servers, sites={"s": site})


class Replay:
    """Replay arrivals through one policy."""

    def __init__(self, scenario: Scenario, policy: str, trace: list[Arrival]) -> None:
        self.scenario = scenario
        self.policy = POLICIES[policy]
        self.trace = trace
        self.random = random.Random(SEED + 1)
        self.servers = {f"b{i}": Server(i, f"b{i}") for i in range(SERVERS)}
        self.tables = [BackendTable() for _ in range(scenario.hosts)]
        self.events: list[tuple] = []
        self.serial = 0
        self.latencies: list[float] = []
        self.failed = 0
        self.queue_max = 0
        self.opened = 0

    def run(self) -> Result:
        """Return what callers met."""
        cold = self.scenario.cold
        self.sync(SERVERS - cold, 0.0)
        for arrival in self.trace:
            self.add(arrival.at, "arrive", arrival)
        for tick in range(int(self.scenario.seconds / TICK_SECONDS)):
            self.add(tick * TICK_SECONDS, "tick", None)
        polls = int(self.scenario.seconds / POLL_SECONDS) if self.scenario.polled else 0
        for poll in range(polls):
            self.add(poll * POLL_SECONDS + 0.01, "poll", None)
        if cold:
            self.add(self.scenario.seconds / 3, "join", None)
        while self.events:
            now, _serial, kind, detail = heapq.heappop(self.events)
            getattr(self, f"on_{kind}")(now, detail)
        times = sorted(self.latencies)
        return Result(
            times[len(times) // 2],
            times[int(len(times) * 0.99)],
            self.queue_max,
            self.failed / len(self.trace),
            self.opened / len(self.trace),
        )

    def add(self, at: float, kind: str, detail: object) -> None:
        """Plan an event."""
        self.serial += 1
        heapq.heappush(self.events, (at, self.serial, kind, detail))

    def sync(self, servers: int, now: float) -> None:
        """Put records in force on all hosts."""
        records = configuration(servers, self.scenario.slots)
        for table in self.tables:
            sync_rows(table, records, now, 0)

    def on_join(self, now: float, _detail: object) -> None:
        """Let the cold servers join."""
        for server in self.servers.values():
            if server.number >= SERVERS - self.scenario.cold:
                server.cold_from = now
        self.sync(SERVERS, now)

    def on_tick(self, now: float, _detail: object) -> None:
        """Run the periodic work of all hosts."""
        for table in self.tables:
            run_balancing(table, now)
        if now % KEEP_ALIVE_SECONDS == 0:
            self.close_idle_connections()

    def close_idle_connections(self) -> None:
        """Close the connections that no request is on."""
        for number, table in enumerate(self.tables):
            for row in table.rows.values():
                self.servers[row.name].connections[number] = row.in_flight

    def on_poll(self, now: float, _detail: object) -> None:
        """Share a report of each server with all hosts, half a second old."""
        loads = {
            name: server.load(self.scenario) for name, server in self.servers.items()
        }
        self.add(now + POLL_SECONDS / 2, "shared", loads)

    def on_shared(self, now: float, loads: dict[str, Load]) -> None:
        """Take shared reports in."""
        for table in self.tables:
            for row in table.rows.values():
                record_load_report(row, loads[row.name], now, POLL_SECONDS / 2)

    def on_arrive(self, now: float, arrival: Arrival) -> None:
        """Choose a server for a request and queue it there."""
        table = self.tables[arrival.host]
        row = choose(table, "booking", "s", now, self.random, policy=self.policy)
        if row is None:
            self.failed += 1
            return
        server = self.servers[row.name]
        open_before = server.connections.get(arrival.host, 0)
        cost = 0.0
        if row.in_flight >= open_before:
            cost = CONNECTION_SECONDS
            self.opened += 1
        record_request_start(row, now)
        server.connections[arrival.host] = max(open_before, row.in_flight)
        if server.number < self.scenario.failing:
            self.failed += 1
            self.add(now + 0.001, "refuse", row)
            return
        self.add(now + cost, "reach", (arrival, row))

    def on_refuse(self, now: float, row: BackendRow) -> None:
        """Let a host see that its request was refused."""
        record_request_end(row, Outcome.REFUSED, 0.001, now)

    def on_reach(self, now: float, detail: tuple[Arrival, BackendRow]) -> None:
        """Take a request into a slot or the queue."""
        server = self.servers[detail[1].name]
        if server.busy < self.scenario.slots:
            self.begin(server, now, detail)
            return
        server.queue.append(detail)
        self.queue_max = max(self.queue_max, len(server.queue))

    def begin(self, server: Server, now: float, detail: tuple) -> None:
        """Put a request into a slot."""
        server.busy += 1
        seconds = server.seconds(detail[0].work_seconds, now, self.scenario)
        self.add(now + seconds, "end", detail)

    def on_end(self, now: float, detail: tuple[Arrival, BackendRow]) -> None:
        """Answer a request and take the next from the queue."""
        arrival, row = detail
        server = self.servers[row.name]
        server.busy -= 1
        latency = now - arrival.at
        record_request_end(row, Outcome.ANSWERED, latency, now)
        if self.scenario.header:
            record_load_report(row, server.load(self.scenario), now)
        if arrival.at >= WARM_UP_SECONDS:
            self.latencies.append(latency)
        if server.queue:
            self.begin(server, now, server.queue.popleft())


def run() -> list[Figure]:
    """Replay each scenario with each policy; compare with the least in flight."""
    figures = []
    for scenario in SCENARIOS:
        trace = arrivals(scenario)
        results = {name: Replay(scenario, name, trace).run() for name in POLICIES}
        figures += _figures(scenario, results)
    return [*figures, _cost()]


def _figures(scenario: Scenario, results: dict[str, Result]) -> list[Figure]:
    """Return the figures of one scenario."""
    figures = []
    base = results[BASELINE]
    for name, result in results.items():
        prefix = f"backend choice, {scenario.name}: {name}"
        rows = [
            ("p50", result.p50 * 1e3, base.p50 * 1e3, "ms"),
            ("p99", result.p99 * 1e3, base.p99 * 1e3, "ms"),
            ("longest queue", result.queue_max, base.queue_max, "requests"),
        ]
        if scenario.name == "light":
            opened, base_opened = result.connections, base.connections
            rows.append(("new connections", opened, base_opened, "by request"))
        if scenario.failing:
            rows.append(("failed", result.failed * 100, base.failed * 100, "%"))
        for label, value, baseline, unit in rows:
            figures.append(Figure(f"{prefix} {label}", value, unit, baseline, BASELINE))
    return figures


def _cost() -> Figure:
    """Return the processor time of one choice beside a random one."""
    table = BackendTable()
    sync_rows(table, configuration(), 0.0, 0)
    draw = random.Random(SEED)
    costs = {}
    for name in ("random", OURS):
        begun = time.process_time()
        for _ in range(10_000):
            choose(table, "booking", "s", 1.0, draw, policy=POLICIES[name])
        costs[name] = (time.process_time() - begun) * 100
    return Figure("backend choice: cost", costs[OURS], "us", costs["random"], "random")
