"""Model one service whose servers share machines that stall for a while."""

import heapq
import random
from bisect import bisect_right
from collections import Counter, OrderedDict, deque
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from greengagepoint.placing.allowance import (
    create_move_allowance,
    create_wait_allowance,
)
from greengagepoint.placing.busy_servers import BusyServers
from greengagepoint.placing.choice import Permissions, ServerCriteria
from greengagepoint.placing.finish import choose_by_finish
from greengagepoint.placing.ranking import RankCache
from greengagepoint.placing.run_times import RunTimes
from greengagepoint.placing.spilling import choose_with_spill
from greengagepoint.placing.tables import Server, ServerTable
from greengagepoint.placing.warm_keys import WarmKeys

SERVICE, REGION, PREFIX = "look", "north", "/"
SLOTS, QUEUE_MAX, ATTEMPTS_MAX = 3, 6, 2
GOAL, DEADLINE, WARM, COLD, ROUND_TRIP = 0.72, 4.0, 0.225, 0.75, 0.008
STALL_SECONDS, STALL_SHARE, STALL_PACE = 0.6, 0.15, 2.5


class Load(NamedTuple):
    """Set the size and the load of the model; rates are per second.

    The first ``frozen`` hosts handle nothing from 9 s to 13 s, and all that came then
    at once. Hosts exchange messages if ``gossip`` holds their number modulo 2.
    """

    servers: int = 109
    keys: int = 1134
    cached_keys: int = 14
    hosts: int = 24
    rate: float = 480.0
    seconds: float = 16.0
    measured_from: float = 8.0
    stalls: bool = True
    frozen: int = 0
    gossip: tuple[int, ...] = (0, 1)


@dataclass
class Request:
    """One request of a caller, with the server of its current attempt."""

    host: "Host"
    key: str
    arrived_at: float
    tried: set = field(default_factory=set)
    server: Any = None
    sent_at: float = 0.0
    believed_warm: bool | None = None
    ahead: float = 0.0
    expected: float = 0.0


class Machine:
    """A server that is warm for the last keys that it ran, on a machine that stalls."""

    def __init__(self, load: Load, rng: random.Random) -> None:
        self.cached_keys = load.cached_keys
        self.warm: OrderedDict = OrderedDict()
        self.queue: deque = deque()
        self.busy = 0
        self.stalls = [0.0]
        between = STALL_SECONDS * (1 - STALL_SHARE) / STALL_SHARE
        at = rng.uniform(0, between) if load.stalls else float("inf")
        while at < load.seconds + 30:
            self.stalls += [at, at + STALL_SECONDS]
            at += STALL_SECONDS + rng.uniform(0.5, 1.5) * between

    def pace(self, now: float) -> float:
        return 1.0 if bisect_right(self.stalls, now) % 2 else STALL_PACE

    def end_of(self, key: str, now: float) -> tuple[float, bool]:
        """Return when a run that starts now ends, and whether it is cold."""
        is_cold = key not in self.warm
        self.warm[key] = True
        self.warm.move_to_end(key)
        if len(self.warm) > self.cached_keys:
            self.warm.popitem(last=False)
        work = COLD if is_cold else WARM
        position = bisect_right(self.stalls, now)
        while position < len(self.stalls):
            pace = 1.0 if position % 2 else STALL_PACE
            if now + work * pace <= self.stalls[position]:
                return now + work * pace, is_cold
            work -= (self.stalls[position] - now) / pace
            now = self.stalls[position]
            position += 1
        return now + work, is_cold


class Host:
    """The state from which one host chooses, with either rule."""

    def __init__(self, load: Load, *, by_finish: bool, learns_pace: bool) -> None:
        self.by_finish = by_finish
        self.learns_pace = learns_pace
        self.table = ServerTable()
        for index in range(load.servers):
            name = f"i-{index}"
            row = Server(name, SERVICE, "", "z", REGION, SLOTS, senders=load.hosts)
            row.cold_until = -100.0
            self.table.servers[name] = row
        self.table.rebuild()
        self.ranks = RankCache()
        self.warm_keys = WarmKeys()
        self.waiting = create_wait_allowance()
        self.moving = create_move_allowance()
        self.busy_servers = BusyServers()
        self.run_times = RunTimes()
        self.reasons: Counter = Counter()

    def choose(self, request: Request, now: float) -> Any:
        spent = now - request.arrived_at
        goal = GOAL - spent if self.by_finish else GOAL
        criteria = ServerCriteria(
            SERVICE,
            [REGION],
            request.key,
            goal,
            DEADLINE - spent,
            frozenset(request.tried),
            self.warm_keys.servers(request.key, now),
            ROUND_TRIP,
        )
        permissions = Permissions(
            lambda row: True, self.waiting.withdraw, self.moving.withdraw
        )
        inputs = (self.table, self.ranks, criteria, (), permissions, lambda row: False)
        request.believed_warm = None
        if not self.by_finish:
            return choose_with_spill(*inputs, now)

        def explain(reason, finish):
            self.reasons[reason] += 1
            request.believed_warm = finish.is_warm
            request.expected = finish.seconds

        estimate = self.run_times.estimate(SERVICE, PREFIX, GOAL)
        return choose_by_finish(*inputs, estimate, now, explain)

    def finish(self, request: Request, machine: Machine, now: float) -> None:
        """Learn from an answer."""
        server, waiting = request.server, len(machine.queue)
        server.in_flight -= 1
        self.report(server, machine, now)
        seconds = now - request.sent_at
        if not waiting and request.ahead == 0:
            server.record_service_time(seconds)
        if request.believed_warm is not None and request.ahead > 0.5:
            longer = seconds > request.expected
            self.run_times.record_wait(SERVICE, was_longer=longer)
        if request.believed_warm is not None and not waiting and request.ahead <= 0.5:
            pace = machine.pace(now) if self.learns_pace else 1.0
            self.run_times.record(
                SERVICE,
                PREFIX,
                GOAL,
                (seconds - ROUND_TRIP) / pace,
                now,
                believed_warm=request.believed_warm,
            )

    def report(self, server: Server, machine: Machine, now: float) -> None:
        held = machine.busy + len(machine.queue)
        server.apply_report(machine.busy, len(machine.queue), now)
        self.busy_servers.note(server, held, now)
        if self.learns_pace:
            server.apply_pace(machine.pace(now), now)


class StallsModel:
    """Run requests of random keys from random hosts, and count what callers get."""

    def __init__(
        self, load: Load, *, by_finish: bool, learns_pace: bool = True, seed: int = 1
    ) -> None:
        self.load = load
        self.rng = random.Random(seed)
        self.machines = [Machine(load, self.rng) for _ in range(load.servers)]
        self.hosts = [
            Host(load, by_finish=by_finish, learns_pace=learns_pace)
            for _ in range(load.hosts)
        ]
        self.counts: Counter = Counter()
        self.events: list = []
        self.sequence = 0

    def run(self) -> Counter:
        at = 0.0
        while at < self.load.seconds:
            at += self.rng.expovariate(self.load.rate)
            host = self.rng.choice(self.hosts)
            key = f"k{self.rng.randrange(self.load.keys)}"
            self.push(at, self.arrive, Request(host, key, at))
        for tick in range(int(self.load.seconds / 0.5)):
            self.push(tick * 0.5, self.gossip)
        while self.events:
            now, _, act, args = heapq.heappop(self.events)
            act(now, *args)
        return self.counts

    def push(self, at: float, act: Any, *args: Any) -> None:
        self.sequence += 1
        heapq.heappush(self.events, (at, self.sequence, act, args))

    def count(self, name: str, request: Request) -> None:
        if request.arrived_at >= self.load.measured_from:
            self.counts[name] += 1

    def gossip(self, now: float) -> None:
        """Let each host exchange its reports of full servers with a random peer."""
        linked = [
            host
            for number, host in enumerate(self.hosts)
            if number % 2 in self.load.gossip
        ]
        for host in linked:
            peer = self.rng.choice(linked)
            for one, other in ((host, peer), (peer, host)):
                reports = one.busy_servers.recent_reports(now)
                other.busy_servers.take(reports, other.table, now)

    def arrive(self, now: float, request: Request) -> None:
        if 9 <= now < 13 and request.host in self.hosts[: self.load.frozen]:
            self.push(13.0, self.arrive, request)
            return
        request.host.waiting.deposit()
        request.host.moving.deposit()
        self.send(now, request)

    def send(self, now: float, request: Request) -> None:
        """Choose a server, and begin to work or to wait there."""
        host = request.host
        server = host.choose(request, now) if self.has_attempt(request) else None
        if not isinstance(server, Server):
            self.count("refused", request)
            return
        request.server, request.sent_at = server, now
        request.ahead = server.requests_ahead(now)
        request.tried.add(server.incarnation)
        host.warm_keys.note(request.key, server.incarnation, now)
        machine = self.machines[int(server.instance[2:])]
        if machine.busy >= SLOTS and len(machine.queue) >= QUEUE_MAX:
            host.warm_keys.forget(request.key, server.incarnation)
            host.report(server, machine, now)
            self.count("shed", request)
            host.run_times.record_wait(SERVICE, was_longer=True)
            self.push(now + ROUND_TRIP, self.send, request)
            return
        server.in_flight += 1
        machine.queue.append(request)
        self.start(now, machine)

    def has_attempt(self, request: Request) -> bool:
        return len(request.tried) < ATTEMPTS_MAX

    def start(self, now: float, machine: Machine) -> None:
        while machine.queue and machine.busy < SLOTS:
            request = machine.queue.popleft()
            machine.busy += 1
            ends_at, is_cold = machine.end_of(request.key, now)
            self.count("cold" if is_cold else "warm", request)
            self.push(ends_at + ROUND_TRIP, self.end, request, machine)

    def end(self, now: float, request: Request, machine: Machine) -> None:
        machine.busy -= 1
        request.host.finish(request, machine, now)
        in_time = now - request.arrived_at <= GOAL
        self.count("in_time" if in_time else "late", request)
        self.start(now, machine)
