"""Measure what other hosts cost one node by their number."""

import time
from collections.abc import Iterable
from typing import Final, NamedTuple

from greengagepoint.hosts import HostIdentity
from greengagepoint.membership import seeds
from greengagepoint.membership.tables import MembershipTables
from greengagepoint.protocols import ListedHost
from greengagepoint.steering import lookup
from greengagepoint.steering.lookup import EntryHost
from measure import capacity_fleet as fleet
from measure.capacity_slopes import MILLISECONDS, Slope, held_bytes, milliseconds
from measure.membership import envelope_bytes
from measure.membership_fleet import Delivery, Fleet, Place, Tick

HOST_COUNTS: Final = (1230, 2460, 4900)
FEW_HOSTS: Final = 2
START_SECONDS: Final = 30
REST_SECONDS: Final = 10
RUN_SECONDS: Final = 10
WATCHED_REGION: Final = "region-00"
WATCHED_ZONE: Final = "zone-00"


def measure() -> list[Slope]:
    """Return the slopes over the number of hosts."""
    return [*_membership_slopes(), *_lookup_slopes()]


class WatchedFleet(Fleet):
    """A fleet of which the ticks and messages of some hosts are timed.

    The watched zone has its full number of hosts, the others only delegates, which
    are all that a zone shows to the others. The host list names every host.
    """

    def __init__(self, places: Iterable[Place], watched: frozenset[str]) -> None:
        super().__init__(places)
        self.watched = watched
        self.spent = 0.0

    def step(self, item: Tick | Delivery) -> None:
        """Run a tick or deliver a message, and time it where it is watched."""
        if item.host not in self.watched:
            super().step(item)
            return
        started = time.process_time()
        super().step(item)
        self.spent += time.process_time() - started


def watched_fleet(count: int) -> WatchedFleet:
    """Return a fleet that is one zone of a system with so many hosts."""
    full = round(count / fleet.ZONES)
    places = [
        Place(f"{zone.name}-{number}", zone.region, zone.name)
        for zone in fleet.zones()
        for number in range(full if zone.name == WATCHED_ZONE else FEW_HOSTS)
    ]
    watched = {place.name for place in places if place.zone == WATCHED_ZONE}
    made = WatchedFleet(places, frozenset(watched))
    others = listed(count - len(places))
    for tables in made.tables.values():
        seeds.apply_list(tables, [*made.listed, *others])
    return made


def listed(count: int) -> list[ListedHost]:
    """Return entries of the host list for the hosts of the other zones."""
    names = [zone for zone in fleet.zones() if zone.region != WATCHED_REGION]
    return [
        ListedHost(
            f"listed-{number:04}",
            "10.0.0.1:8080",
            "10.0.0.1:8081",
            names[number % len(names)].region,
            names[number % len(names)].name,
            False,
        )
        for number in range(count)
    ]


class Cost(NamedTuple):
    """What the watched nodes spent each second; ``most`` are a delegate's."""

    milliseconds: float
    messages: float
    messages_most: float
    size: float
    size_most: float


def cost(run: WatchedFleet) -> Cost:
    """Let a fleet run and return what its watched nodes spent."""
    run.sent.clear()
    run.bytes.clear()
    run.spent = 0.0
    run.run(RUN_SECONDS)
    extra = envelope_bytes(run)
    nodes = len(run.watched)
    messages = [run.sent[name] / RUN_SECONDS for name in run.watched]
    sizes = [
        (run.bytes[name] + extra * run.sent[name]) / RUN_SECONDS for name in run.watched
    ]
    return Cost(
        run.spent * MILLISECONDS / RUN_SECONDS / nodes,
        sum(messages) / nodes,
        max(messages),
        sum(sizes) / nodes,
        max(sizes),
    )


def rest(run: WatchedFleet) -> None:
    """Forget what is still to be passed on from the start, as after some minutes."""
    for tables in run.tables.values():
        tables.passing.clear()
    run.run(REST_SECONDS)


def _membership_slopes() -> list[Slope]:
    """Measure a node of one zone while the zone starts, and at rest."""
    starts, rests, held = [], [], []
    for count in HOST_COUNTS:
        run = watched_fleet(count).run(START_SECONDS)
        starts.append(cost(run))
        rest(run)
        rests.append(cost(run))
        held.append(_table_bytes(count))

    def slope(name: str, unit: str, values: Iterable[float]) -> Slope:
        points = tuple(zip(HOST_COUNTS, values, strict=True))
        return Slope(f"membership, {name}", "hosts", unit, points)

    return [
        slope("processor", "ms/s", [one.milliseconds for one in rests]),
        slope("messages sent", "1/s", [one.messages for one in rests]),
        slope("messages of a delegate", "1/s", [one.messages_most for one in rests]),
        slope("bytes sent", "B/s", [one.size for one in rests]),
        slope("bytes of a delegate", "B/s", [one.size_most for one in rests]),
        slope("processor after a start", "ms/s", [one.milliseconds for one in starts]),
        slope("bytes after a start", "B/s", [one.size for one in starts]),
        slope("table and host list", "B", held),
    ]


def _table_bytes(count: int) -> int:
    """Return the bytes of one node's table: its zone in detail and the host list."""

    def build() -> MembershipTables:
        few = Fleet(
            [
                Place(f"h{number}", WATCHED_REGION, WATCHED_ZONE)
                for number in range(round(count / fleet.ZONES))
            ]
        )
        few.run(8)
        tables = few.tables["h0"]
        seeds.apply_list(tables, listed(count))
        few.tables.clear()
        few.queue.clear()
        return tables

    return held_bytes(build)[1]


def _lookup_slopes() -> list[Slope]:
    """Measure answers when a view has some hosts, up to all of the fleet."""
    everyone = fleet.hosts()
    me = everyone[0]
    seen = fleet.view(me, everyone)
    records = fleet.configuration()
    prepared, first, again, held = [], [], [], []
    for hosts in (seen, *(tuple(everyone[:count]) for count in HOST_COUNTS)):
        entries = [EntryHost(host) for host in hosts]
        prepared.append(
            (len(hosts), milliseconds(lambda e=entries: _prepare(records, e, me)))
        )
        table = _prepare(records, entries, me)
        first.append((len(hosts), milliseconds(lambda t=table: _ask_all(t), 1)))
        again.append((len(hosts), milliseconds(lambda t=table: _change(records, t))))
        _, size = held_bytes(lambda e=entries: _ask_all(_prepare(records, e, me)))
        held.append((len(hosts), size))
    over = "hosts in view"
    return [
        Slope("look-ups prepared", over, "ms", tuple(prepared)),
        Slope("first answers for all orders of regions", over, "ms", tuple(first)),
        Slope("answers for all orders after a change", over, "ms", tuple(again)),
        Slope("look-up answers held", over, "B", tuple(held)),
    ]


def _prepare(records, entries: list[EntryHost], me: HostIdentity) -> lookup.LookupTable:
    """Prepare a table of answers."""
    return lookup.prepare(records, entries, me)


def _change(records, table: lookup.LookupTable) -> None:
    """Prepare after a change of records, and ask for all orders of regions."""
    hosts = [EntryHost(host.identity) for host in table.hosts]
    _ask_all(lookup.prepare(records, hosts, table.home, earlier=table))


def _ask_all(table: lookup.LookupTable) -> lookup.LookupTable:
    """Ask once for each of 1,300 orders of regions."""
    names = [f"region-{number:02}" for number in range(fleet.REGIONS)]
    for site in range(fleet.SITES):
        order = tuple(names[(site + step * 4) % len(names)] for step in range(3))
        lookup.answer(table, "service-001", (f"site-{site:04}", *order), site)
    return table
