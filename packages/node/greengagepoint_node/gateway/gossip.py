"""Exchange what hosts believe: who lives, and the store's news.

The host that watches the store for its region sends each change to the region's other
hosts at once, and each second tells them that they miss nothing.

Once every half second a host sends its table to another one and gets that one's table
and whatever of the store's items it lacks. So a host that the store turns away still
learns of changes, and so does one whose watch hangs on a silent connection; a host that
starts while the store is down gets its first configuration the same way.
"""

import asyncio
from collections import Counter
from collections.abc import Coroutine
from itertools import zip_longest
from typing import Any, Final

import aiohttp
import msgspec
from aiohttp import web

from greengagepoint.config.watchers import must_watch, relays_of
from greengagepoint.events import Event
from greengagepoint.overload.full_link import LinkDelay
from greengagepoint.protocols import Clock, Random
from greengagepoint_node.context import EventSink
from greengagepoint_node.gateway.delays import MessageDelays
from greengagepoint_node.gateway.distances import RegionDistances
from greengagepoint_node.gateway.gossip_messages import (
    HostState,
    Message,
    decode,
    encode,
)
from greengagepoint_node.gateway.host_table import (
    HostTable,
)
from greengagepoint_node.gateway.message_writer import MessageWriter
from greengagepoint_node.gateway.news_ages import ViewFreshnessTracker
from greengagepoint_node.gateway.peer_notifier import PeerNotifier
from greengagepoint_node.gateway.store_types import (
    Changes,
    Snapshot,
)
from greengagepoint_node.gateway.suspect_news import NoSuspects, SuspectNews
from greengagepoint_node.gateway.transfer import async_read_answer, send_seconds
from greengagepoint_node.gateway.view import LAPSED_SECONDS, FleetView

PERIOD_SECONDS: Final = 0.5
# Two regions are 40 ms apart there and back; a peer that takes longer to begin, or
# pauses for as long, is busy or gone.
EXCHANGE_SECONDS: Final = 0.6
# On a full link every peer takes longer: two ways to connect, two for the messages, and
# half a second of queue on each. Given up before, each exchange is begun anew with
# another peer, in vain.
FULL_LINK_EXCHANGE_SECONDS: Final = 2.5
# A peer that sends its news byte by byte keeps no others from bringing it for longer;
# 100 KB over a link of 5 Mbit/s take 0.2 s.
NEWS_SECONDS: Final = 2.0
# Of ten exchanges, so many are with hosts of the own region, where they cost less; news
# still enters each other region several times a second.
NEAR_SHARE: Final = 0.8
PATH: Final = "/v1/gossip"
SENT: Final = "sent"
RECEIVED: Final = "received"


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
        self.bytes: Counter[tuple[str, str]] = Counter()
        self.table = HostTable(own, events)
        self.distances = RegionDistances(own.entry.region)
        self.suspects: SuspectNews = NoSuspects()
        self.is_watcher = True
        self.ages = ViewFreshnessTracker(clock)
        self.partial_revision = 0
        self.link = LinkDelay()
        self.writer = MessageWriter(
            own, view, self.table, self.ages, clock, self.link_is_full
        )
        self.under_way: dict[str, asyncio.Task[None]] = {}
        self.notifier = PeerNotifier(
            session,
            clock,
            lambda before: self.writer.message(before, []),
            self._note_failure,
            self.bytes,
        )
        self.early_notifier = PeerNotifier(
            session, clock, self.writer.partial, self._note_failure, self.bytes
        )
        self.asked_for_news_at: float | None = None
        self.delays = MessageDelays()
        self.exchanges = 0
        self.failures = 0

    async def async_run(self) -> None:
        """Exchange with peers until cancelled.

        The next one does not wait for the one before: while a large value came over a
        small link, the host's heartbeat would stand still, and after 3.5 s others would
        no longer name it to callers.
        """
        while True:
            self.own.count += 1
            address = self._next_address()
            if address is not None:
                self._start(address, self._async_exchange(address))
            await asyncio.sleep(PERIOD_SECONDS * (0.8 + 0.4 * self.random.random()))

    def peer_addresses(self) -> list[str]:
        """Return where the other hosts that are alive take messages."""
        alive = self.table.alive(self.clock.monotonic())
        return [row.entry.peer_address for row in alive if row is not self.own]

    def must_watch(self) -> bool:
        """Tell whether this host has to ask the store itself."""
        return must_watch(
            watcher=self.is_watcher,
            confirmed_at=self.ages.peers_at,
            now=self.clock.monotonic(),
        )

    def link_is_full(self) -> bool:
        """Tell whether all that this host sends and gets has to wait."""
        return self.link.is_full(self.clock.monotonic())

    def confirm(self, before: int, seconds_ago: float) -> None:
        """Take in that the store told everything, and pass on what is new."""
        now = self.clock.monotonic()
        self.ages.record_store_read(seconds_ago)
        if not self.is_watcher or self.own.leaving:
            return
        # What was removed before then is told by all that is left, large or not.
        splits = before >= self.view.removed_complete_after
        large = splits and self.view.has_large_after(before)
        near = {
            state.entry.name: state.entry
            for state in self.table.alive(now)
            if state is not self.own and self.table.is_near(state.entry)
        }
        for name, members in relays_of(self.own.entry.region, near.values()).items():
            relay = tuple(near[member].peer_address for member in members)
            self.notifier.notify(near[name].peer_address, before, relay)
        for entry in near.values():
            # A large value waits for its turn, and for full links. Told of with it, a
            # server that leaves would be used for as long.
            if large or (splits and entry.peer_address in self.notifier.large):
                self.early_notifier.notify(entry.peer_address, before)

    def _start(self, address: str, work: Coroutine[Any, Any, None]) -> None:
        """Run one task for a peer at a time; one that is behind asks by itself."""
        if address in self.under_way:
            work.close()
            return
        task = asyncio.get_running_loop().create_task(work)
        self.under_way[address] = task
        task.add_done_callback(lambda _: self.under_way.pop(address, None))

    async def async_take_news(self, request: web.BaseRequest) -> web.Response:
        """Take in what the watcher of this region tells."""
        try:
            body = await request.read()
            self.bytes["news", RECEIVED] += len(body)
            message = decode(body)
            self._take(message, self._sent_after(message, len(body)))
        except msgspec.MsgspecError as error:
            self.events.record(Event.PEER_MESSAGE_REJECTED, detail=str(error))
            return web.Response(status=400)
        if not self._pass_on(message):
            return web.Response(status=409)
        known = self.view.revision
        if message.partial_after is not None:
            known = self._partial_revision()
        if known < message.revision and message.hosts:
            # News before this one got lost, and this one can't stand without it.
            address = message.hosts[0].entry.peer_address
            self._start(address, self._async_exchange(address))
        return web.Response(status=204)

    def _pass_on(self, message: Message) -> bool:
        """Tell other hosts what the watcher told; False where it is not known here.

        The watcher tells them itself then.
        """
        if message.relay and self.view.revision < message.revision:
            return False
        for address in message.relay:
            self.notifier.notify(address, message.after)
        return True

    async def _async_exchange(self, address: str) -> None:
        """Exchange with one peer; a failure only means that its news gets older.

        One exchange at a time brings news, the others only heartbeats: copies of the
        same large value side by side would each take several times as long.
        """
        began = self.clock.monotonic()
        asked_at = self.asked_for_news_at
        wants_news = asked_at is None or began - asked_at > NEWS_SECONDS
        if wants_news:
            self.asked_for_news_at = began
        try:
            message = await self._async_ask(address, wants_news=wants_news)
            self._sent_after(message, 0)
            self._take(message, began)
            if message.proof is not None:
                self.view.certainty.take(message.proof, began)
            seconds = self.clock.monotonic() - began
            self.distances.note(self.table.region_of(address), seconds)
        except (
            TimeoutError,
            aiohttp.ClientError,
            OSError,
            msgspec.MsgspecError,
        ) as error:
            self._note_failure(address, error)
        finally:
            if wants_news and self.asked_for_news_at == began:
                self.asked_for_news_at = None

    async def _async_ask(self, address: str, *, wants_news: bool) -> Message:
        """Send this host's half to a peer and return the peer's."""
        body = self.encoded(self.view.revision, wants_news=wants_news)
        # Asked for with this half; should the answer be lost, the next heartbeat of a
        # host that is not known here asks again.
        self.table.lacks_addresses = False
        self.exchanges += 1
        self.bytes["exchange", SENT] += len(body)
        url = f"http://{address}{PATH}"
        full = self.link_is_full()
        idle_seconds = FULL_LINK_EXCHANGE_SECONDS if full else EXCHANGE_SECONDS
        async with asyncio.timeout(idle_seconds) as limit:
            async with self.session.post(url, data=body) as answer:
                data = await async_read_answer(answer.content, limit, idle_seconds)
        self.bytes["exchange", RECEIVED] += len(data)
        return decode(data)

    def _note_failure(self, address: str, error: BaseException) -> None:
        """Tell of an exchange that failed."""
        self.failures += 1
        self.events.record(
            Event.PEER_MESSAGE_DROPPED, address=address, detail=type(error).__name__
        )

    def encoded(self, revision: int, *, wants_news: bool = True) -> bytes:
        """Return this host's half of an exchange with a peer at a revision."""
        known = self.table.recent(self.clock.monotonic())
        message = self.writer.message(revision, known)
        message.wants_news = wants_news
        message.suspects = self.suspects.shared()
        return encode(message)

    def take_encoded(self, body: bytes) -> None:
        """Take in a peer's half; raise MsgspecError where it can't be read."""
        self._take(decode(body), self.clock.monotonic())

    async def async_answer(self, request: web.BaseRequest) -> web.Response:
        """Answer a peer's half of an exchange."""
        try:
            body = await request.read()
            self.bytes["exchange", RECEIVED] += len(body)
            message = decode(body)
            # How long this half was under way is not known, so its age is left aside.
            self._take(message, None)
        except msgspec.MsgspecError as error:
            self.events.record(Event.PEER_MESSAGE_REJECTED, detail=str(error))
            return web.Response(status=400)
        known = self.table.recent(self.clock.monotonic())
        revision = message.revision if message.wants_news else self.view.revision
        answer = self.writer.message(revision, known, full=message.wants_addresses)
        answer.suspects = self.suspects.shared()
        body = encode(answer)
        self.bytes["exchange", SENT] += len(body)
        return web.Response(body=body)

    def _sent_after(self, message: Message, size: int) -> float:
        """Return a time before which news was not written, as far as can be told."""
        now = self.clock.monotonic()
        sender = message.hosts[0] if message.hosts else None
        delay = None
        if sender is not None and message.sent_at is not None:
            name = sender.entry.name
            delay = self.delays.note(name, sender.started, message.sent_at, now)
        if delay is None:
            # Nothing to compare with: as long as its sender would have waited.
            delay = EXCHANGE_SECONDS + send_seconds(size)
        return now - delay

    def _take(self, message: Message, sent_after: float | None) -> None:
        """Take in a peer's half, or news.

        ``sent_after`` is a time before which it was not written, None if unknown.
        """
        now = self.clock.monotonic()
        self.table.take(message, now)
        self.writer.loads.take(message.loads, now)
        self.writer.busy_servers.take(message.busy_servers, self.view.servers, now)
        self.suspects.take(message.suspects)
        if message.partial_after is not None:
            self._take_partial(message, message.partial_after, sent_after)
            return
        before = self.view.revision
        if message.revision > before >= message.after:
            self._take_news(message, now)
            self.events.record(
                Event.CONFIGURATION_FROM_PEER,
                before=before,
                revision=message.revision,
                age=message.age and round(message.age, 3),
                seconds=round(self.clock.monotonic() - now, 3),
            )
        complete = self.view.revision >= message.revision
        if complete and message.age is not None and sent_after is not None:
            full_link = message.full_link
            self.ages.record_peer_view(sent_after, message.age, full_link=full_link)

    def _take_partial(
        self, message: Message, after: int, sent_after: float | None
    ) -> None:
        """Take in the small items of a message; the view stays incomplete."""
        items = [self.writer.packer.unpack(item) for item in message.items]
        changes = Changes((*items, *message.removed), self.view.revision)
        self.view.apply(changes, self.clock.monotonic(), _unconfirmed(message))
        if after > self._partial_revision():
            return
        self.partial_revision = max(self.partial_revision, message.revision)
        if message.age is not None and sent_after is not None:
            self.ages.record_servers_complete(sent_after - message.age)

    def _partial_revision(self) -> int:
        """Return up to which revision this host knows all but large values."""
        return max(self.view.revision, self.partial_revision)

    def _take_news(self, message: Message, now: float) -> None:
        """Take in the store's items that a peer passes on."""
        items = [self.writer.packer.unpack(item) for item in message.items]
        lapsed = _unconfirmed(message)
        if message.whole:
            snapshot = Snapshot(tuple(items), message.revision)
            self.view.replace(snapshot, now, lapsed)
            return
        changes = Changes((*items, *message.removed), message.revision)
        self.view.apply(changes, now, lapsed)

    def _next_address(self) -> str | None:
        """Return whom to exchange with: a host at random, or a seed while alone."""
        now = self.clock.monotonic()
        self.table.forget_lost(now)
        self.delays.keep(self.table.heard)
        own = self.own.entry.peer_address
        entries = [row.state.entry for row in self.table.recent(now)]
        known = {entry.peer_address for entry in entries}
        known |= {entry.peer_address for entry in self.view.hosts.values()}
        known.discard(own)
        if len(known) < 2:
            known |= {seed for seed in self.seeds if seed != own}
        if not known:
            return None
        near = known & {
            entry.peer_address for entry in entries if self.table.is_near(entry)
        }
        chosen = near if near and self.random.random() < NEAR_SHARE else known
        ordered = sorted(chosen)
        return ordered[self.random.randrange(len(ordered))]


def _unconfirmed(message: Message) -> dict[str, float]:
    """Return for how many seconds more removals of a message may be lapses.

    A peer of the former version names them only.
    """
    rows = zip_longest(message.lapsed, message.lapsed_seconds, fillvalue=LAPSED_SECONDS)
    return {str(key): float(seconds) for key, seconds in rows}
