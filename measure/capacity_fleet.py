"""Hosts and records of the size that is expected, for the measurements of capacity."""

from typing import Final, NamedTuple

from greengagepoint.configuration import EMPTY, Configuration
from greengagepoint.hosts import HostIdentity
from greengagepoint.membership.delegates import DELEGATES, REGION_CONTACTS
from greengagepoint.records.schemas import (
    BackendServer,
    Region,
    Route,
    Service,
    Site,
    Team,
)
from greengagepoint.rendezvous import rank

HOSTS: Final = 4_900
REGIONS: Final = 15
ZONES: Final = 41
SITES: Final = 1_300
BLOCKS: Final = 1_900_000
# Assumed: today's sites have about eight backend servers each, and none of the
# numbers below is given.
SERVERS_A_SITE: Final = 8
SERVICES: Final = 100
TEAMS: Final = 1_000
SITE_CAPACITY: Final = 500


class Zone(NamedTuple):
    """An availability zone by name, with its region."""

    region: str
    name: str


def zones() -> list[Zone]:
    """Return 41 zones: three in each of 11 regions, two in each of four."""
    return [
        Zone(f"region-{number % REGIONS:02}", f"zone-{number:02}")
        for number in range(ZONES)
    ]


def hosts(count: int = HOSTS) -> list[HostIdentity]:
    """Return hosts spread evenly over the zones."""
    places = zones()
    return [
        HostIdentity(
            f"host-{number:04}",
            1_790_000_000_000 + number,
            places[number % ZONES].region,
            places[number % ZONES].name,
            f"10.{number // 250}.{number % 250}.1:8080",
            f"10.{number // 250}.{number % 250}.1:8081",
        )
        for number in range(count)
    ]


def view(me: HostIdentity, everyone: list[HostIdentity]) -> tuple[HostIdentity, ...]:
    """Return what membership lets a host of a large system see.

    All hosts of its own zone, the delegates of the other zones of its region, and
    those that the sums of other regions name. The delegates are those on which a
    zone without failures agrees.
    """
    seen = {host.name: host for host in everyone if host.zone == me.zone}
    for place in zones():
        if place.name == me.zone:
            continue
        chosen = delegates(place, everyone)
        if place.region != me.region:
            chosen = chosen[:1] if place in summed_zones(place.region) else []
        seen |= {host.name: host for host in chosen}
    return tuple(seen[name] for name in sorted(seen))


def delegates(place: Zone, everyone: list[HostIdentity]) -> list[HostIdentity]:
    """Return who answers for a zone."""
    own = [host for host in everyone if host.zone == place.name]
    return rank(place.name, own, lambda host: host.name)[:DELEGATES]


def summed_zones(region: str) -> list[Zone]:
    """Return the zones of which a region's sum names a delegate."""
    own = sorted(place for place in zones() if place.region == region)
    return own[:REGION_CONTACTS]


def configuration(
    sites: int = SITES,
    servers: int = SERVERS_A_SITE,
    services: int = SERVICES,
    teams: int = TEAMS,
) -> Configuration:
    """Return records; each site serves two services with half of its servers."""
    places = zones()
    by_site = {
        f"site-{number:04}": (
            f"service-{number % services:03}",
            f"service-{(number + services // 2) % services:03}",
        )
        for number in range(sites)
    }
    site_records = {
        name: Site(
            name=name,
            region=places[number % ZONES].region,
            zone=places[number % ZONES].name,
            capacity=SITE_CAPACITY,
            backend_servers=tuple(
                _server(number, server, by_site[name][server % 2])
                for server in range(servers)
            ),
        )
        for number, name in enumerate(by_site)
    }
    return EMPTY._replace(
        generation=1,
        digest="1",
        regions=_regions(),
        sites=site_records,
        services={
            name: _service(name, [s for s, has in by_site.items() if name in has])
            for name in (f"service-{number:03}" for number in range(services))
        },
        teams={
            name: Team(name=name, requests_per_second=1_000.0, burst=2_000)
            for name in (f"team-{number:04}" for number in range(teams))
        },
    )


def _regions() -> dict[str, Region]:
    """Return all regions with their zones."""
    by_region: dict[str, list[str]] = {}
    for place in zones():
        by_region.setdefault(place.region, []).append(place.name)
    return {
        name: Region(name=name, zones=tuple(names), capacity=100_000)
        for name, names in by_region.items()
    }


def _server(site: int, number: int, service: str) -> BackendServer:
    """Return one backend server."""
    name = f"server-{site:04}-{number:02}"
    return BackendServer(
        name, service, f"10.{site // 250}.{site % 250}.{number}:80", 10
    )


def _service(name: str, sites: list[str]) -> Service:
    """Return one service with two routes."""
    routes = (Route(path="/", repeatable=True), Route(path="/pay", needs_key=True))
    return Service(name=name, sites=tuple(sites), routes=routes)
