"""Track the request rate limits that backend servers advertise in their answers.

A limit covers the requests of all hosts together and holds until the server answers
without one. A host that sends nothing there hears nothing, so hosts share what they
hear.
"""

import math
from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple

from greengagepoint.backpressure.messages import LimitNotice
from greengagepoint.placing.tables import Incarnation

# A server that advertises more than this has no limit that matters.
LIMIT_MAX: Final = 100_000.0
# A notice seems newer than it is by its time in transit. It must be newer by more than
# this to replace what this host heard from the server itself.
TRANSIT_SECONDS: Final = 0.2
# A delayed notice that a limit has ended would set a whole host free to send, so it has
# to be newer than the last limit by more.
LIFT_TRANSIT_SECONDS: Final = 1.0
# The end of a limit is shared for several rounds of exchanges, then forgotten.
LIFTED_KEPT_SECONDS: Final = 10.0
SHARED_MAX: Final = 32
NOTABLE_SHARE: Final = 0.2
# The entry of a live server that lapsed is back within a few seconds.
UNKNOWN_KEPT_SECONDS: Final = 30.0


class AdvertisedLimit(NamedTuple):
    """What a server said last, and when it was heard in monotonic seconds.

    ``requests_per_second`` is None if the answer named no limit.
    """

    requests_per_second: float | None
    heard_at: float


class LimitChange(NamedTuple):
    """A limit that was named, changed or ended (``after`` is None); for the log."""

    server: Incarnation
    before: float | None
    after: float | None
    age_seconds: float
    from_peer: bool


def is_notable_change(before: float | None, after: float | None) -> bool:
    """Return True if a limit begins, ends or changes by more than a fifth.

    A server may name a slightly different limit in each answer.
    """
    if before is None or after is None:
        return before is not after
    return abs(after - before) > NOTABLE_SHARE * max(before, after)


def read_limit(texts: Iterable[str]) -> float | None:
    """Return the lowest valid limit of a header's values, in requests per second.

    Return None if none is valid: a number that can't be read limits nothing.
    """
    numbers = [number for text in texts if (number := _parse(text)) is not None]
    return min(numbers, default=None)


class AdvertisedLimits:
    """Hold the newest limit of each server, as heard from it or from peers."""

    def __init__(self) -> None:
        self.rows: dict[Incarnation, AdvertisedLimit] = {}

    def limit(self, server: Incarnation) -> float | None:
        """Return a server's limit in requests per second, None if it has none."""
        row = self.rows.get(server)
        return row.requests_per_second if row is not None else None

    def record(
        self, server: Incarnation, limit: float | None, now: float
    ) -> LimitChange | None:
        """Record the limit in an answer of the server; return a change of it."""
        before = self.rows.get(server)
        if before is None and limit is None:
            return None
        self.rows[server] = AdvertisedLimit(limit, now)
        return _change(server, before, limit, 0.0, from_peer=False)

    def merge(
        self,
        notices: Iterable[LimitNotice],
        servers: Mapping[str, Incarnation],
        now: float,
    ) -> list[LimitChange]:
        """Merge what peers heard of the known ``servers``, and return the changes."""
        changes = []
        for notice in notices:
            server = servers.get(notice.instance)
            if server is None or server != notice.server:
                continue
            change = self._merge_notice(server, notice, now)
            if change is not None:
                changes.append(change)
        return changes

    def shared(self, now: float) -> list[LimitNotice]:
        """Return the notices for peers, newest first, and drop ended limits."""
        for server, row in list(self.rows.items()):
            is_old = now - row.heard_at > LIFTED_KEPT_SECONDS
            if row.requests_per_second is None and is_old:
                del self.rows[server]
        newest = sorted(self.rows.items(), key=lambda item: -item[1].heard_at)
        return [self.notice(server, now) for server, _ in newest[:SHARED_MAX]]

    def notice(self, server: Incarnation, now: float) -> LimitNotice:
        """Return the notice for a peer about a server with a row."""
        row = self.rows[server]
        age_ms = max(0, round((now - row.heard_at) * 1000))
        return LimitNotice(*server, row.requests_per_second, age_ms)

    def retain(self, servers: Iterable[Incarnation], now: float) -> None:
        """Drop the limits of servers whose entries have been gone for some time."""
        kept = set(servers)
        for server, row in list(self.rows.items()):
            if server not in kept and now - row.heard_at > UNKNOWN_KEPT_SECONDS:
                del self.rows[server]

    def _merge_notice(
        self, server: Incarnation, notice: LimitNotice, now: float
    ) -> LimitChange | None:
        """Apply a peer's notice if it is newer than what this host knows."""
        limit = notice.requests_per_second
        heard_at = now - notice.age_ms / 1000
        before = self.rows.get(server)
        if before is None and limit is None:
            return None
        margin = TRANSIT_SECONDS if limit is not None else LIFT_TRANSIT_SECONDS
        if before is not None and heard_at <= before.heard_at + margin:
            return None
        self.rows[server] = AdvertisedLimit(limit, heard_at)
        return _change(server, before, limit, now - heard_at, from_peer=True)


def _change(
    server: Incarnation,
    row: AdvertisedLimit | None,
    limit: float | None,
    age_seconds: float,
    *,
    from_peer: bool,
) -> LimitChange | None:
    """Return the change from a row to a limit, or None if it stays the same."""
    before = row.requests_per_second if row is not None else None
    if before == limit:
        return None
    return LimitChange(server, before, limit, age_seconds, from_peer)


def _parse(text: str) -> float | None:
    """Return a limit of 0 to ``LIMIT_MAX``, or None if the text is none."""
    try:
        number = float(text)
    except ValueError:
        return None
    if not math.isfinite(number) or number < 0:
        return None
    return min(LIMIT_MAX, number)
