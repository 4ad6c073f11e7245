"""Decide what to borrow from whom, and take grants."""

from collections.abc import Iterable
from math import ceil
from typing import Final, NamedTuple

from greengagepoint.caps.const import (
    ASK_TIMEOUT_SECONDS,
    DEMAND_WINDOW_SECONDS,
    KEEP_SECONDS,
    LOAN_SECONDS,
    REDIRECT_SECONDS,
    SHORT_SECONDS,
    SHORT_SECONDS_MAX,
    SILENT_SECONDS,
    SILENT_SECONDS_MAX,
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

SPARE_PART: Final = 0.25
FIRST_UNITS: Final = 4


class Outgoing(NamedTuple):
    """One message to a host by name."""

    host: str
    message: object


def roll_demand(site: Site, now: float) -> None:
    """Start a new demand window where the last one is over."""
    if now - site.window_start < DEMAND_WINDOW_SECONDS:
        return
    if site.peak:
        site.active_at = now
    site.recent_peak = site.peak
    site.peak = site.in_flight + site.borrowed_in_flight
    site.window_start = now


def demand(site: Site, now: float) -> int:
    """Return how many units this host can use toward a site.

    The recent peak, and a spare part while there is enough. Refusals count into the
    peak, but double what is in flight at most, as many refusals may stand for few
    requests at once.
    """
    if site.refused:
        in_flight = site.in_flight + site.borrowed_in_flight
        more = min(site.refused, max(FIRST_UNITS, in_flight))
        site.peak = max(site.peak, in_flight + more)
        site.refused = 0
    peak = max(site.peak, site.recent_peak)
    if _is_scarce(site):
        return min(peak, site.limit)
    kept = 1 if now - site.active_at < KEEP_SECONDS else 0
    return min(max(peak + ceil(peak * SPARE_PART), kept), site.limit)


def _is_scarce(site: Site) -> bool:
    """Tell whether no lender had a unit left when it last answered."""
    return bool(site.loans) and not any(loan.lendable for loan in site.loans.values())


def ask(table: CapsTable, site_names: Iterable[str], now: float) -> list[Outgoing]:
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
    """Spread a site's demand over its lenders, and list those to be asked now."""
    refresh_owners(table, site)
    wanted = demand(site, now) - site.in_flight - max(0, free_units(table, site))
    keys = _lender_keys(table, site, now)
    for key, want in _spread(site, keys, max(0, wanted), now).items():
        loan = site.loans.get(key)
        if loan is None:
            loan = site.loans[key] = Loan()
        if table.lenders[key].asked is None and _is_ask_due(loan, want, now):
            wants.setdefault(key, []).append(_want(site, loan, want))
    for key in site.loans.keys() - keys:
        _return_loan(table, site, key, wants, now)


def _lender_keys(table: CapsTable, site: Site, now: float) -> list[str]:
    """Return the keys of a site's lenders in the order of asking.

    Those that this host's view would choose, and those that the ledger tells, in the
    own region, or that a host of another region has named lately.
    """
    named: tuple[str, ...] = ()
    if site.region == table.host.region:
        named = owners_of(table, site.name)
    elif now < site.named_until:
        named = site.named_owners
    keys = [owner_key(host.name, host.incarnation) for host in site.lenders]
    others = {*keys, *named} - {table.me}
    if len(others) > len(keys):
        keys = rank(f"{site.name}/{table.me}", others)
    for key in keys:
        if key not in table.lenders:
            lender = Lender(owner_name(key), owner_incarnation(key))
            table.lenders[key] = lender
    return keys


def _spread(site: Site, keys: list[str], wanted: int, now: float) -> dict[str, int]:
    """Return how many units to want of each lender.

    First what is held already, so that asking one lender for more gives nothing back
    to another; the rest from the first lender that is not short. A loan that could
    not be renewed in time is no use and wanted elsewhere.
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
        if loan is None or now >= loan.short_until:
            wants[key] = wants.get(key, 0) + wanted
            break
    return wants


def _is_ask_due(loan: Loan, want: int, now: float) -> bool:
    """Tell whether to ask for more, renew, or return what is not needed."""
    if want > loan.units:
        return True
    if want and loan.start_until - now < LOAN_SECONDS / 2:
        return True
    return loan.counted > max(want, loan.in_flight)


def _want(site: Site, loan: Loan, want: int) -> Want:
    """Lower the loan to what is kept, before the lender is told so."""
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
    """Give units back to a host that is no owner any more; forget what has ended."""
    loan = site.loans[key]
    if now > loan.end_until and not loan.in_flight:
        del site.loans[key]
        return
    lender = table.lenders[key]
    if lender.asked is None and loan.counted > loan.in_flight:
        wants.setdefault(key, []).append(_want(site, loan, 0))


def _request(
    table: CapsTable, key: str, lender: Lender, wants: list[Want], now: float
) -> LoanRequest:
    """Number a request and note when it was asked."""
    lender.sequence += 1
    lender.asked = now
    lender.sites = tuple(want.site for want in wants)
    return LoanRequest(
        table.host.incarnation, lender.incarnation, lender.sequence, tuple(wants)
    )


def take_grant(
    table: CapsTable, sender: str, grant: LoanGrant, now: float
) -> list[str]:
    """Take the units of a grant; return the sites that have more now.

    Only the answer to the newest request counts. The loan runs from the time of
    asking: the lender counts from when it granted, which is later, so however late
    the grant comes, this host stops first.
    """
    key = owner_key(sender, grant.lender)
    lender = table.lenders.get(key)
    if lender is None or grant.borrower != table.host.incarnation:
        return []
    if lender.asked is None or grant.sequence != lender.sequence:
        return []
    start_until = lender.asked + LOAN_SECONDS
    lender.asked = None
    gained = []
    for granted in grant.granted:
        site = table.sites.get(granted.site)
        loan = site.loans.get(key) if site is not None else None
        if loan is None or granted.site not in lender.sites:
            continue
        if granted.units > loan.units:
            gained.append(granted.site)
            loan.short_seconds = 0.0
        if granted.units < loan.sent_want:
            _back_off(loan, now, SHORT_SECONDS, SHORT_SECONDS_MAX)
        loan.counted = max(granted.units, loan.sent_holding)
        loan.units = granted.units
        loan.of = granted.limit
        _lower_loan(loan, site.limit)
        loan.start_until = start_until
        loan.request_seconds = grant.request_seconds
        loan.end_until = start_until + grant.request_seconds
        loan.lendable = granted.lendable
        loan.answered = now
        if granted.owners:
            site.named_owners = granted.owners
            site.named_until = now + REDIRECT_SECONDS
    return gained


def set_limit(site: Site, limit: int) -> None:
    """Take a site's limit; loans keep their part of a lower one."""
    site.limit = limit
    for loan in site.loans.values():
        _lower_loan(loan, limit)


def _lower_loan(loan: Loan, limit: int) -> None:
    """Keep only the loan's part of a limit below the one that it was lent under.

    Loans from before may be used for seconds, and all of them together for the
    higher limit. Their parts of the lower one, rounded down, sum to it at most.
    """
    if limit < loan.of:
        loan.units = loan.units * limit // loan.of
        loan.of = limit


def drop_silent_requests(table: CapsTable, now: float) -> None:
    """Pass over lenders that did not answer in time.

    Only here is a request given up: asking again before would hide the silence.
    """
    for key, lender in table.lenders.items():
        if lender.asked is None or now - lender.asked < ASK_TIMEOUT_SECONDS:
            continue
        for name in lender.sites:
            site = table.sites.get(name)
            loan = site.loans.get(key) if site is not None else None
            if loan is not None:
                _back_off(loan, now, SILENT_SECONDS, SILENT_SECONDS_MAX)
                loan.lendable = 0
        lender.asked = None


def _back_off(loan: Loan, now: float, least: float, most: float) -> None:
    """Ask a lender for no more for a while, twice as long each time."""
    loan.short_seconds = min(max(least, 2 * loan.short_seconds), most)
    loan.short_until = now + loan.short_seconds
