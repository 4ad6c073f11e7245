"""Simulate hosts that decide by demand, callers in waves, and regions of servers."""

import heapq
import math
import random
from collections import Counter
from dataclasses import dataclass, field
from typing import NamedTuple

from greengagepoint.demand.regional import RegionalDemand
from greengagepoint.demand.shares import reassign_lost, settled_target
from greengagepoint.placing.regions import (
    CHANGE_PER_SECOND,
    local_weights,
    region_for_key,
    step_toward,
)
from greengagepoint.placing.tables import Server, ServerTable

SERVICE = "downloads"
WAVE_SECONDS = 36.0
WAVE = 0.55
PERIOD_SECONDS = 0.5
REMOTE_SECONDS = 0.04


class Work(NamedTuple):
    """Run times, the goal, and how many keys servers keep and callers use.

    ``keys`` is the mean of the exponential distribution of keys in each region; the
    keys of all regions are about as many as all servers keep warm.
    """

    warm_seconds: float = 0.183
    cold_seconds: float = 0.61
    goal_seconds: float = 0.824
    keys_per_slot: float = 4.0
    keys: int = 60


class Host:
    """One host: its figures and the weights of its callers' keys."""

    def __init__(self, name, home, servers, regions):
        self.name = name
        self.home = home
        self.regions = regions
        self.demand = RegionalDemand(name, home, frozenset(regions), servers)
        self.demand.table.services = {SERVICE}
        self.servers = servers
        self.target = None
        self.targets = 0
        self.is_frozen = False
        self.region_host_count = 1
        self.weights = self.equal()

    def slots(self):
        names = self.servers.regions_of(SERVICE)
        return {name: self.servers.find(SERVICE, name).slots for name in names}

    def equal(self):
        return local_weights(self.slots(), self.home, len(self.regions))

    def tick(self, now):
        self.demand.tick(self.region_host_count, now)
        slots = self.slots()
        shares = self.demand.shares(SERVICE, slots, now) or self.equal()
        target = settled_target(self.target, shares, slots)
        self.targets += self.target not in (None, target)
        self.target = target
        usable = reassign_lost(self.weights, target, slots)
        self.weights = step_toward(usable, target, CHANGE_PER_SECOND * PERIOD_SECONDS)

    def send(self, other, now):
        """Send an exchange message."""
        if self.home == other.home:
            other.demand.table.take_hosts(self.demand.table.recent_hosts(now), now)
        other.demand.table.take_regions(self.demand.table.recent_regions(now), now)


@dataclass
class Servers:
    """All servers of a region: free times of their slots, and warm keys."""

    slots: int
    work: Work
    free_at: list[float] = field(init=False)
    warm: dict[str, None] = field(default_factory=dict)

    def __post_init__(self):
        self.free_at = [0.0] * self.slots

    def run(self, key, now):
        """Run a request; return the seconds until its response, and if it is cold."""
        is_cold = key not in self.warm
        self.warm.pop(key, None)
        self.warm[key] = None
        if len(self.warm) > self.work.keys_per_slot * self.slots:
            del self.warm[next(iter(self.warm))]
        starts_at = max(now, heapq.heappop(self.free_at))
        ends_at = starts_at + self.run_seconds(is_cold)
        heapq.heappush(self.free_at, ends_at)
        return ends_at - now, is_cold

    def run_seconds(self, is_cold):
        return self.work.cold_seconds if is_cold else self.work.warm_seconds


class DemandFleet:
    """Hosts, callers and servers of some regions, stepped by half a second."""

    def __init__(self, slots, rates, *, work=None, hosts=4, is_on=True, seed=1):
        self.work = work or Work()
        self.random = random.Random(seed)
        self.rates = rates
        self.is_on = is_on
        self.table = ServerTable()
        self.table.demand.uneven_servers = is_on
        for region, count in slots.items():
            row = Server(region, SERVICE, "", f"{region}-1", region, count)
            self.table.servers[region] = row
        self.table.rebuild()
        self.servers = {
            name: Servers(count, self.work) for name, count in slots.items()
        }
        self.hosts = [
            Host(f"{region}-{number}", region, self.table, sorted(rates))
            for region in rates
            for number in range(hosts)
        ]
        for host in self.hosts:
            host.region_host_count = hosts
        self.counts = Counter()
        self.places = {}
        self.history = []
        self.cut = set()
        self.now = 0.0

    def of(self, region):
        return [host for host in self.hosts if host.home == region]

    def advance(self, seconds):
        for _ in range(round(seconds / PERIOD_SECONDS)):
            for region in self.rates:
                self.arrive(region)
            self.now += PERIOD_SECONDS
            for host in self.hosts:
                if not host.is_frozen:
                    host.tick(self.now)
            self.exchange()
            self.history.append({h.name: dict(h.weights) for h in self.hosts})

    def exchange(self):
        for host in self.hosts:
            local = self.random.random() < 0.8
            peers = [row for row in self.hosts if (row.home == host.home) == local]
            peer = self.random.choice([row for row in peers if row is not host])
            is_cut = (host.home in self.cut) != (peer.home in self.cut)
            if not (host.is_frozen or peer.is_frozen or is_cut):
                host.send(peer, self.now)
                peer.send(host, self.now)

    def rate(self, region):
        phase = sorted(self.rates).index(region) / len(self.rates)
        wave = math.sin(2 * math.pi * (self.now / WAVE_SECONDS + phase))
        return self.rates[region] * (1 + WAVE * wave)

    def arrive(self, region):
        """Let the callers of a region send for half a second."""
        mean = self.rate(region) * PERIOD_SECONDS
        count = max(0, round(self.random.gauss(mean, math.sqrt(mean))))
        hosts = [host for host in self.of(region) if not host.is_frozen]
        for number in range(count):
            at = self.now + PERIOD_SECONDS * number / count
            key = f"{region}-{int(self.random.expovariate(1 / self.work.keys))}"
            self.serve(self.random.choice(hosts), key, at)

    def serve(self, host, key, now):
        place = region_for_key(key, host.weights)
        seconds, is_cold = self.servers[place].run(key, now)
        run = self.servers[place].run_seconds(is_cold)
        host.demand.count(SERVICE, now)
        if seconds <= run + 1e-9:
            host.demand.record_run(SERVICE, run)
        if place != host.home:
            seconds += REMOTE_SECONDS
        self.counts["requests"] += 1
        self.counts["cold"] += is_cold
        self.counts["in_time"] += seconds <= self.work.goal_seconds
        former = self.places.get((host.name, key), place)
        self.counts["moved"] += former != place
        self.places[host.name, key] = place

    def share(self, name):
        return self.counts[name] / self.counts["requests"]
