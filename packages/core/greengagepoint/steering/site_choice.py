"""Order the sites that one request may go to."""

from collections.abc import Callable, Iterable, Sequence
from typing import Final, NamedTuple

from greengagepoint.configuration import Configuration
from greengagepoint.protocols import Random
from greengagepoint.records.schemas import Drain, DrainTarget
from greengagepoint.steering.schedule import has_started
from greengagepoint.steering.tables import (
    ShiftCause,
    ShiftRow,
    SitePlan,
    SteeringTable,
)

SITES_A_TIER_MAX: Final = 6
Headroom = Callable[[str], int]


def candidate_sites(
    configuration: Configuration,
    service: str,
    region: str,
    zone: str,
    now_wall_ms: int,
    shift_state: SteeringTable,
    headroom: Headroom,
    random: Random,
) -> tuple[str, ...]:
    """Return sites for one request of a service, best first.

    Nearest come first (zone, region, others); in a tier the order is random with
    headroom as weight. Sites without headroom come last, drained ones not at all,
    and failed ones only when there is no other.
    """
    plan = _plan(configuration, service, region, zone, shift_state)
    away = shift_state.away
    draw = random.random() if away else 1.0
    order = _Order([], [], [])
    promoted: str | None = None
    for tier in plan:
        for site in _tier_order(tier, headroom, random):
            row = _shift_taken(away.get(site, ()), service, draw)
            if row is not None and promoted is None and not order.kept:
                promoted = row.to_site
            _place(order, site, row)
    if promoted is not None:
        _promote(order, promoted, plan, away, service, draw)
    ordered = (order.kept + order.displaced) or order.failed
    left = _left_sites(configuration.drains.values(), now_wall_ms)
    if left:
        ordered = [site for site in ordered if site not in left]
    return _headroom_first(ordered, headroom)


class _Order(NamedTuple):
    """Sites of one request by what shifts make of them."""

    kept: list[str]
    displaced: list[str]
    failed: list[str]


def _place(order: _Order, site: str, row: ShiftRow | None) -> None:
    """Put a site where the shift taken, if any, leaves it.

    A site that a drain has emptied goes nowhere; while it is being emptied it
    is a last resort.
    """
    if row is None:
        order.kept.append(site)
    elif row.cause is ShiftCause.REGION_FAILED:
        order.failed.append(site)
    elif row.cause is ShiftCause.SCHEDULED or row.fraction < 1:
        order.displaced.append(site)


def _promote(
    order: _Order,
    site: str,
    plan: SitePlan,
    away: dict[str, tuple[ShiftRow, ...]],
    service: str,
    draw: float,
) -> None:
    """Put a shift's destination first, unless a shift moves traffic off it too.

    A destination that its tier's random window left out is put in.
    """
    if site in order.kept:
        order.kept.remove(site)
        order.kept.insert(0, site)
        return
    permitted = any(site in tier for tier in plan)
    if permitted and _shift_taken(away.get(site, ()), service, draw) is None:
        order.kept.insert(0, site)


def _headroom_first(sites: Sequence[str], headroom: Headroom) -> tuple[str, ...]:
    """Put sites without headroom last, keeping the order otherwise."""
    free = [site for site in sites if headroom(site) > 0]
    if len(free) == len(sites):
        return tuple(free)
    return (*free, *(site for site in sites if site not in free))


def _shift_taken(
    rows: tuple[ShiftRow, ...], service: str, draw: float
) -> ShiftRow | None:
    """Return the shift that moves this request away, as its random draw falls."""
    reached = 0.0
    for row in rows:
        if row.service is not None and row.service != service:
            continue
        reached += row.fraction
        if draw < reached:
            return row
    return None


def _tier_order(
    tier: tuple[str, ...], headroom: Headroom, random: Random
) -> Sequence[str]:
    """Return sites of one tier at random, weighted by headroom.

    A large tier is cut to a random window, so that a service of a thousand sites
    costs a request no more than a small one.
    """
    if len(tier) == 1:
        return tier
    if len(tier) > SITES_A_TIER_MAX:
        start = random.randrange(len(tier))
        tier = (tier + tier)[start : start + SITES_A_TIER_MAX]
    keyed = []
    for site in tier:
        weight = headroom(site)
        key = random.random() ** (1.0 / weight) if weight > 0 else -1.0
        keyed.append((key, site))
    keyed.sort(reverse=True)
    return [site for _key, site in keyed]


def _left_sites(drains: Iterable[Drain], now_wall_ms: int) -> frozenset[str]:
    """Return sites whose planned time to leave has come.

    A drain without that time empties its site by the shift made for it.
    """
    return frozenset(
        drain.target
        for drain in drains
        if drain.target_kind is DrainTarget.SITE
        and drain.leave_at is not None
        and has_started(drain.leave_at, now_wall_ms)
    )


def _plan(
    configuration: Configuration,
    service: str,
    region: str,
    zone: str,
    table: SteeringTable,
) -> SitePlan:
    """Return the tiers of a service's sites as seen from a zone, kept for reuse."""
    if table.planned is not configuration:
        table.planned = configuration
        table.plans.clear()
    key = (service, region, zone)
    plan = table.plans.get(key)
    if plan is None:
        plan = _make_plan(configuration, service, region, zone)
        table.plans[key] = plan
    return plan


def _make_plan(
    configuration: Configuration, service: str, region: str, zone: str
) -> SitePlan:
    """Sort a service's permitted sites into own zone, own region and others."""
    record = configuration.services.get(service)
    if record is None:
        return ()
    tiers: tuple[list[str], ...] = ([], [], [])
    for name in record.sites:
        site = configuration.sites.get(name)
        if site is None:
            continue
        if site.region != region:
            tiers[2].append(name)
        else:
            tiers[0 if site.zone == zone else 1].append(name)
    return tuple(tuple(tier) for tier in tiers if tier)
