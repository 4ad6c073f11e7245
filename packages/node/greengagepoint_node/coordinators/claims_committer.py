"""Write claims to the store, all that wait in one call."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Final, NamedTuple

from greengagepoint.delivery.committers import (
    CLAIMS_PER_WRITE_MAX,
    write_interval_seconds,
)
from greengagepoint.delivery.messages import ClaimItem
from greengagepoint.errors import StoreError, StoreOutcomeUnknownError
from greengagepoint.events import Event
from greengagepoint_node.context import Context

STORE_CALL_SECONDS: Final = 1.0
WAITING_MAX: Final = 4096
LEASE_SECONDS: Final = 25 * 3600
LEASE_SHARED_SECONDS: Final = 3600


class Waiting(NamedTuple):
    """A claim to be written; ``reply`` takes True, False or None for unknown.

    ``direct`` claims have their own rate and are not held back for company.
    """

    item: ClaimItem
    reply: Callable[[bool | None], None]
    direct: bool = False


class ClaimCommitter:
    """Write this host's and its peers' claims, one call at a time."""

    def __init__(self, context: Context) -> None:
        self.context = context
        self.waiting: list[Waiting] = []
        self.interval_seconds = write_interval_seconds(1)
        self.lease = 0
        self.lease_granted_at = 0.0
        self.last_write_at = float("-inf")
        self.task: asyncio.Task[None] | None = None
        self.writes = 0

    def close(self) -> None:
        """Stop writing; claims that wait are told that nothing is known."""
        if self.task is not None:
            self.task.cancel()
        for waiting in self.waiting:
            waiting.reply(None)
        self.waiting.clear()

    def queue(self, waiting: Waiting) -> None:
        """Add a claim to the next write."""
        if len(self.waiting) >= WAITING_MAX:
            waiting.reply(None)
            return
        self.waiting.append(waiting)
        if self.task is None:
            self.task = start(self._async_commit())

    async def async_create(
        self, item: ClaimItem, *, direct: bool = False
    ) -> bool | None:
        """Create a claim, together with others that wait here."""
        future: asyncio.Future[bool | None] = asyncio.get_running_loop().create_future()
        self.queue(Waiting(item, resolver(future), direct))
        return await future

    async def async_store(self, items: list[tuple[str, bytes]]) -> tuple[bool, ...]:
        """Create claims in one call of bounded time; raise StoreError."""
        try:
            # A call that hangs would hold up all the claims that wait behind it.
            async with asyncio.timeout(STORE_CALL_SECONDS):
                lease = await self._async_lease()
                self.writes += 1
                return await self.context.store.create(items, lease=lease)
        except TimeoutError as error:
            raise StoreOutcomeUnknownError("No answer in time") from error

    async def _async_commit(self) -> None:
        """Write batches until nothing waits: one at a time, spaced out."""
        try:
            while self.waiting:
                await self._async_space_out()
                batch = self._take_batch()
                results = await self._async_write(batch)
                for waiting, created in zip(batch, results, strict=True):
                    waiting.reply(created)
        finally:
            self.task = None

    async def _async_space_out(self) -> None:
        """Wait until this host may write again; the first write never waits."""
        now = self.context.clock.monotonic()
        wait = self.last_write_at + self.interval_seconds - now
        direct = any(waiting.direct for waiting in self.waiting)
        await asyncio.sleep(0 if direct else max(0.0, wait))
        self.last_write_at = self.context.clock.monotonic()

    def _take_batch(self) -> list[Waiting]:
        """Take claims with distinct keys; one call must not name a key twice."""
        batch: dict[str, Waiting] = {}
        left: list[Waiting] = []
        for waiting in self.waiting:
            key = waiting.item.key
            if len(batch) < CLAIMS_PER_WRITE_MAX and key not in batch:
                batch[key] = waiting
            else:
                left.append(waiting)
        self.waiting = left
        return list(batch.values())

    async def _async_write(self, batch: list[Waiting]) -> list[bool | None]:
        """Make one store call; every result is None when it failed."""
        items = [(waiting.item.key, waiting.item.value) for waiting in batch]
        try:
            return list(await self.async_store(items))
        except StoreOutcomeUnknownError:
            pass
        except StoreError:
            # The lease may be what failed, as after a restore of the store.
            self.lease = 0
        except Exception as error:  # The claims' senders must not wait in vain.
            self.context.events.record(Event.INTERNAL_ERROR, detail=repr(error))
        return [None] * len(batch)

    async def _async_lease(self) -> int:
        """Return the lease shared by the claims of this hour."""
        now = self.context.clock.monotonic()
        if not self.lease or now - self.lease_granted_at >= LEASE_SHARED_SECONDS:
            self.lease = await self.context.store.grant_lease(LEASE_SECONDS)
            self.lease_granted_at = now
        return self.lease


def start(coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
    """Run a coroutine in the background."""
    return asyncio.get_running_loop().create_task(coroutine)


def resolver(
    future: "asyncio.Future[bool | None]",
) -> Callable[[bool | None], None]:
    """Return a callback that resolves a future once."""

    def resolve(created: bool | None) -> None:
        if not future.done():
            future.set_result(created)

    return resolve
