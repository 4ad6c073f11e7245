"""Stand in for the surroundings of a fleet of hosts inside one process."""

import asyncio
from collections import Counter, deque
from collections.abc import AsyncIterator, Callable, Sequence
from typing import Any, NamedTuple

from greengagepoint.errors import StoreError
from greengagepoint.events import Event
from greengagepoint.hosts import HostIdentity
from greengagepoint.protocols import StoreSnapshot, StoreValue
from greengagepoint_standins.memory_store import MemoryStore, StoreFault


class FleetStore(MemoryStore):
    """Let several hosts of one process watch keys; add faults to set by hand.

    ``down`` fails every call; ``write_faults`` are those of the next writes;
    ``old_view`` serves reads from an earlier ``backup``; ``before_write`` runs
    ahead of each write.
    """

    def __init__(self, delay: Callable[[], float] = lambda: 0.0) -> None:
        super().__init__(self._next_fault, delay)
        self.down = False
        self.write_faults: deque[StoreFault] = deque()
        self.writing = False
        self.old_view: dict[str, StoreValue] | None = None
        self.before_write: Callable[[], None] = lambda: None
        self.watches: list[tuple[str, asyncio.Queue[StoreValue | None]]] = []

    def backup(self) -> dict[str, StoreValue]:
        """Return what the store holds now."""
        return dict(self.rows)

    def restore(self, rows: dict[str, StoreValue]) -> None:
        """Go back to a backup, as an operator of the store may."""
        self.rows = dict(rows)

    def fail_watches(self) -> None:
        """Break all waiting watches."""
        for _, queue in self.watches:
            queue.put_nowait(None)

    async def read(self, key: str) -> StoreValue | None:
        """Return one key, from the old view where there is one."""
        found = await super().read(key)
        return found if self.old_view is None else self.old_view.get(key)

    async def read_prefix(
        self, prefix: str, *, from_key: str | None = None, limit: int = 0
    ) -> StoreSnapshot:
        """Return the keys under a prefix, from the old view where there is one."""
        if self.old_view is None:
            return await super().read_prefix(prefix, from_key=from_key, limit=limit)
        current, self.rows = self.rows, self.old_view
        try:
            return await super().read_prefix(prefix, from_key=from_key, limit=limit)
        finally:
            self.rows = current

    async def watch(self, prefix: str, *, revision: int) -> AsyncIterator[StoreValue]:
        """Yield changes under a prefix from a revision on, until it fails."""
        await self._async_call()
        queue: asyncio.Queue[StoreValue | None] = asyncio.Queue()
        for value in sorted(self.rows.values(), key=lambda value: value.revision):
            if value.key.startswith(prefix) and value.revision >= revision:
                queue.put_nowait(value)
        entry = (prefix, queue)
        self.watches.append(entry)
        try:
            while (value := await queue.get()) is not None:
                await asyncio.sleep(self.delay())
                yield value
        finally:
            self.watches.remove(entry)
        raise StoreError("The watch broke")

    def _create(self, items: Sequence[tuple[str, bytes]]) -> tuple[bool, ...]:
        """Create keys that are absent and tell the watches."""
        created = super()._create(items)
        for (key, _), made in zip(items, created, strict=True):
            if made:
                self._announce(key)
        return created

    def _put(self, key: str, value: bytes) -> None:
        """Write one key and tell the watches."""
        super()._put(key, value)
        self._announce(key)

    def _announce(self, key: str) -> None:
        """Tell the watches what a key holds now."""
        for prefix, queue in self.watches:
            if key.startswith(prefix):
                queue.put_nowait(self.rows[key])

    def _next_fault(self) -> StoreFault:
        """Return the fault of this call."""
        writing, self.writing = self.writing, False
        if self.down:
            return StoreFault.DOWN
        if writing and self.write_faults:
            return self.write_faults.popleft()
        return StoreFault.NONE

    async def _async_write(self, change: Callable[[], Any]) -> Any:
        """Make a change, or fail before, during or after it."""
        self.before_write()
        self.writing = True
        return await super()._async_write(change)


class Delivery(NamedTuple):
    """A message on its way."""

    sender: str
    recipient: str
    message: object


class MemoryBus:
    """Carry messages between hosts of one process, a round at a time.

    ``cut`` tells which (sender, recipient) pairs lose their messages; ``sent``
    counts messages by type and ``received`` by recipient.
    """

    def __init__(self) -> None:
        self.queue: deque[Delivery] = deque()
        self.handlers: dict[str, dict[type, list[Callable[[str, Any], None]]]] = {}
        self.cut: Callable[[str, str], bool] = lambda sender, recipient: False
        self.sent: Counter[str] = Counter()
        self.received: Counter[str] = Counter()
        self.sent_by: Counter[str] = Counter()

    def port(self, host: str) -> "MemoryPort":
        """Return the peer bus of one host."""
        self.handlers[host] = {}
        return MemoryPort(self, host)

    def remove(self, host: str) -> None:
        """Lose a host and what is on its way to it."""
        self.handlers.pop(host, None)

    def deliver_round(self) -> int:
        """Deliver what is on its way now, not the answers to it; return how much."""
        count = len(self.queue)
        for _ in range(count):
            delivery = self.queue.popleft()
            self._deliver(delivery)
        return count

    def _deliver(self, delivery: Delivery) -> None:
        """Hand one message over, unless its link is cut or its recipient gone."""
        if self.cut(delivery.sender, delivery.recipient):
            return
        self.received[delivery.recipient] += 1
        handlers = self.handlers.get(delivery.recipient, {})
        for callback in tuple(handlers.get(type(delivery.message), ())):
            callback(delivery.sender, delivery.message)


class MemoryPort:
    """Implement ``PeerLink`` for one host of a ``MemoryBus``."""

    def __init__(self, bus: MemoryBus, host: str) -> None:
        self.bus = bus
        self.host = host

    def send(self, host: str, message: object) -> bool:
        """Queue a message."""
        self.bus.queue.append(Delivery(self.host, host, message))
        self.bus.sent[type(message).__name__] += 1
        self.bus.sent_by[self.host] += 1
        return True

    def subscribe(
        self, message_type: type, callback: Callable[[str, Any], None]
    ) -> Callable[[], None]:
        """Call back with (sender name, message); return the unsubscribe function."""
        callbacks = self.bus.handlers[self.host].setdefault(message_type, [])
        callbacks.append(callback)
        return lambda: callbacks.remove(callback)


class MemoryEvents:
    """Keep recorded events in a list."""

    def __init__(self) -> None:
        self.recorded: list[tuple[Event, dict[str, Any]]] = []

    def record(self, event: Event, **fields: Any) -> None:
        """Record that an event happened."""
        self.recorded.append((event, fields))

    def count(self, event: Event) -> int:
        """Return how often an event was recorded."""
        return sum(1 for recorded, _ in self.recorded if recorded is event)


class ManualClock:
    """Tell a time that is moved by hand."""

    def __init__(self) -> None:
        self.now = 0.0

    def monotonic(self) -> float:
        """Return seconds since the start."""
        return self.now

    def wall_milliseconds(self) -> int:
        """Return milliseconds since the epoch."""
        return 1_800_000_000_000 + int(self.now * 1000)


def make_host(name: str, region: str, zone: str = "zone-a") -> HostIdentity:
    """Return the identity of a host of the tests."""
    return HostIdentity(name, 1, region, zone, f"{name}:80", f"{name}:81")
