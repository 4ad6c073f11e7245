"""Answer callers that ask which entry hosts to use."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Final, NamedTuple

import msgspec

from greengagepoint.configuration import Configuration
from greengagepoint.hosts import HostIdentity

HOSTS_NEAREST_MAX: Final = 4
HOSTS_OTHER_ZONES_MAX: Final = 2
HOSTS_OTHER_REGIONS_MAX: Final = 2
ROTATIONS_MAX: Final = 64
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

    ``hosts`` are those that answers may name; ``heads`` maps a service to the
    bytes before the hosts, and ``tails`` an order of regions to the host lists in
    rotation.
    """

    home: HostIdentity
    hosts: tuple[EntryHost, ...]
    heads: dict[str, bytes]
    tails: dict[tuple[str, ...], tuple[bytes, ...]] = field(default_factory=dict)
    ttls: dict[str, int] = field(default_factory=dict)


def prepare(
    configuration: Configuration,
    hosts: Sequence[EntryHost],
    home: HostIdentity,
    *,
    changing: bool = False,
) -> LookupTable:
    """Prepare answers; do so again when configuration or hosts change.

    ``hosts`` are the live ones. Leaving hosts are left out as long as any other
    serves. ``changing`` asks for a short time to live, as while a shift moves;
    a leaving host does so too, for answers handed out before name it.
    """
    staying = tuple(host for host in hosts if not host.leaving)
    short = changing or len(staying) != len(hosts)
    ttls = {
        name: min(record.lookup_ttl_seconds, SHORT_TTL_SECONDS)
        if short
        else record.lookup_ttl_seconds
        for name, record in configuration.services.items()
    }
    heads = {
        name: _head(name, ttl, configuration.generation) for name, ttl in ttls.items()
    }
    return LookupTable(home, staying or tuple(hosts), heads, ttls=ttls)


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
    order = regions or (table.home.region,)
    tails = table.tails.get(order)
    if tails is None:
        tails = _tails(table, order)
        table.tails[order] = tails
    return head + tails[sequence % len(tails)]


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


def _tails(table: LookupTable, order: tuple[str, ...]) -> tuple[bytes, ...]:
    """Return the host lists for one order of regions, one for each rotation."""
    by_region: dict[str, dict[str, list[EntryHost]]] = {}
    for host in sorted(table.hosts, key=lambda host: host.identity.name):
        zones = by_region.setdefault(host.identity.region, {})
        zones.setdefault(host.identity.zone, []).append(host)
    served = [region for region in order if region in by_region]
    served += sorted(region for region in by_region if region not in served)
    if not served:
        return (b"[]}",)
    nearest = _zones(by_region[served[0]], table.home)
    others = [
        _spread([host for zone in by_region[region].values() for host in zone])
        for region in served[1:]
    ]
    count = min(ROTATIONS_MAX, max(len(zone) for zone in nearest) * len(nearest))
    return tuple(
        msgspec.json.encode(_hosts(nearest, others, turn, table.home, served[0])) + b"}"
        for turn in range(count)
    )


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


def _hosts(
    zones: tuple[list[EntryHost], ...],
    other_regions: list[list[EntryHost]],
    turn: int,
    home: HostIdentity,
    region: str,
) -> list[dict[str, object]]:
    """Return the hosts of one answer, nearest first.

    Where the region is not the asked host's own, no zone of it is nearer than
    another, so they take turns to come first.
    """
    if region != home.region:
        shift = turn % len(zones)
        zones = zones[shift:] + zones[:shift]
        turn //= len(zones)
    chosen = [(0, host) for host in _window(zones[0], turn, HOSTS_NEAREST_MAX)]
    beyond = HOSTS_OTHER_ZONES_MAX
    for zone in zones[1 : 1 + beyond]:
        share = max(1, beyond // len(zones[1:]))
        chosen += [(1, host) for host in _window(zone, turn, share)]
    for hosts in other_regions[:HOSTS_OTHER_REGIONS_MAX]:
        chosen += [(2, host) for host in _window(hosts, turn, 1)]
    return [_fields(host, priority) for priority, host in chosen]


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
