"""Test changes of a site's limit while its units are on loan."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengagepoint.caps.borrowing import apply_grant, set_limit
from greengagepoint.caps.ledger import Entry, Holding, Ledger
from greengagepoint.caps.lending import answer_request
from greengagepoint.caps.messages import LoanGrant, LoanRequest, Want
from greengagepoint.caps.owners import update_live
from greengagepoint.caps.permits import acquire
from greengagepoint.caps.rights import apply_ledger, check_fence, confirm_write
from greengagepoint.caps.system import configure
from greengagepoint.caps.tables import CapsTable, Lender, Loan, Site, create_table
from greengagepoint.configuration import Configuration
from greengagepoint.hosts import HostIdentity
from greengagepoint_standins.caps_layout import Layout, configuration

OWNER = HostIdentity("a-1", 1, "a", "x", "", "")
BORROWER = HostIdentity("b-1", 1, "b", "x", "", "")
LAYOUT = Layout(("a-1", "b-1"), {"s": "a"}, {"a": 100, "b": 100}, {"s": 5}, 10)
HIGHER = 5
LOWER = 3


def configuration_limited_to(limit: int) -> Configuration:
    return configuration(LAYOUT, 1, {"s": limit})


def build_owner() -> CapsTable:
    """Build the owner of the whole limit, with its rights confirmed."""
    table = create_table(OWNER)
    configure(table, configuration_limited_to(HIGHER))
    update_live(table, (OWNER, BORROWER), 0.0)
    check_fence(table, 0.0)
    shares = {"s": Holding(HIGHER, HIGHER), "*": Holding(50, 100)}
    entry = Entry(shares, (), 10, {})
    apply_ledger(table, Ledger({table.own_key: entry}), 5, 0.0)
    confirm_write(table, entry, 0.0)
    return table


def build_borrower() -> CapsTable:
    """Build a host that sent a loan request to the owner at time 0."""
    table = create_table(BORROWER)
    configure(table, configuration_limited_to(HIGHER))
    check_fence(table, 0.0)
    table.sites["s"].loans["a-1#1"] = Loan(sent_want=HIGHER)
    table.lenders["a-1#1"] = Lender(
        "a-1", 1, sequence=1, requested_at=0.0, sites=("s",)
    )
    return table


def grant_from(owner: CapsTable, *, kept: int) -> LoanGrant:
    """Let the owner use ``kept`` units itself and lend all others."""
    for _ in range(kept):
        assert acquire(owner, "s", 1.0, 0.0) is not None
    want = Want("s", 0, 2 * (HIGHER - kept))
    grant = answer_request(owner, "b-1", LoanRequest(1, 1, 1, (want,)), 0.0)
    assert grant is not None
    return grant


def start_all(table: CapsTable) -> int:
    """Start as many requests as are permitted and return their number."""
    started = 0
    while acquire(table, "s", 1.0, 0.0) is not None:
        started += 1
    return started


@pytest.mark.parametrize("granted_late", [False, True])
def test_loan_is_scaled_down_to_a_lowered_limit(granted_late: bool) -> None:
    """A cap is lowered while its units are on loan or a grant is in transit.

    Once both hosts apply the new cap, the borrower may only use its part of it.
    Otherwise it would use all units lent under the higher cap for seconds.
    """
    owner, borrower = build_owner(), build_borrower()
    grant = grant_from(owner, kept=0)
    lent = grant.granted[0].units
    for table in (borrower, owner):
        if not granted_late:
            apply_grant(borrower, "a-1", grant, 0.0)
        configure(table, configuration_limited_to(LOWER))
    apply_grant(borrower, "a-1", grant, 0.0)
    assert lent > 0
    assert start_all(borrower) == lent * LOWER // HIGHER
    assert start_all(borrower) + start_all(owner) <= LOWER


def test_loan_does_not_grow_with_a_raised_limit() -> None:
    owner, borrower = build_owner(), build_borrower()
    grant = grant_from(owner, kept=0)
    apply_grant(borrower, "a-1", grant, 0.0)
    configure(borrower, configuration_limited_to(10 * HIGHER))
    assert start_all(borrower) == grant.granted[0].units


@given(
    parts=st.lists(st.integers(0, 40), max_size=8),
    unused=st.integers(0, 5),
    limits=st.lists(st.integers(0, 200), min_size=1, max_size=4),
)
def test_scaled_loans_sum_to_at_most_the_lower_limit(
    parts: list[int], unused: int, limits: list[int]
) -> None:
    lent_under = sum(parts) + unused
    sites = [Site("s", "a", lent_under) for _ in parts]
    for site, units in zip(sites, parts, strict=True):
        site.loans["a-1#1"] = Loan(units=units, lent_limit=lent_under)
        for limit in limits:
            set_limit(site, limit)
    left = sum(site.loans["a-1#1"].units for site in sites)
    assert left <= min(lent_under, *limits)
