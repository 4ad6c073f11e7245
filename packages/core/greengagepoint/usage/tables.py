"""Tables of what this host counted and what it holds for others."""

from collections.abc import Sequence
from datetime import UTC, datetime
from enum import StrEnum
from typing import Final, NamedTuple

import msgspec

from greengagepoint.hosts import HostIdentity
from greengagepoint.usage.counters import RowKey, Rows
from greengagepoint.usage.messages import UsageRow

MILLISECONDS_PER_SECOND: Final = 1000


class UsageOutcome(StrEnum):
    """How a charged request ended."""

    ANSWERED = "answered"
    FAILED = "failed"
    NOT_RUN = "not_run"


class Counter(msgspec.Struct):
    """Counters of one row; ``changed`` is the sequence that will carry the change."""

    answered: int = 0
    failed: int = 0
    not_run: int = 0
    bytes_in: int = 0
    bytes_out: int = 0
    changed: int = 0
    changed_at: float = 0.0


class HeldRun(msgspec.Struct):
    """Another host's counters: rows, and the sequence they are complete up to."""

    sequence: int
    rows: Rows
    heard_at: float
    oldest_day: str = ""


class Holder(msgspec.Struct):
    """A host that holds this run's counters.

    ``sequence`` is what it has acknowledged, ``unanswered`` the shares since.
    """

    sequence: int = 0
    unanswered: int = 0
    sent_at: float = float("-inf")
    avoid_until: float = float("-inf")


class Chosen(NamedTuple):
    """The holders last chosen, and from what."""

    candidates: Sequence[HostIdentity]
    avoided: set[str]
    holders: tuple[str, ...]


class UsageTables:
    """What this run counted, by (day, team, service), and what it holds for others.

    ``sequence`` is the one now open: changes belong to it until it is sealed by being
    shared or written.
    """

    def __init__(self, host: str, incarnation: int) -> None:
        self.host = host
        self.incarnation = incarnation
        self.sequence = 1
        self.day = ""
        self.dropped_through = ""
        self.now = 0.0
        self.counters: dict[RowKey, Counter] = {}
        self.held: dict[tuple[str, int], HeldRun] = {}
        self.holders: dict[str, Holder] = {}
        self.chosen: Chosen | None = None
        self.written: dict[str, int] = {}
        self.shared_at = float("-inf")
        self.shared_bytes = 0

    def count(
        self,
        team: str,
        service: str,
        outcome: UsageOutcome,
        bytes_in: int,
        bytes_out: int,
    ) -> None:
        """Count one request on the current day."""
        key = (self.day, team, service)
        counter = self.counters.get(key)
        if counter is None:
            counter = self.counters[key] = Counter()
        if outcome is UsageOutcome.ANSWERED:
            counter.answered += 1
        elif outcome is UsageOutcome.FAILED:
            counter.failed += 1
        else:
            counter.not_run += 1
        counter.bytes_in += bytes_in
        counter.bytes_out += bytes_out
        counter.changed = self.sequence
        counter.changed_at = self.now

    def seal(self) -> int:
        """Close the open sequence and return it."""
        sealed = self.sequence
        self.sequence += 1
        return sealed

    def rows_after(self, sequence: int, day: str | None = None) -> tuple[UsageRow, ...]:
        """Return the rows that changed after a sequence, of one day or of all."""
        return tuple(
            _row(key, counter)
            for key, counter in self.counters.items()
            if counter.changed > sequence and (day is None or key[0] == day)
        )

    def days(self) -> list[str]:
        """Return the days that have rows here."""
        return sorted({key[0] for key in self.counters})

    def last_change(self, day: str) -> int:
        """Return the sequence of a day's last change."""
        changes = (
            counter.changed for key, counter in self.counters.items() if key[0] == day
        )
        return max(changes, default=0)


def day_of(wall_milliseconds: int) -> str:
    """Return the UTC date of a wall clock's reading as YYYY-MM-DD."""
    seconds = wall_milliseconds / MILLISECONDS_PER_SECOND
    return datetime.fromtimestamp(seconds, UTC).date().isoformat()


def _row(key: RowKey, counter: Counter) -> UsageRow:
    """Return a row as it is now."""
    return UsageRow(
        *key,
        counter.answered,
        counter.failed,
        counter.not_run,
        counter.bytes_in,
        counter.bytes_out,
    )
