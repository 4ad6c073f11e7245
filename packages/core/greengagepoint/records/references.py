"""Check the records of a configuration against each other."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from typing import Final

from greengagepoint.configuration import Configuration
from greengagepoint.errors import RecordError
from greengagepoint.records.faults import Fault, bind
from greengagepoint.records.loading import suggest
from greengagepoint.records.schemas import (
    Callers,
    Cap,
    Drain,
    DrainTarget,
    RecordKind,
    Service,
    Shift,
    Site,
)

FRACTION_TOLERANCE: Final = 1e-9
NAMES_LISTED_MAX: Final = 8
BLOCKS_COMPARED_MAX: Final = 100_000


def validate(configuration: Configuration) -> list[RecordError]:
    """Return what is wrong between the records of a configuration."""
    errors = []
    for kind, records, check in (
        (RecordKind.SITE, configuration.sites, _site),
        (RecordKind.SERVICE, configuration.services, _service),
        (RecordKind.CAP, configuration.caps, _cap),
        (RecordKind.SHIFT, configuration.shifts, _shift),
        (RecordKind.DRAIN, configuration.drains, _drain),
        (RecordKind.CALLERS, configuration.callers, _callers),
    ):
        for name, record in records.items():
            errors += [
                bind(kind, name, fault) for fault in check(record, configuration)
            ]
    return errors + list(_conflicts(configuration))


def _known(field: str, name: str, known: Iterable[str], what: str) -> Iterator[Fault]:
    """Check that a name is that of an existing record."""
    known = list(known)
    if name in known:
        return
    listed = ", ".join(known[:NAMES_LISTED_MAX]) or "none is defined"
    more = ", …" if len(known) > NAMES_LISTED_MAX else ""
    yield Fault(
        field, f"no {what} is called {name!r}{suggest(name, known)}", f"{listed}{more}"
    )


def _site(site: Site, configuration: Configuration) -> Iterator[Fault]:
    """Check a site's region, zone and the services of its backend servers."""
    yield from _known("region", site.region, configuration.regions, "region")
    region = configuration.regions.get(site.region)
    if region is not None:
        yield from _known("zone", site.zone, region.zones, f"zone of {region.name}")
    for index, server in enumerate(site.backend_servers):
        field = f"backend_servers[{index}].service"
        if server.service not in configuration.services:
            yield from _known(field, server.service, configuration.services, "service")


def _service(service: Service, configuration: Configuration) -> Iterator[Fault]:
    """Check that a service's sites exist."""
    for index, site in enumerate(service.sites):
        if site not in configuration.sites:
            yield from _known(f"sites[{index}]", site, configuration.sites, "site")


def _cap(cap: Cap, configuration: Configuration) -> Iterator[Fault]:
    """Check that a cap is within its site's capacity."""
    yield from _known("site", cap.site, configuration.sites, "site")
    site = configuration.sites.get(cap.site)
    if site is not None and cap.limit > site.capacity:
        yield Fault(
            "limit",
            f"{cap.limit} is over the capacity of site {site.name}",
            f"0 to {site.capacity}",
        )


def _shift(shift: Shift, configuration: Configuration) -> Iterator[Fault]:
    """Check that a shift moves between two sites of its service."""
    yield from _known("service", shift.service, configuration.services, "service")
    service = configuration.services.get(shift.service)
    if service is None:
        return
    for field in ("from_site", "to_site"):
        site = getattr(shift, field)
        yield from _known(field, site, service.sites, f"site of {service.name}")


def _drain(drain: Drain, configuration: Configuration) -> Iterator[Fault]:
    """Check that what is drained exists; hosts aren't in records."""
    if drain.target_kind is DrainTarget.SITE:
        yield from _known("target", drain.target, configuration.sites, "site")
    elif drain.target_kind is DrainTarget.BACKEND_SERVER:
        servers = [
            server.name
            for site in configuration.sites.values()
            for server in site.backend_servers
        ]
        yield from _known("target", drain.target, servers, "backend server")


def _callers(callers: Callers, configuration: Configuration) -> Iterator[Fault]:
    """Check that the regions for a block of callers exist."""
    for index, region in enumerate(callers.regions):
        yield from _known(f"regions[{index}]", region, configuration.regions, "region")


def _conflicts(configuration: Configuration) -> Iterator[RecordError]:
    """Find records that are good alone and can't stand together."""
    yield from _second_caps(configuration)
    yield from _repeated_backend_servers(configuration)
    yield from _repeated_blocks(configuration)
    yield from _shifted_too_much(configuration)


def _second_caps(configuration: Configuration) -> Iterator[RecordError]:
    """Find a second cap of one site: which of the two holds would be unclear."""
    seen: dict[str, str] = {}
    for cap in configuration.caps.values():
        first = seen.setdefault(cap.site, cap.name)
        if first != cap.name:
            fault = Fault(
                "site", f"site {cap.site} has the cap {first} already", "one cap a site"
            )
            yield bind(RecordKind.CAP, cap.name, fault)


def _repeated_backend_servers(configuration: Configuration) -> Iterator[RecordError]:
    """Find a name or address used twice: a drain would empty the wrong one."""
    names = Counter()
    addresses = Counter()
    for site in configuration.sites.values():
        names.update(server.name for server in site.backend_servers)
        addresses.update(server.address for server in site.backend_servers)
    if not names or max(*names.values(), *addresses.values()) == 1:
        return
    for site in configuration.sites.values():
        for index, server in enumerate(site.backend_servers):
            for field, value, counts in (
                ("name", server.name, names),
                ("address", server.address, addresses),
            ):
                if counts[value] == 1:
                    continue
                fault = Fault(
                    f"backend_servers[{index}].{field}",
                    f"{value!r} stands {counts[value]} times in all sites",
                    f"one backend server with this {field}",
                )
                yield bind(RecordKind.SITE, site.name, fault)


def _repeated_blocks(configuration: Configuration) -> Iterator[RecordError]:
    """Find a block of callers in two records: its regions would be unclear.

    Beyond some number the comparison would stall a daemon and fill its memory. A
    block that slips through does no harm to agreement: which of two records wins
    doesn't depend on their order.
    """
    count = sum(len(callers.blocks) for callers in configuration.callers.values())
    if count > BLOCKS_COMPARED_MAX:
        return
    seen: dict[str, str] = {}
    for callers in configuration.callers.values():
        for index, block in enumerate(callers.blocks):
            first = seen.setdefault(block, callers.name)
            if first == callers.name:
                continue
            fault = Fault(
                f"blocks[{index}]", f"{block} is in callers/{first} too", "one record"
            )
            yield bind(RecordKind.CALLERS, callers.name, fault)


def _shifted_too_much(configuration: Configuration) -> Iterator[RecordError]:
    """Find shifts that together move more than all of a service's traffic."""
    shifts: dict[tuple[str, str], list[Shift]] = defaultdict(list)
    for shift in configuration.shifts.values():
        shifts[shift.service, shift.from_site].append(shift)
    for (service, site), moved in shifts.items():
        total = sum(shift.fraction for shift in moved)
        if total <= 1 + FRACTION_TOLERANCE:
            continue
        names = ", ".join(sorted(shift.name for shift in moved))
        fault = Fault(
            "fraction",
            f"shifts {names} move {total:g} of {service} from {site}",
            "fractions that add up to 1 at most",
        )
        yield bind(RecordKind.SHIFT, moved[-1].name, fault)
