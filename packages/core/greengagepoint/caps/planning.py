"""Plan the next ledger write: shares, witnesses, votes and removals."""

from typing import NamedTuple

import msgspec

from greengagepoint.caps.const import (
    CONFIRM_SECONDS,
    DEMAND_WINDOW_SECONDS,
    RECLAIM_STAGGER_SECONDS,
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
from greengagepoint.caps.tables import CapsTable, LossEvidence, is_behind
from greengagepoint.rendezvous import rank

REGION_STEP = 4


class Plan(NamedTuple):
    """A ledger to write over ``revision``, with this host's ``entry`` in it."""

    ledger: Ledger
    revision: int
    entry: Entry | None
    reclaimed: tuple[str, ...]
    voted: tuple[str, ...]


def plan(table: CapsTable, now: float) -> Plan | None:
    """Return the ledger write this host needs, or None if none is due.

    Nothing is planned before the first read, or while a peer has seen a later
    revision: then the read was stale, or the store was restored and shows units as
    unowned that other hosts hold.
    """
    if table.revision < 0 or is_behind(table, now):
        return None
    owners = dict(table.ledger.owners)
    reclaimed = _reclaim(table, owners, now)
    voted = _vote(table, owners, now)
    entry = _plan_own_entry(table, Ledger(owners), now)
    if entry is None:
        owners.pop(table.own_key, None)
    else:
        owners[table.own_key] = entry
    if owners == table.ledger.owners and not _needs_confirming_write(table, now):
        return None
    return Plan(Ledger(owners), table.revision, entry, reclaimed, voted)


def _needs_confirming_write(table: CapsTable, now: float) -> bool:
    """Return True if a write must settle a pending one or confirm rights in time."""
    if table.pending:
        return True
    if not table.entries or table.leaving or table.host.name in table.departed:
        return False
    return table.rights_until - now < CONFIRM_SECONDS / 2


def _reclaim(table: CapsTable, owners: dict[str, Entry], now: float) -> tuple[str, ...]:
    """Remove lost owners whose last permitted requests have certainly ended.

    The quarantine starts when this host first reads the evidence and restarts with
    new votes: an owner that was voted out, came back and was voted out again may have
    used its share in between.
    """
    reclaimed = []
    for key in table.evidence.keys() - owners.keys():
        del table.evidence[key]
    for key, entry in list(owners.items()):
        reason = _loss_evidence(table, key, entry)
        if reason is None:
            table.evidence.pop(key, None)
            continue
        evidence = table.evidence.get(key)
        if evidence is None or evidence.reason != reason:
            table.evidence[key] = LossEvidence(reason, now)
            continue
        wait = quarantine_seconds(entry.request_seconds) + _reclaim_delay_seconds(
            table, key
        )
        if now - evidence.since >= wait:
            del owners[key]
            reclaimed.append(key)
    return tuple(reclaimed)


def _loss_evidence(table: CapsTable, key: str, entry: Entry) -> str | None:
    """Return the evidence that an owner has lost its rights, or None."""
    if key == table.own_key:
        return None
    name = owner_name(key)
    if is_voted_out(entry):
        return "votes " + " ".join(sorted(entry.votes.values()))
    if name in table.departed:
        return "departed"
    successor = table.live.get(name)
    if entry.witnesses or successor is None:
        return None
    # Without witnesses nobody can vote. A later incarnation of the same host proves
    # that the process of this one has ended.
    if successor.incarnation > owner_incarnation(key):
        return "restarted"
    return None


def _reclaim_delay_seconds(table: CapsTable, key: str) -> float:
    """Return this host's delay by its rank among hosts that could reclaim the share."""
    names = [host.name for host in table.region_hosts.get(table.host.region, ())]
    order = rank(key, names)
    position = order.index(table.host.name) if table.host.name in order else len(order)
    return position * RECLAIM_STAGGER_SECONDS


def _vote(table: CapsTable, owners: dict[str, Entry], now: float) -> tuple[str, ...]:
    """Vote out owners that are unseen, and withdraw votes on those seen again."""
    voted = []
    for key, entry in list(owners.items()):
        if key == table.own_key:
            continue
        votes = dict(entry.votes)
        unseen = now - table.seen_at.get(key, now)
        if unseen <= VOUCH_INTERVAL_SECONDS:
            votes.pop(table.host.name, None)
        elif unseen >= VOTE_AFTER_SECONDS and _can_vote(table, entry):
            table.votes_cast += 1
            votes[table.host.name] = f"{table.own_key}.{table.votes_cast}"
            voted.append(key)
        if votes != entry.votes:
            owners[key] = msgspec.structs.replace(entry, votes=votes)
    return tuple(voted)


def _can_vote(table: CapsTable, entry: Entry) -> bool:
    """Return True if this host is a witness of an owner and has not voted yet."""
    if is_voted_out(entry) or table.host.name in entry.votes:
        return False
    names = {owner_name(witness) for witness in entry.witnesses}
    return table.host.name in names


def _plan_own_entry(table: CapsTable, ledger: Ledger, now: float) -> Entry | None:
    """Return this host's next entry, or None if it needs none."""
    entry = ledger.owners.get(table.own_key)
    if table.host.name in table.departed:
        return entry
    current = entry or Entry({})
    shares = {}
    for key, limit, target, used in _targets(table, current, now):
        holding = _next_holding(
            ledger, table.own_key, current, key, limit, target, used
        )
        if holding is not None and holding.units:
            shares[key] = holding
    if not shares:
        return None
    return Entry(
        shares,
        choose_witnesses(table, current.witnesses),
        max(current.request_seconds, table.configured_request_seconds),
        # A leaving host keeps the votes against it: the units that it could not hand
        # over are reclaimed after the quarantine.
        current.votes if table.leaving else {},
    )


def _targets(
    table: CapsTable, entry: Entry, now: float
) -> list[tuple[str, int, int, int]]:
    """List (key, limit, target units, used units) of each limit open to this host."""
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
    if table.region_units_requested:
        return max(used, held - table.region_units_requested)
    if now - table.region_exhausted_at <= DEMAND_WINDOW_SECONDS:
        return max(held, used + max(REGION_STEP, used // REGION_STEP))
    if now < table.region_yields_until:
        return held
    return max(held, capacity * own_sum // limits_sum)


def _next_holding(
    ledger: Ledger,
    own_key: str,
    entry: Entry,
    key: str,
    limit: int,
    target: int,
    used: int,
) -> Holding | None:
    """Return the next holding of one limit: grown from unowned units, or reduced."""
    holding = entry.shares.get(key)
    units = units_of(entry, key, limit)
    # Requests from before a limit was lowered may still run. The holding that covers
    # them stays, or its units would be used twice once the limit is raised again.
    if limit <= 0 or used > units:
        return holding
    if units > target:
        return Holding(max(target, used), limit)
    if units < target:
        other_owners = Ledger({k: e for k, e in ledger.owners.items() if k != own_key})
        units = max(units, min(target, unowned_units(other_owners, key, limit)))
    if holding is not None and holding.units == units and holding.of == limit:
        return holding
    return Holding(units, limit)
