"""Keep the stand-in key-value service's keys, history and leases, without I/O."""

from bisect import bisect_left, bisect_right, insort
from collections.abc import Callable, Iterator
from typing import Final, NamedTuple

HISTORY_REVISIONS: Final = 20_000
FIRST_REVISION: Final = 1
FROM_KEY_ON: Final = b"\0"


class CompactedError(Exception):
    """Report a read of history that is no longer kept."""


class LeaseNotFoundError(Exception):
    """Report a lease that does not exist."""


class Entry(NamedTuple):
    """One key after one change; ``version`` 0 means that it was deleted."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int


class Lease:
    """One lease and the keys that go with it."""

    def __init__(self, seconds: int, expires_at: float) -> None:
        self.seconds = seconds
        self.expires_at = expires_at
        self.keys: set[bytes] = set()


class StoreState:
    """Hold all keys with their history; every change has a revision."""

    def __init__(self) -> None:
        self.revision = FIRST_REVISION
        self.compacted = 0
        self.keys: list[bytes] = []
        self.history: dict[bytes, list[Entry]] = {}
        self.changes: list[Entry] = []
        self.leases: dict[int, Lease] = {}
        self.last_lease = 0
        self.listeners: list[Callable[[list[Entry]], None]] = []

    def get(self, key: bytes, revision: int = 0) -> Entry | None:
        """Return a key as it was at a revision (0: newest)."""
        entries = self.history.get(key)
        if not entries:
            return None
        index = len(entries)
        if revision:
            index = bisect_right(entries, revision, key=lambda e: e.mod_revision)
        if index == 0 or entries[index - 1].version == 0:
            return None
        return entries[index - 1]

    def select(self, key: bytes, range_end: bytes) -> list[bytes]:
        """Return known keys from ``key`` up to ``range_end`` in order."""
        if not range_end:
            return [key] if key in self.history else []
        first = bisect_left(self.keys, key)
        if range_end == FROM_KEY_ON:
            return self.keys[first:]
        return self.keys[first : bisect_left(self.keys, range_end)]

    def read(self, key: bytes, range_end: bytes, revision: int = 0) -> list[Entry]:
        """Return present keys of a range as they were at a revision."""
        if revision and revision < self.compacted:
            raise CompactedError
        found = (self.get(name, revision) for name in self.select(key, range_end))
        return [entry for entry in found if entry is not None]

    def put(self, key: bytes, value: bytes, lease: int, revision: int) -> None:
        """Write a key at a revision that ``commit`` will publish."""
        if lease:
            self.require_lease(lease)
        old = self.get(key)
        if old and old.lease in self.leases:
            self.leases[old.lease].keys.discard(key)
        if lease:
            self.leases[lease].keys.add(key)
        created = old.create_revision if old else revision
        version = old.version + 1 if old else 1
        self.append(Entry(key, value, created, revision, version, lease))

    def delete(self, key: bytes, revision: int) -> None:
        """Delete a present key at a revision that ``commit`` will publish."""
        old = self.get(key)
        if old and old.lease in self.leases:
            self.leases[old.lease].keys.discard(key)
        self.append(Entry(key, b"", 0, revision, 0, 0))

    def append(self, entry: Entry) -> None:
        """Add one change to the history."""
        if entry.key not in self.history:
            self.history[entry.key] = []
            insort(self.keys, entry.key)
        self.history[entry.key].append(entry)
        self.changes.append(entry)

    def commit(self, revision: int) -> None:
        """Publish the changes made at a revision, if there were any."""
        changed = list(self.changes_from(revision))
        if not changed:
            return
        self.revision = revision
        for listener in list(self.listeners):
            listener(changed)
        if revision - self.compacted > 2 * HISTORY_REVISIONS:
            self.compact(revision - HISTORY_REVISIONS)

    def changes_from(self, revision: int) -> Iterator[Entry]:
        """Yield changes made at a revision or later."""
        first = bisect_left(self.changes, revision, key=lambda e: e.mod_revision)
        yield from self.changes[first:]

    def listen(self, listener: Callable[[list[Entry]], None]) -> Callable[[], None]:
        """Call back with the changes of each revision; return the unsubscribe."""
        self.listeners.append(listener)
        return lambda: self.listeners.remove(listener)

    def compact(self, revision: int) -> None:
        """Forget what was overwritten before a revision."""
        self.compacted = revision
        self.changes = list(self.changes_from(revision))
        for key, entries in list(self.history.items()):
            index = bisect_right(entries, revision, key=lambda e: e.mod_revision)
            del entries[: max(0, index - 1)]
            if entries[0].version == 0 and entries[0].mod_revision <= revision:
                del entries[0]
            if not entries:
                self.forget(key)

    def restore(self, revision: int) -> None:
        """Go back to an old revision, as a restored backup does."""
        if revision < max(self.compacted, FIRST_REVISION):
            raise CompactedError
        self.revision = min(self.revision, revision)
        self.changes = [c for c in self.changes if c.mod_revision <= revision]
        for key, entries in list(self.history.items()):
            entries[:] = [e for e in entries if e.mod_revision <= revision]
            if not entries:
                self.forget(key)

    def forget(self, key: bytes) -> None:
        """Drop a key without history."""
        del self.history[key]
        del self.keys[bisect_left(self.keys, key)]

    def grant(self, seconds: int, wanted: int, now: float) -> int:
        """Create a lease and return its id."""
        self.last_lease += 1
        lease = wanted or self.last_lease
        self.leases[lease] = Lease(seconds, now + seconds)
        return lease

    def require_lease(self, lease: int) -> None:
        """Raise when a lease does not exist."""
        if lease not in self.leases:
            raise LeaseNotFoundError

    def keep(self, lease: int, now: float) -> int:
        """Extend a lease; return its seconds, or 0 when it is gone."""
        self.expire(now)
        row = self.leases.get(lease)
        if row is None:
            return 0
        row.expires_at = now + row.seconds
        return row.seconds

    def revoke(self, lease: int) -> None:
        """End a lease and delete its keys."""
        self.require_lease(lease)
        keys = sorted(self.leases.pop(lease).keys)
        revision = self.revision + 1
        for key in keys:
            if self.get(key):
                self.delete(key, revision)
        self.commit(revision)

    def expire(self, now: float) -> None:
        """End all leases that have run out."""
        ended = [id for id, row in self.leases.items() if row.expires_at <= now]
        for lease in ended:
            self.revoke(lease)
