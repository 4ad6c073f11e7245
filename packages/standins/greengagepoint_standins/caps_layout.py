"""Shape of a small fleet that shares caps."""

from typing import NamedTuple

from greengagepoint.configuration import EMPTY, Configuration
from greengagepoint.records.schemas import Cap, Region, Service, Site

MILLISECONDS = 1000


class Layout(NamedTuple):
    """Hosts are named region-number; ``limits`` are the first caps of sites."""

    hosts: tuple[str, ...]
    region_of_site: dict[str, str]
    capacity: dict[str, int]
    limits: dict[str, int]
    request_seconds: int


def configuration(
    layout: Layout, generation: int, limits: dict[str, int]
) -> Configuration:
    """Build a configuration with one cap a site."""
    regions = {
        name: Region(name=name, zones=("x", "y"), capacity=capacity)
        for name, capacity in layout.capacity.items()
    }
    sites = {
        name: Site(name=name, region=region, zone="x", capacity=1_000_000)
        for name, region in layout.region_of_site.items()
    }
    service = Service(
        name="service",
        sites=tuple(limits),
        max_deadline_ms=layout.request_seconds * MILLISECONDS,
    )
    caps = {
        name: Cap(name=name, site=name, limit=limit) for name, limit in limits.items()
    }
    return EMPTY._replace(
        generation=generation,
        regions=regions,
        sites=sites,
        services={service.name: service},
        caps=caps,
    )


def region_of(host: str) -> str:
    """Return the region of a host by its name."""
    return host.rpartition("-")[0]


def zone_of(host: str) -> str:
    """Return the availability zone of a host by its name."""
    return "xy"[int(host.rpartition("-")[2]) % 2]
