"""What a platform's store tells, decoded into the product's own words."""

from collections.abc import Callable, Iterator, Sequence
from enum import StrEnum
from typing import Annotated, Final, NamedTuple, Protocol

import msgspec
from msgspec import Meta

from greengagepoint.errors import ErrorKind, RecordError
from greengagepoint.placing.tables import Incarnation
from greengagepoint.quarantine.messages import SharedEnd
from greengagepoint.quarantine.rules import QUARANTINE_SECONDS
from greengagepoint.routing.tables import RouteTable

# Smaller ones fit into two packets. Configurations are the only large values known.
LARGE_VALUE_BYTES: Final = 2_048


class StoredItem(NamedTuple):
    """One key of the store; ``revision`` is the one of its last change."""

    key: str
    value: bytes
    revision: int


def is_large(item: StoredItem) -> bool:
    """Tell whether a value takes more than a few packets on its way."""
    return len(item.value) >= LARGE_VALUE_BYTES


class RemovedKey(NamedTuple):
    """A key that was removed at a revision."""

    key: str
    revision: int


class Snapshot(NamedTuple):
    """All keys, none older than ``revision``.

    It may be ``arriving_seconds`` old: its answer took as long to come.
    """

    items: tuple[StoredItem, ...]
    revision: int
    arriving_seconds: float = 0.0


class Changes(NamedTuple):
    """What changed up to ``revision``; ``arriving_seconds`` as for a snapshot."""

    changes: tuple[StoredItem | RemovedKey, ...]
    revision: int
    arriving_seconds: float = 0.0


class Configuration(NamedTuple):
    """The operators' newest configuration."""

    table: RouteTable


class ServerEntry(NamedTuple):
    """What a backend server says of itself; ``cold_seconds`` are left of its start.

    ``born`` is the Unix millisecond of its start, 0 where it does not say.
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
        """Return which run of the server the entry is of."""
        return Incarnation(self.instance, self.born, self.address)


class Evacuation(NamedTuple):
    """A zone whose backend servers get nothing new."""

    zone: str


class HostEntry(msgspec.Struct, frozen=True):
    """Where one entry host serves callers and peers; addresses are host:port.

    ``link_mbps`` is what its link carries, 0 where that is not known.
    """

    name: str
    region: str
    zone: str
    front_address: str
    peer_address: str
    link_mbps: float = 0.0


class QuarantineEntry(msgspec.Struct, frozen=True):
    """A request that is refused for so many seconds from its writing.

    ``ends`` are the servers that ended beneath it.
    """

    content: str
    seconds: Annotated[float, Meta(ge=0, le=QUARANTINE_SECONDS[-1])]
    ends: tuple[SharedEnd, ...]


Fact = Configuration | ServerEntry | Evacuation | HostEntry | QuarantineEntry
# What hosts write themselves.
OwnEntry = HostEntry | QuarantineEntry


class RefusedFor(StrEnum):
    """What is wrong with an item that is refused."""

    UNREADABLE = "unreadable"
    KEY = "key"
    FIELD = "field"
    STATE = "state"
    ADDRESS = "address"
    ZONE = "zone"
    SERVICE = "service"


class ItemRefusedError(RecordError):
    """Refuse an item of the store; ``field`` is its key."""

    def __init__(self, detail: str, reason: RefusedFor, key: str) -> None:
        readable = reason not in (RefusedFor.UNREADABLE, RefusedFor.FIELD)
        kind = ErrorKind.RECORD_INVALID if readable else ErrorKind.RECORD_MALFORMED
        super().__init__(detail, kind, field=key)
        self.reason = reason


DecodeItem = Callable[[StoredItem], Fact | None]
# None after each small part, the configuration after the last; RecordError is raised
# where a part can't be read.
ConfigurationParts = Iterator[Configuration | None]
ReadParts = Callable[[StoredItem], ConfigurationParts | None]


class Loader(Protocol):
    """Read items that are too large for one step of the event loop."""

    def takes(self, item: StoredItem) -> bool:
        """Tell whether an item's facts will be told later."""


class HistoryLostError(Exception):
    """Tell that the store no longer has the changes that were asked for."""


class LeaseLostError(Exception):
    """Tell that a lease has ended."""


class Part(StrEnum):
    """Which keys of the store are asked for."""

    ALL = "all"
    SERVERS = "servers"
    EVACUATIONS = "evacuations"


class PlatformStore(Protocol):
    """Reach the platform's store; every call raises StoreError when it fails."""

    async def async_snapshot(self) -> Snapshot:
        """Return all keys."""

    async def async_changes(
        self, after: int, wait_seconds: float, part: Part = Part.ALL
    ) -> Changes:
        """Return changes after a revision, waiting for one; raise HistoryLostError."""

    async def async_grant_lease(self, seconds: float) -> int:
        """Return a new lease."""

    async def async_renew_lease(self, lease: int) -> None:
        """Renew a lease; raise LeaseLostError if it has ended."""

    async def async_end_lease(self, lease: int) -> None:
        """End a lease, which removes its keys."""

    async def async_put(self, entries: Sequence[OwnEntry], lease: int) -> None:
        """Write entries of this host's, for as long as the lease lasts."""

    async def async_remove(self, entries: Sequence[OwnEntry]) -> None:
        """Remove entries."""
