"""Keep the configuration in force on this host and let operators change it."""

import asyncio
from collections.abc import Callable, Sequence
from typing import Final, NamedTuple

from greengagepoint.config import exchange as peers
from greengagepoint.config.entries import Change, Entry, decode_entry
from greengagepoint.config.layout import LOG_PREFIX
from greengagepoint.config.log import Applied, ConfigLog, effective, not_understood
from greengagepoint.config.preparing import pin, prepare
from greengagepoint.config.snapshot import SNAPSHOT_ENTRIES
from greengagepoint.config.state import Exchange, Send
from greengagepoint.config.transfer import adopt, current_snapshot
from greengagepoint.configuration import EMPTY, Configuration
from greengagepoint.errors import (
    ErrorKind,
    GreengagepointError,
    RecordError,
    StoreError,
)
from greengagepoint.hosts import HostIdentity
from greengagepoint.records.loading import RecordDocument
from greengagepoint.records.schemas import NEWEST_VERSIONS
from greengagepoint.records.versions import KnownVersions
from greengagepoint_node.context import Context
from greengagepoint_node.coordinators.config_reports import STORE_SOURCE, ConfigReports
from greengagepoint_node.coordinators.config_store import Appended, Reading, StoredLog

APPLY_ATTEMPTS: Final = 16
CHECK_SECONDS: Final = 30.0
RETRY_MIN_SECONDS: Final = 0.5
RETRY_MAX_SECONDS: Final = 10.0
TICK_SECONDS: Final = 0.5
STOP_WATCHING_SECONDS: Final = 10.0

ChangeCallback = Callable[[Configuration], None]


class StoredDocument(NamedTuple):
    """A record as written, with the change that put it in force."""

    document: RecordDocument
    generation: int
    author: str
    at_ms: int


class ConfigCoordinator:
    """Follow the log in the store or through peers, and append to it.

    ``configuration`` is what is in force.
    """

    def __init__(
        self,
        context: Context,
        live_hosts: Callable[[], Sequence[HostIdentity]],
        *,
        newest: KnownVersions = NEWEST_VERSIONS,
    ) -> None:
        self.context = context
        self.live_hosts = live_hosts
        self.exchange = Exchange(context.host, ConfigLog(newest))
        self.stored = StoredLog(context.store)
        self.configuration = EMPTY
        self.reports = ConfigReports(context.events)
        self.store_read = False
        self.callbacks: list[ChangeCallback] = []
        self.unsubscribes: list[Callable[[], None]] = []
        self.follow_task: asyncio.Task[None] | None = None
        self.check_task: asyncio.Task[None] | None = None
        self.tick_at = 0.0
        self.follow_at = 0.0
        self.retry_seconds = RETRY_MIN_SECONDS
        self.check_at = CHECK_SECONDS
        self.watcher_until = 0.0
        self.write_count = 0

    @property
    def log(self) -> ConfigLog:
        """Return the table of records in force."""
        return self.exchange.log

    @property
    def is_loaded(self) -> bool:
        """Tell whether the configuration has come from the store or a peer."""
        return self.store_read or self.log.generation > 0

    async def async_start(self) -> None:
        """Listen to peers and begin to read the store."""
        subscribe = self.context.peers.subscribe
        self.unsubscribes += [
            subscribe(message_type, self._receive) for message_type in peers.HANDLERS
        ]
        self.check_at = self.context.clock.monotonic() + CHECK_SECONDS
        self._start_following()

    async def async_stop(self) -> None:
        """Stop reading the store and listening to peers."""
        for unsubscribe in self.unsubscribes:
            unsubscribe()
        self.unsubscribes.clear()
        tasks = [task for task in (self.follow_task, self.check_task) if task]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def tick(self, now: float) -> None:
        """Talk to peers, and watch or check the store where it is this host's turn."""
        if now < self.tick_at:
            return
        self.tick_at = max(self.tick_at + TICK_SECONDS, now + TICK_SECONDS / 2)
        watching = peers.see(self.exchange, self.live_hosts()).is_watcher()
        self._send(peers.run(self.exchange, now, self.context.random))
        if watching:
            self.watcher_until = now + STOP_WATCHING_SECONDS
        following = self.follow_task is not None and not self.follow_task.done()
        if not following and now >= self.follow_at:
            if watching or not self.is_loaded:
                self._start_following()
        elif following and self.is_loaded and now >= self.watcher_until:
            self.follow_task.cancel()
        if watching and now >= self.check_at:
            self.check_at = now + CHECK_SECONDS
            if self.check_task is None or self.check_task.done():
                self.check_task = asyncio.create_task(self._async_check())

    def on_change(self, callback: ChangeCallback) -> Callable[[], None]:
        """Call back with each new configuration; return the unsubscribe function."""
        self.callbacks.append(callback)

        def unsubscribe() -> None:
            if callback in self.callbacks:
                self.callbacks.remove(callback)

        return unsubscribe

    def history(self, limit: int) -> tuple[Entry, ...]:
        """Return the newest entries that this host still holds, newest first."""
        return tuple(reversed(self.log.tail))[:limit]

    def documents(self) -> tuple[StoredDocument, ...]:
        """Return all records as written, by kind and name."""
        return tuple(
            StoredDocument(row.document, row.generation, row.author, row.at_ms)
            for _, row in sorted(self.log.rows.items())
        )

    async def async_apply(
        self, changes: Sequence[Change], author: str, write_id: str | None = None
    ) -> Entry:
        """Append changes as one entry, all or none, and put them in force here.

        A repeated ``write_id`` returns the entry that it made. Raises RecordError
        (conflict, invalid), StoreError (unavailable, reverted) or
        StoreOutcomeUnknownError, whose detail names the write id to repeat with.
        """
        self._refuse_unheard()
        write_id = write_id or self._new_write_id()
        pinned = pin(self.log, changes)
        await self._async_read_for_write()
        for _ in range(APPLY_ATTEMPTS):
            if done := self._entry_of(write_id):
                return done
            entry = self._prepare(pinned, author, write_id)
            appended = await self.stored.async_append(entry)
            if appended is Appended.SETTLED:
                self.reports.settled(entry)
            if appended is not Appended.TAKEN:
                self._take((entry,), STORE_SOURCE)
                await self._async_snapshot_after(entry)
                return entry
            # Another writer took this generation: read it and build on it.
            await self._async_read_for_write()
        raise StoreError(
            f"other writers were faster {APPLY_ATTEMPTS} times; apply it again"
        )

    def _prepare(self, changes: Sequence[Change], author: str, write_id: str) -> Entry:
        """Build the next entry; report a refusal."""
        at_ms = self.context.clock.wall_milliseconds()
        try:
            return prepare(self.log, changes, author, write_id, at_ms)
        except RecordError as error:
            self.reports.refused(error, author)
            raise

    def _refuse_unheard(self) -> None:
        """Refuse to write before a peer has told its head.

        A fresh host that sees a store restored from an old backup can't know that
        the others are ahead; its write would begin a second history. A peer's
        answer brings what is missing, and with it the check against the store.
        """
        me = self.context.host.name
        others = [host for host in self.live_hosts() if host.name != me]
        if others and not self.exchange.answered:
            raise GreengagepointError(
                "no other host has told its configuration yet", ErrorKind.NOT_READY
            )

    def _entry_of(self, write_id: str) -> Entry | None:
        """Return the entry that a write id made, where it is still held."""
        return next(
            (entry for entry in self.log.tail if entry.write_id == write_id), None
        )

    def _new_write_id(self) -> str:
        """Return an id that no other write has."""
        self.write_count += 1
        host = self.context.host
        return f"{host.name}/{host.incarnation}/{self.write_count}"

    async def _async_read_for_write(self) -> None:
        """Catch up with the store, refusing to write to one that has gone back."""
        await self._async_read()
        if self.reports.store_reverted:
            raise StoreError(
                f"the store no longer holds generation {self.log.generation}, "
                "which is in force",
                ErrorKind.STORE_REVERTED,
            )

    async def _async_read(self) -> Reading:
        """Read what the store holds beyond this log.

        An entry that can't be decoded ends the log here: what is before it comes
        into force, and to go on after it would split the hosts.
        """
        try:
            reading = await self.stored.async_read(self.log)
        except StoreError as error:
            self.reports.store(error)
            raise
        self.reports.store(reading.fault)
        self.store_read = True
        self.reports.reverted(reading.reverted, self.log)
        if reading.base is not None:
            self._adopt(reading.base)
        self._take(reading.entries, STORE_SOURCE)
        if reading.fault is not None:
            raise reading.fault
        return reading

    async def _async_follow(self) -> None:
        """Read the store and then watch it until it fails."""
        try:
            reading = await self._async_read()
            if reading.reverted:
                await self._async_repair()
            elif peers.see(self.exchange, self.live_hosts()).is_watcher():
                await self._async_watch(reading.revision + 1)
        except StoreError as error:
            self.reports.store(error)
        except Exception as error:
            self.reports.internal(error)
        finally:
            self._plan_retry()

    async def _async_watch(self, revision: int) -> None:
        """Take entries as they are created."""
        self.retry_seconds = RETRY_MIN_SECONDS
        async for value in self.context.store.watch(LOG_PREFIX, revision=revision):
            if not value.value:
                continue
            if self._take((decode_entry(value.value),), STORE_SOURCE) is Applied.GAP:
                await self._async_read()

    async def _async_check(self) -> None:
        """Look whether the store still holds this log's head; repair and cut it."""
        try:
            reading = await self._async_read()
            if reading.reverted:
                await self._async_repair()
                return
            manifest = await self.stored.async_manifest()
            held = manifest.generation if manifest else 0
            # The writer of the entry due for a snapshot may have died before it.
            if self.log.generation >= held + 2 * SNAPSHOT_ENTRIES:
                await self._async_write_snapshot()
        except StoreError as error:
            self.reports.store(error)
        except Exception as error:
            self.reports.internal(error)

    async def _async_repair(self) -> None:
        """Bring a restored store up to this log where its chain allows it."""
        snapshot = current_snapshot(self.exchange)
        if await self.stored.async_repair(self.log, snapshot):
            await self._async_read()

    async def _async_snapshot_after(self, entry: Entry) -> None:
        """Write a snapshot when one is due; a failure leaves it to the watchers."""
        if entry.generation % SNAPSHOT_ENTRIES:
            return
        try:
            await self._async_write_snapshot()
        except StoreError as error:
            self.reports.store(error)

    async def _async_write_snapshot(self) -> None:
        """Write a snapshot of this log."""
        snapshot = current_snapshot(self.exchange)
        self.exchange.snapshot = snapshot
        await self.stored.async_write_snapshot(snapshot)

    def _start_following(self) -> None:
        """Read and watch the store in the background."""
        self.follow_task = asyncio.create_task(self._async_follow())

    def _plan_retry(self) -> None:
        """Let the next try wait, longer each time, with jitter."""
        wait = self.retry_seconds * (0.5 + self.context.random.random())
        self.follow_at = self.context.clock.monotonic() + wait
        self.retry_seconds = min(RETRY_MAX_SECONDS, 2 * self.retry_seconds)

    def _take(self, entries: Sequence[Entry], source: str) -> Applied:
        """Apply entries from the store and pass on what is new."""
        outcome, new = peers.take_entries(self.exchange, entries, source)
        if new:
            if len(new) <= peers.PUSHED_ENTRIES_MAX:
                self._send(peers.push(self.exchange, new))
            self._publish(source)
        self.reports.fork(self.exchange.fork)
        return outcome

    def _adopt(self, base: ConfigLog) -> None:
        """Put a snapshot from the store in force where it is ahead."""
        if adopt(self.exchange, base, STORE_SOURCE):
            self._publish(STORE_SOURCE)
        self.reports.fork(self.exchange.fork)

    def _publish(self, source: str) -> None:
        """Put the log's records in force and tell everyone on this host."""
        self.configuration = effective(self.log)
        self.reports.in_force(self.log, source)
        self.reports.faults(not_understood(self.log))
        for callback in tuple(self.callbacks):
            callback(self.configuration)

    def _receive(self, sender: str, message: object) -> None:
        """Run one message through the exchange and carry out what comes of it."""
        before = self.log.generation
        handler = peers.HANDLERS[type(message)]
        self._send(handler(self.exchange, sender, message))
        if self.log.generation != before:
            self._publish(sender)
        self.reports.fork(self.exchange.fork)

    def _send(self, sends: Sequence[Send]) -> None:
        """Send messages to peers; a lost one is made good by anti-entropy."""
        for send in sends:
            self.context.peers.send(send.host, send.message)
