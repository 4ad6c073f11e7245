"""Count the calls to the platform's store by operation and outcome."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Sequence
from typing import TypeVar

from greengagepoint_node.gateway.store_types import (
    Changes,
    Connection,
    HistoryLostError,
    LeaseLostError,
    OwnEntry,
    Part,
    PlatformStore,
    Snapshot,
)

Result = TypeVar("Result")


class CountedStore:
    """Forward calls to a store and count their outcomes."""

    def __init__(self, store: PlatformStore, calls: Counter[tuple[str, str]]) -> None:
        self.store = store
        self.calls = calls

    async def async_snapshot(self) -> Snapshot:
        """Return all keys."""
        return await self._async_count_outcome("snapshot", self.store.async_snapshot())

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
        call = self.store.async_changes(after, wait_seconds, part, connection)
        operation = "check" if connection is Connection.NEW else "changes"
        if part is not Part.ALL:
            operation += f"_of_{part}"
        return await self._async_count_outcome(operation, call)

    async def async_grant_lease(self, seconds: float) -> int:
        """Return a new lease."""
        call = self.store.async_grant_lease(seconds)
        return await self._async_count_outcome("grant_lease", call)

    async def async_renew_lease(self, lease: int) -> None:
        """Renew a lease; raise LeaseLostError if it has ended."""
        await self._async_count_outcome(
            "renew_lease", self.store.async_renew_lease(lease)
        )

    async def async_end_lease(self, lease: int) -> None:
        """End a lease, which removes its keys."""
        await self._async_count_outcome("end_lease", self.store.async_end_lease(lease))

    async def async_put(self, entries: Sequence[OwnEntry], lease: int) -> None:
        """Write entries of this host that last as long as the lease."""
        await self._async_count_outcome("put", self.store.async_put(entries, lease))

    async def async_remove(self, entries: Sequence[OwnEntry]) -> None:
        """Remove entries."""
        await self._async_count_outcome("remove", self.store.async_remove(entries))

    async def _async_count_outcome(
        self, operation: str, call: Awaitable[Result]
    ) -> Result:
        """Await a call and count its outcome."""
        outcome = "failed"
        try:
            result = await call
            outcome = "ok"
            return result
        except (HistoryLostError, LeaseLostError):
            outcome = "lost"
            raise
        except asyncio.CancelledError:
            outcome = "given_up"
            raise
        finally:
            self.calls[operation, outcome] += 1
