"""Measure what caps take at full size: a region's ledger and a host's table."""

import tracemalloc

from greengagepoint.caps import owners
from greengagepoint.caps.const import REGION_KEY
from greengagepoint.caps.ledger import Entry, Holding, Ledger, encode_ledger
from greengagepoint.caps.system import configure
from greengagepoint.caps.tables import create_table
from greengagepoint.hosts import HostIdentity
from greengagepoint.rendezvous import rank
from greengagepoint_standins.caps_layout import Layout, configuration, region_of


def ledger_bytes(layout: Layout) -> int:
    """Return the size of the first region's ledger once its sites are shared."""
    region = region_of(layout.hosts[0])
    names = [name for name in layout.hosts if region_of(name) == region]
    sites = [name for name, place in layout.region_of_site.items() if place == region]
    shares: dict[str, dict[str, Holding]] = {name: {} for name in names}
    for site in sites:
        for name in rank(site, names)[: owners.OWNERS_PER_SITE]:
            shares[name][site] = Holding(125, 500)
    entries = {
        f"{name}#1700000000000": Entry(
            held | {REGION_KEY: Holding(125, 100_000)},
            tuple(f"{other}#1700000000000" for other in names[:3]),
            10,
        )
        for name, held in shares.items()
        if held
    }
    return len(encode_ledger(Ledger(entries)))


def table_bytes(layout: Layout) -> int:
    """Return the memory of one host's table with all sites of a layout."""
    shared = configuration(layout, 1, layout.limits)
    tracemalloc.start()
    identity = HostIdentity(layout.hosts[0], 1, region_of(layout.hosts[0]), "x", "", "")
    table = create_table(identity)
    configure(table, shared)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size


def large_layout() -> Layout:
    """Build the full number of sites and regions, with one region's hosts."""
    regions = [f"region{n:02d}" for n in range(15)]
    hosts = [f"{regions[0]}-{n}" for n in range(326)]
    hosts += [f"{region}-{n}" for region in regions[1:] for n in range(1, 5)]
    sites = {f"site{n:04d}": regions[n % 15] for n in range(1300)}
    return Layout(
        hosts=tuple(hosts),
        region_of_site=sites,
        capacity=dict.fromkeys(regions, 100_000),
        limits=dict.fromkeys(sites, 500),
        request_seconds=10,
    )
