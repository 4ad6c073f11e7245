"""The items, leases and history of the platform's store."""

import asyncio
import time
from typing import Any, NamedTuple

import msgspec


class Item(NamedTuple):
    """A key's value (base64 text) and its revisions; lease 0 means none."""

    key: str
    value: str
    revision: int
    created: int
    lease: int


class Control(msgspec.Struct):
    """What is out of order; may be changed while the store runs.

    ``status`` answers every call with that status; ``hangs`` answers none.
    ``lost_writes`` are done and not answered; ``silent_watches`` hear nothing. A page
    of items begins after ``page_seconds``. Writes under ``lost_prefix`` are answered
    and not done.
    """

    status: int = 0
    hangs: bool = False
    lost_writes: bool = False
    silent_watches: bool = False
    page_seconds: float = 0.0
    lost_prefix: str | None = None
    calls: int = 0


class Copy(NamedTuple):
    """What a store held at a moment."""

    revision: int
    items: dict[str, Item]
    leases: dict[int, tuple[float, float]]


class StoreItems:
    """Keep items in order of one revision counter.

    ``era`` counts how often the store was restored from a copy.
    """

    def __init__(self) -> None:
        self.era = 0
        self.revision = 0
        self.items: dict[str, Item] = {}
        self.history: list[tuple[int, dict[str, Any]]] = []
        self.kept_after = 0
        self.leases: dict[int, tuple[float, float]] = {}
        self.next_lease = 1
        self.changed = asyncio.Event()

    def put(self, key: str, value: str, lease: int = 0) -> None:
        """Write one key at the next revision."""
        self.revision += 1
        known = self.items.get(key)
        created = known.created if known else self.revision
        item = Item(key, value, self.revision, created, lease)
        self.items[key] = item
        self._note(item._asdict())

    def remove(self, key: str) -> None:
        """Remove a key at the next revision."""
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self._note({"key": key, "revision": self.revision, "removed": True})

    def compact(self) -> None:
        """Drop the history, and end all watches."""
        self.history.clear()
        self.kept_after = self.revision
        self._wake()

    def copy(self) -> Copy:
        """Return what the store holds now."""
        return Copy(self.revision, dict(self.items), dict(self.leases))

    def restore(self, copy: Copy) -> None:
        """Go back to a copy; revisions after it are given out again."""
        self.era += 1
        self.revision = copy.revision
        self.items, self.leases = dict(copy.items), dict(copy.leases)
        self.compact()

    def grant(self, seconds: float) -> int:
        """Return a new lease."""
        lease = self.next_lease
        self.next_lease += 1
        self.leases[lease] = (time.monotonic() + seconds, seconds)
        return lease

    def renew(self, lease: int) -> bool:
        """Renew a lease; tell whether it still lasted."""
        if lease not in self.leases:
            return False
        seconds = self.leases[lease][1]
        self.leases[lease] = (time.monotonic() + seconds, seconds)
        return True

    def end(self, lease: int) -> bool:
        """End a lease and remove its keys; tell whether it still lasted."""
        if self.leases.pop(lease, None) is None:
            return False
        for key in [item.key for item in self.items.values() if item.lease == lease]:
            self.remove(key)
        return True

    def expire(self) -> None:
        """End the leases whose time is over."""
        now = time.monotonic()
        for lease in [name for name, row in self.leases.items() if row[0] <= now]:
            self.end(lease)

    def after(self, revision: int, prefix: str) -> list[dict[str, Any]]:
        """Return the changes after a revision."""
        return [
            row
            for at, row in self.history
            if at > revision and row["key"].startswith(prefix)
        ]

    def _note(self, row: dict[str, Any]) -> None:
        """Add a change to the history and wake those that wait."""
        self.history.append((self.revision, row))
        self._wake()

    def _wake(self) -> None:
        """Wake the watches that wait."""
        self.changed.set()
        self.changed = asyncio.Event()
