"""Keep suspected requests in the platform's store for hosts that start later."""

import asyncio
from collections.abc import Callable
from typing import Final, NamedTuple

from greengagepoint.config.watchers import pause_seconds
from greengagepoint.errors import StoreError
from greengagepoint.events import Event
from greengagepoint.quarantine.messages import SharedSuspect
from greengagepoint.rendezvous import rank
from greengagepoint_node.context import EventSink
from greengagepoint_node.gateway.quarantine_sync import QuarantineSync
from greengagepoint_node.gateway.store_types import (
    LeaseLostError,
    PlatformStore,
    QuarantineEntry,
)

POLL_SECONDS: Final = 0.25
# Hosts that may write an entry, in rank order; each takes over if those before it did
# not write.
WRITERS_PER_ENTRY: Final = 3
TAKEOVER_SECONDS: Final = 0.75
# A suspected request that may still be tried is mostly answered, and so cleared,
# within this time.
TRIAL_OUTCOME_SECONDS: Final = 1.0
# Entries of one write. A caller with thousands of such requests fills one write at
# each poll.
WRITTEN_ENTRIES_MAX: Final = 16
STORED_ENTRIES_MAX: Final = 512
# An entry outlasts the quarantine, so that after a restart of all hosts a single crash
# is enough to quarantine the request again.
RETENTION_SECONDS: Final = 300.0
LEASE_SECONDS_MAX: Final = 600.0
# An entry is rewritten if its quarantine ends earlier than here by more than this.
REWRITE_SLACK_SECONDS: Final = 5.0
RETRY_PAUSE_MAX_SECONDS: Final = 2.0


class StoredQuarantine(NamedTuple):
    """An entry of the store, and the monotonic times of its quarantine and expiry."""

    entry: QuarantineEntry
    quarantined_until: float
    retained_until: float


class QuarantineStore:
    """Write suspected requests to the store, and remove cleared ones.

    A few hosts are responsible for each request. ``hosts`` returns the names of the
    serving hosts.
    """

    def __init__(
        self,
        store: PlatformStore,
        sync: QuarantineSync,
        host: str,
        hosts: Callable[[], list[str]],
        events: EventSink,
    ) -> None:
        self.store = store
        self.sync = sync
        self.quarantine = sync.quarantine
        self.host = host
        self.hosts = hosts
        self.events = events
        self.stored: dict[str, StoredQuarantine] = {}
        self.due_at: dict[str, float] = {}
        self.failures = 0

    def take(self, entry: QuarantineEntry) -> None:
        """Apply an entry of the store."""
        now = self.quarantine.clock.monotonic()
        self._record_stored(entry, now)
        self.sync.take([SharedSuspect(entry.content, entry.ends)])

    def drop(self, entry: QuarantineEntry) -> None:
        """Handle an entry that expired or was removed from the store.

        The crashes known to this host stay: the lease may have expired in an outage.
        """
        self.stored.pop(entry.content, None)

    def begin_era(self) -> None:
        """Write entries again that are not in the copy from which it was restored.

        An entry that this host has written, and not read back yet, may be missing
        without a removal.
        """
        self.stored.clear()

    async def async_run(self) -> None:
        """Keep the store's entries up to date until cancelled."""
        while True:
            try:
                await self._async_step()
                self.failures = 0
                await asyncio.sleep(POLL_SECONDS)
            except (StoreError, LeaseLostError) as error:
                self.failures += 1
                self.events.record(Event.QUARANTINE_NOT_STORED, detail=str(error))
                await asyncio.sleep(
                    pause_seconds(self.failures, RETRY_PAUSE_MAX_SECONDS)
                )

    async def _async_step(self) -> None:
        """Write and remove the entries that are due at this host."""
        now = self.quarantine.clock.monotonic()
        self.stored = {
            content: row
            for content, row in self.stored.items()
            if row.retained_until > now
        }
        held = self.quarantine.table.held(now)
        missing = [row for row in held if self._is_missing(row, held[row], now)]
        cleared = [row for row in self.stored if row not in held]
        due_at = {
            row: now + self._delay(row, held.get(row, 0.0))
            for row in (*missing, *cleared)
        }
        # The earlier due time wins: a request that was quarantined after its wait for a
        # trial's outcome began is due at once.
        self.due_at = {
            row: min(at, self.due_at.get(row, at)) for row, at in due_at.items()
        }
        await self._async_write(self._due(missing, now), held, now)
        await self._async_remove(self._due(cleared, now))

    def _is_missing(self, content: str, seconds: float, now: float) -> bool:
        """Return True if a request needs an entry, or its entry ends too early."""
        row = self.stored.get(content)
        if row is None:
            return len(self.stored) < STORED_ENTRIES_MAX
        return row.quarantined_until + REWRITE_SLACK_SECONDS < now + seconds

    def _delay(self, content: str, quarantine_seconds: float) -> float:
        """Return the wait for other hosts, and for a trial's outcome, in seconds."""
        outcome_delay = 0.0 if quarantine_seconds else TRIAL_OUTCOME_SECONDS
        return outcome_delay + self._writer_position(content) * TAKEOVER_SECONDS

    def _writer_position(self, content: str) -> int:
        """Return how many hosts rank before this one as writers of a request."""
        return rank(content, {self.host, *self.hosts()}).index(self.host)

    def _due(self, contents: list[str], now: float) -> list[str]:
        """Return the contents that are due at this host now."""
        rows = [
            content
            for content in contents
            if self.due_at[content] <= now
            and self._writer_position(content) < WRITERS_PER_ENTRY
        ]
        return rows[:WRITTEN_ENTRIES_MAX]

    async def _async_write(
        self, contents: list[str], held: dict[str, float], now: float
    ) -> None:
        """Write requests with the crashes that count against them."""
        if not contents:
            return
        max_quarantine_seconds = max(held[content] for content in contents)
        seconds = min(LEASE_SECONDS_MAX, max_quarantine_seconds + RETENTION_SECONDS)
        lease = await self.store.async_grant_lease(seconds)
        entries = [
            QuarantineEntry(
                row.content,
                held[row.content],
                tuple(end for end in row.ends if not end.settled),
            )
            for row in self.quarantine.table.shared(contents, now)
        ]
        await self.store.async_put(entries, lease)
        for entry in entries:
            self._record_stored(entry, now)

    def _record_stored(self, entry: QuarantineEntry, now: float) -> None:
        """Record an entry that the store holds."""
        quarantined_until = now + entry.seconds
        self.stored[entry.content] = StoredQuarantine(
            entry, quarantined_until, quarantined_until + RETENTION_SECONDS
        )

    async def _async_remove(self, contents: list[str]) -> None:
        """Remove the entries of cleared requests."""
        if not contents:
            return
        await self.store.async_remove([self.stored[row].entry for row in contents])
        for content in contents:
            self.stored.pop(content, None)
