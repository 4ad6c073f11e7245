"""Keep or give up the right to use this host's share."""

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


class Observed(NamedTuple):
    """What a read of the ledger showed; ``changed`` if this host's share changed."""

    accepted: bool
    changed: bool


def observe(table: CapsTable, ledger: Ledger, revision: int, now: float) -> Observed:
    """Take the ledger as read (revision 0: absent).

    A read confirms no rights, as the store may serve an old one; a write does. A
    revision older than one already seen is an old read or a restored store, and is
    not taken: it would bring back shares that were given away.
    """
    if revision < table.revision or _is_foreign(table, ledger):
        return Observed(False, False)
    before = table.ledger.owners.get(table.me)
    table.ledger = ledger
    table.revision = revision
    table.read_at = now
    # A write based on an earlier revision can't take effect any more; one based on
    # this revision still can, although its reply was lost.
    table.pending = [p for p in table.pending if p.base_revision >= revision]
    entry = ledger.owners.get(table.me)
    for key, base in list(table.voted.items()):
        owner = ledger.owners.get(key)
        if base < revision and (owner is None or table.host.name not in owner.votes):
            del table.voted[key]
    refresh_entries(table)
    refresh_rights(table)
    return Observed(True, before != entry)


def _is_foreign(table: CapsTable, ledger: Ledger) -> bool:
    """Tell whether a ledger holds a share for this host that it never wrote.

    Only the host itself changes its share. Another one comes from a store that was
    restored and written to since; taking it would use units that others hold.
    """
    entry = ledger.owners.get(table.me)
    if entry is None or table.revision < 0:
        return False
    known = [pending.entry for pending in table.pending]
    if table.me in table.ledger.owners:
        known.append(table.ledger.owners[table.me])
    return all(entry.shares != own.shares for own in known)


def begin_write(table: CapsTable, plan: Plan) -> None:
    """Give up what a write gives up, before it is sent.

    Until the write is settled, the smaller part of each share holds, and the owners
    voted out get no vouch: the write may take effect and its reply be lost.
    """
    gone = Entry({}, request_seconds=table.request_seconds)
    pending = Pending(plan.revision, plan.entry or gone)
    if pending not in table.pending:
        table.pending.append(pending)
    for key in plan.voted:
        table.voted[key] = plan.revision
    table.region_asked_away = 0
    refresh_entries(table)
    refresh_rights(table)


def confirm_write(table: CapsTable, entry: Entry | None, asked: float) -> None:
    """Count a write that the store accepted, from when it was sent.

    It took effect on the newest revision, and the entry in it bears no votes.
    """
    if entry is not None and not is_voted_out(entry):
        table.write_confirmed = asked
        table.paused = False
        refresh_rights(table)


def refresh_entries(table: CapsTable) -> None:
    """Work out this host's units anew after the ledger or the limits changed."""
    entry = table.ledger.owners.get(table.me)
    if entry is None:
        table.entries = ()
    else:
        table.entries = (entry, *(pending.entry for pending in table.pending))
    # A longer deadline is used only after the ledger tells reclaimers of it.
    longest = (entry.request_seconds for entry in table.entries)
    table.request_seconds = max(table.request_seconds, min(longest, default=0))
    for site in table.sites.values():
        site.owned = _least_units(table, site.name, site.limit)
        if site.region != table.host.region:
            site.owned = 0
    table.region_owned = _least_units(table, REGION_KEY, table.region_capacity)


def _least_units(table: CapsTable, key: str, limit: int) -> int:
    """Return the units that this host has whichever write took effect."""
    return min((units_of(entry, key, limit) for entry in table.entries), default=0)


def refresh_rights(table: CapsTable) -> None:
    """Work out until when this host may use its share."""
    if not table.entries or table.host.name in table.departed:
        table.rights_until = -inf
        return
    vouched = min(_vouched_at(table, entry) for entry in table.entries)
    table.rights_until = max(vouched, table.write_confirmed) + CONFIRM_SECONDS


def _vouched_at(table: CapsTable, entry: Entry) -> float:
    """Return the time of asking since which enough witnesses have vouched."""
    needed = vouches_needed(entry)
    if not entry.witnesses:
        # Nobody may vote this host out, so nobody needs to vouch for it. After a
        # pause it must write first, as it may have been replaced meanwhile.
        return -inf if table.paused else inf
    asked = [table.vouched.get(witness, -inf) for witness in entry.witnesses]
    return sorted(asked, reverse=True)[needed - 1]


def check_fence(table: CapsTable, now: float) -> bool:
    """Tell whether this host was paused; if so, give up its rights until confirmed."""
    gap = now - table.last_tick
    table.last_tick = now
    if gap <= FENCE_SECONDS or gap == inf:
        return False
    table.paused = True
    table.vouched.clear()
    table.vouch_asked.clear()
    table.write_confirmed = -inf
    refresh_rights(table)
    return True


def ask_witnesses(table: CapsTable, now: float) -> list[Outgoing]:
    """Ask the witnesses named in the ledger to vouch for this host."""
    if now < table.next_vouch or not table.entries:
        return []
    table.next_vouch = now + VOUCH_INTERVAL_SECONDS
    table.vouch_sequence += 1
    witnesses = {w for entry in table.entries for w in entry.witnesses}
    messages = []
    for witness in sorted(witnesses):
        table.vouch_asked[witness] = (table.vouch_sequence, now)
        request = VouchRequest(
            table.host.incarnation, owner_incarnation(witness), table.vouch_sequence
        )
        messages.append(Outgoing(owner_name(witness), request))
    return messages


def answer_vouch(
    table: CapsTable, owner: str, request: VouchRequest, now: float
) -> Vouch | None:
    """Vouch for an owner, unless this host has voted it out or holds it for departed.

    A vote counts from before its write is sent, as its reply may be lost.
    """
    if request.witness != table.host.incarnation:
        return None
    table.seen_at[f"{owner}#{request.owner}"] = now
    if f"{owner}#{request.owner}" in table.voted or owner in table.departed:
        return None
    return Vouch(request.owner, request.witness, request.sequence)


def take_vouch(table: CapsTable, sender: str, vouch: Vouch) -> None:
    """Count a witness's word from when it was asked for."""
    witness = f"{sender}#{vouch.witness}"
    sequence, asked = table.vouch_asked.get(witness, (0, -inf))
    if vouch.owner != table.host.incarnation or vouch.sequence != sequence:
        return
    table.vouched[witness] = asked
    refresh_rights(table)


def take_hint(
    table: CapsTable, changed: LedgerChanged, now: float
) -> LedgerChanged | None:
    """Note that a peer has seen a revision; return the own one if it is later."""
    if changed.region != table.host.region:
        return None
    if changed.revision < table.revision:
        return LedgerChanged(changed.region, table.revision)
    if changed.revision >= table.hinted_revision:
        table.hinted_revision = changed.revision
        table.hinted_at = now
    return None
