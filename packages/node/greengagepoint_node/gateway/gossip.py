"""Exchange what hosts believe: who lives, and the store's news.

Once every half second a host sends its table to another one and gets that one's table
and whatever of the store's items it lacks. So a host that the store turns away still
learns of changes, and so does one whose watch hangs on a silent connection; a host that
starts while the store is down gets its first configuration the same way.
"""

import asyncio
import math
from typing import Final

import aiohttp
import msgspec
from aiohttp import web

from greengagepoint.events import Event
from greengagepoint.protocols import Clock, Random
from greengagepoint_node.context import EventSink
from greengagepoint_node.gateway.facts import (
    Changes,
    HostEntry,
    RemovedKey,
    StoredItem,
)
from greengagepoint_node.gateway.view import FleetView

PERIOD_SECONDS: Final = 0.5
# Two regions are 40 ms apart there and back; a peer that takes longer is busy or gone.
EXCHANGE_SECONDS: Final = 0.6
# Several rounds of exchanges; look-ups drop a dead host after it, under the 6 s that
# users allow. How old news of a live host gets was not measured.
ALIVE_SECONDS: Final = 3.5
FORGET_SECONDS: Final = 30.0
# One to open the connection, one for the exchange. The shortest exchange counts: the
# others hold the time in which a peer or this host was busy.
ROUND_TRIPS_OF_EXCHANGE: Final = 2
PATH: Final = "/v1/gossip"


class HostState(msgspec.Struct, array_like=True):
    """What a host tells of itself.

    ``started`` orders its lifetimes and ``count`` its news in one of them.
    """

    entry: HostEntry
    started: int
    count: int
    leaving: bool


class Message(msgspec.Struct, array_like=True):
    """Half of an exchange."""

    revision: int
    hosts: list[HostState]
    items: list[StoredItem]
    removed: list[RemovedKey]
    lapsed: list[str]


class HeardHost(msgspec.Struct):
    """The newest state of another host and when news of it came; monotonic seconds."""

    state: HostState
    heard_at: float


encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Message).decode


class Gossip:
    """Keep the table of hosts by exchanging it with one peer after the other."""

    def __init__(
        self,
        own: HostState,
        view: FleetView,
        seeds: list[str],
        clock: Clock,
        random: Random,
        events: EventSink,
        session: aiohttp.ClientSession,
    ) -> None:
        self.own = own
        self.view = view
        self.seeds = seeds
        self.clock = clock
        self.random = random
        self.events = events
        self.session = session
        self.heard: dict[str, HeardHost] = {}
        self.round_trips: dict[str, float] = {}
        self.exchanges = 0
        self.failures = 0

    def alive(self, now: float) -> list[HostState]:
        """Return this host and those that news came of lately."""
        rows = [self.own] if not self.own.leaving else []
        for row in self.heard.values():
            if now - row.heard_at <= ALIVE_SECONDS and not row.state.leaving:
                rows.append(row.state)
        return rows

    async def async_run(self) -> None:
        """Exchange with peers until cancelled."""
        while True:
            await asyncio.sleep(PERIOD_SECONDS * (0.8 + 0.4 * self.random.random()))
            self.own.count += 1
            address = self._next_address()
            if address is not None:
                await self._async_exchange(address)

    async def _async_exchange(self, address: str) -> None:
        """Exchange with one peer; a failure only means that its news gets older."""
        body = self.encoded(self.view.revision)
        self.exchanges += 1
        began = self.clock.monotonic()
        try:
            async with asyncio.timeout(EXCHANGE_SECONDS):
                async with self.session.post(
                    f"http://{address}{PATH}", data=body
                ) as answer:
                    self.take_encoded(await answer.read())
            self.note_exchange(address, self.clock.monotonic() - began)
        except (
            TimeoutError,
            aiohttp.ClientError,
            OSError,
            msgspec.MsgspecError,
        ) as error:
            self.failures += 1
            self.events.record(
                Event.PEER_MESSAGE_DROPPED, address=address, detail=type(error).__name__
            )

    def note_exchange(self, address: str, seconds: float) -> None:
        """Learn from an exchange how far its peer's region is."""
        for row in self.heard.values():
            entry = row.state.entry
            if entry.peer_address == address:
                known = self.round_trips.get(entry.region, math.inf)
                round_trip = seconds / ROUND_TRIPS_OF_EXCHANGE
                self.round_trips[entry.region] = min(known, round_trip)

    def farthest_seconds(self) -> float:
        """Return the round trip to the farthest region, 0 while none is known."""
        return max(self.round_trips.values(), default=0.0)

    def encoded(self, revision: int) -> bytes:
        """Return this host's half of an exchange with a peer at a revision."""
        return encode(self._message(revision))

    def take_encoded(self, body: bytes) -> None:
        """Take in a peer's half; raise MsgspecError where it can't be read."""
        self._take(decode(body))

    async def async_answer(self, request: web.BaseRequest) -> web.Response:
        """Answer a peer's half of an exchange."""
        try:
            message = decode(await request.read())
        except msgspec.MsgspecError as error:
            self.events.record(Event.PEER_MESSAGE_REJECTED, detail=str(error))
            return web.Response(status=400)
        self._take(message)
        return web.Response(body=self.encoded(message.revision))

    def _message(self, revision: int) -> Message:
        """Return this host's half, with the items that a peer at a revision lacks."""
        changes = Changes((), self.view.revision)
        if revision < self.view.revision:
            changes = self.view.changes_after(revision)
        now = self.clock.monotonic()
        recent = [
            row.state
            for row in self.heard.values()
            if now - row.heard_at <= ALIVE_SECONDS
        ]
        return Message(
            revision=self.view.revision,
            hosts=[self.own, *recent],
            items=[row for row in changes.changes if isinstance(row, StoredItem)],
            removed=[row for row in changes.changes if isinstance(row, RemovedKey)],
            lapsed=list(self.view.lapsed),
        )

    def _take(self, message: Message) -> None:
        """Take in a peer's half."""
        now = self.clock.monotonic()
        for state in message.hosts:
            self._take_host(state, now)
        if message.revision > self.view.revision and (message.items or message.removed):
            before = self.view.revision
            changes = Changes((*message.items, *message.removed), message.revision)
            self.view.apply(changes, now, message.lapsed)
            self.events.record(
                Event.CONFIGURATION_FROM_PEER, before=before, revision=message.revision
            )

    def _take_host(self, state: HostState, now: float) -> None:
        """Keep what is news of a host."""
        name = state.entry.name
        if name == self.own.entry.name:
            return
        known = self.heard.get(name)
        if known is None:
            self.heard[name] = HeardHost(state, now)
            self.events.record(Event.HOST_ALIVE, host=name, region=state.entry.region)
            return
        order = (state.started, state.count)
        if order > (known.state.started, known.state.count):
            if state.leaving and not known.state.leaving:
                self.events.record(Event.HOST_LEAVING, host=name)
            self.heard[name] = HeardHost(state, now)

    def _next_address(self) -> str | None:
        """Return whom to exchange with: a host at random, or a seed while alone."""
        now = self.clock.monotonic()
        for name in [
            name
            for name, row in self.heard.items()
            if now - row.heard_at > FORGET_SECONDS
        ]:
            del self.heard[name]
        own = self.own.entry.peer_address
        known = {
            row.state.entry.peer_address
            for row in self.heard.values()
            if now - row.heard_at <= ALIVE_SECONDS
        }
        known |= {entry.peer_address for entry in self.view.hosts.values()}
        known.discard(own)
        if len(known) < 2:
            known |= {seed for seed in self.seeds if seed != own}
        if not known:
            return None
        ordered = sorted(known)
        return ordered[self.random.randrange(len(ordered))]
