"""Lower a site's limit while units of it are on loan."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengagepoint.caps.borrowing import set_limit, take_grant
from greengagepoint.caps.ledger import Entry, Holding, Ledger
from greengagepoint.caps.lending import answer_request
from greengagepoint.caps.messages import LoanGrant, LoanRequest, Want
from greengagepoint.caps.owners import update_live
from greengagepoint.caps.permits import acquire
from greengagepoint.caps.rights import check_fence, confirm_write, observe
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


def limited(limit: int) -> Configuration:
    return configuration(LAYOUT, 1, {"s": limit})


def build_owner() -> CapsTable:
    """Build the confirmed owner of the whole limit."""
    table = create_table(OWNER)
    configure(table, limited(HIGHER))
    update_live(table, (OWNER, BORROWER), 0.0)
    check_fence(table, 0.0)
    shares = {"s": Holding(HIGHER, HIGHER), "*": Holding(50, 100)}
    entry = Entry(shares, (), 10, {})
    observe(table, Ledger({table.own_key: entry}), 5, 0.0)
    confirm_write(table, entry, 0.0)
    return table


def build_borrower() -> CapsTable:
    """Build a host that has asked the owner at time 0."""
    table = create_table(BORROWER)
    configure(table, limited(HIGHER))
    check_fence(table, 0.0)
    table.sites["s"].loans["a-1#1"] = Loan(sent_want=HIGHER)
    table.lenders["a-1#1"] = Lender(
        "a-1", 1, sequence=1, requested_at=0.0, sites=("s",)
    )
    return table


def grant_of(owner: CapsTable, *, kept: int) -> LoanGrant:
    """Let the owner lend all but what it uses itself."""
    for _ in range(kept):
        assert acquire(owner, "s", 1.0, 0.0) is not None
    want = Want("s", 0, 2 * (HIGHER - kept))
    grant = answer_request(owner, "b-1", LoanRequest(1, 1, 1, (want,)), 0.0)
    assert grant is not None
    return grant


def start_all(table: CapsTable) -> int:
    """Start all that is permitted."""
    started = 0
    while acquire(table, "s", 1.0, 0.0) is not None:
        started += 1
    return started


@pytest.mark.parametrize("late", [False, True])
def test_loan_from_before_is_worth_its_part_of_a_lower_limit(late: bool) -> None:
    """A cap is lowered while its units are on loan, or a grant is on its way.

    Once the record is in force on both hosts, the borrower is refused above its part:
    with all units lent under the higher cap, it would go on with those for seconds.
    """
    owner, borrower = build_owner(), build_borrower()
    grant = grant_of(owner, kept=0)
    lent = grant.granted[0].units
    for table in (borrower, owner):
        if not late:
            take_grant(borrower, "a-1", grant, 0.0)
        configure(table, limited(LOWER))
    take_grant(borrower, "a-1", grant, 0.0)
    assert lent > 0
    assert start_all(borrower) == lent * LOWER // HIGHER
    assert start_all(borrower) + start_all(owner) <= LOWER


def test_loan_is_not_worth_more_of_a_raised_limit() -> None:
    owner, borrower = build_owner(), build_borrower()
    grant = grant_of(owner, kept=0)
    take_grant(borrower, "a-1", grant, 0.0)
    configure(borrower, limited(10 * HIGHER))
    assert start_all(borrower) == grant.granted[0].units


@given(
    parts=st.lists(st.integers(0, 40), max_size=8),
    unused=st.integers(0, 5),
    limits=st.lists(st.integers(0, 200), min_size=1, max_size=4),
)
def test_parts_of_a_lower_limit_sum_to_it_at_most(
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
