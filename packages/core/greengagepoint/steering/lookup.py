"""Answer callers that ask which entry hosts to use."""

from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from typing import Final, NamedTuple

import msgspec

from greengagepoint.configuration import Configuration
from greengagepoint.hosts import HostIdentity

HOSTS_NEAREST_MAX: Final = 4
HOSTS_OTHER_ZONES_MAX: Final = 2
HOSTS_OTHER_REGIONS_MAX: Final = 2
PRIORITY_NEAREST: Final = 0
PRIORITY_OTHER_ZONE: Final = 1
PRIORITY_OTHER_REGION: Final = 2
ROTATIONS_MAX: Final = 256
ORDERS_KEPT_MAX: Final = 4096
WEIGHT_MAX: Final = 16
SHORT_TTL_SECONDS: Final = 1


class EntryHost(NamedTuple):
    """An entry host as look-ups see it; ``weight`` is a small whole number."""

    identity: HostIdentity
    leaving: bool = False
    weight: int = 1


@dataclass(slots=True)
class LookupTable:
    """Answers prepared for one configuration and one view of the hosts.

    ``zones`` holds the hosts that answers may name by region and zone. An answer is
    put together from bytes: ``heads`` by service, ``nearest`` and ``beyond`` by
    region with one item a rotation, each made when first asked for; so their number
    doesn't grow with the orders of regions, which ``orders`` maps to those served.
    ``hosts`` are those that answers may name.
    """

    home: HostIdentity
    hosts: tuple[EntryHost, ...]
    zones: dict[str, dict[str, list[EntryHost]]]
    heads: dict[str, bytes]
    nearest: dict[str, tuple[bytes, ...]] = field(default_factory=dict)
    beyond: dict[str, tuple[bytes, ...]] = field(default_factory=dict)
    orders: dict[tuple[str, ...], tuple[str, ...]] = field(default_factory=dict)


def prepare(
    configuration: Configuration,
    hosts: Sequence[EntryHost],
    home: HostIdentity,
    *,
    changing: bool = False,
    earlier: LookupTable | None = None,
) -> LookupTable:
    """Prepare answers; do so again when configuration or hosts change.

    What ``earlier`` holds by region is kept where the hosts are the same: records
    change far more often, and only the heads of answers depend on them.
    ``hosts`` are the live ones. Leaving hosts are left out as long as any other
    serves. ``changing`` asks for a short time to live, as while a shift moves;
    a leaving host does so too, for answers handed out before name it.
    """
    staying = tuple(host for host in hosts if not host.leaving)
    short = changing or len(staying) != len(hosts)
    heads = {}
    for name, record in configuration.services.items():
        ttl = record.lookup_ttl_seconds
        ttl = min(ttl, SHORT_TTL_SECONDS) if short else ttl
        heads[name] = _head(name, ttl, configuration.generation)
    named = staying or tuple(hosts)
    if earlier is not None and (earlier.home, earlier.hosts) == (home, named):
        # Orders come from records: without a bound those no longer used would pile up.
        kept = earlier.orders if len(earlier.orders) <= ORDERS_KEPT_MAX else {}
        return replace(earlier, heads=heads, orders=kept)
    return LookupTable(home, named, _by_zone(named), heads)


def answer(
    table: LookupTable,
    service: str,
    regions: tuple[str, ...] | None,
    sequence: int,
) -> bytes | None:
    """Return the JSON answer, or None when no record names the service.

    ``regions`` is the caller's order of regions (None: the asked host's own
    first); ``sequence`` grows by one with each answer and turns the hosts.
    """
    head = table.heads.get(service)
    if head is None:
        return None
    wanted = regions or (table.home.region,)
    order = table.orders.get(wanted)
    if order is None:
        order = table.orders[wanted] = _served_regions(table, wanted)
    if not order:
        return head + b"[]}"
    nearest = table.nearest.get(order[0]) or _prepare_nearest(table, order[0])
    parts = [nearest[sequence % len(nearest)]]
    for region in order[1:]:
        beyond = table.beyond.get(region) or _prepare_beyond(table, region)
        parts.append(beyond[sequence % len(beyond)])
    return b"%b[%b]}" % (head, b",".join(parts))


def longest_ttl_seconds(configuration: Configuration) -> int:
    """Return how long any answer may be cached, which a leaving host waits out."""
    return max(
        (record.lookup_ttl_seconds for record in configuration.services.values()),
        default=SHORT_TTL_SECONDS,
    )


def _head(service: str, ttl_seconds: int, generation: int) -> bytes:
    """Return the part of an answer that belongs to the service."""
    fields = {"service": service, "generation": generation, "ttl_seconds": ttl_seconds}
    return msgspec.json.encode(fields)[:-1] + b',"hosts":'


def _by_zone(hosts: Sequence[EntryHost]) -> dict[str, dict[str, list[EntryHost]]]:
    """Group hosts by region and zone, in the order of their names."""
    zones: dict[str, dict[str, list[EntryHost]]] = {}
    for host in sorted(hosts, key=lambda host: host.identity.name):
        region = zones.setdefault(host.identity.region, {})
        region.setdefault(host.identity.zone, []).append(host)
    return zones


def _served_regions(table: LookupTable, wanted: tuple[str, ...]) -> tuple[str, ...]:
    """Return the regions that an answer names: the wanted ones, then any others."""
    served = [region for region in wanted if region in table.zones]
    served += sorted(region for region in table.zones if region not in served)
    return tuple(served[: 1 + HOSTS_OTHER_REGIONS_MAX])


def _prepare_nearest(table: LookupTable, region: str) -> tuple[bytes, ...]:
    """Prepare the hosts of the nearest region, one item a rotation."""
    zones = _zones(table.zones[region], table.home)
    items = tuple(
        _encode(_nearest_hosts(zones, turn, table.home, region))
        for turn in range(_rotations(zones))
    )
    table.nearest[region] = items
    return items


def _rotations(zones: tuple[list[EntryHost], ...]) -> int:
    """Return how many rotations to prepare.

    Whole rounds of the nearest zone where that is possible: of a zone with more hosts
    than rotations the last ones would be in no answer and stand idle, and a part of a
    round names the first ones more often.
    """
    count = max(len(zone) for zone in zones) * len(zones)
    if count <= ROTATIONS_MAX:
        return count
    size = len(zones[0])
    return ROTATIONS_MAX // size * size or ROTATIONS_MAX


def _prepare_beyond(table: LookupTable, region: str) -> tuple[bytes, ...]:
    """Prepare the host that a region farther away gives, one item a rotation."""
    zones = table.zones[region].values()
    hosts = _spread([host for zone in zones for host in zone])
    items = tuple(
        _encode([(PRIORITY_OTHER_REGION, host)]) for host in hosts[:ROTATIONS_MAX]
    )
    table.beyond[region] = items
    return items


def _encode(hosts: list[tuple[int, EntryHost]]) -> bytes:
    """Return hosts with their priorities as JSON without the brackets."""
    return msgspec.json.encode([_fields(host, priority) for priority, host in hosts])[
        1:-1
    ]


def _zones(
    zones: dict[str, list[EntryHost]], home: HostIdentity
) -> tuple[list[EntryHost], ...]:
    """Return a region's zones with hosts spread by weight, the asked host's first."""
    names = sorted(zones, key=lambda name: (name != home.zone, name))
    return tuple(_spread(zones[name]) for name in names)


def _spread(hosts: list[EntryHost]) -> list[EntryHost]:
    """Repeat hosts by weight so that each window of the list is well mixed."""
    placed = [
        ((turn + 0.5) / weight, host.identity.name, host)
        for host in hosts
        for weight in [max(1, min(WEIGHT_MAX, host.weight))]
        for turn in range(weight)
    ]
    placed.sort()
    return [host for _place, _name, host in placed]


def _nearest_hosts(
    zones: tuple[list[EntryHost], ...], turn: int, home: HostIdentity, region: str
) -> list[tuple[int, EntryHost]]:
    """Return the hosts of one region with priorities, nearest zone first.

    Where the region is not the asked host's own, no zone of it is nearer than
    another, so they take turns to come first.
    """
    if region != home.region:
        shift = turn % len(zones)
        zones = zones[shift:] + zones[:shift]
        turn //= len(zones)
    nearest = _window(zones[0], turn, HOSTS_NEAREST_MAX)
    chosen = [(PRIORITY_NEAREST, host) for host in nearest]
    others = zones[1 : 1 + HOSTS_OTHER_ZONES_MAX]
    for zone in others:
        share = max(1, HOSTS_OTHER_ZONES_MAX // len(others))
        chosen += [(PRIORITY_OTHER_ZONE, host) for host in _window(zone, turn, share)]
    return chosen


def _window(hosts: list[EntryHost], start: int, count: int) -> list[EntryHost]:
    """Return up to ``count`` different hosts from a place on, going round."""
    found: dict[str, EntryHost] = {}
    for offset in range(len(hosts)):
        host = hosts[(start + offset) % len(hosts)]
        found.setdefault(host.identity.name, host)
        if len(found) == count:
            break
    return list(found.values())


def _fields(host: EntryHost, priority: int) -> dict[str, object]:
    """Return what an answer says of one host."""
    identity = host.identity
    return {
        "name": identity.name,
        "address": identity.address,
        "region": identity.region,
        "zone": identity.zone,
        "priority": priority,
        "weight": max(1, min(WEIGHT_MAX, host.weight)),
    }
