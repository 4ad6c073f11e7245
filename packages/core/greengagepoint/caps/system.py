"""Run caps on each tick, and apply changes of the configuration."""

from typing import Any, NamedTuple

from greengagepoint.caps.borrowing import (
    Outgoing,
    create_loan_requests,
    roll_demand,
    set_limit,
    time_out_requests,
)
from greengagepoint.caps.const import (
    DEFAULT_REQUEST_SECONDS,
    DEMAND_WINDOW_SECONDS,
    HINT_RETRY_SECONDS,
    LEDGER_OWNERS_PER_POLL,
    LEDGER_POLL_SECONDS,
    PLAN_INTERVAL_SECONDS,
    REGION_KEY,
)
from greengagepoint.caps.ledger import owner_name
from greengagepoint.caps.lending import expire_loans, record_shortage
from greengagepoint.caps.messages import RegionUnitsWanted
from greengagepoint.caps.owners import is_live
from greengagepoint.caps.planning import REGION_STEP, plan
from greengagepoint.caps.rights import (
    check_fence,
    refresh_entries,
    refresh_rights,
    request_vouches,
)
from greengagepoint.caps.tables import CapsTable, Site, is_behind
from greengagepoint.configuration import Configuration
from greengagepoint.events import Event

MILLISECONDS = 1000
REGION_YIELD_SECONDS = 5.0


class EventRecord(NamedTuple):
    """One event to record."""

    event: Event
    fields: dict[str, Any]


class Commands(NamedTuple):
    """Actions for the node after a tick; ``sync`` requests a ledger exchange."""

    messages: list[Outgoing]
    events: list[EventRecord]
    sync: bool


def run(table: CapsTable, now: float) -> Commands:
    """Check rights, expire and renew loans, and return what the node must do."""
    events = []
    if check_fence(table, now):
        events.append(EventRecord(Event.FENCED, {}))
    expired = expire_loans(table, now)
    if expired:
        events.append(EventRecord(Event.LOAN_EXPIRED, {"units": expired}))
    time_out_requests(table, now)
    _record_own_shortages(table, now)
    messages = request_vouches(table, now)
    messages += create_loan_requests(table, _active_sites(table, now), now)
    messages += _request_region_units(table, now)
    events += _rights_events(table, now)
    return Commands(messages, events, _needs_ledger(table, now))


def yield_region_units(table: CapsTable, units: int, now: float) -> None:
    """Free units of the region's capacity for a co-owner with the next plan."""
    table.region_units_requested = max(0, units)
    table.region_yields_until = now + REGION_YIELD_SECONDS
    table.next_plan = now


def configure(table: CapsTable, configuration: Configuration) -> None:
    """Apply the limits of a configuration; a site without a record gets limit 0."""
    limits = site_limits(configuration)
    for name, record in configuration.sites.items():
        site = table.sites.get(name)
        if site is None:
            table.sites[name] = Site(name, record.region, limits[name])
        elif site.region == record.region:
            set_limit(site, limits[name])
        else:
            _move_site(table, site, record.region, limits[name])
    for name in table.sites.keys() - limits.keys():
        site = table.sites[name]
        set_limit(site, 0)
        if not _is_in_use(site):
            del table.sites[name]
    region = configuration.regions.get(table.host.region)
    table.region_capacity = region.capacity if region is not None else 0
    # Never reduced while the process runs, as earlier requests and loans still count.
    table.configured_request_seconds = max(
        table.configured_request_seconds, _request_seconds(configuration)
    )
    refresh_entries(table)
    refresh_rights(table)


def site_limits(configuration: Configuration) -> dict[str, int]:
    """Return the smallest of the capacity and the caps of each site."""
    limits = {name: site.capacity for name, site in configuration.sites.items()}
    for cap in configuration.caps.values():
        if cap.site in limits:
            limits[cap.site] = min(limits[cap.site], cap.limit)
    return limits


def _move_site(table: CapsTable, site: Site, region: str, limit: int) -> None:
    """Move a site to another region once this host neither uses nor lends its units."""
    if _is_in_use(site):
        set_limit(site, 0)
        return
    table.sites[site.name] = Site(site.name, region, limit)


def _is_in_use(site: Site) -> bool:
    """Return True if units of a site are in flight, lent or borrowed."""
    used_units = site.in_flight + site.lent + site.borrowed_in_flight
    return bool(used_units or any(loan.counted for loan in site.loans.values()))


def _request_seconds(configuration: Configuration) -> int:
    """Return the longest deadline of any service, in whole seconds."""
    longest = max(
        (service.max_deadline_ms for service in configuration.services.values()),
        default=DEFAULT_REQUEST_SECONDS * MILLISECONDS,
    )
    return -(-longest // MILLISECONDS)


def _active_sites(table: CapsTable, now: float) -> list[str]:
    """Return the sites with demand or loans, and roll their demand windows."""
    names = []
    for site in table.sites.values():
        if not (site.refused or site.peak or site.recent_peak or site.loans):
            continue
        roll_demand(site, now)
        names.append(site.name)
    return names


def _record_own_shortages(table: CapsTable, now: float) -> None:
    """Record shortages of site or region units that rejected own requests."""
    if not table.has_rights:
        return
    for site in table.sites.values():
        if not site.refused or not site.owned:
            continue
        record_shortage(site, table.own_key, now)
        if site.in_flight + site.lent < site.owned:
            table.region_exhausted_at = now


def _request_region_units(table: CapsTable, now: float) -> list[Outgoing]:
    """Ask co-owners in turn, at most one per demand window, for region units."""
    if now - table.region_exhausted_at > DEMAND_WINDOW_SECONDS:
        return []
    if now - table.region_requested_at < DEMAND_WINDOW_SECONDS:
        return []
    peers = [
        owner_name(key)
        for key, entry in sorted(table.ledger.owners.items())
        if key != table.own_key and REGION_KEY in entry.shares and is_live(table, key)
    ]
    if not peers:
        return []
    table.region_requested_at = now
    table.region_peer_turn += 1
    units = max(REGION_STEP, table.region_used // REGION_STEP)
    message = RegionUnitsWanted(table.host.region, units)
    return [Outgoing(peers[table.region_peer_turn % len(peers)], message)]


def _rights_events(table: CapsTable, now: float) -> list[EventRecord]:
    """Return an event if rights were lost; gaining them shows as a ledger change."""
    had_rights = table.has_rights
    table.has_rights = now <= table.rights_until
    if had_rights and not table.has_rights:
        return [EventRecord(Event.RIGHTS_GIVEN_UP, {"region": table.host.region})]
    return []


def _needs_ledger(table: CapsTable, now: float) -> bool:
    """Return True if the ledger must be read or written."""
    size = len(table.ledger.owners) / LEDGER_OWNERS_PER_POLL
    if now - table.read_at >= LEDGER_POLL_SECONDS * (1 + size):
        return True
    if table.pending:
        return True
    if is_behind(table, now) and now >= table.next_hint_read:
        table.next_hint_read = now + HINT_RETRY_SECONDS
        return True
    if now < table.next_plan:
        return False
    table.next_plan = now + PLAN_INTERVAL_SECONDS
    if plan(table, now) is not None:
        return True
    table.region_units_requested = 0
    return False
