"""Test caps under single failures at the worst moment that clocks allow."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengagepoint.caps.borrowing import (
    apply_grant,
    create_loan_requests,
    time_out_requests,
)
from greengagepoint.caps.const import (
    CLOCK_RATE_ERROR,
    CONFIRM_SECONDS,
    FENCE_SECONDS,
    LOAN_SECONDS,
    RUN_END_SECONDS,
    quarantine_seconds,
)
from greengagepoint.caps.departures import planned_departures, update_departed
from greengagepoint.caps.ledger import (
    Entry,
    Holding,
    Ledger,
    decode_ledger,
    encode_ledger,
    is_voted_out,
    units_of,
    unowned_units,
    vouches_needed,
)
from greengagepoint.caps.lending import answer_request, expire_loans
from greengagepoint.caps.messages import LoanRequest, Vouch, VouchRequest, Want
from greengagepoint.caps.owners import update_live
from greengagepoint.caps.permits import acquire, release
from greengagepoint.caps.planning import plan
from greengagepoint.caps.rights import (
    answer_vouch,
    apply_ledger,
    begin_write,
    check_fence,
    confirm_write,
    record_vouch,
    request_vouches,
)
from greengagepoint.caps.system import configure
from greengagepoint.caps.tables import CapsTable, create_table
from greengagepoint.configuration import EMPTY, Configuration
from greengagepoint.errors import ErrorKind, StoreError
from greengagepoint.hosts import HostIdentity
from greengagepoint.records.schemas import (
    Cap,
    Drain,
    DrainTarget,
    Region,
    Service,
    Site,
)

REQUEST_SECONDS = 10
LIMIT = 8
REVISION = 5
LIVE = [HostIdentity(name, 1, name[0], "x", "", "") for name in ("a-1", "a-2", "b-1")]


def configuration(limit: int, seconds: int = REQUEST_SECONDS) -> Configuration:
    return EMPTY._replace(
        regions={"a": Region(name="a", zones=("x",), capacity=100)},
        sites={"s": Site(name="s", region="a", zone="x", capacity=100)},
        services={"v": Service(name="v", sites=("s",), max_deadline_ms=seconds * 1000)},
        caps={"s": Cap(name="s", site="s", limit=limit)},
    )


def entry(witnesses: tuple[str, ...] = ("a-2#1",), **votes: str) -> Entry:
    shares = {"s": Holding(LIMIT, LIMIT), "*": Holding(50, 100)}
    return Entry(shares, witnesses, REQUEST_SECONDS, votes)


def build(host: HostIdentity, owners: dict[str, Entry] | None = None) -> CapsTable:
    """Build a table at time 0; an owner in the ledger has its rights confirmed."""
    table = create_table(host)
    configure(table, configuration(LIMIT))
    update_live(table, LIVE, 0.0)
    check_fence(table, 0.0)
    if owners is not None:
        apply_ledger(table, Ledger(owners), REVISION, 0.0)
        confirm_write(table, owners.get(table.own_key), 0.0)
    return table


def build_owner(witnesses: tuple[str, ...] = ("a-2#1",)) -> CapsTable:
    return build(LIVE[0], {"a-1#1": entry(witnesses)})


def request_from(borrower: CapsTable, peak: int, now: float) -> LoanRequest:
    """Set the borrower's demand and return its request to the owner."""
    site = borrower.sites["s"]
    site.peak = site.recent_peak = peak
    messages = {
        out.host: out.message for out in create_loan_requests(borrower, ["s"], now)
    }
    return messages["a-1"]


def lend(owner: CapsTable, borrower: CapsTable, peak: int, now: float = 0.0) -> int:
    """Lend without message delay and return the borrower's units."""
    grant = answer_request(owner, "b-1", request_from(borrower, peak, now), now)
    apply_grant(borrower, "a-1", grant, now)
    return borrower.sites["s"].loans["a-1#1"].units


def start_all(table: CapsTable, now: float) -> list:
    check_fence(table, now)
    permits = []
    while (permit := acquire(table, "s", 1000.0, now)) is not None:
        permits.append(permit)
    return permits


@pytest.mark.parametrize("request_delay", [0.0, 0.9])
@pytest.mark.parametrize("grant_delay", [0.0, 4.5])
def test_lender_reclaims_only_after_the_last_request_on_a_loan(
    request_delay: float, grant_delay: float
) -> None:
    """The borrower's clock is slow, the lender's is fast, and messages are delayed.

    The borrower starts its last request at the last moment of the loan, without an
    effective deadline, and is then partitioned. If the lender reclaimed the unit
    before that request has ended, the site would get one request too many.
    """
    slow, fast = 1 - CLOCK_RATE_ERROR / 2, 1 + CLOCK_RATE_ERROR / 2
    owner, borrower = build_owner(), build(LIVE[2])
    request = request_from(borrower, 2, 0.0)
    grant = answer_request(owner, "b-1", request, request_delay * fast)
    apply_grant(borrower, "a-1", grant, (request_delay + grant_delay) * slow)
    last = borrower.sites["s"].loans["a-1#1"].start_until
    permits = start_all(borrower, last)
    assert len(permits) == borrower.sites["s"].loans["a-1#1"].units > 0
    assert not start_all(borrower, last + 0.001)
    for permit in permits:
        end = permit.end_by / slow + RUN_END_SECONDS
        assert expire_loans(owner, end * fast) == 0


def test_share_is_reclaimed_only_after_its_last_request() -> None:
    """A witness vouches and votes right after, and the owner is partitioned.

    The owner lends at the last moment of its rights, and the borrower starts its
    last request at the last moment of the loan. The share must not be reclaimed
    before that request has ended.
    """
    slow = 1 - CLOCK_RATE_ERROR / 2
    owner, borrower = build_owner(), build(LIVE[2])
    owner.last_tick = CONFIRM_SECONDS
    assert lend(owner, borrower, 2, CONFIRM_SECONDS)
    permits = start_all(borrower, CONFIRM_SECONDS + LOAN_SECONDS)
    end = max(permit.end_by for permit in permits) / slow + RUN_END_SECONDS
    reclaimer = build(LIVE[1], {"a-1#1": entry(**{"a-2": "a-2#1.1"})})
    plan(reclaimer, 0.0)
    earliest = (end + FENCE_SECONDS) * (1 + CLOCK_RATE_ERROR / 2)
    assert quarantine_seconds(REQUEST_SECONDS) >= earliest
    before = plan(reclaimer, earliest)
    assert before is None or not before.reclaimed
    after = plan(reclaimer, quarantine_seconds(REQUEST_SECONDS) + 1)
    assert after.reclaimed == ("a-1#1",)


def test_quarantine_restarts_with_new_votes() -> None:
    """An owner is voted out, removes the votes, and is voted out again.

    It may have used its share in between, so the quarantine must restart.
    """
    reclaimer = build(LIVE[1], {"a-1#1": entry(**{"a-2": "a-2#1.1"})})
    plan(reclaimer, 0.0)
    late = quarantine_seconds(REQUEST_SECONDS) + 1
    revoted = Ledger({"a-1#1": entry(**{"a-2": "a-2#1.2"})})
    apply_ledger(reclaimer, revoted, REVISION + 2, late)
    planned = plan(reclaimer, late)
    assert planned is None or not planned.reclaimed


def test_grant_for_an_earlier_request_is_ignored() -> None:
    """A grant arrives after its timeout and a newer request for no units."""
    owner, borrower = build_owner(), build(LIVE[2])
    late = answer_request(owner, "b-1", request_from(borrower, 2, 0.0), 0.0)
    borrower.sites["s"].loans["a-1#1"].counted = late.granted[0].units
    time_out_requests(borrower, 1.0)
    answer_request(owner, "b-1", request_from(borrower, 0, 1.0), 1.0)
    assert owner.sites["s"].lent == 0
    apply_grant(borrower, "a-1", late, 1.0)
    assert start_all(borrower, 1.0) == []


def test_lender_is_asked_again_after_a_timeout() -> None:
    """The first request is lost; after its timeout the lender is asked again."""
    borrower = build(LIVE[2])
    assert request_from(borrower, 2, 0.0).sequence == 1
    for tenth in range(5, 50):
        time_out_requests(borrower, tenth / 10)
    assert request_from(borrower, 2, 5.0).sequence == 2


def test_duplicate_request_returns_no_units() -> None:
    """The first request, with no holding, is duplicated while units are in use."""
    owner, borrower = build_owner(), build(LIVE[2])
    first = request_from(borrower, 2, 0.0)
    apply_grant(borrower, "a-1", answer_request(owner, "b-1", first, 0.0), 0.0)
    lent = owner.sites["s"].lent
    assert lend(owner, borrower, 4, 0.5) > lent
    lent = owner.sites["s"].lent
    assert answer_request(owner, "b-1", first, 0.6) is None
    assert owner.sites["s"].lent == lent


def test_request_delayed_beyond_the_loan_claims_nothing() -> None:
    """A renewal arrives after the lender has reclaimed and used the units."""
    owner = build_owner(())
    want = LoanRequest(1, 1, 1, (Want("s", 0, LIMIT),))
    assert answer_request(owner, "b-1", want, 0.0).granted[0].units
    expire_loans(owner, 100.0)
    assert len(start_all(owner, 100.0)) == 0  # fenced by the gap between ticks
    assert len(start_all(owner, 100.5)) == 0  # until a write confirms its rights
    confirm_write(owner, entry(()), 101.0)
    assert len(start_all(owner, 101.0)) == LIMIT
    late = LoanRequest(1, 1, 2, (Want("s", 4, 4),))
    assert answer_request(owner, "b-1", late, 101.0).granted[0].units == 0
    assert owner.sites["s"].lent == 0


def test_reduced_share_applies_until_the_write_is_settled() -> None:
    """A leaving host writes away its share and the store's reply is lost.

    The write may take effect at any time while the ledger is at the revision that it
    was based on. Reading that revision again proves nothing; a later one does.
    """
    owner = build_owner()
    owner.leaving = True
    begin_write(owner, plan(owner, 0.0))
    assert owner.sites["s"].owned == 0
    apply_ledger(owner, Ledger({"a-1#1": entry()}), REVISION, 0.0)
    assert owner.sites["s"].owned == 0
    apply_ledger(owner, Ledger({"a-1#1": entry()}), REVISION + 1, 0.0)
    assert owner.sites["s"].owned == LIMIT


def test_witness_does_not_vouch_after_its_vote() -> None:
    """The reply to a vote's write is lost while the owner requests a vouch."""
    witness = build(LIVE[1], {"a-1#1": entry()})
    vouch_request = VouchRequest(1, 1, 1)
    assert answer_vouch(witness, "a-1", vouch_request, 0.0) == Vouch(1, 1, 1)
    update_live(witness, LIVE[1:], 0.0)
    update_live(witness, LIVE[1:], 6.0)
    update_live(witness, LIVE[1:], 9.0)
    begin_write(witness, plan(witness, 9.0))
    assert answer_vouch(witness, "a-1", vouch_request, 0.0) is None
    apply_ledger(witness, Ledger({"a-1#1": entry()}), REVISION, 3.0)
    assert answer_vouch(witness, "a-1", vouch_request, 0.0) is None
    apply_ledger(witness, Ledger({"a-1#1": entry()}), REVISION + 1, 3.0)
    assert answer_vouch(witness, "a-1", vouch_request, 0.0) is not None


def test_vouch_counts_from_its_request() -> None:
    """A vouch confirms rights from its request, even if it arrives 4 seconds later.

    Only the answer to the newest request counts.
    """
    owner = build_owner()
    owner.write_confirmed_at = owner.rights_until = -1.0
    (vouch_request,) = request_vouches(owner, 1.0)
    record_vouch(owner, "a-2", Vouch(1, 1, vouch_request.message.sequence - 1))
    assert owner.rights_until < 0
    record_vouch(owner, "a-2", Vouch(1, 1, vouch_request.message.sequence))
    assert owner.rights_until == 1.0 + CONFIRM_SECONDS


def test_departed_host_is_reclaimed_without_votes() -> None:
    """An owner is lost together with all its witnesses, so nobody can vote.

    The operator's drain sets its departure time. Its share is reclaimed after the
    quarantine. If the host still runs, it starts no requests and gets no vouch.
    """
    record = Drain(
        name="d",
        target_kind=DrainTarget.HOST,
        target="a-1",
        start_at="1970-01-01T00:00:00Z",
        leave_at="1970-01-01T00:00:02Z",
    )
    departures = planned_departures(configuration(LIMIT)._replace(drains={"d": record}))
    owner, other = build_owner(), build(LIVE[1], {"a-1#1": entry(("a-9#1",))})
    for table in (owner, other):
        update_departed(table, departures, 1999)
        assert table.departed == frozenset()
        update_departed(table, departures, 2000)
    assert start_all(owner, 0.0) == []
    assert answer_vouch(other, "a-1", VouchRequest(1, 1, 1), 0.0) is None
    plan(other, 0.0)
    planned = plan(other, quarantine_seconds(REQUEST_SECONDS) + 1)
    assert planned.reclaimed == ("a-1#1",)


@pytest.mark.parametrize("count", range(6))
def test_voters_and_vouchers_share_a_witness(count: int) -> None:
    listed = Entry({}, tuple(f"h{n}#1" for n in range(count)))
    for votes in range(count + 1):
        voted = msgspec.structs.replace(
            listed, votes={f"h{n}": "v" for n in range(votes)}
        )
        if is_voted_out(voted):
            assert count - votes < vouches_needed(voted)


def test_stale_read_confirms_no_rights() -> None:
    """The store serves a stale ledger in which the owner is not voted out yet."""
    owner = build_owner()
    apply_ledger(owner, Ledger({"a-1#1": entry()}), REVISION, 50.0)
    assert owner.rights_until == CONFIRM_SECONDS
    apply_ledger(owner, Ledger({}), REVISION - 1, 50.0)
    assert owner.sites["s"].owned == LIMIT


def test_holding_in_use_stays_while_a_limit_is_lowered() -> None:
    """A cap is halved with all units in use and may be raised again.

    Earlier requests still run, and no host may claim the units that cover them.
    """
    owner = build_owner()
    running = start_all(owner, 0.0)
    configure(owner, configuration(LIMIT // 2))
    assert acquire(owner, "s", 1.0, 0.0) is None
    planned = plan(owner, 0.0)
    ledger = planned.ledger if planned is not None else owner.ledger
    assert units_of(ledger.owners["a-1#1"], "s", LIMIT) == LIMIT
    assert unowned_units(ledger, "s", LIMIT) == 0
    for permit in running:
        release(owner, permit)
    assert len(start_all(owner, 0.0)) == LIMIT // 2


@pytest.mark.parametrize(
    ("witnesses", "last_tick", "now", "lends"),
    [
        (("a-2#1",), CONFIRM_SECONDS, CONFIRM_SECONDS, True),
        (("a-2#1",), CONFIRM_SECONDS, CONFIRM_SECONDS + 0.1, False),
        ((), 0.0, FENCE_SECONDS + 0.1, False),
    ],
)
def test_lender_without_rights_lends_nothing(
    witnesses: tuple[str, ...], last_tick: float, now: float, lends: bool
) -> None:
    owner = build_owner(witnesses)
    owner.last_tick = last_tick
    request = LoanRequest(1, 1, 1, (Want("s", 0, 1),))
    assert (answer_request(owner, "b-1", request, now) is not None) is lends


def test_first_request_after_a_pause_is_rejected() -> None:
    """A process resumes two seconds after its last tick and gets a request first."""
    owner = build_owner(())
    assert acquire(owner, "s", 1.0, FENCE_SECONDS) is not None
    assert acquire(owner, "s", 1.0, FENCE_SECONDS + 1) is None


def test_longer_deadline_is_used_only_once_in_the_ledger() -> None:
    """A service's longest deadline grows.

    Hosts that reclaim shares must see it in the ledger before it is used.
    """
    owner = build_owner()
    configure(owner, configuration(LIMIT, 60))
    assert acquire(owner, "s", 60.0, 0.0).end_by == REQUEST_SECONDS
    planned = plan(owner, 0.0)
    begin_write(owner, planned)
    apply_ledger(owner, planned.ledger, REVISION + 1, 0.0)
    assert acquire(owner, "s", 60.0, 0.0).end_by == 60


@given(
    st.lists(st.integers(0, 40), min_size=1, max_size=6),
    st.lists(st.integers(0, 60), min_size=6, max_size=6),
)
def test_holdings_never_exceed_the_largest_active_limit(
    units: list[int], limits: list[int]
) -> None:
    of = max(1, sum(units))
    owners = {f"{n}#1": Entry({"s": Holding(u, of)}) for n, u in enumerate(units)}
    units_owned = [
        units_of(owner, "s", limit)
        for owner, limit in zip(owners.values(), limits, strict=False)
    ]
    assert sum(units_owned) <= max(limits)
    same = [units_of(owner, "s", limits[0]) for owner in owners.values()]
    assert sum(same) + unowned_units(Ledger(owners), "s", limits[0]) <= limits[0]


@pytest.mark.parametrize("value", [b"", b"[]", b'{"owners":{},"schema":2}'])
def test_unreadable_ledger_is_rejected(value: bytes) -> None:
    with pytest.raises(StoreError) as caught:
        decode_ledger(value)
    assert caught.value.kind is ErrorKind.STORE_ANSWER_INVALID
    assert decode_ledger(encode_ledger(Ledger({"a#1": entry()}))).owners
