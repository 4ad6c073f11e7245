"""Build messages, and take in those received."""

from collections.abc import Iterator
from typing import Final

import msgspec
import xxhash

from greengagepoint.membership import items, overview
from greengagepoint.membership.claims import (
    apply_claim,
    apply_senders_claim,
    set_own_claim,
    take_claims,
)
from greengagepoint.membership.messages import (
    Ack,
    Claim,
    HostState,
    Message,
    Overview,
    Piggyback,
    Ping,
    ProbeAnswer,
    ProbeRequest,
    Sync,
)
from greengagepoint.membership.tables import MembershipTables, Relay, Send

NOTES_MAX: Final = 6
NOTE_BYTES_MAX: Final = 128
# Tables differ for a moment after each change; only a difference that lasts over so
# many answers, and not more often than this, is worth an exchange of whole tables.
DIFFERING_MAX: Final = 3
SYNC_SECONDS: Final = 10.0
JOIN_SYNC_SECONDS: Final = 1.0


def digest(tables: MembershipTables) -> int:
    """Return a number that is equal on hosts with equal detailed tables.

    Its lowest bit tells the mode, as tables of different modes aren't comparable.
    """
    if tables.digest_version == tables.version:
        return tables.digest
    claims = [row.claim for row in tables.present()]
    claims.append(tables.me)
    text = ",".join(sorted(f"{claim.name}:{claim.version}" for claim in claims))
    mode = int(tables.detail_everywhere)
    tables.digest = xxhash.xxh32_intdigest(text.encode()) & ~1 | mode
    tables.digest_version = tables.version
    return tables.digest


def piggyback(tables: MembershipTables, about: Claim | None = None) -> Piggyback:
    """Gather what travels with a message; ``about`` is a claim on its receiver."""
    claims = take_claims(tables)
    if about is not None and about not in claims:
        claims = (about, *claims)
    zones, regions = items.take_items(tables)
    return Piggyback(claims, zones, regions, digest(tables), tables.notes)


def ping(tables: MembershipTables, target: str, sequence: int) -> Send:
    """Build a ping; it tells its receiver where that is not held alive."""
    row = tables.members.get(target)
    failed = row is not None and row.claim.state is not HostState.ALIVE
    about = row.claim if row is not None and failed else None
    message = Ping(
        sequence=sequence, sender=tables.me, piggyback=piggyback(tables, about)
    )
    return Send(target, message)


def announce(tables: MembershipTables) -> list[Send]:
    """Tell all hosts in reach of this host's new state at once."""
    remote = [row for row in tables.members.values() if not tables.in_detail(row.claim)]
    rows = [*tables.present(), *remote]
    return [ping(tables, row.claim.name, 0) for row in rows]


def receive(
    tables: MembershipTables, sender: str, message: Message, now: float
) -> list[Send]:
    """Take in a message and return the answers."""
    match message:
        case Ping():
            return list(_receive_ping(tables, sender, message, now))
        case Ack():
            return list(_receive_ack(tables, sender, message, now))
        case ProbeRequest():
            return list(_receive_request(tables, sender, message, now))
        case ProbeAnswer():
            _receive_answer(tables, message, now)
            return []
        case Sync():
            return list(_receive_sync(tables, sender, message, now))
        case Overview():
            return list(overview.receive(tables, sender, message, now))


def _receive_ping(
    tables: MembershipTables, sender: str, message: Ping, now: float
) -> Iterator[Send]:
    """Answer a ping, with the claim that contradicts its sender if there is one."""
    about = _take_piggyback(tables, sender, message.sender, message.piggyback, now)
    if about is None and not message.sequence:
        return
    ack = Ack(
        sequence=message.sequence,
        sender=tables.me,
        piggyback=piggyback(tables, about),
    )
    yield Send(sender, ack)


def _receive_ack(
    tables: MembershipTables, sender: str, message: Ack, now: float
) -> Iterator[Send]:
    """End the probe that the answer belongs to."""
    about = _take_piggyback(tables, sender, message.sender, message.piggyback, now)
    probe = tables.probes.get(message.sequence)
    if probe is not None and probe.target == sender:
        del tables.probes[message.sequence]
    relay = tables.relays.pop(message.sequence, None)
    if relay is not None:
        yield Send(
            relay.requester,
            ProbeAnswer(sequence=relay.sequence, claim=message.sender),
        )
    if about is not None:
        yield ping(tables, sender, 0)
    yield from _compare(tables, sender, message, now)


def _take_piggyback(
    tables: MembershipTables, sender: str, claim: Claim, carried: Piggyback, now: float
) -> Claim | None:
    """Take in what a message carries; return a claim that contradicts its sender."""
    about = apply_senders_claim(tables, claim, now) if claim.name == sender else None
    for other in carried.claims:
        apply_claim(tables, other, now)
    items.take_in(tables, carried.zones, carried.regions, now)
    return about


def _compare(
    tables: MembershipTables, sender: str, message: Ack, now: float
) -> Iterator[Send]:
    """Exchange whole tables with a host when tables differ for longer."""
    theirs = message.piggyback.digest
    ours = digest(tables)
    if (theirs ^ ours) & 1 or not tables.in_detail(message.sender):
        return
    if theirs == ours:
        tables.differing = 0
        return
    tables.differing += 1
    joining = now - tables.joined_at < SYNC_SECONDS
    period = JOIN_SYNC_SECONDS if joining else SYNC_SECONDS
    if now - tables.synced_at < period:
        return
    if joining or tables.differing >= DIFFERING_MAX:
        tables.synced_at = now
        tables.differing = 0
        yield Send(sender, Sync(claims=_all_claims(tables), reply=True))


def _all_claims(tables: MembershipTables) -> tuple[Claim, ...]:
    """Return all claims held in detail, the own one first."""
    return (tables.me, *(row.claim for row in tables.detailed()))


def _receive_sync(
    tables: MembershipTables, sender: str, message: Sync, now: float
) -> Iterator[Send]:
    """Take in a table and answer with the claims that outweigh it."""
    known = {claim.name: claim for claim in message.claims}
    for claim in message.claims:
        apply_claim(tables, claim, now)
    if not message.reply:
        return
    newer = tuple(
        claim for claim in _all_claims(tables) if known.get(claim.name) != claim
    )
    if newer:
        yield Send(sender, Sync(claims=newer, reply=False))


def _receive_request(
    tables: MembershipTables, sender: str, message: ProbeRequest, now: float
) -> Iterator[Send]:
    """Ping a host on behalf of another."""
    sequence = tables.next_sequence()
    tables.relays[sequence] = Relay(sender, message.sequence, now)
    if tables.peer_address(message.target) is None:
        tables.learn_address(message.target, message.target_peer_address)
    yield ping(tables, message.target, sequence)


def _receive_answer(tables: MembershipTables, message: ProbeAnswer, now: float) -> None:
    """Clear the suspicion of a host that a helper has reached."""
    probe = tables.probes.pop(message.sequence, None)
    if probe is not None and probe.target == message.claim.name:
        hear_through_helper(tables, message.claim, now)


def hear_through_helper(tables: MembershipTables, claim: Claim, now: float) -> None:
    """Take a host's own claim from a helper without counting its region as reached."""
    reached = tables.region_heard_at.get(claim.region)
    apply_senders_claim(tables, claim, now)
    if reached is None:
        tables.region_heard_at.pop(claim.region, None)
    else:
        tables.region_heard_at[claim.region] = reached


def note(tables: MembershipTables, key: str, payload: bytes) -> None:
    """Let a small payload travel with every probe and answer; empty removes it."""
    if len(payload) > NOTE_BYTES_MAX:
        raise ValueError(f"note {key} is longer than {NOTE_BYTES_MAX} bytes")
    notes = {name: value for name, value in tables.notes.items() if name != key}
    if payload:
        notes[key] = payload
    if len(notes) > NOTES_MAX:
        raise ValueError(f"more than {NOTES_MAX} notes")
    tables.notes = notes


def announce_state(
    tables: MembershipTables, *, leaving: bool, state: HostState
) -> list[Send]:
    """State this host's own leaving or end, and tell all in reach at once."""
    me = tables.me
    set_own_claim(
        tables,
        msgspec.structs.replace(
            me, version=me.version + 1, leaving=leaving, state=state
        ),
    )
    return announce(tables)
