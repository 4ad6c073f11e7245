"""Count what follows where each host of a large system sees only a part of it."""

from typing import Final, NamedTuple

from greengagepoint.caps.const import OWNERS_PER_SITE
from greengagepoint.config.watchers import watchers_of
from greengagepoint.delivery.committers import committers, write_interval_seconds
from greengagepoint.hosts import HostIdentity
from greengagepoint.rendezvous import rank
from greengagepoint.steering import lookup
from greengagepoint.steering.lookup import EntryHost
from measure import capacity_fleet as fleet
from measure.figure import Figure

SITES_LOOKED_AT: Final = 130
TURNS: Final = 256


class Seen(NamedTuple):
    """The views of all zones; hosts of one zone see the same."""

    everyone: list[HostIdentity]
    by_zone: dict[str, tuple[HostIdentity, ...]]


def measure() -> list[Figure]:
    """Return how many hosts choose themselves, against a view that all share."""
    seen = views()
    return [
        Figure(
            "capacity: hosts that watch the store",
            sum(len(found) for found in _by_zone(seen, _watchers).values()),
            "hosts",
            2 * fleet.REGIONS,
            "one view",
        ),
        _claim_writes(seen),
        *_cap_figures(seen),
        *_lookup_figures(seen),
    ]


def views() -> Seen:
    """Return what the hosts of each zone see."""
    everyone = fleet.hosts()
    first = {host.zone: host for host in reversed(everyone)}
    return Seen(
        everyone, {zone: fleet.view(me, everyone) for zone, me in first.items()}
    )


def _by_zone(seen: Seen, choose) -> dict[str, set[str]]:
    """Return the hosts of each zone that choose themselves in their zone's view."""
    return {
        place.name: {
            host.name
            for host in seen.by_zone[place.name]
            if host.zone == place.name
            and host.name in choose(place.region, seen.by_zone[place.name])
        }
        for place in fleet.zones()
    }


def _watchers(region: str, view: tuple[HostIdentity, ...]) -> tuple[str, ...]:
    """Return who watches the store in a view."""
    return watchers_of(region, view)


def _claim_writes(seen: Seen) -> Figure:
    """Return the writes of claims a second when all committers are busy."""
    chosen = {
        committers(
            place.region,
            {h.name for h in seen.by_zone[place.name] if h.region == place.region},
        )[0]
        for place in fleet.zones()
    }
    interval = write_interval_seconds(fleet.REGIONS)
    return Figure(
        "capacity: most writes of claims",
        len(chosen) / interval,
        "1/s",
        fleet.REGIONS / interval,
        "one view",
    )


def _owners(seen: Seen, site: str, region: str) -> dict[str, tuple[str, ...]]:
    """Return who owns a site in the view of each zone of its region."""
    return {
        place.name: tuple(
            rank(
                site, (h.name for h in seen.by_zone[place.name] if h.region == region)
            )[:OWNERS_PER_SITE]
        )
        for place in fleet.zones()
        if place.region == region
    }


def _cap_figures(seen: Seen) -> list[Figure]:
    """Count owners a site, and how often a borrower asks one that owns."""
    sites = list(fleet.configuration(SITES_LOOKED_AT).sites.values())
    owners, near, far, near_all, far_all = 0, 0, 0, 0, 0
    for site in sites:
        by_zone = _owners(seen, site.name, site.region)
        zone_of = {host.name: host.zone for host in seen.everyone}
        own = {
            n for zone, names in by_zone.items() for n in names if zone_of[n] == zone
        }
        owners += len(own)
        for place in fleet.zones():
            view = seen.by_zone[place.name]
            asked = rank(site.name, (h.name for h in view if h.region == site.region))
            reaches = bool(own & set(asked[:OWNERS_PER_SITE]))
            if place.region == site.region:
                near_all, near = near_all + 1, near + reaches
            else:
                far_all, far = far_all + 1, far + reaches
    return [
        Figure(
            "capacity: hosts that hold themselves owners of a site",
            owners / len(sites),
            "hosts",
            OWNERS_PER_SITE,
            "one view",
        ),
        Figure(
            "capacity: zones of a site's region that ask an owner first",
            near / near_all,
            "of all",
            1.0,
            "one view",
        ),
        Figure(
            "capacity: zones of other regions that ask an owner first",
            far / far_all,
            "of all",
            1.0,
            "one view",
        ),
    ]


def _lookup_figures(seen: Seen) -> list[Figure]:
    """Count the hosts that answers name, by where they stand."""
    me = seen.everyone[0]
    view = seen.by_zone[me.zone]
    table = lookup.prepare(
        fleet.configuration(13), [EntryHost(host) for host in view], me
    )
    far = "region-07"
    zone_of = {host.name: host for host in view}
    named: dict[str, set[str]] = {"own zone": set(), "other zones": set(), far: set()}
    for regions in ((me.region,), (far,)):
        for turn in range(TURNS):
            text = lookup.answer(table, "service-001", regions, turn).decode()
            for name, host in zone_of.items():
                if f'"{name}"' not in text:
                    continue
                if host.zone == me.zone:
                    named["own zone"].add(name)
                elif host.region == me.region:
                    named["other zones"].add(name)
                elif host.region == far:
                    named[far].add(name)
    a_zone = fleet.HOSTS / fleet.ZONES
    other_zones = sum(place.region == me.region for place in fleet.zones()) - 1
    far_zones = sum(place.region == far for place in fleet.zones())
    name = "capacity: hosts that look-ups name"
    return [
        Figure(
            f"{name} of the own zone",
            len(named["own zone"]),
            "hosts",
            a_zone,
            "hosts there",
        ),
        Figure(
            f"{name} of the region's other zones",
            len(named["other zones"]),
            "hosts",
            a_zone * other_zones,
            "hosts there",
        ),
        Figure(
            f"{name} of another region",
            len(named[far]),
            "hosts",
            a_zone * far_zones,
            "hosts there",
        ),
    ]
