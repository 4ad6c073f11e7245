"""Hosts that watch each other over a lossy bus in virtual time, for measurements."""

import heapq
import random
from collections import Counter
from collections.abc import Iterable
from typing import Final, NamedTuple, Self

import msgspec

from greengagepoint.hosts import HostIdentity
from greengagepoint.membership import messaging, seeds, systems
from greengagepoint.membership.messages import Claim, HostState, Message
from greengagepoint.membership.tables import (
    Change,
    MembershipTables,
    RegionChange,
    Send,
)
from greengagepoint.protocols import ListedHost

ENCODER: Final = msgspec.msgpack.Encoder()
DECODER: Final = msgspec.msgpack.Decoder(Message)
TICK_SECONDS: Final = 0.5
START_SECONDS: Final = 1000.0
DELAY_SECONDS: Final = (0.001, 0.02)
FIRST_INCARNATION: Final = 1_790_000_000_000
ADDRESS: Final = "10.0.0.1:80"
PEER_ADDRESS: Final = "10.0.0.1:81"


class Place(NamedTuple):
    """Where a host stands."""

    name: str
    region: str
    zone: str


class Tick(NamedTuple):
    """A tick that is due at a host; it is void once the host runs anew."""

    host: str
    tables: MembershipTables


class Delivery(NamedTuple):
    """A message under way."""

    host: str
    sender: str
    data: bytes


class Seen(NamedTuple):
    """A change that one host noted."""

    when: float
    viewer: str
    change: Change | RegionChange


class SeenState(NamedTuple):
    """A state in which one host came to hold another."""

    when: float
    viewer: str
    host: str


class Fleet:
    """Tables of some hosts, a bus that misbehaves, and a virtual clock.

    ``cut`` holds (sender, receiver) pairs, ``paused`` hosts whose ticks and messages
    wait. ``loss`` and ``doubled`` are fractions of all messages.
    """

    def __init__(
        self,
        places: Iterable[Place],
        seed: int = 1,
        loss: float = 0.0,
        doubled: float = 0.0,
        delay: tuple[float, float] = DELAY_SECONDS,
    ) -> None:
        self.random = random.Random(seed)
        self.loss = loss
        self.doubled = doubled
        self.delay = delay
        self.now = START_SECONDS
        self.queue: list[tuple[float, int, Tick | Delivery]] = []
        self.count = 0
        self.tables: dict[str, MembershipTables] = {}
        self.changes: list[Seen] = []
        self.cut: set[tuple[str, str]] = set()
        self.paused: set[str] = set()
        self.sent: Counter[str] = Counter()
        self.bytes: Counter[str] = Counter()
        self.runs: Counter[str] = Counter()
        self.places = {place.name: place for place in places}
        self.listed = [self.listing(name) for name in self.places]
        for name in self.places:
            self.start(name)

    def listing(self, name: str, *, leaving: bool = False) -> ListedHost:
        """Return a host's entry in the host list."""
        place = self.places[name]
        return ListedHost(
            name, ADDRESS, PEER_ADDRESS, place.region, place.zone, leaving
        )

    def start(self, name: str, incarnation: int | None = None) -> None:
        """Start a host, or start it anew."""
        self.runs[name] += 1
        run = incarnation or FIRST_INCARNATION + self.runs[name]
        place = self.places[name]
        host = HostIdentity(name, run, place.region, place.zone, ADDRESS, PEER_ADDRESS)
        tables = self.tables[name] = MembershipTables(host, self.now)
        self.paused.discard(name)
        seeds.apply_list(tables, self.listed)
        self.push(self.now + self.random.random(), Tick(name, tables))

    def stop(self, name: str) -> None:
        """Stop a host without a word."""
        del self.tables[name]

    def run(self, seconds: float) -> Self:
        """Let time pass."""
        end = self.now + seconds
        while self.queue and self.queue[0][0] <= end:
            self.now, _, item = heapq.heappop(self.queue)
            self.step(item)
        self.now = end
        return self

    def push(self, when: float, item: Tick | Delivery) -> None:
        """Put something off."""
        self.count += 1
        heapq.heappush(self.queue, (when, self.count, item))

    def send(self, source: str, sends: Iterable[Send]) -> None:
        """Encode messages and let some be lost, doubled and out of order."""
        for target, message in sends:
            data = ENCODER.encode(message)
            self.sent[source] += 1
            self.bytes[source] += len(data)
            if (source, target) in self.cut or self.random.random() < self.loss:
                continue
            for _ in range(1 + (self.random.random() < self.doubled)):
                when = self.now + self.random.uniform(*self.delay)
                self.push(when, Delivery(target, source, data))

    def step(self, item: Tick | Delivery) -> None:
        """Run a tick or deliver a message."""
        name = item.host
        tables = self.tables.get(name)
        if tables is None or (isinstance(item, Tick) and item.tables is not tables):
            return
        if name in self.paused:
            self.push(self.now + TICK_SECONDS, item)
            return
        if isinstance(item, Tick):
            self.send(name, systems.run(tables, self.now, self.random))
            self.push(self.now + TICK_SECONDS, item)
        else:
            message = DECODER.decode(item.data)
            self.send(name, messaging.receive(tables, item.sender, message, self.now))
        self.changes += [Seen(self.now, name, change) for change in tables.changes]
        tables.changes.clear()

    def live(self, viewer: str) -> set[str]:
        """Return the names of the hosts that one host holds live."""
        hosts = systems.live_hosts(self.tables[viewer], self.now)
        return {host.name for host in hosts}

    def held(self, viewer: str, name: str) -> Claim:
        """Return what one host holds about another."""
        return self.tables[viewer].members[name].claim

    def seen(self, state: HostState, since: float = 0.0) -> list[SeenState]:
        """Return who came to hold whom in a state, planned stops left out."""
        return [
            SeenState(when, viewer, change.host)
            for when, viewer, change in self.changes
            if isinstance(change, Change)
            and change.after.state is state
            and not change.after.leaving
            and when >= since
        ]


def lay_out(regions: int, zones: int, hosts: int) -> list[Place]:
    """Return places for so many hosts in each of so many zones of each region."""
    return [
        Place(f"h{region}-{zone}-{host}", f"r{region}", f"z{region}{zone}")
        for region in range(regions)
        for zone in range(zones)
        for host in range(hosts)
    ]


TWELVE: Final = lay_out(3, 2, 2)
