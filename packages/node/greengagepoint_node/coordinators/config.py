"""Keep the configuration in force on this host and let operators change it."""

from collections.abc import Callable, Sequence
from typing import Final, NamedTuple

from greengagepoint.config import exchange as peers
from greengagepoint.config.entries import Change, Entry
from greengagepoint.config.log import ConfigLog
from greengagepoint.configuration import Configuration
from greengagepoint.hosts import HostIdentity
from greengagepoint.records.loading import RecordDocument
from greengagepoint.records.schemas import NEWEST_VERSIONS
from greengagepoint.records.versions import KnownVersions
from greengagepoint_node.context import Context
from greengagepoint_node.coordinators.config_follower import ConfigFollower
from greengagepoint_node.coordinators.config_in_force import (
    ChangeCallback,
    ConfigInForce,
)
from greengagepoint_node.coordinators.config_reports import ConfigReports
from greengagepoint_node.coordinators.config_writer import ConfigWriter

TICK_SECONDS: Final = 0.5


class StoredDocument(NamedTuple):
    """A record as written, with the change that put it in force."""

    document: RecordDocument
    generation: int
    author: str
    at_ms: int


class ConfigCoordinator:
    """Follow the log in the store or through peers, and append to it."""

    def __init__(
        self,
        context: Context,
        live_hosts: Callable[[], Sequence[HostIdentity]],
        *,
        newest: KnownVersions = NEWEST_VERSIONS,
    ) -> None:
        self.context = context
        self.live_hosts = live_hosts
        self.in_force = ConfigInForce(context, newest)
        self.follower = ConfigFollower(context, self.in_force, self._is_watcher)
        self.writer = ConfigWriter(context, self.in_force, live_hosts)
        self.unsubscribes: list[Callable[[], None]] = []
        self.tick_at = 0.0

    @property
    def log(self) -> ConfigLog:
        """Return the table of records in force."""
        return self.in_force.log

    @property
    def configuration(self) -> Configuration:
        """Return what is in force."""
        return self.in_force.configuration

    @property
    def reports(self) -> ConfigReports:
        """Return what was reported of the store and of refused changes."""
        return self.in_force.reports

    @property
    def is_loaded(self) -> bool:
        """Tell whether the configuration has come from the store or a peer."""
        return self.in_force.is_loaded

    async def async_start(self) -> None:
        """Listen to peers and begin to read the store."""
        subscribe = self.context.peers.subscribe
        self.unsubscribes += [
            subscribe(message_type, self.in_force.receive)
            for message_type in peers.HANDLERS
        ]
        self.follower.start()

    async def async_stop(self) -> None:
        """Stop reading the store and listening to peers."""
        for unsubscribe in self.unsubscribes:
            unsubscribe()
        self.unsubscribes.clear()
        await self.follower.async_stop()

    def tick(self, now: float) -> None:
        """Talk to peers, and watch or check the store where it is this host's turn."""
        if now < self.tick_at:
            return
        self.tick_at = max(self.tick_at + TICK_SECONDS, now + TICK_SECONDS / 2)
        watching = self._is_watcher()
        sends = peers.run(self.in_force.exchange, now, self.context.random)
        self.in_force.send(sends)
        self.follower.tick(watching, now)

    def on_change(self, callback: ChangeCallback) -> Callable[[], None]:
        """Call back with each new configuration; return the unsubscribe function."""
        return self.in_force.on_change(callback)

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
        return await self.writer.async_apply(changes, author, write_id)

    def _is_watcher(self) -> bool:
        """Tell whether this host is one of its region's watchers."""
        return peers.see(self.in_force.exchange, self.live_hosts()).is_watcher()
