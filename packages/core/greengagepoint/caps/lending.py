"""Lend units of the own share, and take them back when they are surely unused."""

from typing import Final

from greengagepoint.caps.const import (
    DEMAND_WINDOW_SECONDS,
    LOAN_SECONDS,
    lent_seconds,
)
from greengagepoint.caps.ledger import owner_key
from greengagepoint.caps.messages import Granted, LoanGrant, LoanRequest, Want
from greengagepoint.caps.owners import owners_of
from greengagepoint.caps.permits import free_units, may_use_share
from greengagepoint.caps.tables import Borrower, CapsTable, Lent, Site

RENEWAL_STEP: Final = 8


def answer_request(
    table: CapsTable, sender: str, request: LoanRequest, now: float
) -> LoanGrant | None:
    """Return the grant for a request, or None where it must be ignored.

    A request that is not newer than the last one from the same borrower was doubled
    or overtaken: its ``holding`` is out of date. A request to an earlier incarnation
    speaks of another share. A host without rights grants nothing.
    """
    if request.lender != table.host.incarnation:
        return None
    # A leaving host has no use for its rights, but takes back what is returned.
    # One without a share tells who has one.
    if table.entries and not (may_use_share(table, now) or table.leaving):
        return None
    key = owner_key(sender, request.borrower)
    borrower = table.borrowers.setdefault(key, Borrower())
    if request.sequence <= borrower.last_sequence:
        return None
    borrower.last_sequence = request.sequence
    borrower.heard = now
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
    """Lend units of one site and count the largest the borrower may now use."""
    site = table.sites.get(want.site)
    if site is None:
        return None
    borrower = table.borrowers[key]
    lent = borrower.lent.get(want.site)
    # A request that was under way for longer than the loan speaks of units that are
    # taken back already; it never counts for more than this host still records.
    before = lent.units if lent is not None and now < lent.expires else 0
    holding = min(max(0, want.holding), before)
    _change_lent(table, site, (holding if lent is None else holding - lent.units))
    units = _units_to_grant(table, site, key, holding, max(0, want.want), now)
    # Until the borrower has the grant it may go on with what it holds, so a smaller
    # grant frees nothing before the borrower's next request.
    counted = max(holding, units)
    _change_lent(table, site, counted - holding)
    if counted or lent is not None:
        expires = now + lent_seconds(table.request_seconds)
        borrower.lent[want.site] = Lent(counted, expires, want.want)
    lendable = max(0, free_units(table, site))
    owners = _named_owners(table, site)
    return Granted(want.site, units, lendable, owners, site.limit)


def _named_owners(table: CapsTable, site: Site) -> tuple[str, ...]:
    """Return the owners of a site in this region, if this host is none of them.

    In a large fleet a borrower sees few hosts of another region and may ask one that
    holds nothing; so may a host that another zone's hosts take for an owner.
    """
    if site.owned or site.region != table.host.region:
        return ()
    owners = owners_of(table, site.name)
    return () if table.me in owners else owners


def _units_to_grant(
    table: CapsTable, site: Site, key: str, holding: int, want: int, now: float
) -> int:
    """Choose the size of a loan: half of what is free, less when others lack."""
    if table.leaving:
        return 0
    if want <= holding:
        return _units_to_renew(table, site, key, want, now)
    free = free_units(table, site)
    if free <= 0:
        units = _units_to_renew(table, site, key, holding, now)
        note_starved(site, key, now)
        table.region_short_at = _short_at(table, now)
        return units
    return holding + min(want - holding, max(1, free // 2))


def _units_to_renew(
    table: CapsTable, site: Site, key: str, units: int, now: float
) -> int:
    """Renew a loan, shrinking it by steps to the fair part while others lack.

    After a limit was lowered, renewals shrink by what is above it.
    """
    units = max(0, units + min(0, free_units(table, site)))
    if now - site.starved_at > DEMAND_WINDOW_SECONDS or site.starved_by == key:
        return units
    step = max(1, units // RENEWAL_STEP)
    return min(units, max(fair_part(table, site), units - step))


def note_starved(site: Site, key: str, now: float) -> None:
    """Note who asked for a unit in vain."""
    site.starved_at = now
    site.starved_by = key


def _short_at(table: CapsTable, now: float) -> float:
    """Return when the region's part last ran out before a site's part did."""
    if table.region_used >= table.region_owned:
        return now
    return table.region_short_at


def _change_lent(table: CapsTable, site: Site, difference: int) -> None:
    """Count units that went out or came back."""
    site.lent += difference
    table.region_used += difference


def expire_loans(table: CapsTable, now: float) -> int:
    """Take back what was lent and not renewed; return how many units."""
    units = 0
    for key, borrower in list(table.borrowers.items()):
        for name, lent in list(borrower.lent.items()):
            if now >= lent.expires:
                units += lent.units
                _change_lent(table, table.sites[name], -lent.units)
                del borrower.lent[name]
        if not borrower.lent and now - borrower.heard > _forget_seconds(table):
            del table.borrowers[key]
    return units


def _forget_seconds(table: CapsTable) -> float:
    """Return after which time an old request of a silent borrower is harmless.

    Forgetting the sequence numbers lets an overtaken request count as new; as it
    finds no record it can return nothing, and its grant is not taken any more.
    """
    return lent_seconds(table.request_seconds) + LOAN_SECONDS


def fair_part(table: CapsTable, site: Site) -> int:
    """Return the part of one claimant when all of a site's units are wanted."""
    lent = (b.lent.get(site.name) for b in table.borrowers.values())
    claimants = sum(1 for loan in lent if loan is not None and loan.wanted)
    if site.in_flight:
        claimants += 1
    return site.owned // max(1, claimants)
