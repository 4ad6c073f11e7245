"""Send peers updates about requests that crash backend servers."""

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import Final

import aiohttp
import msgspec
from aiohttp import web

from greengagepoint.events import Event
from greengagepoint.protocols import Random
from greengagepoint.quarantine.messages import SharedSuspect
from greengagepoint_node.context import EventSink
from greengagepoint_node.gateway.request_quarantine import RequestQuarantine

QUARANTINE_PATH: Final = "/v1/quarantine"
# Each host forwards an update once, to this many peers. That reaches nearly all hosts
# of a fleet; the others get it by an exchange of tables.
FANOUT: Final = 4
SEND_TIMEOUT_SECONDS: Final = 0.6
# A server crashes with many requests in flight; they are sent together.
BATCH_SECONDS: Final = 0.02
# A batch stays under 16 KB, and at most twenty are sent a second.
ROWS_MAX: Final = 32
SEND_INTERVAL_SECONDS: Final = 0.05
# A lost zone leaves hundreds of requests with one crash each, most of which are
# answered next. From a message with more rows than this, requests with a single crash
# are not forwarded.
SINGLE_CRASH_ROWS_MAX: Final = 4
# An exchange of tables holds restricted requests, and those changed in this time.
RECENT_SECONDS: Final = 5.0
EXCHANGED_ROWS_MAX: Final = 16

encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(list[SharedSuspect]).decode


class QuarantineSync:
    """Forward updates of suspected requests to a few peers, which do the same."""

    def __init__(
        self,
        quarantine: RequestQuarantine,
        peers: Callable[[], list[str]],
        session: aiohttp.ClientSession,
        random: Random,
        events: EventSink,
        transferred: Counter[tuple[str, str]],
    ) -> None:
        self.quarantine = quarantine
        self.peers = peers
        self.session = session
        self.random = random
        self.events = events
        self.transferred = transferred
        self.pending: dict[str, None] = {}
        self.wake = asyncio.Event()
        self.send_tasks: set[asyncio.Task[None]] = set()

    def notify(self, contents: list[str]) -> None:
        """Schedule an update about some contents to peers."""
        self.pending.update(dict.fromkeys(contents))
        self.wake.set()

    def shared(self) -> list[SharedSuspect]:
        """Return the requests that a peer may have missed."""
        table = self.quarantine.table
        now = self.quarantine.clock.monotonic()
        return table.shared(table.recent(EXCHANGED_ROWS_MAX, RECENT_SECONDS, now), now)

    async def async_run(self) -> None:
        """Send pending updates until cancelled."""
        while True:
            await self.wake.wait()
            await asyncio.sleep(BATCH_SECONDS)
            self._send_batch()
            if not self.pending:
                self.wake.clear()
            await asyncio.sleep(SEND_INTERVAL_SECONDS)

    async def async_receive(self, request: web.BaseRequest) -> web.Response:
        """Handle a peer's update, and forward what changed here."""
        body = await request.read()
        self.transferred["quarantine", "received"] += len(body)
        try:
            rows = decode(body)
        except msgspec.MsgspecError as error:
            self.events.record(Event.PEER_MESSAGE_REJECTED, detail=str(error))
            return web.Response(status=400)
        self.take(rows)
        return web.Response(status=204)

    def take(self, rows: list[SharedSuspect]) -> None:
        """Merge a peer's state, and forward what changed here."""
        table = self.quarantine.table
        changed = table.merge(rows, self.quarantine.clock.monotonic())
        if len(rows) > SINGLE_CRASH_ROWS_MAX:
            changed = [row for row in changed if len(table.suspects[row].ends) > 1]
        if changed:
            self.quarantine.announce_changes(changed)

    def _send_batch(self) -> None:
        """Send the contents with the most crashes to a few peers."""
        table = self.quarantine.table
        suspected = [content for content in self.pending if content in table.suspects]
        suspected.sort(key=lambda row: -len(table.suspects[row].unsettled()))
        chosen, rest = suspected[:ROWS_MAX], suspected[ROWS_MAX:]
        self.pending = dict.fromkeys(rest)
        if not chosen:
            return
        now = self.quarantine.clock.monotonic()
        body = encode(table.shared(chosen, now))
        for address in self._choose_peers():
            task = asyncio.create_task(self._async_send(address, body))
            self.send_tasks.add(task)
            task.add_done_callback(self.send_tasks.discard)

    def _choose_peers(self) -> list[str]:
        """Return up to ``FANOUT`` peers at random."""
        peers = self.peers()
        chosen = []
        while peers and len(chosen) < FANOUT:
            chosen.append(peers.pop(self.random.randrange(len(peers))))
        return chosen

    async def _async_send(self, address: str, body: bytes) -> None:
        """Send to one peer; an unreachable peer gets the update by an exchange."""
        self.transferred["quarantine", "sent"] += len(body)
        url = f"http://{address}{QUARANTINE_PATH}"
        try:
            async with asyncio.timeout(SEND_TIMEOUT_SECONDS):
                async with self.session.post(url, data=body) as answer:
                    await answer.read()
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            detail = type(error).__name__
            self.events.record(
                Event.PEER_MESSAGE_DROPPED, address=address, detail=detail
            )
