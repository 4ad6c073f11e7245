"""Stand in for the key-value service inside one process, with faults on demand."""

import asyncio
from collections.abc import AsyncIterator, Callable, Sequence
from enum import StrEnum

from greengagepoint.errors import StoreError, StoreOutcomeUnknownError
from greengagepoint.protocols import StoreSnapshot, StoreValue


class StoreFault(StrEnum):
    """What happens to one call."""

    NONE = "none"
    DOWN = "down"
    LOST_REPLY = "lost_reply"
    LATE_WRITE = "late_write"
    HANG = "hang"


LATE_SECONDS = 3.0
HANG_SECONDS = 3600.0


def no_fault() -> StoreFault:
    """Let every call succeed."""
    return StoreFault.NONE


class MemoryStore:
    """Keys in a dictionary; ``next_fault`` is asked once for each call."""

    def __init__(
        self,
        next_fault: Callable[[], StoreFault] = no_fault,
        delay: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self.next_fault = next_fault
        self.delay = delay
        self.rows: dict[str, StoreValue] = {}
        self.revision = 0
        self.writes = 0
        self.reads = 0
        self.leases = 0

    async def read(self, key: str) -> StoreValue | None:
        """Return one key."""
        self.reads += 1
        await self._async_call()
        return self.rows.get(key)

    async def read_prefix(
        self, prefix: str, *, from_key: str | None = None, limit: int = 0
    ) -> StoreSnapshot:
        """Return the keys under a prefix in order."""
        self.reads += 1
        await self._async_call()
        first = from_key or prefix
        keys = sorted(k for k in self.rows if k.startswith(prefix) and k >= first)
        values = tuple(self.rows[key] for key in keys[: limit or None])
        return StoreSnapshot(values, self.revision)

    async def create(
        self, items: Sequence[tuple[str, bytes]], *, lease: int = 0
    ) -> tuple[bool, ...]:
        """Create keys that are absent."""
        return await self._async_write(lambda: self._create(items))

    async def create_next(self, key: str, value: bytes, *, after: str | None) -> bool:
        """Create a key if it is absent and another is present."""

        def change() -> bool:
            if after is not None and after not in self.rows:
                return False
            return self._create([(key, value)])[0]

        return await self._async_write(change)

    async def replace(self, key: str, value: bytes, *, revision: int) -> bool:
        """Write a key whose revision is unchanged."""

        def change() -> bool:
            row = self.rows.get(key)
            if (row.revision if row else 0) != revision:
                return False
            self._put(key, value)
            return True

        return await self._async_write(change)

    async def delete(self, items: Sequence[tuple[str, int]]) -> tuple[bool, ...]:
        """Delete keys whose revision is unchanged."""

        def change() -> tuple[bool, ...]:
            self.revision += 1
            deleted = []
            for key, revision in items:
                row = self.rows.get(key)
                same = row is not None and row.revision == revision
                if same:
                    del self.rows[key]
                deleted.append(same)
            return tuple(deleted)

        return await self._async_write(change)

    async def watch(self, prefix: str, *, revision: int) -> AsyncIterator[StoreValue]:
        """Yield nothing: no test here watches."""
        raise StoreError("This stand-in has no watches")
        yield  # pragma: no cover

    async def grant_lease(self, seconds: int) -> int:
        """Return a new lease id."""
        await self._async_call()
        self.leases += 1
        return self.leases

    async def keep_lease(self, lease: int) -> bool:
        """Tell whether a lease was granted."""
        await self._async_call()
        return 0 < lease <= self.leases

    def _create(self, items: Sequence[tuple[str, bytes]]) -> tuple[bool, ...]:
        """Create keys that are absent, in one change."""
        self.revision += 1
        created = []
        for key, value in items:
            absent = key not in self.rows
            if absent:
                self.rows[key] = StoreValue(key, value, self.revision)
            created.append(absent)
        return tuple(created)

    def _put(self, key: str, value: bytes) -> None:
        """Write one key."""
        self.revision += 1
        self.rows[key] = StoreValue(key, value, self.revision)

    async def _async_call(self) -> None:
        """Take the time of a call, or fail."""
        fault = self.next_fault()
        await asyncio.sleep(self.delay())
        if fault is StoreFault.HANG:
            await asyncio.sleep(HANG_SECONDS)
        if fault is not StoreFault.NONE:
            raise StoreError("The store is down")

    async def _async_write(self, change: Callable):
        """Make a change, or fail before, during or after it."""
        self.writes += 1
        fault = self.next_fault()
        await asyncio.sleep(self.delay())
        if fault is StoreFault.DOWN:
            raise StoreError("The store is down")
        if fault is StoreFault.LATE_WRITE:
            asyncio.get_running_loop().call_later(LATE_SECONDS, change)
            raise StoreOutcomeUnknownError("The write did not end in time")
        result = change()
        if fault is StoreFault.HANG:
            await asyncio.sleep(HANG_SECONDS)
        if fault is StoreFault.LOST_REPLY:
            raise StoreOutcomeUnknownError("The reply was lost")
        return result
