"""Share counters with holders in other zones before they are in the store."""

from collections.abc import Sequence
from operator import attrgetter
from typing import Final, NamedTuple

import msgspec

from greengagepoint.hosts import HostIdentity
from greengagepoint.rendezvous import rank
from greengagepoint.usage.counters import merge
from greengagepoint.usage.messages import Share, ShareAck
from greengagepoint.usage.tables import Chosen, HeldRun, Holder, UsageTables, day_of

HOLDERS: Final = 2
SHARE_SECONDS_MIN: Final = 3.0
# With many teams shares are sent less often, so that they stay near this rate.
SHARE_BYTES_PER_SECOND: Final = 400
# A share is sent so often even when nothing changed: a holder that restarted is found
# out by its answer, and one that hears nothing for longer takes the run for ended.
REFRESH_SECONDS: Final = 40.0
MISSING_SECONDS: Final = 130.0
# A holder that leaves so many shares unanswered is passed over for a while.
UNANSWERED_MAX: Final = 3
AVOID_SECONDS: Final = 300.0
# A day's rows leave memory when they are in the store and have not changed for so
# long, by the monotonic clock: a wall clock that jumps ahead must not close days.
KEEP_DAY_SECONDS: Final = 48 * 3600.0


class ShareSend(NamedTuple):
    """A command to send a message to a host."""

    host: str
    message: Share | ShareAck


def choose_holders(
    tables: UsageTables,
    me: HostIdentity,
    candidates: Sequence[HostIdentity],
    now: float,
) -> tuple[str, ...]:
    """Return who holds this host's counters, by rendezvous hashing.

    The first is in another region and the second in another zone, so that neither the
    loss of a zone nor that of a region takes both holders and the host; where there
    is no such host, the next best is taken.
    """
    avoided = {
        name for name, holder in tables.holders.items() if holder.avoid_until > now
    }
    cached = tables.chosen
    if cached and cached.candidates is candidates and cached.avoided == avoided:
        return cached.holders
    others = rank(
        me.name,
        (host for host in candidates if host.name not in avoided | {me.name}),
        attrgetter("name"),
    )
    far = [host for host in others if host.region != me.region]
    near = [
        host for host in others if host.region == me.region and host.zone != me.zone
    ]
    ordered = [*far[:1], *near[:1], *far[1:], *near[1:], *others]
    names = dict.fromkeys(host.name for host in ordered)
    holders = tuple(names)[:HOLDERS]
    tables.chosen = Chosen(candidates, avoided, holders)
    return holders


def share_seconds(tables: UsageTables) -> float:
    """Return how long after the last share the next one is due."""
    return max(SHARE_SECONDS_MIN, tables.shared_bytes / SHARE_BYTES_PER_SECOND)


def run_shares(
    tables: UsageTables,
    me: HostIdentity,
    candidates: Sequence[HostIdentity],
    now: float,
    wall_milliseconds: int,
) -> list[ShareSend]:
    """Set the day, drop old rows and share what holders have not acknowledged."""
    tables.now = now
    _set_day(tables, wall_milliseconds)
    if now - tables.shared_at < share_seconds(tables):
        return []
    tables.shared_at = now
    _drop_days(tables, now)
    return share_now(tables, choose_holders(tables, me, candidates, now), now)


def share_now(
    tables: UsageTables, holders: Sequence[str], now: float
) -> list[ShareSend]:
    """Send each holder all rows that changed after what it has acknowledged."""
    sealed = tables.seal()
    days = tables.days()
    sends = []
    for name in holders:
        holder = tables.holders.setdefault(name, Holder())
        rows = tables.rows_after(holder.sequence)
        if not rows and (not days or now - holder.sent_at < REFRESH_SECONDS):
            continue
        _expect_answer(holder, now)
        message = Share(
            incarnation=tables.incarnation,
            sequence=sealed,
            base=holder.sequence,
            oldest_day=days[0],
            rows=rows,
        )
        sends.append(ShareSend(name, message))
    encode = msgspec.msgpack.encode
    tables.shared_bytes = sum(len(encode(send.message)) for send in sends)
    return sends


def receive_share(
    tables: UsageTables, sender: str, share: Share, now: float
) -> ShareSend:
    """Hold another host's rows and acknowledge what is held without a gap.

    A holder that restarted lacks what came before ``base``; it acknowledges less, and
    is sent the rest.
    """
    run = tables.held.setdefault((sender, share.incarnation), HeldRun(0, {}, now))
    run.heard_at = now
    run.oldest_day = max(run.oldest_day, share.oldest_day)
    merged = merge(run.rows, share.rows)
    run.rows = {key: row for key, row in merged.items() if key[0] >= run.oldest_day}
    if share.base <= run.sequence:
        run.sequence = max(run.sequence, share.sequence)
    ack = ShareAck(incarnation=share.incarnation, sequence=run.sequence)
    return ShareSend(sender, ack)


def receive_ack(tables: UsageTables, sender: str, ack: ShareAck) -> None:
    """Note what a holder holds; it may be less than it once acknowledged."""
    holder = tables.holders.get(sender)
    if holder is not None and ack.incarnation == tables.incarnation:
        holder.sequence = min(ack.sequence, tables.sequence - 1)
        holder.unanswered = 0


def orphans(
    tables: UsageTables, live: Sequence[HostIdentity], now: float
) -> list[tuple[str, int]]:
    """Return the runs held here that have ended.

    A run has ended when its host runs anew, or when it is neither among the live
    hosts nor has shared anything for long. Being wrong does no harm: what is written
    for a run that goes on is merged with what it writes itself.
    """
    running = {host.name: host.incarnation for host in live}
    return [
        (name, incarnation)
        for (name, incarnation), run in tables.held.items()
        if _ended(now - run.heard_at, incarnation, running.get(name))
    ]


def _ended(silent_seconds: float, incarnation: int, running: int | None) -> bool:
    """Tell whether a run has ended, by its silence and its host's present run."""
    if running is None:
        return silent_seconds >= MISSING_SECONDS
    return running != incarnation or silent_seconds >= KEEP_DAY_SECONDS


def _expect_answer(holder: Holder, now: float) -> None:
    """Pass over a holder that has left too many shares unanswered."""
    holder.sent_at = now
    holder.unanswered += 1
    if holder.unanswered > UNANSWERED_MAX:
        holder.unanswered = 0
        holder.avoid_until = now + AVOID_SECONDS


def _set_day(tables: UsageTables, wall_milliseconds: int) -> None:
    """Follow the wall clock, but never back to a day whose rows were dropped.

    Counting such a day from nothing again would stay below what the store holds of
    it, and the merge would lose it.
    """
    day = day_of(wall_milliseconds)
    if day > tables.dropped_through:
        tables.day = day


def _drop_days(tables: UsageTables, now: float) -> None:
    """Drop rows of past days that are in the store and have long been at rest."""
    for day in tables.days():
        if day >= tables.day or tables.written.get(day, 0) < tables.last_change(day):
            continue
        keys = [key for key in tables.counters if key[0] == day]
        newest = max(tables.counters[key].changed_at for key in keys)
        if now - newest >= KEEP_DAY_SECONDS:
            for key in keys:
                del tables.counters[key]
            tables.written.pop(day, None)
            tables.dropped_through = max(tables.dropped_through, day)
