"""Decide how many units to borrow from which lenders, and apply grants."""

from collections.abc import Iterable
from math import ceil
from typing import Final, NamedTuple

from greengagepoint.caps.const import (
    DEMAND_WINDOW_SECONDS,
    IDLE_UNIT_SECONDS,
    LOAN_REQUEST_TIMEOUT_SECONDS,
    LOAN_SECONDS,
    REDIRECT_SECONDS,
    SHORTFALL_BACKOFF_SECONDS,
    SHORTFALL_BACKOFF_SECONDS_MAX,
    TIMEOUT_BACKOFF_SECONDS,
    TIMEOUT_BACKOFF_SECONDS_MAX,
)
from greengagepoint.caps.ledger import (
    owner_incarnation,
    owner_key,
    owner_name,
)
from greengagepoint.caps.messages import LoanGrant, LoanRequest, Want
from greengagepoint.caps.owners import owners_of, refresh_owners
from greengagepoint.caps.permits import free_units
from greengagepoint.caps.tables import CapsTable, Lender, Loan, Site
from greengagepoint.rendezvous import rank

SPARE_DEMAND_RATIO: Final = 0.25
MIN_DEMAND_GROWTH: Final = 4


class Outgoing(NamedTuple):
    """One message and the name of the host it is sent to."""

    host: str
    message: object


def roll_demand(site: Site, now: float) -> None:
    """Start a new demand window once the current one has ended."""
    if now - site.window_start < DEMAND_WINDOW_SECONDS:
        return
    if site.peak:
        site.active_at = now
    site.recent_peak = site.peak
    site.peak = site.in_flight + site.borrowed_in_flight
    site.window_start = now


def demand(site: Site, now: float) -> int:
    """Return how many units this host can use toward a site.

    The demand is the recent peak plus a spare ratio, which is left out while units
    are scarce. Rejections count toward the peak, but at most double the requests in
    flight, as many rejections may stem from few concurrent requests.
    """
    if site.refused:
        in_flight = site.in_flight + site.borrowed_in_flight
        more = min(site.refused, max(MIN_DEMAND_GROWTH, in_flight))
        site.peak = max(site.peak, in_flight + more)
        site.refused = 0
    peak = max(site.peak, site.recent_peak)
    if _is_scarce(site):
        return min(peak, site.limit)
    kept = 1 if now - site.active_at < IDLE_UNIT_SECONDS else 0
    return min(max(peak + ceil(peak * SPARE_DEMAND_RATIO), kept), site.limit)


def _is_scarce(site: Site) -> bool:
    """Return True if no lender had a free unit when it last answered."""
    return bool(site.loans) and not any(loan.lendable for loan in site.loans.values())


def create_loan_requests(
    table: CapsTable, site_names: Iterable[str], now: float
) -> list[Outgoing]:
    """Return at most one loan request for each lender."""
    wants: dict[str, list[Want]] = {}
    for name in site_names:
        _collect_wants(table, table.sites[name], wants, now)
    messages = []
    for key, items in wants.items():
        lender = table.lenders[key]
        messages.append(Outgoing(lender.host, _request(table, key, lender, items, now)))
    return messages


def _collect_wants(
    table: CapsTable, site: Site, wants: dict[str, list[Want]], now: float
) -> None:
    """Distribute a site's demand over its lenders and add the requests due now."""
    refresh_owners(table, site)
    wanted = demand(site, now) - site.in_flight - max(0, free_units(table, site))
    keys = _lender_keys(table, site, now)
    for key, want in _spread_demand(site, keys, max(0, wanted), now).items():
        loan = site.loans.get(key)
        if loan is None:
            loan = site.loans[key] = Loan()
        if table.lenders[key].requested_at is None and _is_request_due(loan, want, now):
            wants.setdefault(key, []).append(_create_want(site, loan, want))
    for key in site.loans.keys() - keys:
        _return_loan(table, site, key, wants, now)


def _lender_keys(table: CapsTable, site: Site, now: float) -> list[str]:
    """Return the keys of a site's lenders in the order in which they are asked.

    These are the owners chosen from this host's view, plus the owners in the ledger
    for a site of the own region, or those that a host of the site's region named
    recently.
    """
    named: tuple[str, ...] = ()
    if site.region == table.host.region:
        named = owners_of(table, site.name)
    elif now < site.named_until:
        named = site.named_owners
    keys = [owner_key(host.name, host.incarnation) for host in site.lenders]
    peers = {*keys, *named} - {table.own_key}
    if len(peers) > len(keys):
        keys = rank(f"{site.name}/{table.own_key}", peers)
    for key in keys:
        if key not in table.lenders:
            lender = Lender(owner_name(key), owner_incarnation(key))
            table.lenders[key] = lender
    return keys


def _spread_demand(
    site: Site, keys: list[str], wanted: int, now: float
) -> dict[str, int]:
    """Return how many units to request from each lender.

    Units already on loan come first, so that a larger request to one lender returns
    nothing to another; the rest comes from the first lender not in backoff. A loan
    that was not renewed in time does not count, and its units are requested again.
    """
    wants = {key: 0 for key in keys if key in site.loans}
    for key in keys:
        loan = site.loans.get(key)
        if loan is None or now > loan.start_until:
            continue
        wants[key] = min(loan.units, wanted)
        wanted -= wants[key]
    if not wanted:
        return wants
    for key in keys:
        loan = site.loans.get(key)
        if loan is None or now >= loan.backoff_until:
            wants[key] = wants.get(key, 0) + wanted
            break
    return wants


def _is_request_due(loan: Loan, want: int, now: float) -> bool:
    """Return True if units must be requested, renewed or returned now."""
    if want > loan.units:
        return True
    if want and loan.start_until - now < LOAN_SECONDS / 2:
        return True
    return loan.counted > max(want, loan.in_flight)


def _create_want(site: Site, loan: Loan, want: int) -> Want:
    """Reduce the loan to the units kept before the lender may lend out the rest."""
    holding = max(loan.in_flight, min(loan.units, want))
    loan.units = min(loan.units, holding)
    loan.sent_holding = holding
    loan.sent_want = want
    return Want(site.name, holding, want)


def _return_loan(
    table: CapsTable,
    site: Site,
    key: str,
    wants: dict[str, list[Want]],
    now: float,
) -> None:
    """Return units to a host that is no longer an owner; drop a loan that has ended."""
    loan = site.loans[key]
    if now > loan.end_until and not loan.in_flight:
        del site.loans[key]
        return
    lender = table.lenders[key]
    if lender.requested_at is None and loan.counted > loan.in_flight:
        wants.setdefault(key, []).append(_create_want(site, loan, 0))


def _request(
    table: CapsTable, key: str, lender: Lender, wants: list[Want], now: float
) -> LoanRequest:
    """Create a numbered loan request and record when it was sent."""
    lender.sequence += 1
    lender.requested_at = now
    lender.sites = tuple(want.site for want in wants)
    return LoanRequest(
        table.host.incarnation, lender.incarnation, lender.sequence, tuple(wants)
    )


def apply_grant(
    table: CapsTable, sender: str, grant: LoanGrant, now: float
) -> list[str]:
    """Apply a grant and return the sites that gained units.

    Only the answer to the newest request counts. The loan runs from the time of the
    request. The lender counts from when it granted, which is later, so this host
    always stops first, however late the grant arrives.
    """
    key = owner_key(sender, grant.lender)
    lender = table.lenders.get(key)
    if lender is None or grant.borrower != table.host.incarnation:
        return []
    if lender.requested_at is None or grant.sequence != lender.sequence:
        return []
    start_until = lender.requested_at + LOAN_SECONDS
    lender.requested_at = None
    gained = []
    for granted in grant.granted:
        site = table.sites.get(granted.site)
        loan = site.loans.get(key) if site is not None else None
        if loan is None or granted.site not in lender.sites:
            continue
        if granted.units > loan.units:
            gained.append(granted.site)
            loan.backoff_seconds = 0.0
        if granted.units < loan.sent_want:
            _back_off(
                loan, now, SHORTFALL_BACKOFF_SECONDS, SHORTFALL_BACKOFF_SECONDS_MAX
            )
        loan.counted = max(granted.units, loan.sent_holding)
        loan.units = granted.units
        loan.lent_limit = granted.limit
        _scale_loan(loan, site.limit)
        loan.start_until = start_until
        loan.request_seconds = grant.request_seconds
        loan.end_until = start_until + grant.request_seconds
        loan.lendable = granted.lendable
        loan.answered_at = now
        if granted.owners:
            site.named_owners = granted.owners
            site.named_until = now + REDIRECT_SECONDS
    return gained


def set_limit(site: Site, limit: int) -> None:
    """Set a site's limit; loans are scaled down to a lower one."""
    site.limit = limit
    for loan in site.loans.values():
        _scale_loan(loan, limit)


def _scale_loan(loan: Loan, limit: int) -> None:
    """Scale a loan down to a limit below the one that it was lent under.

    Earlier loans may be used for seconds and add up to the higher limit. Their
    proportional parts of the lower limit, rounded down, add up to it at most.
    """
    if limit < loan.lent_limit:
        loan.units = loan.units * limit // loan.lent_limit
        loan.lent_limit = limit


def time_out_requests(table: CapsTable, now: float) -> None:
    """Back off from lenders that did not answer in time.

    A request is abandoned only here: a new request to the same lender before its
    timeout would hide that the lender does not answer.
    """
    for key, lender in table.lenders.items():
        if (
            lender.requested_at is None
            or now - lender.requested_at < LOAN_REQUEST_TIMEOUT_SECONDS
        ):
            continue
        for name in lender.sites:
            site = table.sites.get(name)
            loan = site.loans.get(key) if site is not None else None
            if loan is not None:
                _back_off(
                    loan, now, TIMEOUT_BACKOFF_SECONDS, TIMEOUT_BACKOFF_SECONDS_MAX
                )
                loan.lendable = 0
        lender.requested_at = None


def _back_off(loan: Loan, now: float, least: float, most: float) -> None:
    """Request no more units from a lender for a time that doubles on each failure."""
    loan.backoff_seconds = min(max(least, 2 * loan.backoff_seconds), most)
    loan.backoff_until = now + loan.backoff_seconds
