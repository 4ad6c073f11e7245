"""Keep refused requests in the platform's store for hosts that start later."""

import asyncio
from collections.abc import Callable
from typing import Final, NamedTuple

from greengagepoint.config.watchers import pause_seconds
from greengagepoint.errors import StoreError
from greengagepoint.events import Event
from greengagepoint.quarantine.messages import SharedSuspect
from greengagepoint.rendezvous import rank
from greengagepoint_node.context import EventSink
from greengagepoint_node.gateway.facts import (
    LeaseLostError,
    PlatformStore,
    QuarantineEntry,
)
from greengagepoint_node.gateway.quarantine_sync import QuarantineSync
from greengagepoint_node.gateway.view import FleetView

LOOK_SECONDS: Final = 0.25
# So many hosts keep an entry; each later one steps in where those before it did not.
WRITERS: Final = 3
STEP_IN_SECONDS: Final = 0.75
# Of one write; a caller with thousands of such requests fills one a look.
ENTRIES_MAX: Final = 16
STORED_MAX: Final = 512
LEASE_SECONDS_MAX: Final = 600.0
# What an entry may lack of the whole time before it is written again.
SLACK_SECONDS: Final = 5.0
PAUSE_MAX_SECONDS: Final = 2.0


class Stored(NamedTuple):
    """An entry of the store, and until when it refuses; monotonic seconds."""

    entry: QuarantineEntry
    until: float


class QuarantineStore:
    """Write what is refused and remove what is cleared, a few hosts for each request.

    ``hosts`` are the names of those that serve.
    """

    def __init__(
        self,
        store: PlatformStore,
        view: FleetView,
        sync: QuarantineSync,
        host: str,
        hosts: Callable[[], list[str]],
        events: EventSink,
    ) -> None:
        self.store = store
        self.view = view
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
        self.stored[entry.content] = Stored(entry, now + entry.seconds)
        self.sync.take([SharedSuspect(entry.content, entry.ends)])

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
            content: row for content, row in self.stored.items() if row.until > now
        }
        refused = self.quarantine.table.refused(now)
        missing = [row for row in refused if self._is_missing(row, refused[row], now)]
        cleared = [row for row in self.stored if row not in refused]
        self.due_at = {
            row: self.due_at.get(row, now + self._turn(row) * STEP_IN_SECONDS)
            for row in (*missing, *cleared)
        }
        await self._async_write(self._due(missing, now), refused, now)
        await self._async_remove(self._due(cleared, now))

    def _is_missing(self, content: str, seconds: float, now: float) -> bool:
        """Tell whether the store does not refuse a request for as long as this host."""
        row = self.stored.get(content)
        if row is None:
            return len(self.stored) < STORED_MAX
        return row.until + SLACK_SECONDS < now + seconds

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
        self, contents: list[str], refused: dict[str, float], now: float
    ) -> None:
        """Write refused requests for as long as they are."""
        if not contents:
            return
        seconds = min(LEASE_SECONDS_MAX, max(refused[row] for row in contents))
        lease = await self.store.async_grant_lease(seconds)
        rows = self.quarantine.table.shared(contents, now)
        entries = [
            QuarantineEntry(
                row.content,
                refused[row.content],
                tuple(end for end in row.ends if not end.settled),
            )
            for row in rows
        ]
        await self.store.async_put(entries, lease)
        for entry in entries:
            self.stored[entry.content] = Stored(entry, now + entry.seconds)

    async def _async_remove(self, contents: list[str]) -> None:
        """Remove requests that are refused no more."""
        if not contents:
            return
        await self.store.async_remove([self.stored[row].entry for row in contents])
        for content in contents:
            self.stored.pop(content, None)
