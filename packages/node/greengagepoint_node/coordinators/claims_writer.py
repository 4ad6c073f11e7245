"""Write claims in batches, through a committer of the region where there is one."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final, NamedTuple, Protocol

from greengagepoint.delivery.claims import CLAIMS_PREFIX
from greengagepoint.delivery.committers import (
    CLAIMS_PER_WRITE_MAX,
    DIRECT_BURST,
    committer_for,
    committers,
    direct_writes_per_second,
    write_interval_seconds,
)
from greengagepoint.delivery.messages import ClaimBatch, ClaimItem, ClaimResults
from greengagepoint.errors import StoreError, StoreOutcomeUnknownError
from greengagepoint.overload import token_bucket
from greengagepoint.overload.token_bucket import TokenBucket
from greengagepoint_node.context import Context

COMMITTER_PATIENCE_SECONDS: Final = 0.25
COMMITTER_DISTRUST_SECONDS: Final = 2.0
VALUE_BYTES_MAX: Final = 1024
COMMIT_QUEUE_MAX: Final = 4096
STORE_CALL_SECONDS: Final = 1.0
VIEW_SECONDS: Final = 1.0
LEASE_SECONDS: Final = 25 * 3600
LEASE_SHARED_SECONDS: Final = 3600


class LiveHost(Protocol):
    """What the writer needs to know of another host."""

    name: str
    region: str


class Waiting(NamedTuple):
    """A claim to be written; ``reply`` takes True, False or None for unknown.

    ``direct`` claims have their own rate and are not held back for company.
    """

    item: ClaimItem
    reply: Callable[[bool | None], None]
    direct: bool = False


@dataclass(slots=True)
class PeerBatch:
    """A batch from a peer until all of its results are known."""

    sender: str
    incarnation: int
    number: int
    results: list[bool | None]
    missing: int


class ClaimWriter:
    """Create claims in the store, a whole batch in one call."""

    def __init__(
        self, context: Context, live_hosts: Callable[[], Iterable[LiveHost]]
    ) -> None:
        self.context = context
        self.live_hosts = live_hosts
        self.waiting: list[Waiting] = []
        self.outgoing: dict[str, list[Waiting]] = {}
        self.sent: dict[int, tuple[str, list[Waiting]]] = {}
        self.last_number = 0
        self.silent_until: dict[str, float] = {}
        self.last_sent_at: dict[str, float] = {}
        self.committers: list[str] = [context.host.name]
        self.interval_seconds = write_interval_seconds(1)
        self.view_until = float("-inf")
        self.direct = TokenBucket(tokens=0.0, filled_at=context.clock.monotonic())
        self.direct_rate = 0.0
        self.lease = 0
        self.lease_granted_at = 0.0
        self.last_write_at = float("-inf")
        self.tasks: set[asyncio.Task[None]] = set()
        self.committing = False
        self.writes = 0
        self.unsubscribe = [
            context.peers.subscribe(ClaimBatch, self.handle_batch),
            context.peers.subscribe(ClaimResults, self.handle_results),
        ]

    def close(self) -> None:
        """Stop all tasks; claims that wait are told that nothing is known."""
        for unsubscribe in self.unsubscribe:
            unsubscribe()
        for task in self.tasks:
            task.cancel()
        for waiting in self.waiting:
            waiting.reply(None)
        self.waiting.clear()

    async def async_create(self, key: str, value: bytes) -> bool | None:
        """Create a claim; tell if this made it, or None when that is not known."""
        item = ClaimItem(key, value)
        committer = self.choose_committer(key)
        if self.take_direct():
            return await self.async_create_here(item, direct=True)
        if committer != self.context.host.name:
            result = await self._async_ask(committer, item)
            if result is not None:
                return result
        return await self.async_create_here(item)

    async def async_create_here(
        self, item: ClaimItem, *, direct: bool = False
    ) -> bool | None:
        """Create a claim from this host, together with others that wait here."""
        future: asyncio.Future[bool | None] = asyncio.get_running_loop().create_future()
        self.queue_commit(Waiting(item, _resolver(future), direct))
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

    def choose_committer(self, key: str) -> str:
        """Return the host to write a claim; this one when the committer is silent."""
        now = self.context.clock.monotonic()
        if now >= self.view_until:
            self._refresh_view(now)
        chosen = committer_for(key, self.committers)
        if now < self.silent_until.get(chosen, 0.0):
            return self.context.host.name
        return chosen

    def take_direct(self) -> bool:
        """Take leave to write one claim without the hop through the committer."""
        if not self.direct_rate:
            return False
        now = self.context.clock.monotonic()
        wait = token_bucket.take(self.direct, self.direct_rate, DIRECT_BURST, now)
        return wait == 0.0

    def queue_commit(self, waiting: Waiting) -> None:
        """Add a claim to the next write of this host."""
        if len(self.waiting) >= COMMIT_QUEUE_MAX:
            waiting.reply(None)
            return
        self.waiting.append(waiting)
        if not self.committing:
            self.committing = True
            self._start(self._async_commit())

    def handle_batch(self, sender: str, batch: ClaimBatch) -> None:
        """Write a peer's claims and send it the results."""
        if not 0 < len(batch.items) <= CLAIMS_PER_WRITE_MAX:
            return
        if not all(_is_claim(item) for item in batch.items):
            return
        size = len(batch.items)
        state = PeerBatch(sender, batch.incarnation, batch.number, [None] * size, size)
        for index, item in enumerate(batch.items):
            self.queue_commit(Waiting(item, self._peer_reply(state, index)))

    def handle_results(self, sender: str, message: ClaimResults) -> None:
        """Resolve the claims of a batch; a doubled or late message finds none."""
        committer, batch = self.sent.get(message.number, ("", []))
        if message.incarnation != self.context.host.incarnation or sender != committer:
            return
        del self.sent[message.number]
        known = len(message.created) == len(batch)
        for index, waiting in enumerate(batch):
            waiting.reply(message.created[index] if known else None)

    def _peer_reply(
        self, state: PeerBatch, index: int
    ) -> Callable[[bool | None], None]:
        """Return a callback that answers the peer after the batch's last result."""

        def reply(result: bool | None) -> None:
            state.results[index] = result
            state.missing -= 1
            if state.missing:
                return
            known = tuple(row for row in state.results if row is not None)
            complete = len(known) == len(state.results)
            created = known if complete else ()
            results = ClaimResults(state.incarnation, state.number, created)
            self.context.peers.send(state.sender, results)

        return reply

    async def _async_ask(self, committer: str, item: ClaimItem) -> bool | None:
        """Ask a committer; return None when it does not answer soon."""
        future: asyncio.Future[bool | None] = asyncio.get_running_loop().create_future()
        gathered = self.outgoing.setdefault(committer, [])
        gathered.append(Waiting(item, _resolver(future)))
        if len(gathered) == 1:
            self._start(self._async_send(committer))
        patience = COMMITTER_PATIENCE_SECONDS + 2 * self.interval_seconds
        try:
            async with asyncio.timeout(patience):
                return await future
        except TimeoutError:
            now = self.context.clock.monotonic()
            self.silent_until[committer] = now + COMMITTER_DISTRUST_SECONDS
            return None

    async def _async_send(self, committer: str) -> None:
        """Send what gathers for a committer, no more often than it writes."""
        now = self.context.clock.monotonic()
        sent_at = self.last_sent_at.get(committer, float("-inf"))
        await asyncio.sleep(max(0.0, sent_at + self.interval_seconds - now))
        self.last_sent_at[committer] = self.context.clock.monotonic()
        gathered = self.outgoing.pop(committer, [])
        for start in range(0, len(gathered), CLAIMS_PER_WRITE_MAX):
            part = gathered[start : start + CLAIMS_PER_WRITE_MAX]
            self._send_batch(committer, part)
        while len(self.sent) > COMMIT_QUEUE_MAX:
            self.sent.pop(next(iter(self.sent)))

    def _send_batch(self, committer: str, part: list[Waiting]) -> None:
        """Send one batch; nothing is known of it where there was no room."""
        incarnation = self.context.host.incarnation
        self.last_number += 1
        self.sent[self.last_number] = (committer, part)
        items = tuple(waiting.item for waiting in part)
        batch = ClaimBatch(incarnation, self.last_number, items)
        if not self.context.peers.send(committer, batch):
            nothing = ClaimResults(incarnation, self.last_number, ())
            self.handle_results(committer, nothing)

    async def _async_commit(self) -> None:
        """Write batches until nothing waits: one at a time, spaced out."""
        try:
            while self.waiting:
                await self._async_space_out()
                batch = self._take_batch()
                for waiting, created in zip(
                    batch, await self._async_write(batch), strict=True
                ):
                    waiting.reply(created)
        finally:
            self.committing = False

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
            return [None] * len(batch)
        except StoreError:
            # The lease may be what failed, as after a restore of the store.
            self.lease = 0
            return [None] * len(batch)

    async def _async_lease(self) -> int:
        """Return the lease shared by the claims of this hour."""
        now = self.context.clock.monotonic()
        if not self.lease or now - self.lease_granted_at >= LEASE_SHARED_SECONDS:
            self.lease = await self.context.store.grant_lease(LEASE_SECONDS)
            self.lease_granted_at = now
        return self.lease

    def _refresh_view(self, now: float) -> None:
        """Choose committers and pace anew from the hosts that are alive."""
        host = self.context.host
        rows = [(row.name, row.region) for row in self.live_hosts()]
        regions = {region for _, region in rows} | {host.region}
        names = {name for name, region in rows if region == host.region}
        self.committers = committers(host.region, names | {host.name})
        self.interval_seconds = write_interval_seconds(len(regions))
        self.direct_rate = direct_writes_per_second(len(rows))
        self.view_until = now + VIEW_SECONDS

    def _start(self, coroutine) -> None:
        """Run a coroutine until it ends or the writer closes."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)


def _is_claim(item: ClaimItem) -> bool:
    """Tell whether a peer's item may be written: nothing but a small claim may."""
    return item.key.startswith(CLAIMS_PREFIX) and len(item.value) <= VALUE_BYTES_MAX


def _resolver(
    future: "asyncio.Future[bool | None]",
) -> Callable[[bool | None], None]:
    """Return a callback that resolves a future once."""

    def resolve(created: bool | None) -> None:
        if not future.done():
            future.set_result(created)

    return resolve
