"""The few interfaces through which core is driven."""

from collections.abc import AsyncIterator, Callable, Sequence
from typing import Any, NamedTuple, Protocol


class Clock(Protocol):
    """Tell the time."""

    def monotonic(self) -> float:
        """Return seconds that never go back and count while suspended."""

    def wall_milliseconds(self) -> int:
        """Return milliseconds since the epoch, as this host believes."""


class Random(Protocol):
    """Draw random numbers."""

    def random(self) -> float:
        """Return a number from 0 to less than 1."""

    def randrange(self, stop: int, /) -> int:
        """Return a whole number from 0 to less than stop."""


class StoreValue(NamedTuple):
    """One key of the store as read; ``revision`` is the one of its last change."""

    key: str
    value: bytes
    revision: int


class StoreSnapshot(NamedTuple):
    """Values under a prefix, all read at ``revision``."""

    values: tuple[StoreValue, ...]
    revision: int


class ConfigStore(Protocol):
    """Reach the platform's key-value service.

    Every call raises ``StoreError`` when the service cannot be reached, and a
    write raises ``StoreOutcomeUnknownError`` when its reply was lost.
    """

    async def read(self, key: str) -> StoreValue | None:
        """Return one key, or None when it is absent."""

    async def read_prefix(
        self, prefix: str, *, from_key: str | None = None, limit: int = 0
    ) -> StoreSnapshot:
        """Return keys under a prefix in order, from ``from_key`` on."""

    async def create(
        self, items: Sequence[tuple[str, bytes]], *, lease: int = 0
    ) -> tuple[bool, ...]:
        """Create each key that is absent, in one call; tell for each if it was made."""

    async def create_next(self, key: str, value: bytes, *, after: str | None) -> bool:
        """Create a key only if it is absent and the key ``after`` is present."""

    async def replace(self, key: str, value: bytes, *, revision: int) -> bool:
        """Write a key only if its revision is unchanged (0: absent)."""

    async def delete(self, items: Sequence[tuple[str, int]]) -> tuple[bool, ...]:
        """Delete each key whose revision is unchanged, in one call."""

    def watch(self, prefix: str, *, revision: int) -> AsyncIterator[StoreValue]:
        """Yield changes under a prefix from a revision on, until it fails."""

    async def grant_lease(self, seconds: int) -> int:
        """Return the id of a new lease."""

    async def keep_lease(self, lease: int) -> bool:
        """Extend a lease; tell whether it still existed."""


class ListedHost(NamedTuple):
    """One entry of the platform's host list."""

    name: str
    address: str
    peer_address: str
    region: str
    zone: str
    leaving: bool


class HostList(Protocol):
    """Read the platform's lagging list of hosts."""

    async def read(self) -> tuple[ListedHost, ...]:
        """Return live and leaving hosts as last known."""


class PeerLink(Protocol):
    """Exchange messages with other daemons; any may be lost, late or doubled."""

    def send(self, host: str, message: object) -> bool:
        """Queue a message to a host by name; tell whether there was room for it."""

    def subscribe(
        self, message_type: type, callback: Callable[[str, Any], None]
    ) -> Callable[[], None]:
        """Call back with (sender name, message); return the unsubscribe function."""
