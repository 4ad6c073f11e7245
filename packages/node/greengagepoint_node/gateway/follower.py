"""Follow the platform's store and maintain this host's entry in it."""

import asyncio
import math
from collections.abc import Callable
from functools import partial
from typing import Final, Protocol

from greengagepoint.config.eras import era_of, revision_of
from greengagepoint.config.reads import Read, ReadPlan
from greengagepoint.config.watchers import (
    PAUSE_MAX_ENTRY_SECONDS,
    PAUSE_MAX_SECONDS,
    PAUSE_MAX_WATCHER_SECONDS,
    may_have_lapsed,
    must_read_all,
    pause_seconds,
)
from greengagepoint.errors import StoreError
from greengagepoint.events import Event
from greengagepoint.protocols import Clock, Random
from greengagepoint_node.context import EventSink
from greengagepoint_node.gateway.news_ages import ViewFreshnessTracker
from greengagepoint_node.gateway.run_while_needed import async_run_while_needed
from greengagepoint_node.gateway.settings import HEARTBEAT_SECONDS
from greengagepoint_node.gateway.store_types import (
    Changes,
    Connection,
    HistoryLostError,
    HostEntry,
    LeaseLostError,
    Part,
    PlatformStore,
    Snapshot,
)
from greengagepoint_node.gateway.view import FleetView

# If the store drops its history, a pending watch may miss the latest changes, and only
# the next watch fails with lost history. Hosts start their watches at different times,
# so the first one detects the loss within a fraction of this time and informs its
# peers. The end of each watch also confirms to peers that nothing has changed.
WATCH_SECONDS: Final = 1.0
NO_WAIT: Final = 0.0
# How often a host that peers keep up to date checks whether they still do.
CHECK_SECONDS: Final = 0.1
# Pause that lets changes accumulate for the next call. During startup every server and
# host writes its entry, and each write would otherwise wake every host.
BATCH_SECONDS: Final = 0.4
# Hosts discover each other by gossip and remove a lost one within 3.5 s. Its entry is
# read only by hosts that start later, which find that it does not respond. With more
# frequent renewals, entries would cause a large share of all calls to the store.
LEASE_SECONDS: Final = 10.0
RENEW_SECONDS: Final = 3.0


class PeerUpdates(Protocol):
    """Share store updates with peers and track whether peers share theirs."""

    is_watcher: bool
    ages: ViewFreshnessTracker

    def must_watch(self) -> bool:
        """Return True if this host has to read from the store itself."""

    def link_is_full(self) -> bool:
        """Return True if this host's link is saturated."""

    def confirm(self, before: int, seconds_ago: float) -> None:
        """Record that the view was complete ``seconds_ago``.

        ``before`` is the revision that the view had before the update.
        """


class StoreFollower:
    """Keep the view up to date from the store."""

    def __init__(
        self,
        store: PlatformStore,
        view: FleetView,
        clock: Clock,
        random: Random,
        events: EventSink,
        peers: PeerUpdates,
        heartbeat_seconds: float = HEARTBEAT_SECONDS,
    ) -> None:
        self.store = store
        self.view = view
        self.heartbeat_seconds = heartbeat_seconds
        self.peers = peers
        self.clock = clock
        self.random = random
        self.events = events
        self.lost_at: float | None = None
        self.reached_at: float | None = None
        self.needs_snapshot = True
        self.servers_revision = 0
        self.watching = True
        self.failures = 0
        self.reads = ReadPlan(WATCH_SECONDS)

    async def async_run(self) -> None:
        """Follow until cancelled."""
        while True:
            self._set_watching(self._needs_store())
            if not self.watching:
                # Peers have completed the view, so a watch can continue from it.
                self.needs_snapshot = False
                await asyncio.sleep(CHECK_SECONDS)
                continue
            try:
                began = self.clock.monotonic()
                step = self._async_step()
                is_needed = partial(self._still_needs_store, began)
                await async_run_while_needed(step, is_needed, CHECK_SECONDS)
            except HistoryLostError:
                self.needs_snapshot = True
            except StoreError as error:
                self._record_lost(error)
                await self._async_pause(self._pause())

    async def _async_pause(self, seconds: float) -> None:
        """Wait for a random time around ``seconds``, so that hosts spread out."""
        await asyncio.sleep(seconds * (0.5 + self.random.random()))

    def _needs_store(self) -> bool:
        """Return True if peers do not keep this host up to date."""
        if self.peers.must_watch():
            return True
        return self.needs_snapshot and self.view.revision == 0

    def _still_needs_store(self, began: float) -> bool:
        """Return True if a call that started at ``began`` may bring new updates.

        A call is cancelled once updates from peers make its response unnecessary. On a
        slow link the response delays the traffic of peers and callers, and a large
        configuration is many times smaller when sent by a peer. A peer's state from
        before the call started is older than the response.
        """
        return self._needs_store() or self.peers.ages.peers_at <= began

    def _pause(self) -> float:
        """Return the mean pause in seconds after one more failed call."""
        self.failures += 1
        if self.peers.is_watcher:
            return pause_seconds(self.failures, PAUSE_MAX_WATCHER_SECONDS)
        return pause_seconds(self.failures, PAUSE_MAX_SECONDS)

    async def _async_step(self) -> None:
        """Read a snapshot if needed, else wait for changes."""
        view = self.view
        before = view.revision
        asked_at = self.clock.monotonic()
        if self.needs_snapshot:
            snapshot = await self.store.async_snapshot()
            self._record_reached()
            view.replace(snapshot, self.clock.monotonic())
            if snapshot.revision < before:
                # Asked again at once, a store that is behind would get two calls in
                # each round trip.
                self._record_behind(snapshot)
                await self._async_pause(self._pause())
                return
            self.needs_snapshot = False
            self.reads.end(Read.CHECK, answered=True)
            view.note_complete(asked_at)
            self.peers.confirm(before, snapshot.arriving_seconds)
            return
        if not self._must_read_all():
            await self._async_read_servers()
            return
        changes = await self._async_read_changes(before)
        self._record_reached()
        view.apply(changes, self.clock.monotonic())
        view.note_complete(asked_at)
        self.peers.confirm(before, changes.arriving_seconds)
        if changes.changes:
            await asyncio.sleep(BATCH_SECONDS)

    async def _async_read_changes(self, after: int) -> Changes:
        """Return the changes after a revision, from whichever read answers first."""
        calls: dict[asyncio.Task[Changes], Read] = {}
        try:
            while True:
                self._start_reads(after, calls)
                done, _ = await asyncio.wait(
                    calls,
                    timeout=CHECK_SECONDS,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                for call in done:
                    is_answered = self._end_read(calls.pop(call), call)
                    if is_answered or not calls:
                        return call.result()
        finally:
            self.reads.cancel()
            for call in calls:
                call.cancel()
            await asyncio.gather(*calls, return_exceptions=True)

    def _start_reads(
        self, after: int, calls: dict[asyncio.Task[Changes], Read]
    ) -> None:
        """Start the reads that are due."""
        now = self.clock.monotonic()
        while (read := self.reads.next_read(now)) is not None:
            if read is Read.WATCH:
                call = self.store.async_changes(after, WATCH_SECONDS)
            else:
                call = self.store.async_changes(
                    after, NO_WAIT, Part.ALL, Connection.NEW
                )
            if calls:
                self.events.record(
                    Event.STORE_WATCH_OVERDUE,
                    seconds=round(now - (self.reads.watch_began_at or now), 3),
                    news_age=self._news_age(),
                    watcher=self.peers.is_watcher,
                    revision=self.view.revision,
                )
            self.reads.start(read, now)
            calls[asyncio.create_task(call)] = read

    def _end_read(self, read: Read, call: asyncio.Task[Changes]) -> bool:
        """Record how a read has ended; return True if the store has answered it.

        A store that has dropped its history has answered, too.
        """
        error = call.exception()
        is_answered = error is None or isinstance(error, HistoryLostError)
        self.reads.end(read, answered=is_answered)
        return is_answered

    def _must_read_all(self) -> bool:
        """Return True if all keys are to be read, not only servers' entries."""
        return must_read_all(
            watcher=self.peers.is_watcher,
            full_link=self.peers.link_is_full(),
            confirmed_at=self.peers.ages.complete_at(),
            now=self.clock.monotonic(),
        )

    async def _async_read_servers(self) -> None:
        """Wait for changes of servers' entries; the view stays incomplete.

        Evacuated zones are read first and without waiting. They may be up to a second
        out of date, while leaving servers may not.
        """
        after = max(self.view.revision, self.servers_revision)
        zones = await self.store.async_changes(after, NO_WAIT, Part.EVACUATIONS)
        servers = await self.store.async_changes(after, WATCH_SECONDS, Part.SERVERS)
        self._record_reached()
        rows = (*zones.changes, *servers.changes)
        self.view.apply(Changes(rows, self.view.revision), self.clock.monotonic())
        self.servers_revision = min(zones.revision, servers.revision)
        current_at = self.clock.monotonic() - servers.arriving_seconds
        self.peers.ages.record_servers_complete(current_at)
        if rows:
            await asyncio.sleep(BATCH_SECONDS)

    def _set_watching(self, watching: bool) -> None:
        """Log when this host starts or stops reading from the store itself."""
        if watching == self.watching:
            return
        self.watching = watching
        self.reads.begin()
        age = self.clock.monotonic() - self.peers.ages.peers_at
        self.events.record(
            Event.STORE_WATCH_CHANGED,
            watching=watching,
            watcher=self.peers.is_watcher,
            news_age=round(age, 3) if math.isfinite(age) else None,
            store_lost=self.lost_at is not None,
            revision=self.view.revision,
        )
        if not watching:
            # Peers reach the store, so entries do not lapse in it. If its next response
            # counted as its return, a server leaving at that moment would keep getting
            # requests, as if its entry had only lapsed.
            self.lost_at = None

    def _record_lost(self, error: StoreError) -> None:
        """Log once that the store is unavailable."""
        if self.lost_at is None:
            self.lost_at = self.clock.monotonic()
            self.events.record(
                Event.STORE_UNAVAILABLE,
                detail=error.detail,
                news_age=self._news_age(),
                revision=self.view.revision,
            )

    def _news_age(self) -> float | None:
        """Return the age of this host's view in seconds, None before the first one."""
        age = self.clock.monotonic() - self.peers.ages.complete_at()
        return round(age, 3) if math.isfinite(age) else None

    def _record_behind(self, snapshot: Snapshot) -> None:
        """Log a snapshot that is older than this host's view."""
        self.events.record(
            Event.STORE_BEHIND,
            revision=self.view.revision,
            store_revision=revision_of(snapshot.revision),
            era=era_of(snapshot.revision),
            age=round(self.clock.monotonic() - self.peers.ages.complete_at(), 3),
        )

    def _record_reached(self) -> None:
        """Log that the store is available and whether removals may be lapses."""
        now = self.reached_at = self.clock.monotonic()
        self.failures = 0
        if self.lost_at is None:
            return
        # On a saturated link, a store that serves all other hosts seems unavailable.
        unconfirmed = not self.peers.link_is_full() and may_have_lapsed(
            confirmed_at=self.peers.ages.complete_at(),
            heartbeat_seconds=self.heartbeat_seconds,
            now=now,
        )
        self.events.record(
            Event.STORE_AVAILABLE,
            seconds=round(now - self.lost_at, 3),
            removals_unconfirmed=unconfirmed,
            revision=self.view.revision,
        )
        self.lost_at = None
        if unconfirmed:
            self.view.expect_lapses(now)


class HostRegistration:
    """Maintain this host's entry in the store while the host serves.

    ``store_era`` returns the era in which the view is.
    """

    def __init__(
        self,
        store: PlatformStore,
        entry: HostEntry,
        random: Random,
        events: EventSink,
        store_era: Callable[[], int] = lambda: 0,
    ) -> None:
        self.store = store
        self.store_era = store_era
        self.era = 0
        self.entry = entry
        self.random = random
        self.events = events
        self.lease: int | None = None
        self.failures = 0

    async def async_run(self) -> None:
        """Maintain the entry until cancelled."""
        while True:
            try:
                await self._async_step()
                self.failures = 0
                await asyncio.sleep(RENEW_SECONDS)
            except LeaseLostError:
                self.events.record(Event.HOST_ENTRY_LOST, lease=self.lease)
                self.lease = None
            except StoreError:
                # The follower logs the outage, so it is not logged again here.
                self.failures += 1
                pause = pause_seconds(self.failures, PAUSE_MAX_ENTRY_SECONDS)
                await asyncio.sleep(pause * (0.5 + self.random.random()))

    async def _async_step(self) -> None:
        """Renew the lease, or get a new one and write the entry."""
        era = self.store_era()
        if self.lease is not None and era == self.era:
            await self.store.async_renew_lease(self.lease)
            return
        lease = await self.store.async_grant_lease(LEASE_SECONDS)
        await self.store.async_put([self.entry], lease)
        self.lease, self.era = lease, era

    async def async_withdraw(self) -> None:
        """Remove the entry; if the store is unreachable, its lease expires instead."""
        lease, self.lease = self.lease, None
        if lease is None:
            return
        try:
            await self.store.async_end_lease(lease)
        except (StoreError, LeaseLostError) as error:
            self.events.record(Event.HOST_ENTRY_LOST, lease=lease, detail=str(error))
