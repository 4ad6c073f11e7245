"""Hosts that watch each other over a lossy bus in virtual time."""

import heapq
import random
from collections import Counter

import msgspec

from greengagepoint.hosts import HostIdentity
from greengagepoint.membership import messaging, seeds, systems
from greengagepoint.membership.messages import HostState, Message
from greengagepoint.membership.tables import Change, MembershipTables
from greengagepoint.protocols import ListedHost

ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Message)
TICK_SECONDS = 0.5


class Fleet:
    """Core tables of some hosts, a bus that misbehaves, and a virtual clock."""

    def __init__(self, places, seed=1, loss=0.0, doubled=0.0, delay=(0.001, 0.02)):
        self.random = random.Random(seed)
        self.loss, self.doubled, self.delay = loss, doubled, delay
        self.now = 1000.0
        self.queue, self.count = [], 0
        self.tables, self.changes = {}, []
        self.cut, self.paused = set(), set()
        self.sent, self.bytes = Counter(), Counter()
        self.runs = Counter()
        self.places = {}
        for name, region, zone in places:
            self.places[name] = (region, zone)
        self.listed = [self.listing(name) for name in self.places]
        for name in self.places:
            self.start(name)

    def listing(self, name, leaving=False):
        region, zone = self.places[name]
        return ListedHost(name, "10.0.0.1:80", "10.0.0.1:81", region, zone, leaving)

    def start(self, name, incarnation=None):
        self.runs[name] += 1
        region, zone = self.places[name]
        run = (
            1_790_000_000_000 + self.runs[name] if incarnation is None else incarnation
        )
        host = HostIdentity(name, run, region, zone, "10.0.0.1:80", "10.0.0.1:81")
        self.tables[name] = MembershipTables(host, self.now)
        self.paused.discard(name)
        seeds.apply_list(self.tables[name], self.listed)
        self.push(self.now + self.random.random(), ("tick", name, self.tables[name]))

    def stop(self, name):
        del self.tables[name]

    def push(self, when, item):
        self.count += 1
        heapq.heappush(self.queue, (when, self.count, item))

    def send(self, source, sends):
        for target, message in sends:
            data = ENCODER.encode(message)
            self.sent[source] += 1
            self.bytes[source] += len(data)
            if (source, target) in self.cut or self.random.random() < self.loss:
                continue
            for _ in range(1 + (self.random.random() < self.doubled)):
                when = self.now + self.random.uniform(*self.delay)
                self.push(when, ("message", target, source, data))

    def run(self, seconds):
        end = self.now + seconds
        while self.queue and self.queue[0][0] <= end:
            self.now, _, item = heapq.heappop(self.queue)
            self.step(item)
        self.now = end
        return self

    def step(self, item):
        name = item[1]
        tables = self.tables.get(name)
        if tables is None or (item[0] == "tick" and item[2] is not tables):
            return
        if name in self.paused:
            self.push(self.now + TICK_SECONDS, item)
            return
        if item[0] == "tick":
            self.send(name, systems.run(tables, self.now, self.random))
            self.push(self.now + TICK_SECONDS, item)
        else:
            message = DECODER.decode(item[3])
            self.send(name, messaging.receive(tables, item[2], message, self.now))
        for change in tables.changes:
            self.changes.append((self.now, name, change))
        tables.changes.clear()

    def live(self, name):
        return {host.name for host in systems.live_hosts(self.tables[name], self.now)}

    def held(self, viewer, name):
        return self.tables[viewer].members[name].claim

    def gone_seen(self, since=0.0):
        return [
            (when, viewer, change.host)
            for when, viewer, change in self.changes
            if isinstance(change, Change)
            and change.after.state is HostState.GONE
            and not change.after.leaving
            and when >= since
        ]


def places(regions, zones, hosts):
    return [
        (f"h{region}-{zone}-{host}", f"r{region}", f"z{region}{zone}")
        for region in range(regions)
        for zone in range(zones)
        for host in range(hosts)
    ]


TWELVE = places(3, 2, 2)
NAMES = {name for name, _, _ in TWELVE}


def test_twelve_hosts_find_each_other():
    fleet = Fleet(TWELVE).run(10)
    assert all(fleet.live(name) == NAMES for name in NAMES)


def test_stopped_host_is_gone_everywhere_and_nobody_else():
    fleet = Fleet(TWELVE).run(15)
    fleet.stop("h0-0-0")
    fleet.run(20)
    assert all(fleet.live(name) == NAMES - {"h0-0-0"} for name in fleet.tables)
    assert {host for _, _, host in fleet.gone_seen()} == {"h0-0-0"}
