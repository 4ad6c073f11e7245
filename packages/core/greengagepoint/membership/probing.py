"""Probe other hosts in turn, ask helpers, and hold gone those nobody reaches."""

from collections.abc import Iterator
from typing import Final

from greengagepoint.membership import messaging
from greengagepoint.membership.claims import mark_failed
from greengagepoint.membership.messages import HostState, ProbeRequest
from greengagepoint.membership.tables import Member, MembershipTables, Probe, Send
from greengagepoint.protocols import Random
from greengagepoint.rendezvous import rank

PROBE_SECONDS: Final = 1.0
# Among few hosts the one that nobody happens to probe for seconds weighs more than
# the bytes of a second ping.
PROBES_AMONG_FEW: Final = 2
RESEND_SECONDS: Final = 0.5
ACK_SECONDS: Final = 1.0
HELPED_SECONDS: Final = 1.0
HELPERS: Final = 3
NEIGHBOURS_MAX: Final = 24
ALERTED: Final = 8
SUSPICION_SECONDS: Final = 4.0
SUSPECTS_PROBED: Final = 4
# A rumour of suspicion that nobody settled for so long is looked into here.
RUMOUR_SECONDS: Final = 6.0
# A gap of this length between two ticks means that this process was paused: answers
# that came meanwhile are still unread, so no probe of before may count as failed.
PAUSE_SECONDS: Final = 3.0
# Nothing heard from anyone for this long looks the same as a cut of this host's own
# inbound path. It then tells nobody of its suspicions and holds hosts gone much later.
ISOLATED_SECONDS: Final = 5.0
ISOLATED_SUSPICION_SECONDS: Final = 30.0
# Hosts held gone and listed hosts never heard are tried this often, one at a time:
# without it two regions that were cut apart would never find each other again.
REVIVE_SECONDS: Final = 5.0
JOIN_SECONDS: Final = 10.0
JOIN_PINGS: Final = 4


def isolated(tables: MembershipTables, now: float) -> bool:
    """Tell whether this host hears nobody though it knows others."""
    return now - tables.heard_at > ISOLATED_SECONDS


def forgive(tables: MembershipTables, gap: float) -> None:
    """Discard what this host concluded from silence while it was paused itself."""
    tables.probes.clear()
    tables.relays.clear()
    tables.heard_at += gap
    for row in tables.members.values():
        row.suspicion_ends_at = None
    for region in tables.region_heard_at:
        tables.region_heard_at[region] += gap
    for heard in (*tables.zones.values(), *tables.regions.values()):
        heard.heard_at += gap


def run_probes(tables: MembershipTables, now: float, random: Random) -> Iterator[Send]:
    """Start and age probes; yield what to send."""
    yield from _age(tables, now, random)
    _end_suspicions(tables, now)
    if now - tables.probed_at < PROBE_SECONDS:
        return
    tables.probed_at = now
    yield from _probe_suspects(tables, now, random)
    for _ in range(_probes(tables)):
        target = _next_target(tables, random)
        if target is not None:
            yield from _probe(tables, target, now)
    yield from _revive(tables, now, random)
    yield from _alert(tables, random)


def _probes(tables: MembershipTables) -> int:
    """Return how many hosts to ping this time; never one of them twice."""
    few = tables.detail_everywhere and len(tables.present()) <= NEIGHBOURS_MAX
    return min(len(tables.present()), PROBES_AMONG_FEW if few else 1)


def _probe(tables: MembershipTables, target: str, now: float) -> Iterator[Send]:
    """Ping a host and wait for its answer."""
    sequence = tables.next_sequence()
    tables.probes[sequence] = Probe(target, now)
    yield messaging.ping(tables, target, sequence)


def _age(tables: MembershipTables, now: float, random: Random) -> Iterator[Send]:
    """Ask helpers about late answers and suspect hosts that none of them reached."""
    for sequence, probe in list(tables.probes.items()):
        row = tables.members.get(probe.target)
        waited = now - probe.sent_at
        if row is not None and row.heard_at >= probe.sent_at:
            del tables.probes[sequence]
        elif row is None:
            if waited >= ACK_SECONDS + HELPED_SECONDS:
                del tables.probes[sequence]
        elif probe.asked_at is not None:
            if now - probe.asked_at >= HELPED_SECONDS:
                del tables.probes[sequence]
                _suspect(tables, row, now)
        elif waited >= ACK_SECONDS:
            probe.asked_at = now
            yield from _ask_helpers(tables, sequence, row, random)
        elif waited >= RESEND_SECONDS and not probe.resent:
            probe.resent = True
            yield messaging.ping(tables, probe.target, sequence)
    for sequence, relay in list(tables.relays.items()):
        if now - relay.sent_at >= HELPED_SECONDS:
            del tables.relays[sequence]


def _ask_helpers(
    tables: MembershipTables, sequence: int, row: Member, random: Random
) -> Iterator[Send]:
    """Ping the host again, directly and through others."""
    target = row.claim
    yield messaging.ping(tables, target.name, sequence)
    able = [
        other.claim.name
        for other in neighbours(tables)
        if other.claim.state is HostState.ALIVE and other is not row
    ]
    for _ in range(min(HELPERS, len(able))):
        helper = able.pop(random.randrange(len(able)))
        request = ProbeRequest(
            sequence=sequence,
            target=target.name,
            target_peer_address=target.peer_address,
        )
        yield Send(helper, request)


def _alert(tables: MembershipTables, random: Random) -> Iterator[Send]:
    """Tell some neighbours at once of new suspicions; others hear of them."""
    if not tables.alert:
        return
    tables.alert = False
    names = [row.claim.name for row in neighbours(tables)]
    for _ in range(min(ALERTED, len(names))):
        name = names.pop(random.randrange(len(names)))
        yield messaging.ping(tables, name, 0)


def _suspect(tables: MembershipTables, row: Member, now: float) -> None:
    """Suspect a host that answered neither this host nor its helpers."""
    state = row.claim.state
    if state is HostState.GONE or row.suspicion_ends_at is not None:
        return
    if not tables.in_detail(row.claim):
        return
    alone = isolated(tables, now)
    seconds = ISOLATED_SUSPICION_SECONDS if alone else SUSPICION_SECONDS
    row.suspicion_ends_at = now + seconds
    if state is HostState.ALIVE:
        mark_failed(tables, row, HostState.SUSPECTED, now, tell=not alone)


def _end_suspicions(tables: MembershipTables, now: float) -> None:
    """Hold gone the suspects whose time is up.

    Each got a direct and up to three indirect pings every second meanwhile, and any
    answer clears ``suspicion_ends_at``, so loss alone must strike them all.
    """
    alone = isolated(tables, now)
    for row in tables.members.values():
        if row.suspicion_ends_at is None or row.suspicion_ends_at > now:
            continue
        if alone and now - row.claimed_at < ISOLATED_SUSPICION_SECONDS:
            continue
        row.suspicion_ends_at = None
        if row.claim.state is HostState.SUSPECTED:
            mark_failed(tables, row, HostState.GONE, now, tell=not alone)


def _probe_suspects(
    tables: MembershipTables, now: float, random: Random
) -> Iterator[Send]:
    """Ping suspects directly and through helpers at once."""
    suspects = [row for row in tables.present() if _needs_probe(row, now)]
    for _ in range(min(SUSPECTS_PROBED, len(suspects))):
        row = suspects.pop(random.randrange(len(suspects)))
        sequence = tables.next_sequence()
        tables.probes[sequence] = Probe(row.claim.name, now, asked_at=now)
        yield from _ask_helpers(tables, sequence, row, random)


def _needs_probe(row: Member, now: float) -> bool:
    """Tell whether a suspect is to be probed out of its turn."""
    if row.suspicion_ends_at is not None:
        return True
    suspected = row.claim.state is HostState.SUSPECTED
    return suspected and now - row.claimed_at > RUMOUR_SECONDS


def neighbours(tables: MembershipTables) -> list[Member]:
    """Return the hosts that this host probes itself and asks for help.

    In a large zone they are a fixed number, so that the links a host keeps open don't
    grow with the zone; each host is then a neighbour of about as many others.
    """
    present = tables.present()
    if len(present) <= NEIGHBOURS_MAX:
        return present
    ordered = rank(tables.me.name, present, lambda row: row.claim.name)
    return ordered[:NEIGHBOURS_MAX]


def _next_target(tables: MembershipTables, random: Random) -> str | None:
    """Return the next host in turn; each round is a new random order of all."""
    for _ in range(2):
        while tables.order:
            index = random.randrange(len(tables.order))
            chosen = tables.order.pop(index)
            row = tables.members.get(chosen)
            if row is not None and row.claim.state is not HostState.GONE:
                return chosen
        tables.order = [row.claim.name for row in neighbours(tables)]
    return None


def _revive(tables: MembershipTables, now: float, random: Random) -> Iterator[Send]:
    """Try hosts held gone and listed hosts that were never heard."""
    joining = now - tables.joined_at < JOIN_SECONDS or not tables.present()
    if not joining and now - tables.revived_at < REVIVE_SECONDS:
        return
    tables.revived_at = now
    names = [
        row.claim.name for row in tables.detailed() if row.claim.state is HostState.GONE
    ]
    unseen = [
        host for host in tables.listed.values() if host.name not in tables.members
    ]
    near = [host.name for host in unseen if tables.in_detail(host)]
    if not near and not tables.present():
        near = [host.name for host in unseen]
    names += near
    if joining and tables.detail_everywhere:
        known = {*tables.members, *names}
        names += [name for name in tables.learnt_addresses if name not in known]
    for _ in range(min(JOIN_PINGS if joining else 1, len(names))):
        yield from _probe(tables, names.pop(random.randrange(len(names))), now)
