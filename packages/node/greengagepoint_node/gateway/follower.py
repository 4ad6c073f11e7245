"""Follow the platform's store, and keep this host's entry in it."""

import asyncio
import math
from functools import partial
from typing import Final, Protocol

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
from greengagepoint_node.gateway.facts import (
    Changes,
    HistoryLostError,
    HostEntry,
    LeaseLostError,
    Part,
    PlatformStore,
)
from greengagepoint_node.gateway.news_ages import NewsAges
from greengagepoint_node.gateway.settings import HEARTBEAT_SECONDS
from greengagepoint_node.gateway.view import FleetView
from greengagepoint_node.gateway.while_wanted import async_run_while

# A store that drops its history may leave a waiting watch without the changes of its
# last moments; only the next watch is told that they are lost. Hosts begin theirs at
# different times, so the first one learns within a part of this and tells its peers.
# Each end of a wait also tells the other hosts that there was nothing to hear.
WATCH_SECONDS: Final = 1.0
NO_WAIT: Final = 0.0
# How soon a host that others keep up to date sees that they no longer do.
LOOK_SECONDS: Final = 0.1
# Changes that come together are read in one call. At a start every server and host
# writes its entry, and each would otherwise wake every host.
GATHER_SECONDS: Final = 0.4
# Hosts hear of each other by gossip and drop a lost one within 3.5 s; its entry only
# serves those that start later, who find it silent. Renewed more often, entries would
# take a good part of all calls to the store.
LEASE_SECONDS: Final = 10.0
RENEW_SECONDS: Final = 3.0


class News(Protocol):
    """Pass on what the store told, and know whether peers do so for this host."""

    is_watcher: bool
    ages: NewsAges

    def must_watch(self) -> bool:
        """Tell whether this host has to ask the store itself."""

    def link_is_full(self) -> bool:
        """Tell whether all that this host sends and gets has to wait."""

    def confirm(self, before: int, seconds_ago: float) -> None:
        """Take in that the view was complete; ``before`` is its former revision."""


class StoreFollower:
    """Keep the view up to date from the store."""

    def __init__(
        self,
        store: PlatformStore,
        view: FleetView,
        clock: Clock,
        random: Random,
        events: EventSink,
        news: News,
        heartbeat_seconds: float = HEARTBEAT_SECONDS,
    ) -> None:
        self.store = store
        self.view = view
        self.heartbeat_seconds = heartbeat_seconds
        self.news = news
        self.clock = clock
        self.random = random
        self.events = events
        self.lost_at: float | None = None
        self.reached_at: float | None = None
        self.needs_snapshot = True
        self.servers_revision = 0
        self.watching = True
        self.failures = 0

    async def async_run(self) -> None:
        """Follow until cancelled."""
        while True:
            self._note_watching(self._needs_store())
            if not self.watching:
                # A view that peers have made complete can be watched on from.
                self.needs_snapshot = False
                await asyncio.sleep(LOOK_SECONDS)
                continue
            try:
                began = self.clock.monotonic()
                step = self._async_step()
                wanted = partial(self._still_needs_store, began)
                await async_run_while(step, wanted, LOOK_SECONDS)
            except HistoryLostError:
                self.needs_snapshot = True
            except StoreError as error:
                self._note_lost(error)
                await self._async_pause(self._pause())

    async def _async_pause(self, seconds: float) -> None:
        """Wait about so long, each host for another time."""
        await asyncio.sleep(seconds * (0.5 + self.random.random()))

    def _needs_store(self) -> bool:
        """Tell whether peers do not keep this host up to date."""
        if self.news.must_watch():
            return True
        return self.needs_snapshot and self.view.revision == 0

    def _still_needs_store(self, began: float) -> bool:
        """Tell whether a call that began at a time may bring what peers did not.

        An answer that peers have made needless is given up: on a small link it holds up
        what they and callers send, and a large configuration is many times smaller from
        a peer. Word of peers from before the call is older than its answer.
        """
        return self._needs_store() or self.news.ages.peers_at <= began

    def _pause(self) -> float:
        """Return the mean pause after one more failed call."""
        self.failures += 1
        if self.news.is_watcher:
            return pause_seconds(self.failures, PAUSE_MAX_WATCHER_SECONDS)
        return pause_seconds(self.failures, PAUSE_MAX_SECONDS)

    async def _async_step(self) -> None:
        """Read everything once, then wait for what changes."""
        view = self.view
        before = view.revision
        asked_at = self.clock.monotonic()
        if self.needs_snapshot:
            snapshot = await self.store.async_snapshot()
            self._note_reached()
            view.replace(snapshot, self.clock.monotonic())
            self.needs_snapshot = False
            view.certainty.note_complete(asked_at)
            self.news.confirm(before, snapshot.arriving_seconds)
            return
        if not self._must_read_all():
            await self._async_read_servers()
            return
        changes = await self.store.async_changes(before, WATCH_SECONDS)
        self._note_reached()
        view.apply(changes, self.clock.monotonic())
        view.certainty.note_complete(asked_at)
        self.news.confirm(before, changes.arriving_seconds)
        if changes.changes:
            await asyncio.sleep(GATHER_SECONDS)

    def _must_read_all(self) -> bool:
        """Tell whether to ask for everything, not for servers' entries alone."""
        return must_read_all(
            watcher=self.news.is_watcher,
            full_link=self.news.link_is_full(),
            confirmed_at=self.news.ages.complete_at(),
            now=self.clock.monotonic(),
        )

    async def _async_read_servers(self) -> None:
        """Wait for what changes of servers' entries; the view stays incomplete.

        Emptied zones are asked for first and without waiting, as they may be a second
        old where a leaving server may not.
        """
        after = max(self.view.revision, self.servers_revision)
        zones = await self.store.async_changes(after, NO_WAIT, Part.EVACUATIONS)
        servers = await self.store.async_changes(after, WATCH_SECONDS, Part.SERVERS)
        self._note_reached()
        rows = (*zones.changes, *servers.changes)
        self.view.apply(Changes(rows, self.view.revision), self.clock.monotonic())
        self.servers_revision = min(zones.revision, servers.revision)
        told_at = self.clock.monotonic() - servers.arriving_seconds
        self.news.ages.note_servers(told_at)
        if rows:
            await asyncio.sleep(GATHER_SECONDS)

    def _note_watching(self, watching: bool) -> None:
        """Say when this host begins or ceases to ask the store itself."""
        if watching == self.watching:
            return
        self.watching = watching
        age = self.clock.monotonic() - self.news.ages.peers_at
        self.events.record(
            Event.STORE_WATCH_CHANGED,
            watching=watching,
            watcher=self.news.is_watcher,
            news_age=round(age, 3) if math.isfinite(age) else None,
            store_lost=self.lost_at is not None,
            revision=self.view.revision,
        )
        if not watching:
            # Peers reach the store, so entries do not lapse there. Were its next answer
            # to this host taken for its return, a server that leaves just then would
            # go on getting requests, as one whose entry has only lapsed.
            self.lost_at = None

    def _note_lost(self, error: StoreError) -> None:
        """Say once that the store is lost."""
        if self.lost_at is None:
            self.lost_at = self.clock.monotonic()
            self.events.record(
                Event.STORE_UNAVAILABLE,
                detail=error.detail,
                revision=self.view.revision,
            )

    def _note_reached(self) -> None:
        """Say that the store is back, and what that means for removals."""
        now = self.reached_at = self.clock.monotonic()
        self.failures = 0
        if self.lost_at is None:
            return
        # On a full link a store that serves all others seems to be away.
        unconfirmed = not self.news.link_is_full() and may_have_lapsed(
            confirmed_at=self.news.ages.complete_at(),
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
            self.view.store_returned(now)


class HostRegistration:
    """Keep this host's entry in the store for as long as it serves."""

    def __init__(
        self,
        store: PlatformStore,
        entry: HostEntry,
        random: Random,
        events: EventSink,
    ) -> None:
        self.store = store
        self.entry = entry
        self.random = random
        self.events = events
        self.lease: int | None = None
        self.failures = 0

    async def async_run(self) -> None:
        """Keep the entry until cancelled."""
        while True:
            try:
                await self._async_step()
                self.failures = 0
                await asyncio.sleep(RENEW_SECONDS)
            except LeaseLostError:
                self.events.record(Event.HOST_ENTRY_LOST, lease=self.lease)
                self.lease = None
            except StoreError:
                # The follower's line tells of the outage; a second one would repeat it.
                self.failures += 1
                pause = pause_seconds(self.failures, PAUSE_MAX_ENTRY_SECONDS)
                await asyncio.sleep(pause * (0.5 + self.random.random()))

    async def _async_step(self) -> None:
        """Renew the lease, or take one and write the entry."""
        if self.lease is not None:
            await self.store.async_renew_lease(self.lease)
            return
        lease = await self.store.async_grant_lease(LEASE_SECONDS)
        await self.store.async_put([self.entry], lease)
        self.lease = lease

    async def async_withdraw(self) -> None:
        """Remove the entry; if the store can't be reached, the lease ends by itself."""
        lease, self.lease = self.lease, None
        if lease is None:
            return
        try:
            await self.store.async_end_lease(lease)
        except (StoreError, LeaseLostError) as error:
            self.events.record(Event.HOST_ENTRY_LOST, lease=lease, detail=str(error))
