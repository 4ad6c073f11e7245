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

LOOK_SECONDS: Final = 0.25
# So many hosts keep an entry; each later one steps in where those before it did not.
WRITERS: Final = 3
STEP_IN_SECONDS: Final = 0.75
# A request that may still be tried is mostly answered, and so cleared, within this.
UNDECIDED_SECONDS: Final = 1.0
# Of one write; a caller with thousands of such requests fills one a look.
ENTRIES_MAX: Final = 16
STORED_MAX: Final = 512
# An entry outlasts the refusal, so that after a restart of all hosts a single end is
# enough to refuse the request again.
KEEP_SECONDS: Final = 300.0
LEASE_SECONDS_MAX: Final = 600.0
# What an entry may lack of the whole time before it is written again.
SLACK_SECONDS: Final = 5.0
PAUSE_MAX_SECONDS: Final = 2.0


class Stored(NamedTuple):
    """An entry of the store, until when it refuses, and is kept; monotonic seconds."""

    entry: QuarantineEntry
    refused_until: float
    kept_until: float


class QuarantineStore:
    """Write what is held and remove what is cleared, a few hosts for each request.

    ``hosts`` are the names of those that serve.
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
        self.stored: dict[str, Stored] = {}
        self.due_at: dict[str, float] = {}
        self.failures = 0

    def take(self, entry: QuarantineEntry) -> None:
        """Take in an entry of the store."""
        now = self.quarantine.clock.monotonic()
        self._note_stored(entry, now)
        self.sync.take([SharedSuspect(entry.content, entry.ends)])

    def drop(self, entry: QuarantineEntry) -> None:
        """Take in that an entry has lapsed or was removed.

        What this host holds against the request stays: the lease may have ended in an
        outage.
        """
        self.stored.pop(entry.content, None)

    async def async_run(self) -> None:
        """Keep the store's entries until cancelled."""
        while True:
            try:
                await self._async_step()
                self.failures = 0
                await asyncio.sleep(LOOK_SECONDS)
            except (StoreError, LeaseLostError) as error:
                self.failures += 1
                self.events.record(Event.QUARANTINE_NOT_STORED, detail=str(error))
                await asyncio.sleep(pause_seconds(self.failures, PAUSE_MAX_SECONDS))

    async def _async_step(self) -> None:
        """Write and remove what is this host's turn."""
        now = self.quarantine.clock.monotonic()
        self.stored = {
            content: row for content, row in self.stored.items() if row.kept_until > now
        }
        held = self.quarantine.table.held(now)
        missing = [row for row in held if self._is_missing(row, held[row], now)]
        cleared = [row for row in self.stored if row not in held]
        due_at = {
            row: now + self._delay(row, held.get(row, 0.0))
            for row in (*missing, *cleared)
        }
        # What is decided meanwhile is due at once, though it was left to be decided.
        self.due_at = {
            row: min(at, self.due_at.get(row, at)) for row, at in due_at.items()
        }
        await self._async_write(self._due(missing, now), held, now)
        await self._async_remove(self._due(cleared, now))

    def _is_missing(self, content: str, seconds: float, now: float) -> bool:
        """Tell whether the store does not refuse a request for as long as this host."""
        row = self.stored.get(content)
        if row is None:
            return len(self.stored) < STORED_MAX
        return row.refused_until + SLACK_SECONDS < now + seconds

    def _delay(self, content: str, refused_seconds: float) -> float:
        """Return how long this host leaves a request to others, or undecided."""
        undecided = 0.0 if refused_seconds else UNDECIDED_SECONDS
        return undecided + self._turn(content) * STEP_IN_SECONDS

    def _turn(self, content: str) -> int:
        """Return how many hosts come before this one for a request."""
        return rank(content, {self.host, *self.hosts()}).index(self.host)

    def _due(self, contents: list[str], now: float) -> list[str]:
        """Return those of some contents whose turn at this host has come."""
        rows = [
            content
            for content in contents
            if self.due_at[content] <= now and self._turn(content) < WRITERS
        ]
        return rows[:ENTRIES_MAX]

    async def _async_write(
        self, contents: list[str], held: dict[str, float], now: float
    ) -> None:
        """Write what is held against requests."""
        if not contents:
            return
        longest = max(held[content] for content in contents)
        seconds = min(LEASE_SECONDS_MAX, longest + KEEP_SECONDS)
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
            self._note_stored(entry, now)

    def _note_stored(self, entry: QuarantineEntry, now: float) -> None:
        """Keep what the store holds of a request."""
        refused_until = now + entry.seconds
        self.stored[entry.content] = Stored(
            entry, refused_until, refused_until + KEEP_SECONDS
        )

    async def _async_remove(self, contents: list[str]) -> None:
        """Remove requests that are refused no more."""
        if not contents:
            return
        await self.store.async_remove([self.stored[row].entry for row in contents])
        for content in contents:
            self.stored.pop(content, None)
