"""Simulate hosts that share servers without seeing each other's requests."""

import heapq
import random
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from greengagepoint.placing.allowance import (
    create_move_allowance,
    create_wait_allowance,
)
from greengagepoint.placing.busy_servers import BusyServer, BusyServers
from greengagepoint.placing.choice import (
    NoServerAvailable,
    Permissions,
    ServerCriteria,
    choose,
)
from greengagepoint.placing.ranking import RankCache
from greengagepoint.placing.region_loads import RegionLoad, RegionLoads
from greengagepoint.placing.spilling import (
    RemoteRegion,
    can_spill_key,
    choose_with_spill,
)
from greengagepoint.placing.tables import Server, ServerTable
from greengagepoint.placing.warm_keys import WarmKeys

SERVICE = "booking"
REGION = "attiki"
REMOTE_REGION = "dytiki"
REMOTE_ROUND_TRIP_SECONDS = 0.04
QUEUE_LIMIT = 27


class Workload(NamedTuple):
    """Set the goal, the deadline and the run times of requests, in seconds.

    A server is warm for the last ``cached_keys`` keys that it ran.
    """

    goal: float = 0.4
    deadline: float = 2.5
    cold_seconds: float = 0.48
    warm_seconds: float = 0.144
    cached_keys: int = 60


DEFAULT_WORKLOAD = Workload()

Policy = Callable[["Host", str, float, random.Random], Server | NoServerAvailable]


@dataclass
class SimulatedServer:
    """Simulate a backend server with its slots, queue and warm keys."""

    slots: int
    workload: Workload = DEFAULT_WORKLOAD
    busy: int = 0
    queue: list = field(default_factory=list)
    warm: OrderedDict = field(default_factory=OrderedDict)

    def run_seconds(self, key: str) -> float:
        load = self.workload
        seconds = load.warm_seconds if key in self.warm else load.cold_seconds
        self.warm[key] = True
        self.warm.move_to_end(key)
        if len(self.warm) > load.cached_keys:
            self.warm.popitem(last=False)
        return seconds


class Host:
    """Hold the state from which one host chooses servers."""

    def __init__(
        self,
        servers: int,
        slots: int,
        hosts: int,
        remote: int = 0,
        workload: Workload = DEFAULT_WORKLOAD,
    ) -> None:
        self.workload = workload
        self.table = ServerTable()
        for index in range(servers + remote):
            name = f"i-{index}"
            region = REGION if index < servers else REMOTE_REGION
            self.table.servers[name] = Server(
                name, SERVICE, "", "zone", region, slots, senders=hosts
            )
        self.table.rebuild()
        self.ranks = RankCache()
        self.waiting = create_wait_allowance()
        self.moving = create_move_allowance()
        self.warm_keys = WarmKeys()
        self.loads = RegionLoads(REGION)
        self.busy_servers = BusyServers()
        self.lost = 0.0


@dataclass
class Outcome:
    """Count requests by their result."""

    in_time: int = 0
    late: int = 0
    rejected: int = 0
    shed: int = 0

    @property
    def total(self) -> int:
        return self.in_time + self.late + self.rejected + self.shed


def choose_by_key(
    host: Host, key: str, now: float, _: random.Random
) -> Server | NoServerAvailable:
    """Choose as a host does within one region."""
    warm = host.warm_keys.servers(key, now)
    load = host.workload
    criteria = ServerCriteria(
        SERVICE, [REGION], key, load.goal, load.deadline, warm=warm
    )
    host.waiting.deposit()
    host.moving.deposit()
    permissions = Permissions(
        lambda _: True, host.waiting.withdraw, host.moving.withdraw
    )
    chosen = choose(host.table, host.ranks, criteria, permissions, now)
    if isinstance(chosen, Server):
        host.warm_keys.note(key, chosen.incarnation, now)
    return chosen


def choose_with_spilling(
    host: Host, key: str, now: float, _: random.Random
) -> Server | NoServerAvailable:
    """Choose as a host does if another region may run the key too."""
    warm = host.warm_keys.servers(key, now)
    load = host.workload
    criteria = ServerCriteria(
        SERVICE, [REGION], key, load.goal, load.deadline, warm=warm
    )
    host.waiting.deposit()
    permissions = Permissions(lambda _: True, host.waiting.withdraw, lambda: False)

    def may_spill(server: Server) -> bool:
        return can_spill_key(
            key, host.lost, host.loads.busy(SERVICE, server.region, now)
        )

    remote_regions = [RemoteRegion(REMOTE_REGION, REMOTE_ROUND_TRIP_SECONDS)]
    chosen = choose_with_spill(
        host.table, host.ranks, criteria, remote_regions, permissions, may_spill, now
    )
    if isinstance(chosen, Server):
        host.warm_keys.note(key, chosen.incarnation, now)
    return chosen


def choose_assuming_equal_peers(host: Host, key: str, now: float, rng: random.Random):
    """Choose by key, but assume that each peer sends as much as this host."""
    for typical in host.table.typical.values():
        typical.busy = None
    return choose_by_key(host, key, now, rng)


def choose_less_loaded_of_two(
    host: Host, _key: str, now: float, rng: random.Random
) -> Server:
    """Choose the less loaded of two random servers, the simplest policy."""
    rows = rng.sample(list(host.table.servers.values()), 2)
    return min(rows, key=lambda row: row.occupancy(now))


def choose_next_in_rank(host: Host, key: str, now: float, _: random.Random) -> Server:
    """Choose the first ranked server with a short wait, though it may be cold."""
    ranked = host.ranks.rank(host.table, SERVICE, REGION, key)
    for server in ranked:
        if server.expected_wait(now) <= host.workload.goal / 2:
            return server
    return min(ranked, key=lambda row: row.expected_wait(now))


def simulate(
    policy: Policy,
    *,
    rate: float,
    seconds: float = 20.0,
    measured_from: float = 8.0,
    hosts: int = 6,
    servers: int = 8,
    slots: int = 9,
    keys: int = 120,
    seed: int = 1,
    remote: int = 0,
    remote_busy: float = 0.0,
    lost: float = 0.0,
    workload: Workload = DEFAULT_WORKLOAD,
    report_seconds: float | None = None,
) -> Outcome:
    """Simulate callers that arrive at ``rate`` and return the results.

    ``remote`` servers are in another region, where other callers constantly use
    ``remote_busy`` of their slots. ``lost`` is the share of its own slots that the
    local region has lost. A report of a full server reaches each host after
    ``report_seconds`` on average; None if hosts do not share reports.
    """
    rng = random.Random(seed)
    fleet = [Host(servers, slots, hosts, remote, workload) for _ in range(hosts)]
    for host in fleet:
        host.lost = lost
    machines = [SimulatedServer(slots, workload) for _ in range(servers + remote)]
    for machine in machines[servers:]:
        machine.slots = round(slots * (1 - remote_busy))
    outcome, events, sequence = Outcome(), [], 0
    at = 0.0
    while at < seconds:
        at += rng.expovariate(rate)
        sequence += 1
        call = (rng.randrange(hosts), f"k{rng.randrange(keys)}", at)
        heapq.heappush(events, (at, sequence, "arrive", call, None))

    def start(machine, index, call, now):
        nonlocal sequence
        machine.busy += 1
        sequence += 1
        ends_at = now + machine.run_seconds(call[1])
        heapq.heappush(events, (ends_at, sequence, "end", call, index))

    def share_load(machine, index, now):
        """Send the load of a full server to all hosts, each with its own delay."""
        nonlocal sequence
        held = machine.busy + len(machine.queue)
        if report_seconds is None or held < slots:
            return
        for number in range(hosts):
            at = now + report_seconds * rng.uniform(0.3, 1.7)
            report = BusyServer(f"i-{index}", 0, held, round((at - now) * 1000))
            sequence += 1
            heapq.heappush(events, (at, sequence, "report", (number,), report))

    def count(name, call):
        if call[2] >= measured_from:
            setattr(outcome, name, getattr(outcome, name) + 1)

    while events:
        now, _, kind, call, index = heapq.heappop(events)
        host = fleet[call[0]]
        if kind == "report":
            host.busy_servers.take([index], host.table, now)
            continue
        if kind == "arrive":
            if remote:
                remote_used = slots * remote - sum(
                    row.slots for row in machines[servers:]
                )
                held = remote_used + sum(row.busy for row in machines[servers:])
                busy = RegionLoad(REMOTE_REGION, SERVICE, held / (slots * remote), 0.0)
                host.loads.take([busy], now)
            server = policy(host, call[1], now, rng)
            if isinstance(server, NoServerAvailable):
                count("rejected", call)
                continue
            index = int(server.instance[2:])
            machine = machines[index]
            if machine.busy < machine.slots:
                server.in_flight += 1
                start(machine, index, call, now)
            elif len(machine.queue) < QUEUE_LIMIT:
                server.in_flight += 1
                machine.queue.append(call)
            else:
                server.apply_report(slots, QUEUE_LIMIT, now)
                share_load(machine, index, now)
                count("shed", call)
            continue
        machine = machines[index]
        machine.busy -= 1
        server = host.table.servers[f"i-{index}"]
        server.in_flight -= 1
        server.apply_report(
            slots - machine.slots + machine.busy, len(machine.queue), now
        )
        share_load(machine, index, now)
        if not machine.queue:
            server.record_service_time(now - call[2])
        count("in_time" if now - call[2] <= workload.goal else "late", call)
        if machine.queue:
            start(machine, index, machine.queue.pop(0), now)
    return outcome
