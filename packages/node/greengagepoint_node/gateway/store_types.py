"""Types of a platform's store: its items, decoded entries, errors and calls."""

from collections.abc import Callable, Iterator, Sequence
from enum import StrEnum
from typing import Annotated, Any, Final, NamedTuple, Protocol

import msgspec
from msgspec import Meta

from greengagepoint.config.version_order import VersionOrder
from greengagepoint.errors import ErrorKind, RecordError
from greengagepoint.placing.tables import Incarnation
from greengagepoint.quarantine.messages import SharedEnd
from greengagepoint.quarantine.rules import QUARANTINE_SECONDS
from greengagepoint.routing.tables import RouteTable

# A smaller value fits into two packets. Only configurations are known to be larger.
LARGE_VALUE_BYTES: Final = 2_048


class StoredItem(NamedTuple):
    """One key of the store; ``revision`` is the one of its last change.

    All revisions here are positions, which stay in order when the store is restored
    from an older copy.
    """

    key: str
    value: bytes
    revision: int


def is_large(item: StoredItem) -> bool:
    """Return True if a value needs more than a few packets."""
    return len(item.value) >= LARGE_VALUE_BYTES


class RemovedKey(NamedTuple):
    """A key that was removed at a revision."""

    key: str
    revision: int


class Snapshot(NamedTuple):
    """All keys of the store as of ``revision`` or later.

    ``arriving_seconds`` is how long the response took to arrive, so the snapshot may be
    that old.
    """

    items: tuple[StoredItem, ...]
    revision: int
    arriving_seconds: float = 0.0


class Changes(NamedTuple):
    """Changes up to ``revision``; ``arriving_seconds`` is as in ``Snapshot``."""

    changes: tuple[StoredItem | RemovedKey, ...]
    revision: int
    arriving_seconds: float = 0.0


class Configuration(NamedTuple):
    """The operators' newest configuration."""

    table: RouteTable


class ServerEntry(NamedTuple):
    """A backend server's entry about itself.

    ``cold_seconds`` is how much longer the server stays cold. ``born`` is its start
    time in Unix milliseconds, 0 if the entry does not state it.
    """

    instance: str
    service: str
    address: str
    zone: str
    slots: int
    leaving: bool
    cold_seconds: float
    born: int = 0

    @property
    def incarnation(self) -> Incarnation:
        """Return the incarnation of the server that the entry describes."""
        return Incarnation(self.instance, self.born, self.address)


class Evacuation(NamedTuple):
    """A zone whose backend servers get no new requests."""

    zone: str


class HostEntry(msgspec.Struct, frozen=True):
    """Where one host serves callers and peers; addresses are host:port.

    ``link_mbps`` is the bandwidth of its link in Mbit/s, 0 if unknown.
    """

    name: str
    region: str
    zone: str
    front_address: str
    peer_address: str
    link_mbps: float = 0.0


class QuarantineEntry(msgspec.Struct, frozen=True):
    """A request that is rejected for ``seconds`` from the time of the write.

    ``ends`` lists the servers that crashed while they ran it.
    """

    content: str
    seconds: Annotated[float, Meta(ge=0, le=QUARANTINE_SECONDS[-1])]
    ends: tuple[SharedEnd, ...]


StoreEntry = Configuration | ServerEntry | Evacuation | HostEntry | QuarantineEntry
# Entries that hosts write.
OwnEntry = HostEntry | QuarantineEntry


class RefusedFor(StrEnum):
    """Why an item is rejected."""

    UNREADABLE = "unreadable"
    KEY = "key"
    FIELD = "field"
    STATE = "state"
    ADDRESS = "address"
    ZONE = "zone"
    SERVICE = "service"


class ItemRefusedError(RecordError):
    """Report that an item of the store is invalid; ``field`` is its key."""

    def __init__(self, detail: str, reason: RefusedFor, key: str) -> None:
        readable = reason not in (RefusedFor.UNREADABLE, RefusedFor.FIELD)
        kind = ErrorKind.RECORD_INVALID if readable else ErrorKind.RECORD_MALFORMED
        super().__init__(detail, kind, field=key)
        self.reason = reason


DecodeItem = Callable[[StoredItem], StoreEntry | None]
# Yields None after each small part and the configuration after the last one. Raises
# RecordError if a part can't be decoded.
ConfigurationParts = Iterator[Configuration | None]
ReadParts = Callable[[StoredItem], ConfigurationParts | None]


class Loader(Protocol):
    """Decode items that are too large for one step of the event loop."""

    versions: VersionOrder[Any]

    def enqueue(self, item: StoredItem) -> tuple[int, ...] | None:
        """Queue an item if it is to be decoded in steps, else return None.

        Return the revisions that are dropped, which may be that of the item.
        """


class HistoryLostError(Exception):
    """Report that the store no longer has the requested changes."""


class LeaseLostError(Exception):
    """Report that a lease has ended."""


class Part(StrEnum):
    """Which keys of the store a call reads."""

    ALL = "all"
    SERVERS = "servers"
    EVACUATIONS = "evacuations"


class Connection(StrEnum):
    """Which connection a call uses.

    A watch that is given up closes its connection. With one of its own, the next watch
    doesn't get another kept connection, which may have gone silent as well.
    """

    KEPT = "kept"
    WATCH = "watch"
    NEW = "new"


class PlatformStore(Protocol):
    """Call the platform's store; every call raises StoreError when it fails."""

    async def async_snapshot(self) -> Snapshot:
        """Return all keys."""

    async def async_changes(
        self,
        after: int,
        wait_seconds: float,
        part: Part = Part.ALL,
        connection: Connection = Connection.WATCH,
    ) -> Changes:
        """Return the changes after a revision, waiting up to ``wait_seconds`` for one.

        Raise HistoryLostError if the store no longer has them.
        """

    async def async_grant_lease(self, seconds: float) -> int:
        """Return a new lease."""

    async def async_renew_lease(self, lease: int) -> None:
        """Renew a lease; raise LeaseLostError if it has ended."""

    async def async_end_lease(self, lease: int) -> None:
        """End a lease, which removes its keys."""

    async def async_put(self, entries: Sequence[OwnEntry], lease: int) -> None:
        """Write entries of this host that last as long as the lease."""

    async def async_remove(self, entries: Sequence[OwnEntry]) -> None:
        """Remove entries."""
