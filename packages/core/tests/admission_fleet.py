"""Simulate hosts that admit requests for servers which they share."""

import heapq
import random
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from greengagepoint.admission.levels import AdmissionLevels
from greengagepoint.admission.pressure import Pressures
from greengagepoint.admission.waiting import (
    Urgency,
    Waiting,
    WaitQueue,
    wait_until,
)
from greengagepoint.placing.busy_servers import BusyServers
from greengagepoint.placing.choice import MAX_WAIT_GOAL_SHARE
from greengagepoint.placing.tables import Server, ServerTable

SERVICE = "booking"
REGIONS = ("north", "south")
GOAL = 0.72
GOALS = {SERVICE: GOAL}
SLOTS = 3
RUN_SECONDS = 0.25
STEP_SECONDS = 0.5
RETRY_SECONDS = 0.025
TRIES_PER_CHECK = 4
QUEUE_LIMIT = 5
# Requests that arrive in the last seconds are not counted: most are still running.
END_SECONDS = 2.0


class Caller(NamedTuple):
    """A class of callers: the rank and account of its requests."""

    rank: int
    account: str = ""


# The urgent rank needs 0.6 of the capacity at 3 times the capacity.
CALLERS = {Caller(0): 0.2, Caller(1): 0.4, Caller(2): 0.4}


class Request(NamedTuple):
    caller: Caller
    arrived_at: float
    host: "Host"


@dataclass
class Machine:
    """A backend server with its slots and its queue."""

    running: int = 0
    queue: list[Request] = field(default_factory=list)


class Host:
    """The state from which one host decides."""

    def __init__(self, servers: int, hosts: int, region: str) -> None:
        self.table = ServerTable()
        for index in range(servers):
            home = REGIONS[index % len(REGIONS)]
            self.table.servers[f"i-{index}"] = Server(
                f"i-{index}", SERVICE, "", "zone", home, SLOTS, senders=hosts
            )
        self.table.rebuild()
        self.rows = list(self.table.servers.values())
        self.levels = AdmissionLevels(Pressures(region))
        self.busy_servers = BusyServers()
        self.queue = WaitQueue()
        self.waiting: dict[Waiting, Request] = {}
        self.frozen_until = 0.0
        self.is_cut_off = False

    def exchange(self, peer: "Host", now: float) -> None:
        """Send a peer what a gossip message contains."""
        reports = self.busy_servers.recent_reports(now)
        peer.busy_servers.take(reports, peer.table, now)
        figures = self.levels.pressures.recent(now)
        peer.levels.pressures.take(figures, peer.table, GOALS, now)


@dataclass
class Result:
    """Count requests by caller, and keep the admitted share of each host over time."""

    sent: Counter[Caller] = field(default_factory=Counter)
    in_time: Counter[Caller] = field(default_factory=Counter)
    answered: Counter[Caller] = field(default_factory=Counter)
    shed: Counter[Caller] = field(default_factory=Counter)
    busy: Counter[Caller] = field(default_factory=Counter)
    shares: list[tuple[float, list[float]]] = field(default_factory=list)
    seconds: float = 0.0
    capacity: float = 0.0

    @property
    def goodput(self) -> float:
        """Return the answers in time as a share of the capacity."""
        return self.in_time.total() / (self.seconds * self.capacity)

    def add(self, other: "Result") -> None:
        """Add the counts of another run."""
        for name in ("sent", "in_time", "answered", "shed", "busy"):
            getattr(self, name).update(getattr(other, name))
        self.seconds += other.seconds
        self.capacity = other.capacity

    def served(self, caller: Caller) -> float:
        """Return the share of a caller's requests that were answered."""
        return self.answered[caller] / self.sent[caller]

    @property
    def served_of_all(self) -> float:
        """Return the share of all requests that were answered."""
        return self.answered.total() / self.sent.total()


Disturb = Callable[[float, list[Host]], None]


class Fleet:
    """Run a fleet of hosts with callers that arrive at random."""

    def __init__(
        self, hosts: int, servers: int, seed: int = 1, *, admission: bool = True
    ) -> None:
        self.admission = admission
        self.random = random.Random(seed)
        self.machines = [Machine() for _ in range(servers)]
        self.hosts = [
            Host(servers, hosts, REGIONS[index % len(REGIONS)])
            for index in range(hosts)
        ]
        self.events: list = []
        self.count = 0
        self.result = Result(capacity=servers * SLOTS / RUN_SECONDS)
        self.measured_from = self.measured_until = 0.0

    def run(
        self,
        load: Callable[[float], float],
        callers: Mapping[Caller, float] = CALLERS,
        seconds: float = 28.0,
        measured_from: float = 14.0,
        disturb: Disturb = lambda now, hosts: None,
    ) -> Result:
        """Run callers at ``load`` times the capacity, divided as in ``callers``."""
        self.measured_from = measured_from
        self.measured_until = seconds - END_SECONDS
        self.result.seconds = self.measured_until - measured_from
        names, weights = list(callers), list(callers.values())
        self._push(0.0, self._step_all, disturb)
        now = 0.0
        while now < seconds:
            now += self.random.expovariate(load(now) * self.result.capacity)
            (caller,) = self.random.choices(names, weights)
            host = self.random.choice(self.hosts)
            self._push(now, self._arrive, Request(caller, now, host))
        while self.events and self.events[0][0] < seconds:
            at, _, act, argument = heapq.heappop(self.events)
            act(at, argument)
        return self.result

    def _push(self, at: float, act: Callable, argument: object) -> None:
        self.count += 1
        heapq.heappush(self.events, (at, self.count, act, argument))

    def _step_all(self, now: float, disturb: Disturb) -> None:
        """Let each host exchange with a peer and update its levels."""
        disturb(now, self.hosts)
        awake = [host for host in self.hosts if host.frozen_until <= now]
        if not self.admission:
            self._push(now + STEP_SECONDS, self._step_all, disturb)
            for host in awake:
                host.exchange(self.random.choice(awake), now)
            return
        for host in awake:
            peer = self.random.choice(awake)
            if peer is not host and host.is_cut_off == peer.is_cut_off:
                host.exchange(peer, now)
                peer.exchange(host, now)
            host.levels.step(host.table, GOALS, now)
        shares = [host.levels.services[SERVICE].control.share for host in awake]
        self.result.shares.append((now, shares))
        self._push(now + STEP_SECONDS, self._step_all, disturb)

    def _count(self, name: str, request: Request) -> None:
        if self.measured_from <= request.arrived_at < self.measured_until:
            getattr(self.result, name)[request.caller] += 1

    def _arrive(self, now: float, request: Request) -> None:
        if request.host.frozen_until > now:
            return
        self._count("sent", request)
        rank, account = request.caller
        draw = self.random.random()
        levels = request.host.levels
        decision = levels.decide(SERVICE, rank, account, draw, now)
        if not decision.admitted:
            self._count("shed", request)
        elif not self._place(now, request):
            wait = min(row.expected_wait(now) for row in request.host.rows)
            levels.pressures.record_busy(request.host.table, SERVICE, wait, now)
            self.count += 1
            urgency = Urgency(rank, 1 - decision.probability, now + 9, self.count)
            until = wait_until(now, now + 9, GOAL, RUN_SECONDS, now)
            self._wait(now, Waiting(urgency, SERVICE, until), request)

    def _wait(self, now: float, row: Waiting, request: Request) -> None:
        """Add a request to the queue of its host."""
        host = request.host
        if not host.queue.rows:
            self._push(now + RETRY_SECONDS, self._check, host)
        host.waiting[row] = request
        displaced = host.queue.add(row)
        if displaced is not None:
            self._count("busy", host.waiting.pop(displaced))

    def _check(self, now: float, host: Host) -> None:
        """End the waits that are over, and try again for the next requests."""
        for row in host.queue.pop_expired(now):
            self._count("busy", host.waiting.pop(row))
        chosen = host.queue.pop_next(TRIES_PER_CHECK)
        for row in chosen:
            self._try_again(now, host, row)
        if host.queue.rows:
            self._push(now + RETRY_SECONDS, self._check, host)

    def _try_again(self, now: float, host: Host, row: Waiting) -> None:
        """Place a waiting request, or return it to the queue."""
        if self._place(now, host.waiting[row]):
            del host.waiting[row]
        else:
            host.queue.add(row)

    def _place(self, now: float, request: Request) -> bool:
        """Send to the first of three servers, or the better of the other two."""
        host = request.host
        goal_left = request.arrived_at + GOAL - now
        max_wait = MAX_WAIT_GOAL_SHARE * goal_left
        chosen, *others = self.random.sample(host.rows, 3)
        if chosen.expected_wait(now) > max_wait:
            chosen = min(others, key=lambda row: row.expected_wait(now))
        if chosen.expected_wait(now) > max_wait:
            return False
        machine = self.machines[int(chosen.instance[2:])]
        if len(machine.queue) >= QUEUE_LIMIT:
            self._report(now, chosen, machine, request.host)
            return False
        chosen.in_flight += 1
        machine.queue.append((request, chosen))
        self._start(now, machine)
        return True

    def _report(self, now: float, row: Server, machine: Machine, host: Host) -> None:
        """Apply the load that a machine reports in a response."""
        row.apply_report(machine.running, len(machine.queue), now)
        held = machine.running + len(machine.queue)
        host.busy_servers.note(row, held, now)
        host.levels.pressures.record_load(row, held, now)

    def _start(self, now: float, machine: Machine) -> None:
        """Start the next request of a machine if it has a free slot."""
        if machine.running < SLOTS and machine.queue:
            machine.running += 1
            request, row = machine.queue.pop(0)
            run = self.random.uniform(0.6, 1.4) * RUN_SECONDS
            self._push(now + run, self._end, (request, row, machine, run))

    def _end(self, now: float, ended: tuple) -> None:
        request, row, machine, run = ended
        machine.running -= 1
        self._start(now, machine)
        row.in_flight -= 1
        row.record_service_time(run)
        self._report(now, row, machine, request.host)
        waiting = request.host.queue.pop_first(SERVICE)
        if waiting is not None:
            self._try_again(now, request.host, waiting)
        self._count("answered", request)
        if now - request.arrived_at <= GOAL:
            self._count("in_time", request)
