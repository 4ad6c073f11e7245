"""Weigh claims about hosts against each other and pass the news on."""

from typing import Final

import msgspec

from greengagepoint.membership.messages import STATE_WEIGHTS, Claim, HostState
from greengagepoint.membership.tables import (
    CLAIM_SENDS_PER_DOUBLING,
    Change,
    Member,
    MembershipTables,
    Passing,
)

# A host heard of itself this recently is not suspected on another's word: that word
# is older than the message, or its path to the host is cut and this one is not.
IMMUNITY_SECONDS: Final = 2.0
CLAIMS_PER_MESSAGE: Final = 6


def weight(claim: Claim) -> tuple[int, int]:
    """Return the key by which the heavier of two claims about a host holds."""
    return (claim.version, STATE_WEIGHTS[claim.state])


def apply_claim(tables: MembershipTables, claim: Claim, now: float) -> bool:
    """Take in what another host says about a host; return whether it changed a row.

    A claim about this host that differs from its own is refuted, never believed.
    """
    if claim.name == tables.me.name:
        return refute(tables, claim)
    row = tables.members.get(claim.name)
    if row is None:
        if claim.state is HostState.GONE or not tables.in_detail(claim):
            return False
        _store(tables, claim, now, heard_at=float("-inf"))
        pass_on(tables, claim)
        return True
    if weight(claim) <= weight(row.claim):
        return False
    failed = claim.state is not HostState.ALIVE and claim.version == row.claim.version
    if failed and now - row.heard_at < IMMUNITY_SECONDS:
        return False
    _store(tables, claim, now, heard_at=row.heard_at)
    pass_on(tables, claim)
    return True


def apply_senders_claim(
    tables: MembershipTables, claim: Claim, now: float
) -> Claim | None:
    """Take in what a host says of itself; return the claim to contradict it with.

    There is one when a heavier claim about the host is held: it is held gone, or it
    came back with a wall clock that had gone back, so that its version is lower than
    that of its earlier run. On hearing that claim it raises its version.
    """
    if claim.name == tables.me.name:
        return None
    tables.heard_at = now
    tables.region_heard_at[claim.region] = now
    row = tables.members.get(claim.name)
    if row is None:
        _store(tables, claim, now, heard_at=now)
        pass_on(tables, claim)
        return None
    held = row.claim
    if claim.version > held.version:
        _store(tables, claim, now, heard_at=now)
        pass_on(tables, claim)
        return None
    if claim.version < held.version or claim.incarnation != held.incarnation:
        return held
    if held.state is HostState.GONE and claim.state is not HostState.GONE:
        return held
    row.heard_at = now
    row.suspicion_ends_at = None
    if claim.state is held.state:
        return None
    _store(tables, claim, now, heard_at=now)
    return held


def refute(tables: MembershipTables, claim: Claim) -> bool:
    """Raise the own version above a claim about this host that is not its own."""
    me = tables.me
    if claim.version < me.version or claim == me or me.state is HostState.GONE:
        return False
    set_own_claim(tables, msgspec.structs.replace(me, version=claim.version + 1))
    return True


def set_own_claim(tables: MembershipTables, claim: Claim) -> None:
    """Hold a new statement of this host about itself and pass it on."""
    before = tables.me
    tables.me = claim
    tables.version += 1
    tables.changes.append(Change(claim.name, before, claim))
    pass_on(tables, claim)


def mark_failed(
    tables: MembershipTables, row: Member, state: HostState, now: float, *, tell: bool
) -> None:
    """Hold a host suspected or gone because of this host's own probes."""
    claim = msgspec.structs.replace(row.claim, state=state)
    _store(tables, claim, now, heard_at=row.heard_at)
    if tell:
        pass_on(tables, claim)
        tables.alert = True


def pass_on(tables: MembershipTables, claim: Claim) -> None:
    """Queue a claim on a host tracked in detail to travel with the next messages."""
    if not tables.in_detail(claim):
        return
    doublings = (len(tables.members) + 1).bit_length()
    sends = CLAIM_SENDS_PER_DOUBLING * doublings
    tables.passing[claim.name] = Passing(claim, sends)


def take_claims(tables: MembershipTables) -> tuple[Claim, ...]:
    """Return the claims for one message, those least often sent first."""
    if not tables.passing:
        return ()
    rows = sorted(tables.passing.values(), key=lambda row: -row.sends_left)
    chosen = rows[:CLAIMS_PER_MESSAGE]
    for row in chosen:
        row.sends_left -= 1
        if row.sends_left <= 0:
            del tables.passing[row.claim.name]
    return tuple(row.claim for row in chosen)


def _store(
    tables: MembershipTables, claim: Claim, now: float, *, heard_at: float
) -> None:
    """Put a claim into its row and note the change."""
    row = tables.members.get(claim.name)
    before = row.claim if row else None
    if row is None:
        row = tables.members[claim.name] = Member(claim, heard_at, now)
    row.claim = claim
    row.heard_at = heard_at
    row.claimed_at = now
    if claim.state is HostState.ALIVE:
        row.suspicion_ends_at = None
    if before is None or before.incarnation != claim.incarnation:
        row.listed_leaving = False
    if before != claim:
        tables.version += 1
        tables.changes.append(Change(claim.name, before, claim))
