"""Acquire and release one unit for each request."""

from greengagepoint.caps.const import FENCE_SECONDS, LENDABLE_MAX_AGE_SECONDS
from greengagepoint.caps.tables import CapsTable, Loan, Permit, Site


def acquire(
    table: CapsTable, site_name: str, deadline_seconds: float, now: float
) -> Permit | None:
    """Return a permit for one request, or None if no unit is available."""
    site = table.sites.get(site_name)
    if site is None:
        return None
    # A process that resumes after a pause may have lost its rights to other hosts.
    # The gap since the last tick is checked here, as a request may come before the
    # next tick.
    if now - table.last_tick > FENCE_SECONDS:
        site.refused += 1
        return None
    if has_free_unit(table, site) and now <= table.rights_until:
        return _acquire_owned(table, site, deadline_seconds, now)
    for lender, loan in site.loans.items():
        if loan.in_flight < loan.units and now <= loan.start_until:
            return _acquire_borrowed(site, lender, loan, deadline_seconds, now)
    site.refused += 1
    return None


def _acquire_owned(
    table: CapsTable, site: Site, deadline_seconds: float, now: float
) -> Permit:
    """Acquire a unit of this host's own share."""
    site.in_flight += 1
    table.region_used += 1
    _update_peak(site)
    end_by = now + min(deadline_seconds, table.request_seconds)
    return Permit(site.name, "", now + FENCE_SECONDS, end_by)


def _acquire_borrowed(
    site: Site, lender: str, loan: Loan, deadline_seconds: float, now: float
) -> Permit:
    """Acquire a unit on loan."""
    loan.in_flight += 1
    site.borrowed_in_flight += 1
    _update_peak(site)
    end_by = min(now + deadline_seconds, loan.end_until)
    return Permit(site.name, lender, now + FENCE_SECONDS, end_by)


def release(table: CapsTable, permit: Permit) -> None:
    """Release a permit's unit; releasing a permit again does nothing."""
    if not permit.open:
        return
    permit.open = False
    site = table.sites[permit.site]
    if not permit.lender:
        site.in_flight -= 1
        table.region_used -= 1
        return
    site.borrowed_in_flight -= 1
    site.loans[permit.lender].in_flight -= 1


def headroom(table: CapsTable, site_name: str, now: float) -> int:
    """Return how many more requests this host could start toward a site now.

    This sums own free units, free units on loan, and the units that lenders recently
    reported as lendable. If that is 0 and some lender's answer is missing or too old,
    the result is 1, so that a new site is tried.
    """
    site = table.sites.get(site_name)
    if site is None or now - table.last_tick > FENCE_SECONDS:
        return 0
    units = available_units(table, site_name, now)
    for loan in site.loans.values():
        if now - loan.answered_at <= LENDABLE_MAX_AGE_SECONDS:
            units += loan.lendable
    if not units and _has_unasked_lender(site, now):
        return 1
    return units


def available_units(table: CapsTable, site_name: str, now: float) -> int:
    """Return how many requests could start now without a loan request."""
    site = table.sites.get(site_name)
    if site is None or now - table.last_tick > FENCE_SECONDS:
        return 0
    units = 0
    if now <= table.rights_until:
        units += max(0, free_units(table, site))
    for loan in site.loans.values():
        if now <= loan.start_until:
            units += max(0, loan.units - loan.in_flight)
    return units


def can_use_share(table: CapsTable, now: float) -> bool:
    """Return True if this host's rights are confirmed and it was not just paused."""
    return now <= table.rights_until and now - table.last_tick <= FENCE_SECONDS


def has_free_unit(table: CapsTable, site: Site) -> bool:
    """Return True if the own share has a free unit of the site and of the region."""
    return (
        site.in_flight + site.lent < site.owned
        and table.region_used < table.region_owned
    )


def free_units(table: CapsTable, site: Site) -> int:
    """Return the units of the own share that are neither in use nor lent."""
    of_site = site.owned - site.in_flight - site.lent
    return min(of_site, table.region_owned - table.region_used)


def _has_unasked_lender(site: Site, now: float) -> bool:
    """Return True if some lender's answer is missing or older than the maximum age."""
    if not site.lenders:
        return False
    answered = [loan.answered_at for loan in site.loans.values()]
    if len(answered) < len(site.lenders):
        return True
    return now - min(answered) > LENDABLE_MAX_AGE_SECONDS


def _update_peak(site: Site) -> None:
    """Update the peak of requests in flight in this demand window."""
    in_flight = site.in_flight + site.borrowed_in_flight
    if in_flight > site.peak:
        site.peak = in_flight
