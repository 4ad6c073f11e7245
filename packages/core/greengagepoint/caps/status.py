"""Report the state of caps to operators."""

from typing import TypedDict

from greengagepoint.caps.permits import headroom
from greengagepoint.caps.tables import CapsTable


class SiteStatus(TypedDict):
    """One site in this host's view; all numbers but ``limit`` are this host's part."""

    site: str
    region: str
    limit: int
    owned: int
    in_flight: int
    lent: int
    borrowed: int
    headroom: int
    reason: str


class RegionStatus(TypedDict):
    """The part of the region's capacity that one host holds."""

    region: str
    capacity: int
    owned: int
    used: int
    headroom: int


class CapsStatus(TypedDict):
    """The rights, the region's share and the sites of one host."""

    rights: bool
    ledger_revision: int
    region: RegionStatus
    sites: list[SiteStatus]


def status(table: CapsTable, now: float) -> CapsStatus:
    """Return this host's state; sums over all hosts give the use of each cap."""
    sites = [
        SiteStatus(
            site=site.name,
            region=site.region,
            limit=site.limit,
            owned=site.owned,
            in_flight=site.in_flight + site.borrowed_in_flight,
            lent=site.lent,
            borrowed=sum(loan.units for loan in site.loans.values()),
            headroom=headroom(table, site.name, now),
            reason=_reason(table, site.name, now),
        )
        for site in table.sites.values()
    ]
    region = RegionStatus(
        region=table.host.region,
        capacity=table.region_capacity,
        owned=table.region_owned,
        used=table.region_used,
        headroom=max(0, table.region_owned - table.region_used),
    )
    return CapsStatus(
        rights=now <= table.rights_until,
        ledger_revision=table.revision,
        region=region,
        sites=sites,
    )


def _reason(table: CapsTable, name: str, now: float) -> str:
    """Return why no request can start toward a site, or an empty string."""
    site = table.sites[name]
    if headroom(table, name, now) > 0:
        return ""
    if site.limit <= 0:
        return "the limit is 0"
    if site.region not in table.region_hosts:
        return "no live entry host in the site's region"
    if site.region == table.host.region and now > table.rights_until:
        return "this host's share is not confirmed"
    return "all units are in use"
