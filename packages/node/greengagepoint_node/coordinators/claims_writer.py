"""Choose who writes a claim, and exchange batches with the region's committer."""

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
from greengagepoint.overload import token_bucket
from greengagepoint.overload.token_bucket import TokenBucket
from greengagepoint_node.context import Context
from greengagepoint_node.coordinators.claims_committer import (
    STORE_CALL_SECONDS,
    ClaimCommitter,
    Waiting,
    resolver,
    start,
)

COMMITTER_TIMEOUT_SECONDS: Final = 0.25
COMMITTER_AVOID_SECONDS: Final = 2.0
ANSWER_GAIN: Final = 0.2
BATCHES_SENT_MAX: Final = 1024
VALUE_BYTES_MAX: Final = 1024
VIEW_SECONDS: Final = 1.0


class LiveHost(Protocol):
    """What the writer needs to know of another host."""

    name: str
    region: str


class SentBatch(NamedTuple):
    """A batch that a committer has not answered yet."""

    committer: str
    sent_at: float
    claims: list[Waiting]


@dataclass(slots=True)
class PeerBatch:
    """A batch from a peer until all of its results are known."""

    sender: str
    incarnation: int
    number: int
    results: list[bool | None]
    missing: int


class ClaimWriter:
    """Have claims created by this host or by its region's committer."""

    def __init__(
        self, context: Context, live_hosts: Callable[[], Iterable[LiveHost]]
    ) -> None:
        self.context = context
        self.live_hosts = live_hosts
        self.committer = ClaimCommitter(context)
        self.committers: list[str] = [context.host.name]
        self.view_until = float("-inf")
        self.direct = TokenBucket(tokens=0.0, filled_at=context.clock.monotonic())
        self.direct_rate = 0.0
        self.outgoing: dict[str, list[Waiting]] = {}
        self.sent: dict[int, SentBatch] = {}
        self.last_number = 0
        self.last_sent_at: dict[str, float] = {}
        self.silent_until: dict[str, float] = {}
        self.answer_seconds = 0.0
        self.tasks: set[asyncio.Task[None]] = set()
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
        self.committer.close()

    async def async_create(self, key: str, value: bytes) -> bool | None:
        """Create a claim; tell if this made it, or None when that is not known."""
        item = ClaimItem(key, value)
        chosen = self.choose_committer(key)
        if self.take_direct():
            return await self.committer.async_create(item, direct=True)
        if chosen != self.context.host.name:
            result = await self._async_ask(chosen, item)
            if result is not None:
                return result
        return await self.committer.async_create(item)

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

    def timeout_seconds(self) -> float:
        """Return how long to wait for a committer.

        It grows with the time that answers take: with a slow store each host would
        otherwise give its committer up and write alone, which makes it slower still.
        """
        timeout = COMMITTER_TIMEOUT_SECONDS + 2 * self.answer_seconds
        longest = COMMITTER_TIMEOUT_SECONDS + STORE_CALL_SECONDS
        return min(longest, timeout) + 2 * self.committer.interval_seconds

    def handle_batch(self, sender: str, batch: ClaimBatch) -> None:
        """Write a peer's claims and send it the results."""
        if not 0 < len(batch.items) <= CLAIMS_PER_WRITE_MAX:
            return
        if not all(_is_claim(item) for item in batch.items):
            return
        size = len(batch.items)
        state = PeerBatch(sender, batch.incarnation, batch.number, [None] * size, size)
        for index, item in enumerate(batch.items):
            self.committer.queue(Waiting(item, self._peer_reply(state, index)))

    def handle_results(self, sender: str, message: ClaimResults) -> None:
        """Resolve the claims of a batch; a doubled or late message finds none."""
        batch = self.sent.get(message.number)
        if batch is None or sender != batch.committer:
            return
        if message.incarnation != self.context.host.incarnation:
            return
        del self.sent[message.number]
        took = self.context.clock.monotonic() - batch.sent_at
        gain = 1.0 if took > self.answer_seconds else ANSWER_GAIN
        self.answer_seconds += gain * (took - self.answer_seconds)
        known = len(message.created) == len(batch.claims)
        for index, waiting in enumerate(batch.claims):
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
        gathered.append(Waiting(item, resolver(future)))
        if len(gathered) == 1:
            task = start(self._async_send(committer))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        try:
            async with asyncio.timeout(self.timeout_seconds()):
                return await future
        except TimeoutError:
            now = self.context.clock.monotonic()
            self.silent_until[committer] = now + COMMITTER_AVOID_SECONDS
            return None

    async def _async_send(self, committer: str) -> None:
        """Send what gathers for a committer, no more often than it writes."""
        now = self.context.clock.monotonic()
        sent_at = self.last_sent_at.get(committer, float("-inf"))
        interval = self.committer.interval_seconds
        await asyncio.sleep(max(0.0, sent_at + interval - now))
        self.last_sent_at[committer] = self.context.clock.monotonic()
        gathered = self.outgoing.pop(committer, [])
        for first in range(0, len(gathered), CLAIMS_PER_WRITE_MAX):
            part = gathered[first : first + CLAIMS_PER_WRITE_MAX]
            self._send_batch(committer, part)
        while len(self.sent) > BATCHES_SENT_MAX:
            self.sent.pop(next(iter(self.sent)))

    def _send_batch(self, committer: str, part: list[Waiting]) -> None:
        """Send one batch; nothing is known of it where there was no room."""
        incarnation = self.context.host.incarnation
        now = self.context.clock.monotonic()
        self.last_number += 1
        self.sent[self.last_number] = SentBatch(committer, now, part)
        items = tuple(waiting.item for waiting in part)
        batch = ClaimBatch(incarnation, self.last_number, items)
        if not self.context.peers.send(committer, batch):
            nothing = ClaimResults(incarnation, self.last_number, ())
            self.handle_results(committer, nothing)

    def _refresh_view(self, now: float) -> None:
        """Choose committers and pace anew from the hosts that are alive."""
        host = self.context.host
        rows = [(row.name, row.region) for row in self.live_hosts()]
        regions = {region for _, region in rows} | {host.region}
        names = {name for name, region in rows if region == host.region}
        self.committers = committers(host.region, names | {host.name})
        self.committer.interval_seconds = write_interval_seconds(len(regions))
        self.direct_rate = direct_writes_per_second(len(rows))
        self.view_until = now + VIEW_SECONDS


def _is_claim(item: ClaimItem) -> bool:
    """Tell whether a peer's item may be written: nothing but a small claim may."""
    return item.key.startswith(CLAIMS_PREFIX) and len(item.value) <= VALUE_BYTES_MAX
