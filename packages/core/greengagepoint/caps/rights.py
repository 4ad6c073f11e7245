"""Confirm or give up the right to use this host's share."""

from math import inf
from typing import NamedTuple

from greengagepoint.caps.borrowing import Outgoing
from greengagepoint.caps.const import (
    CONFIRM_SECONDS,
    FENCE_SECONDS,
    REGION_KEY,
    VOUCH_INTERVAL_SECONDS,
)
from greengagepoint.caps.ledger import (
    Entry,
    Ledger,
    is_voted_out,
    owner_incarnation,
    owner_name,
    units_of,
    vouches_needed,
)
from greengagepoint.caps.messages import LedgerChanged, Vouch, VouchRequest
from greengagepoint.caps.planning import Plan
from greengagepoint.caps.tables import CapsTable, Pending


class LedgerApplied(NamedTuple):
    """Whether a read ledger was accepted, and whether this host's entry changed."""

    accepted: bool
    changed: bool


def apply_ledger(
    table: CapsTable, ledger: Ledger, revision: int, now: float
) -> LedgerApplied:
    """Apply a ledger read from the store (revision 0: absent).

    A read confirms no rights, because the store may serve a stale ledger; a write
    does. A revision older than one already seen comes from a stale read or a restored
    store. It is rejected, as it would bring back shares that were given away.
    """
    if revision < table.revision or _has_foreign_share(table, ledger):
        return LedgerApplied(False, False)
    before = table.ledger.owners.get(table.own_key)
    table.ledger = ledger
    table.revision = revision
    table.read_at = now
    # A pending write based on an earlier revision can no longer take effect; one
    # based on this revision still can, even if its reply was lost.
    table.pending = [p for p in table.pending if p.base_revision >= revision]
    entry = ledger.owners.get(table.own_key)
    for key, base in list(table.voted.items()):
        owner = ledger.owners.get(key)
        if base < revision and (owner is None or table.host.name not in owner.votes):
            del table.voted[key]
    refresh_entries(table)
    refresh_rights(table)
    return LedgerApplied(True, before != entry)


def _has_foreign_share(table: CapsTable, ledger: Ledger) -> bool:
    """Return True if a ledger has a share for this host that it never wrote.

    Only the host itself changes its share. An unknown share comes from a store that
    was restored and then written to; using it would use units that peers hold.
    """
    entry = ledger.owners.get(table.own_key)
    if entry is None or table.revision < 0:
        return False
    known = [pending.entry for pending in table.pending]
    if table.own_key in table.ledger.owners:
        known.append(table.ledger.owners[table.own_key])
    return all(entry.shares != own.shares for own in known)


def begin_write(table: CapsTable, plan: Plan) -> None:
    """Apply the reductions of a planned write before it is sent.

    The write may take effect although its reply is lost. Until its outcome is known,
    the smaller value of each share applies and owners voted out get no vouch.
    """
    emptied = Entry({}, request_seconds=table.request_seconds)
    pending = Pending(plan.revision, plan.entry or emptied)
    if pending not in table.pending:
        table.pending.append(pending)
    for key in plan.voted:
        table.voted[key] = plan.revision
    table.region_units_requested = 0
    refresh_entries(table)
    refresh_rights(table)


def confirm_write(table: CapsTable, entry: Entry | None, sent_at: float) -> None:
    """Confirm rights by a write that the store accepted, from when it was sent.

    The write took effect on the newest revision, in which the entry is not voted out.
    """
    if entry is not None and not is_voted_out(entry):
        table.write_confirmed_at = sent_at
        table.paused = False
        refresh_rights(table)


def refresh_entries(table: CapsTable) -> None:
    """Recompute this host's units after a change of the ledger or the limits."""
    entry = table.ledger.owners.get(table.own_key)
    if entry is None:
        table.entries = ()
    else:
        table.entries = (entry, *(pending.entry for pending in table.pending))
    # A longer deadline is used only once the ledger holds it, as hosts that reclaim
    # the share compute the quarantine from the ledger.
    longest = (entry.request_seconds for entry in table.entries)
    table.request_seconds = max(table.request_seconds, min(longest, default=0))
    for site in table.sites.values():
        site.owned = _least_units(table, site.name, site.limit)
        if site.region != table.host.region:
            site.owned = 0
    table.region_owned = _least_units(table, REGION_KEY, table.region_capacity)


def _least_units(table: CapsTable, key: str, limit: int) -> int:
    """Return the units that this host has, whichever of the pending writes applied."""
    return min((units_of(entry, key, limit) for entry in table.entries), default=0)


def refresh_rights(table: CapsTable) -> None:
    """Recompute until when this host may use its share."""
    if not table.entries or table.host.name in table.departed:
        table.rights_until = -inf
        return
    vouched = min(_vouched_at(table, entry) for entry in table.entries)
    table.rights_until = max(vouched, table.write_confirmed_at) + CONFIRM_SECONDS


def _vouched_at(table: CapsTable, entry: Entry) -> float:
    """Return the latest request time for which enough witnesses have vouched."""
    needed = vouches_needed(entry)
    if not entry.witnesses:
        # Without witnesses nobody can vote this host out, so it needs no vouch. After
        # a pause it must write first, as it may have been replaced meanwhile.
        return -inf if table.paused else inf
    sent_at = [table.vouched.get(witness, -inf) for witness in entry.witnesses]
    return sorted(sent_at, reverse=True)[needed - 1]


def check_fence(table: CapsTable, now: float) -> bool:
    """Return True if this host was paused, and drop its rights until confirmed."""
    gap = now - table.last_tick
    table.last_tick = now
    if gap <= FENCE_SECONDS or gap == inf:
        return False
    table.paused = True
    table.vouched.clear()
    table.vouch_requests.clear()
    table.write_confirmed_at = -inf
    refresh_rights(table)
    return True


def request_vouches(table: CapsTable, now: float) -> list[Outgoing]:
    """Ask the witnesses named in the ledger to vouch for this host."""
    if now < table.next_vouch or not table.entries:
        return []
    table.next_vouch = now + VOUCH_INTERVAL_SECONDS
    table.vouch_sequence += 1
    witnesses = {w for entry in table.entries for w in entry.witnesses}
    messages = []
    for witness in sorted(witnesses):
        table.vouch_requests[witness] = (table.vouch_sequence, now)
        request = VouchRequest(
            table.host.incarnation, owner_incarnation(witness), table.vouch_sequence
        )
        messages.append(Outgoing(owner_name(witness), request))
    return messages


def answer_vouch(
    table: CapsTable, owner: str, request: VouchRequest, now: float
) -> Vouch | None:
    """Vouch for an owner that this host has not voted out and that has not departed.

    A vote counts from before its write is sent, as the reply may be lost.
    """
    if request.witness != table.host.incarnation:
        return None
    table.seen_at[f"{owner}#{request.owner}"] = now
    if f"{owner}#{request.owner}" in table.voted or owner in table.departed:
        return None
    return Vouch(request.owner, request.witness, request.sequence)


def record_vouch(table: CapsTable, sender: str, vouch: Vouch) -> None:
    """Record a vouch; it counts from the time of its request."""
    witness = f"{sender}#{vouch.witness}"
    sequence, sent_at = table.vouch_requests.get(witness, (0, -inf))
    if vouch.owner != table.host.incarnation or vouch.sequence != sequence:
        return
    table.vouched[witness] = sent_at
    refresh_rights(table)


def handle_hint(
    table: CapsTable, changed: LedgerChanged, now: float
) -> LedgerChanged | None:
    """Record a revision seen by a peer; return this host's revision if it is later."""
    if changed.region != table.host.region:
        return None
    if changed.revision < table.revision:
        return LedgerChanged(changed.region, table.revision)
    if changed.revision >= table.hinted_revision:
        table.hinted_revision = changed.revision
        table.hinted_at = now
    return None
