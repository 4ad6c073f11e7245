"""Lend units of this host's share, and reclaim them once they are certainly unused."""

from typing import Final

from greengagepoint.caps.const import (
    DEMAND_WINDOW_SECONDS,
    LOAN_SECONDS,
    loan_expiry_seconds,
)
from greengagepoint.caps.ledger import owner_key
from greengagepoint.caps.messages import Granted, LoanGrant, LoanRequest, Want
from greengagepoint.caps.owners import owners_of
from greengagepoint.caps.permits import can_use_share, free_units
from greengagepoint.caps.tables import Borrower, CapsTable, Lent, Site

RENEWAL_STEP_DIVISOR: Final = 8


def answer_request(
    table: CapsTable, sender: str, request: LoanRequest, now: float
) -> LoanGrant | None:
    """Return the grant for a request, or None if the request must be ignored.

    A request that is not newer than the last one from the same borrower was
    duplicated or reordered, and its ``holding`` is outdated. A request to an earlier
    incarnation concerns another share. A host without rights grants nothing.
    """
    if request.lender != table.host.incarnation:
        return None
    # A leaving host no longer needs rights, but still records returned units. A host
    # without a share names the owners.
    if table.entries and not (can_use_share(table, now) or table.leaving):
        return None
    key = owner_key(sender, request.borrower)
    borrower = table.borrowers.setdefault(key, Borrower())
    if request.sequence <= borrower.last_sequence:
        return None
    borrower.last_sequence = request.sequence
    borrower.last_request_at = now
    granted = tuple(
        grant
        for want in request.wants
        if (grant := _grant(table, key, want, now)) is not None
    )
    return LoanGrant(
        request.borrower,
        request.lender,
        request.sequence,
        table.request_seconds,
        granted,
    )


def _grant(table: CapsTable, key: str, want: Want, now: float) -> Granted | None:
    """Lend units of one site and count the most that the borrower may now use."""
    site = table.sites.get(want.site)
    if site is None:
        return None
    borrower = table.borrowers[key]
    lent = borrower.lent.get(want.site)
    # A request that was delayed beyond the loan names units that were reclaimed
    # already, so it never counts for more than this host still records as lent.
    before = lent.units if lent is not None and now < lent.expires else 0
    holding = min(max(0, want.holding), before)
    _change_lent(table, site, (holding if lent is None else holding - lent.units))
    units = _units_to_grant(table, site, key, holding, max(0, want.want), now)
    # The borrower may use its current units until it receives the grant, so a smaller
    # grant frees nothing before the borrower's next request.
    counted = max(holding, units)
    _change_lent(table, site, counted - holding)
    if counted or lent is not None:
        expires = now + loan_expiry_seconds(table.request_seconds)
        borrower.lent[want.site] = Lent(counted, expires, want.want)
    lendable = max(0, free_units(table, site))
    owners = _owners_to_name(table, site)
    return Granted(want.site, units, lendable, owners, site.limit)


def _owners_to_name(table: CapsTable, site: Site) -> tuple[str, ...]:
    """Return the owners of a site in this region, unless this host is one of them.

    In a large fleet a borrower sees few hosts of another region and may ask one that
    owns nothing. The same happens to a host that hosts of another zone take for an
    owner.
    """
    if site.owned or site.region != table.host.region:
        return ()
    owners = owners_of(table, site.name)
    return () if table.own_key in owners else owners


def _units_to_grant(
    table: CapsTable, site: Site, key: str, holding: int, want: int, now: float
) -> int:
    """Return the size of a loan: up to half of the free units, fewer in a shortage."""
    if table.leaving:
        return 0
    if want <= holding:
        return _units_to_renew(table, site, key, want, now)
    free = free_units(table, site)
    if free <= 0:
        units = _units_to_renew(table, site, key, holding, now)
        record_shortage(site, key, now)
        table.region_exhausted_at = _last_exhausted_at(table, now)
        return units
    return holding + min(want - holding, max(1, free // 2))


def _units_to_renew(
    table: CapsTable, site: Site, key: str, units: int, now: float
) -> int:
    """Return the renewed size of a loan.

    During another claimant's shortage it shrinks in steps to the fair share. After a
    limit was lowered, it also shrinks by the units above the limit.
    """
    units = max(0, units + min(0, free_units(table, site)))
    if now - site.shortage_at > DEMAND_WINDOW_SECONDS or site.shortage_by == key:
        return units
    step = max(1, units // RENEWAL_STEP_DIVISOR)
    return min(units, max(fair_share(table, site), units - step))


def record_shortage(site: Site, key: str, now: float) -> None:
    """Record which claimant found no free unit."""
    site.shortage_at = now
    site.shortage_by = key


def _last_exhausted_at(table: CapsTable, now: float) -> float:
    """Return when the region's share last ran out before a site's share did."""
    if table.region_used >= table.region_owned:
        return now
    return table.region_exhausted_at


def _change_lent(table: CapsTable, site: Site, difference: int) -> None:
    """Add to the lent units, or subtract returned ones."""
    site.lent += difference
    table.region_used += difference


def expire_loans(table: CapsTable, now: float) -> int:
    """Reclaim loans that were not renewed; return the number of units reclaimed."""
    units = 0
    for key, borrower in list(table.borrowers.items()):
        for name, lent in list(borrower.lent.items()):
            if now >= lent.expires:
                units += lent.units
                _change_lent(table, table.sites[name], -lent.units)
                del borrower.lent[name]
        if (
            not borrower.lent
            and now - borrower.last_request_at > _borrower_retention_seconds(table)
        ):
            del table.borrowers[key]
    return units


def _borrower_retention_seconds(table: CapsTable) -> float:
    """Return for how many seconds an idle borrower's sequence number is kept.

    After that an old request of the borrower would count as new, but it does no harm:
    with no loan recorded it can return nothing, and the borrower ignores its grant.
    """
    return loan_expiry_seconds(table.request_seconds) + LOAN_SECONDS


def fair_share(table: CapsTable, site: Site) -> int:
    """Return each claimant's share of a site's units when all of them are in demand."""
    lent = (b.lent.get(site.name) for b in table.borrowers.values())
    claimants = sum(1 for loan in lent if loan is not None and loan.wanted)
    if site.in_flight:
        claimants += 1
    return site.owned // max(1, claimants)
