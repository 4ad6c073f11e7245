"""Plan the next change of the ledger: shares, witnesses, votes and removals."""

from typing import NamedTuple

import msgspec

from greengagepoint.caps.const import (
    CONFIRM_SECONDS,
    DEMAND_WINDOW_SECONDS,
    RECLAIM_RANK_SECONDS,
    REGION_KEY,
    VOTE_AFTER_SECONDS,
    VOUCH_INTERVAL_SECONDS,
    quarantine_seconds,
)
from greengagepoint.caps.ledger import (
    Entry,
    Holding,
    Ledger,
    is_voted_out,
    owner_incarnation,
    owner_name,
    units_of,
    unowned_units,
)
from greengagepoint.caps.owners import (
    choose_witnesses,
    fair_units,
    refresh_owners,
)
from greengagepoint.caps.tables import CapsTable, DeadEvidence, is_behind
from greengagepoint.rendezvous import rank

REGION_STEP = 4


class Plan(NamedTuple):
    """A ledger to be written over ``revision``; ``entry`` is this host's in it."""

    ledger: Ledger
    revision: int
    entry: Entry | None
    reclaimed: tuple[str, ...]
    voted: tuple[str, ...]


def plan(table: CapsTable, now: float) -> Plan | None:
    """Return the change this host wants, or None; needs the ledger to be read.

    Nothing is changed while a peer knows a later revision: the read was old, or the
    store was restored and shows units as unowned that others hold.
    """
    if table.revision < 0 or is_behind(table, now):
        return None
    owners = dict(table.ledger.owners)
    reclaimed = _reclaim(table, owners, now)
    voted = _vote(table, owners, now)
    entry = _plan_own(table, Ledger(owners), now)
    if entry is None:
        owners.pop(table.me, None)
    else:
        owners[table.me] = entry
    if owners == table.ledger.owners and not _must_confirm(table, now):
        return None
    return Plan(Ledger(owners), table.revision, entry, reclaimed, voted)


def _must_confirm(table: CapsTable, now: float) -> bool:
    """Tell whether a write must settle an earlier one, or confirm rights in time."""
    if table.pending:
        return True
    if not table.entries or table.leaving or table.host.name in table.departed:
        return False
    return table.rights_until - now < CONFIRM_SECONDS / 2


def _reclaim(table: CapsTable, owners: dict[str, Entry], now: float) -> tuple[str, ...]:
    """Remove owners that have surely ended all they may have started.

    The quarantine runs from when this host first read the evidence and starts anew
    with other votes: an owner that was voted out, came back and was voted out again
    has used its share in between.
    """
    reclaimed = []
    for key in table.evidence.keys() - owners.keys():
        del table.evidence[key]
    for key, entry in list(owners.items()):
        reason = _death_reason(table, key, entry)
        if reason is None:
            table.evidence.pop(key, None)
            continue
        evidence = table.evidence.get(key)
        if evidence is None or evidence.reason != reason:
            table.evidence[key] = DeadEvidence(reason, now)
            continue
        wait = quarantine_seconds(entry.request_seconds) + _rank_seconds(table, key)
        if now - evidence.since >= wait:
            del owners[key]
            reclaimed.append(key)
    return tuple(reclaimed)


def _death_reason(table: CapsTable, key: str, entry: Entry) -> str | None:
    """Return what proves that an owner has lost its rights, or None."""
    if key == table.me:
        return None
    name = owner_name(key)
    if is_voted_out(entry):
        return "votes " + " ".join(sorted(entry.votes.values()))
    if name in table.departed:
        return "departed"
    successor = table.live.get(name)
    if entry.witnesses or successor is None:
        return None
    # Without witnesses nobody can vote; the next run of the same host proves that
    # the process of this one has ended.
    if successor.incarnation > owner_incarnation(key):
        return "restarted"
    return None


def _rank_seconds(table: CapsTable, key: str) -> float:
    """Return this host's delay among those that could reclaim the same share."""
    names = [host.name for host in table.region_hosts.get(table.host.region, ())]
    order = rank(key, names)
    position = order.index(table.host.name) if table.host.name in order else len(order)
    return position * RECLAIM_RANK_SECONDS


def _vote(table: CapsTable, owners: dict[str, Entry], now: float) -> tuple[str, ...]:
    """Vote out owners that are gone, and withdraw votes on those that are back."""
    voted = []
    for key, entry in list(owners.items()):
        if key == table.me:
            continue
        votes = dict(entry.votes)
        unseen = now - table.seen_at.get(key, now)
        if unseen <= VOUCH_INTERVAL_SECONDS:
            votes.pop(table.host.name, None)
        elif unseen >= VOTE_AFTER_SECONDS and _may_vote(table, entry):
            table.votes_cast += 1
            votes[table.host.name] = f"{table.me}.{table.votes_cast}"
            voted.append(key)
        if votes != entry.votes:
            owners[key] = msgspec.structs.replace(entry, votes=votes)
    return tuple(voted)


def _may_vote(table: CapsTable, entry: Entry) -> bool:
    """Tell whether this host is a witness of an owner and its vote is missing."""
    if is_voted_out(entry) or table.host.name in entry.votes:
        return False
    names = {owner_name(witness) for witness in entry.witnesses}
    return table.host.name in names


def _plan_own(table: CapsTable, ledger: Ledger, now: float) -> Entry | None:
    """Return this host's next entry, or None when it needs none (any more)."""
    entry = ledger.owners.get(table.me)
    if table.host.name in table.departed:
        return entry
    current = entry or Entry({})
    shares = {}
    for key, limit, target, used in _targets(table, current, now):
        holding = _next_holding(ledger, table.me, current, key, limit, target, used)
        if holding is not None and holding.units:
            shares[key] = holding
    if not shares:
        return None
    return Entry(
        shares,
        choose_witnesses(table, current.witnesses),
        max(current.request_seconds, table.wanted_request_seconds),
        # A leaving host is voted out in the end and does not object: what it could
        # not hand over is reclaimed after the quarantine.
        current.votes if table.leaving else {},
    )


def _targets(
    table: CapsTable, entry: Entry, now: float
) -> list[tuple[str, int, int, int]]:
    """List (key, limit, target units, used units) for all this host may hold."""
    rows = []
    own_sum = 0
    limits_sum = 0
    for site in table.sites.values():
        if site.region != table.host.region:
            continue
        refresh_owners(table, site)
        target = 0 if table.leaving else fair_units(site, table.host.name)
        own_sum += target
        limits_sum += site.limit
        rows.append((site.name, site.limit, target, site.in_flight + site.lent))
    target = _region_target(table, entry, own_sum, limits_sum, now)
    rows.append((REGION_KEY, table.region_capacity, target, table.region_used))
    return rows


def _region_target(
    table: CapsTable, entry: Entry, own_sum: int, limits_sum: int, now: float
) -> int:
    """Return how many units of the region's capacity this host should hold."""
    capacity = table.region_capacity
    if table.leaving:
        return 0
    if capacity >= limits_sum:
        return own_sum
    held = units_of(entry, REGION_KEY, capacity)
    used = table.region_used
    if table.region_asked_away:
        return max(used, held - table.region_asked_away)
    if now - table.region_short_at <= DEMAND_WINDOW_SECONDS:
        return max(held, used + max(REGION_STEP, used // REGION_STEP))
    if now < table.region_yields_until:
        return held
    return max(held, capacity * own_sum // limits_sum)


def _next_holding(
    ledger: Ledger,
    me: str,
    entry: Entry,
    key: str,
    limit: int,
    target: int,
    used: int,
) -> Holding | None:
    """Return the next part of one limit: claimed from what is unowned, or released."""
    holding = entry.shares.get(key)
    units = units_of(entry, key, limit)
    # Requests from before a limit was lowered may still run: the part that covers
    # them stays, or it would be used twice once the limit is raised again.
    if limit <= 0 or used > units:
        return holding
    if units > target:
        return Holding(max(target, used), limit)
    if units < target:
        others = Ledger({k: e for k, e in ledger.owners.items() if k != me})
        units = max(units, min(target, unowned_units(others, key, limit)))
    if holding is not None and holding.units == units and holding.of == limit:
        return holding
    return Holding(units, limit)
