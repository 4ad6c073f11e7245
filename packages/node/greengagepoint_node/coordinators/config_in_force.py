"""Hold the configuration in force on this host and feed it."""

from collections.abc import Callable, Sequence

from greengagepoint.config import exchange as peers
from greengagepoint.config.entries import Entry
from greengagepoint.config.log import Applied, ConfigLog, effective, not_understood
from greengagepoint.config.state import Exchange, Send
from greengagepoint.config.transfer import adopt, current_snapshot
from greengagepoint.configuration import EMPTY, Configuration
from greengagepoint.errors import StoreError
from greengagepoint.records.versions import KnownVersions
from greengagepoint_node.context import Context
from greengagepoint_node.coordinators.config_reports import STORE_SOURCE, ConfigReports
from greengagepoint_node.coordinators.config_store import Reading, StoredLog

ChangeCallback = Callable[[Configuration], None]


class ConfigInForce:
    """Take entries from the store and from peers, and publish what they come to.

    ``configuration`` is what is in force.
    """

    def __init__(self, context: Context, newest: KnownVersions) -> None:
        self.context = context
        self.exchange = Exchange(context.host, ConfigLog(newest))
        self.stored = StoredLog(context.store)
        self.configuration = EMPTY
        self.reports = ConfigReports(context.events)
        self.store_read = False
        self.callbacks: list[ChangeCallback] = []

    @property
    def log(self) -> ConfigLog:
        """Return the table of records in force."""
        return self.exchange.log

    @property
    def is_loaded(self) -> bool:
        """Tell whether the configuration has come from the store or a peer."""
        return self.store_read or self.log.generation > 0

    def on_change(self, callback: ChangeCallback) -> Callable[[], None]:
        """Call back with each new configuration; return the unsubscribe function."""
        self.callbacks.append(callback)

        def unsubscribe() -> None:
            if callback in self.callbacks:
                self.callbacks.remove(callback)

        return unsubscribe

    async def async_read(self) -> Reading:
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
        self.take(reading.entries)
        if reading.fault is not None:
            raise reading.fault
        return reading

    async def async_repair(self) -> None:
        """Bring a restored store up to this log where its chain allows it."""
        snapshot = current_snapshot(self.exchange)
        if await self.stored.async_repair(self.log, snapshot):
            await self.async_read()

    async def async_write_snapshot(self) -> None:
        """Write a snapshot of this log."""
        snapshot = current_snapshot(self.exchange)
        self.exchange.snapshot = snapshot
        await self.stored.async_write_snapshot(snapshot)

    def take(self, entries: Sequence[Entry]) -> Applied:
        """Apply entries from the store and pass on what is new."""
        outcome, new = peers.take_entries(self.exchange, entries, STORE_SOURCE)
        if new:
            if len(new) <= peers.PUSHED_ENTRIES_MAX:
                self.send(peers.push(self.exchange, new))
            self._publish(STORE_SOURCE)
        self.reports.fork(self.exchange.fork)
        return outcome

    def receive(self, sender: str, message: object) -> None:
        """Run one message through the exchange and carry out what comes of it."""
        before = self.log.generation
        handler = peers.HANDLERS[type(message)]
        self.send(handler(self.exchange, sender, message))
        if self.log.generation != before:
            self._publish(sender)
        self.reports.fork(self.exchange.fork)

    def send(self, sends: Sequence[Send]) -> None:
        """Send messages to peers; a lost one is made good by anti-entropy."""
        for send in sends:
            self.context.peers.send(send.host, send.message)

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
