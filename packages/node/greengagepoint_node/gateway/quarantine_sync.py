"""Tell peers at once of requests that end backend servers."""

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
# Each host passes news on to so many others, once. That reaches nearly all of a fleet,
# and the rest hears of it by an exchange of tables.
FANOUT: Final = 4
SEND_SECONDS: Final = 0.6
# A server ends with many requests in flight; they are told together.
GATHER_SECONDS: Final = 0.02
# What is sent at once stays under 16 KB, and twenty times a second at most.
ROWS_MAX: Final = 32
PAUSE_SECONDS: Final = 0.05
# A lost zone leaves hundreds of requests with one end each, of which most are answered
# next. So many in one message are not passed on.
FEW_ROWS: Final = 4
# Beside what is refused, an exchange of tables tells the news of this time.
RECENT_SECONDS: Final = 5.0
EXCHANGED_MAX: Final = 16

encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(list[SharedSuspect]).decode


class QuarantineSync:
    """Pass news of suspected requests on to a few peers, who do the same."""

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
        self.sends: set[asyncio.Task[None]] = set()

    def notify(self, contents: list[str]) -> None:
        """Tell peers soon what is known of some contents."""
        self.pending.update(dict.fromkeys(contents))
        self.wake.set()

    def shared(self) -> list[SharedSuspect]:
        """Return what a peer may have missed."""
        table = self.quarantine.table
        now = self.quarantine.clock.monotonic()
        return table.shared(table.recent(EXCHANGED_MAX, RECENT_SECONDS, now), now)

    async def async_run(self) -> None:
        """Send until cancelled."""
        while True:
            await self.wake.wait()
            await asyncio.sleep(GATHER_SECONDS)
            self._send_some()
            if not self.pending:
                self.wake.clear()
            await asyncio.sleep(PAUSE_SECONDS)

    async def async_take(self, request: web.BaseRequest) -> web.Response:
        """Take in what a peer tells, and pass on what was news."""
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
        """Merge what a peer knows, and pass on what was news."""
        table = self.quarantine.table
        changed = table.merge(rows, self.quarantine.clock.monotonic())
        if len(rows) > FEW_ROWS:
            changed = [row for row in changed if len(table.suspects[row].ends) > 1]
        if changed:
            self.quarantine.changed(changed)

    def _send_some(self) -> None:
        """Send the contents with most against them to a few peers."""
        table = self.quarantine.table
        known = [content for content in self.pending if content in table.suspects]
        known.sort(key=lambda row: -len(table.suspects[row].unsettled()))
        chosen, rest = known[:ROWS_MAX], known[ROWS_MAX:]
        self.pending = dict.fromkeys(rest)
        if not chosen:
            return
        now = self.quarantine.clock.monotonic()
        body = encode(table.shared(chosen, now))
        for address in self._some_peers():
            task = asyncio.create_task(self._async_send(address, body))
            self.sends.add(task)
            task.add_done_callback(self.sends.discard)

    def _some_peers(self) -> list[str]:
        """Return a few peers at random."""
        peers = self.peers()
        chosen = []
        while peers and len(chosen) < FANOUT:
            chosen.append(peers.pop(self.random.randrange(len(peers))))
        return chosen

    async def _async_send(self, address: str, body: bytes) -> None:
        """Send to one peer; one that can't be reached hears of it by an exchange."""
        self.transferred["quarantine", "sent"] += len(body)
        url = f"http://{address}{QUARANTINE_PATH}"
        try:
            async with asyncio.timeout(SEND_SECONDS):
                async with self.session.post(url, data=body) as answer:
                    await answer.read()
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            detail = type(error).__name__
            self.events.record(
                Event.PEER_MESSAGE_DROPPED, address=address, detail=detail
            )
