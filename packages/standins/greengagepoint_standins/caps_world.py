"""Run caps on several fake hosts, with links, clocks and a store that may fail."""

import heapq
import random
from collections import Counter
from dataclasses import dataclass
from itertools import count
from typing import Any

from greengagepoint.caps.const import loan_expiry_seconds
from greengagepoint.caps.messages import LedgerChanged
from greengagepoint.caps.owners import update_live
from greengagepoint.caps.system import configure, run
from greengagepoint.caps.tables import Permit, create_table
from greengagepoint.hosts import HostIdentity
from greengagepoint_standins.caps_host import FakeHost
from greengagepoint_standins.caps_layout import (
    Layout,
    configuration,
    region_of,
    zone_of,
)
from greengagepoint_standins.caps_store import LedgerStore

# Half of the stated bound on the difference of two clocks, less a little.
CLOCK_RATE_SPREAD = 0.0045
CLOCK_OFFSET_MAX_SECONDS = 1000.0
KEPT_PART = 0.15
KEPT_MAX = 100


@dataclass
class Running:
    """A request at a backend server until the true time ``end``."""

    host: FakeHost | None
    permit: Permit
    end: float


class World:
    """Hosts, links, requests and the store; time moves in steps."""

    def __init__(
        self,
        layout: Layout,
        seed: int,
        *,
        step_seconds: float = 0.25,
        tick_steps: int = 1,
        link_seconds: float = 0.0,
    ) -> None:
        self.layout = layout
        self.random = random.Random(seed)
        self.step_seconds = step_seconds
        self.tick_steps = tick_steps
        self.link_seconds = link_seconds
        self.now = 0.0
        self.steps = 0
        self.hosts: dict[str, FakeHost] = {}
        self.store = LedgerStore()
        self.order = count()
        self.under_way: list[tuple[float, int, str, str, Any]] = []
        self.kept: list[tuple[str, str, Any]] = []
        self.cut: set[tuple[str, str]] = set()
        self.loss = 0.0
        self.delay = 0.0
        self.running: list[Running] = []
        self.generations = [configuration(layout, 1, layout.limits)]
        self.left_at: dict[int, float] = {}
        self.incarnations: Counter = Counter()
        self.sent: Counter = Counter()
        for name in layout.hosts:
            self.start(name)

    def start(self, name: str) -> None:
        """Start a new incarnation of a host."""
        self.incarnations[name] += 1
        identity = HostIdentity(
            name, self.incarnations[name], region_of(name), zone_of(name), "", ""
        )
        host = FakeHost(
            create_table(identity),
            self.random.uniform(0, CLOCK_OFFSET_MAX_SECONDS),
            1 + self.random.uniform(-CLOCK_RATE_SPREAD, CLOCK_RATE_SPREAD),
            self.generations[-1],
            self.layout.request_seconds,
        )
        configure(host.table, host.configuration)
        self.hosts[name] = host

    def kill(self, name: str) -> None:
        """End a process; its requests may run on until their deadlines."""
        host = self.hosts.pop(name, None)
        if host is None:
            return
        for request in self.running:
            if request.host is host:
                request.host = None
                request.end = host.true(request.permit.end_by)
        self.left_at[host.configuration.generation] = self.now

    def change_limits(self, limits: dict[str, int]) -> None:
        """Accept a configuration; hosts adopt it later."""
        generation = self.generations[-1].generation + 1
        self.generations.append(configuration(self.layout, generation, limits))

    def adopt(self, name: str) -> None:
        """Put the newest configuration in force on one host."""
        host = self.hosts.get(name)
        if host is None or host.paused:
            return
        self.left_at[host.configuration.generation] = self.now
        host.configuration = self.generations[-1]
        configure(host.table, host.configuration)

    def advance(self, seconds: float) -> None:
        """Let time pass."""
        for _ in range(max(1, round(seconds / self.step_seconds))):
            self.step()

    def step(self) -> None:
        """Let requests end and start, hosts tick, and messages arrive."""
        self.now += self.step_seconds
        self.steps += 1
        self._end_requests()
        names = list(self.hosts)
        self.random.shuffle(names)
        # Requests before ticks: a process that woke acts before it notices.
        self._start_requests(names)
        if self.steps % self.tick_steps == 0:
            for name in names:
                self._tick(name)
        self._deliver()
        self._deliver()
        self._start_requests(names)

    def _tick(self, name: str) -> None:
        """Run one host's periodic work."""
        host = self.hosts[name]
        if host.paused:
            return
        clock = host.clock(self.now)
        update_live(host.table, self._seen_by(name), clock)
        commands = run(host.table, clock)
        for outgoing in commands.messages:
            self.send(name, outgoing.host, outgoing.message)
        if not (commands.sync or host.write is not None):
            return
        if host.exchange(self.store, self.now):
            region = host.table.host.region
            changed = LedgerChanged(region, host.table.revision)
            for other in self.hosts:
                if other != name and region_of(other) == region:
                    self.send(name, other, changed)

    def _seen_by(self, name: str) -> list[HostIdentity]:
        """Return the hosts that one host sees; its suspicions may be wrong."""
        suspects = self.hosts[name].suspects
        contacts = self.hosts[name].contacts
        return [
            other.table.host
            for other_name, other in self.hosts.items()
            if not (other.paused or other.table.leaving)
            and other_name not in suspects
            and (contacts is None or other_name in contacts)
            and (other_name, name) not in self.cut
        ]

    def _end_requests(self) -> None:
        """End requests; a paused host finds out when it wakes."""
        still = []
        for request in self.running:
            host = request.host
            if self.now < request.end or (host is not None and host.paused):
                still.append(request)
            elif host is not None:
                host.end_request(request.permit)
        self.running = still

    def _start_requests(self, names: list[str]) -> None:
        """Let each host start what it wants and may."""
        for name in names:
            host = self.hosts[name]
            if host.paused:
                continue
            for site in host.wanted:
                for permit in host.start_requests(site, self.now):
                    end = host.true(permit.end_by)
                    self.running.append(Running(host, permit, end))
                for outgoing in host.ask_now(site, self.now):
                    self.send(name, outgoing.host, outgoing.message)

    def send(self, sender: str, receiver: str, message: Any) -> None:
        """Put a message on its way; some are lost, some come again later."""
        self.sent[sender] += 1
        if self.random.random() < self.loss:
            return
        seconds = self.random.uniform(0, self.delay)
        if region_of(sender) != region_of(receiver):
            seconds += self.link_seconds
        item = (self.now + seconds, next(self.order), sender, receiver, message)
        heapq.heappush(self.under_way, item)
        if self.random.random() < KEPT_PART and len(self.kept) < KEPT_MAX:
            self.kept.append((sender, receiver, message))

    def redeliver(self) -> None:
        """Deliver old messages (again), in any order."""
        self.random.shuffle(self.kept)
        for sender, receiver, message in self.kept:
            item = (self.now, next(self.order), sender, receiver, message)
            heapq.heappush(self.under_way, item)
        self.kept = []

    def _deliver(self) -> None:
        """Deliver what has arrived, in any order; replies go on their way."""
        arrived = []
        while self.under_way and self.under_way[0][0] <= self.now:
            arrived.append(heapq.heappop(self.under_way))
        self.random.shuffle(arrived)
        for _, _, sender, receiver, message in arrived:
            host = self.hosts.get(receiver)
            if host is None or host.paused or (sender, receiver) in self.cut:
                continue
            reply = host.handle(sender, message, self.now)
            if reply is not None:
                self.send(receiver, sender, reply)

    def in_flight(self) -> Counter:
        """Count requests at backend servers by site."""
        return Counter(
            request.permit.site for request in self.running if self.now < request.end
        )

    def allowed(self, site: str) -> int:
        """Return the largest limit that may still be in use somewhere.

        A limit outlives the hosts' change by what was started or lent under it.
        """
        held = {host.configuration.generation for host in self.hosts.values()}
        longest = 2 * loan_expiry_seconds(self.layout.request_seconds)
        return max(
            c.caps[site].limit
            for c in self.generations
            if c.generation in held
            or self.now - self.left_at.get(c.generation, -longest) < longest
        )

    def excess(self) -> dict[str, int]:
        """Return by how much sites and regions are over their limits; empty if none."""
        by_site = self.in_flight()
        over = {site: count - self.allowed(site) for site, count in by_site.items()}
        by_region: Counter = Counter()
        for site, sent in by_site.items():
            by_region[self.layout.region_of_site[site]] += sent
        for region, sent in by_region.items():
            over[f"region {region}"] = sent - self.layout.capacity[region]
        return {name: units for name, units in over.items() if units > 0}
