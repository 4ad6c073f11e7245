"""Exchange the table of live hosts and the store's items with peers.

The host that watches the store for its region sends each change to the region's other
hosts at once, and once a second confirms to them that their views are complete.

Every half second a host sends its table to a peer and receives the peer's table and the
store's items that it lacks. A host whose store requests are rejected, or whose watch
hangs on a silent connection, still learns of changes this way. A host that starts while
the store is down gets its first configuration the same way.
"""

import asyncio
from collections import Counter
from collections.abc import Callable, Coroutine
from itertools import zip_longest
from typing import Any, Final

import aiohttp
import msgspec
from aiohttp import web

from greengagepoint.admission.pressure import ServicePressure
from greengagepoint.config.watchers import must_watch, relays_of
from greengagepoint.events import Event
from greengagepoint.overload.full_link import LinkDelay
from greengagepoint.protocols import Clock, Random
from greengagepoint_node.context import EventSink
from greengagepoint_node.gateway.delays import MessageDelays
from greengagepoint_node.gateway.demand_exchange import (
    DemandExchange,
    NoDemandExchange,
)
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
from greengagepoint_node.gateway.load_reports import record_uneven_servers
from greengagepoint_node.gateway.message_writer import MessageWriter
from greengagepoint_node.gateway.news_ages import ViewFreshnessTracker
from greengagepoint_node.gateway.peer_notifier import PeerNotifier
from greengagepoint_node.gateway.signal_exchange import (
    NoSignalExchange,
    SignalExchange,
)
from greengagepoint_node.gateway.store_types import (
    Changes,
    Snapshot,
)
from greengagepoint_node.gateway.suspect_exchange import (
    NoSuspectExchange,
    SuspectExchange,
)
from greengagepoint_node.gateway.transfer import async_read_answer, send_seconds
from greengagepoint_node.gateway.view import LAPSED_SECONDS, FleetView

PERIOD_SECONDS: Final = 0.5
# The round trip between two regions is 40 ms. A peer that takes this long to start its
# answer, or pauses for as long, is overloaded or down.
EXCHANGE_SECONDS: Final = 0.6
# On a saturated link every peer takes longer: two one-way trips to connect, two for the
# messages, and half a second of queueing on each. With a shorter timeout every exchange
# would be abandoned and started again with another peer, without success.
FULL_LINK_EXCHANGE_SECONDS: Final = 2.5
# Only one exchange at a time asks for items. A peer that sends them byte by byte blocks
# other peers from sending them for at most this long; 100 KB over a link of 5 Mbit/s
# take 0.2 s.
UPDATE_WAIT_SECONDS: Final = 2.0
# The share of exchanges with hosts of the own region, where they cost less. Updates
# still reach each other region several times a second.
LOCAL_EXCHANGE_SHARE: Final = 0.8
# Hosts of the region, and of other regions, that are told at once of a change of this
# host; their exchanges spread it further.
ANNOUNCED_LOCAL_MAX: Final = 8
ANNOUNCED_MAX: Final = 4
EXCHANGE_PATH: Final = "/v1/gossip"
SENT: Final = "sent"
RECEIVED: Final = "received"


class Gossip:
    """Keep the table of hosts up to date by exchanging it with one peer at a time."""

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
        self.suspects: SuspectExchange = NoSuspectExchange()
        self.signals: SignalExchange = NoSignalExchange()
        self.demand: DemandExchange = NoDemandExchange()
        self.take_pressures: Callable[[list[ServicePressure]], None] = _ignore
        self.is_watcher = True
        self.ages = ViewFreshnessTracker(clock)
        self.partial_revision = 0
        self.link = LinkDelay()
        self.writer = MessageWriter(
            own, view, self.table, self.ages, clock, self.link_is_full
        )
        self.exchange_tasks: dict[str, asyncio.Task[None]] = {}
        self.announced: set[str] = set()
        self.notifier = PeerNotifier(
            session,
            clock,
            lambda before: self.writer.create_message(before, []),
            self._record_exchange_failure,
            self.bytes,
        )
        self.partial_notifier = PeerNotifier(
            session,
            clock,
            self.writer.create_partial,
            self._record_exchange_failure,
            self.bytes,
        )
        self.update_requested_at: float | None = None
        self.delays = MessageDelays()
        self.exchanges = 0
        self.failures = 0

    async def async_run(self) -> None:
        """Exchange with peers until cancelled.

        An exchange does not wait for the previous one. While a large value arrived over
        a slow link, the host's heartbeat would not advance, and after 3.5 s peers would
        stop listing the host for callers.
        """
        while True:
            self.own.count += 1
            address = self._choose_peer()
            if address is not None:
                self._start_exchange(address, self._async_exchange(address))
            await asyncio.sleep(PERIOD_SECONDS * (0.8 + 0.4 * self.random.random()))

    def peer_addresses(self) -> list[str]:
        """Return the addresses at which live peers receive messages."""
        alive = self.table.alive(self.clock.monotonic())
        return [row.entry.peer_address for row in alive if row is not self.own]

    def must_watch(self) -> bool:
        """Return True if this host has to watch the store itself."""
        return must_watch(
            watcher=self.is_watcher,
            confirmed_at=self.ages.peers_at,
            now=self.clock.monotonic(),
        )

    def link_is_full(self) -> bool:
        """Return True if the link queues everything that this host transfers."""
        return self.link.is_full(self.clock.monotonic())

    def confirm(self, before: int, seconds_ago: float) -> None:
        """Record that the store sent everything, and notify peers of the changes.

        ``before`` is the revision before the changes. ``seconds_ago`` is the age of the
        store's answer in seconds.
        """
        now = self.clock.monotonic()
        self.ages.record_store_read(seconds_ago)
        if not self.is_watcher or self.own.leaving:
            return
        # Earlier removals only follow from a whole snapshot, large values included.
        can_split = before >= self.view.removed_complete_after
        has_large = can_split and self.view.has_large_after(before)
        local_hosts = {
            state.entry.name: state.entry
            for state in self.table.alive(now)
            if state is not self.own and self.table.is_local(state.entry)
        }
        for name, members in relays_of(
            self.own.entry.region, local_hosts.values()
        ).items():
            relay = tuple(local_hosts[member].peer_address for member in members)
            self.notifier.notify(local_hosts[name].peer_address, before, relay)
        for entry in local_hosts.values():
            # A large value waits for a send slot and for saturated links. If a server's
            # departure were sent with it, the server would stay in use for as long.
            if has_large or (
                can_split and entry.peer_address in self.notifier.large_addresses
            ):
                self.partial_notifier.notify(entry.peer_address, before)

    def announce_state(self) -> None:
        """Tell some hosts at once that this host's state has changed."""
        self.own.count += 1
        peers = self.table.recent_peers(self.clock.monotonic())
        for is_local, hosts_max in (
            (True, ANNOUNCED_LOCAL_MAX),
            (False, ANNOUNCED_MAX),
        ):
            addresses = [
                row.state.entry.peer_address
                for row in peers
                if self.table.is_local(row.state.entry) == is_local
            ]
            for _ in range(min(hosts_max, len(addresses))):
                address = addresses.pop(self.random.randrange(len(addresses)))
                self._announce_to(address)

    def _announce_to(self, address: str) -> None:
        """Start an exchange with a peer, after the running one if there is one.

        The running one was written before the change.
        """
        running = self.exchange_tasks.get(address)
        if running is None:
            self._start_exchange(address, self._async_exchange(address))
        elif address not in self.announced:
            self.announced.add(address)
            running.add_done_callback(lambda task: self._announce_after(address, task))

    def _announce_after(self, address: str, ended: asyncio.Task[None]) -> None:
        """Announce this host's state to a peer once an exchange with it has ended."""
        self.announced.discard(address)
        if not ended.cancelled() and not self.session.closed:
            self._start_exchange(address, self._async_exchange(address))

    def _start_exchange(self, address: str, work: Coroutine[Any, Any, None]) -> None:
        """Start an exchange with a peer unless one is running."""
        if address in self.exchange_tasks:
            work.close()
            return
        task = asyncio.get_running_loop().create_task(work)
        self.exchange_tasks[address] = task
        task.add_done_callback(lambda _: self.exchange_tasks.pop(address, None))

    async def async_handle_update(self, request: web.BaseRequest) -> web.Response:
        """Handle an update from the watcher of this region."""
        try:
            body = await request.read()
            self.bytes["news", RECEIVED] += len(body)
            message = decode(body)
            self._apply_message(message, self._earliest_send_time(message, len(body)))
        except msgspec.MsgspecError as error:
            self.events.record(Event.PEER_MESSAGE_REJECTED, detail=str(error))
            return web.Response(status=400)
        if not self._relay_update(message):
            return web.Response(status=409)
        current = self.view.revision
        if message.partial_after is not None:
            current = self._small_values_revision()
        if current < message.revision and message.hosts:
            # An earlier update was lost, so this one can't be applied.
            address = message.hosts[0].entry.peer_address
            self._start_exchange(address, self._async_exchange(address))
        return web.Response(status=204)

    def _relay_update(self, message: Message) -> bool:
        """Relay the watcher's update; return False if this host lacks its revision.

        The watcher then notifies the other hosts itself.
        """
        if message.relay and self.view.revision < message.revision:
            return False
        for address in message.relay:
            self.notifier.notify(address, message.after)
        return True

    async def _async_exchange(self, address: str) -> None:
        """Exchange with one peer; on a failure the local view only gets older.

        Only one exchange at a time asks for items, the others carry heartbeats:
        concurrent copies of the same large value would each take several times as long.
        """
        started_at = self.clock.monotonic()
        requested_at = self.update_requested_at
        wants_news = (
            requested_at is None or started_at - requested_at > UPDATE_WAIT_SECONDS
        )
        if wants_news:
            self.update_requested_at = started_at
        try:
            message = await self._async_post_message(address, wants_news=wants_news)
            self._earliest_send_time(message, 0)
            self._apply_message(message, started_at)
            if message.proof is not None:
                self.view.certainty.take(message.proof, started_at)
            seconds = self.clock.monotonic() - started_at
            self.distances.record_exchange(self.table.region_of(address), seconds)
        except (
            TimeoutError,
            aiohttp.ClientError,
            OSError,
            msgspec.MsgspecError,
        ) as error:
            self._record_exchange_failure(address, error)
        finally:
            if wants_news and self.update_requested_at == started_at:
                self.update_requested_at = None

    async def _async_post_message(self, address: str, *, wants_news: bool) -> Message:
        """Send this host's exchange message to a peer and return the peer's."""
        region = self.table.region_of(address)
        body = self.encode_exchange(
            self.view.revision, wants_news=wants_news, region=region
        )
        # The message just encoded asks for the addresses. If the answer is lost, the
        # next heartbeat of an unknown host sets this again.
        self.table.lacks_addresses = False
        self.exchanges += 1
        self.bytes["exchange", SENT] += len(body)
        url = f"http://{address}{EXCHANGE_PATH}"
        full = self.link_is_full()
        idle_seconds = FULL_LINK_EXCHANGE_SECONDS if full else EXCHANGE_SECONDS
        async with asyncio.timeout(idle_seconds) as limit:
            async with self.session.post(url, data=body) as answer:
                data = await async_read_answer(answer.content, limit, idle_seconds)
        self.bytes["exchange", RECEIVED] += len(data)
        return decode(data)

    def _record_exchange_failure(self, address: str, error: BaseException) -> None:
        """Count and log a failed exchange."""
        self.failures += 1
        self.events.record(
            Event.PEER_MESSAGE_DROPPED, address=address, detail=type(error).__name__
        )

    def encode_exchange(
        self, revision: int, *, wants_news: bool = True, region: str | None = None
    ) -> bytes:
        """Return this host's encoded exchange message for a peer at a revision.

        ``region`` is the region of the peer, None if unknown.
        """
        peers = self.table.recent_peers(self.clock.monotonic())
        message = self.writer.create_message(revision, peers)
        message.wants_news = wants_news
        message.suspects = self.suspects.shared()
        message.limits = self.signals.shared_limits()
        message.leaving_servers = self.signals.shared_leaving()
        self.demand.fill(message, region)
        return encode(message)

    def apply_exchange(self, body: bytes) -> None:
        """Apply a peer's exchange message; raise MsgspecError if it is invalid."""
        self._apply_message(decode(body), self.clock.monotonic())

    async def async_answer(self, request: web.BaseRequest) -> web.Response:
        """Answer a peer's exchange message."""
        try:
            body = await request.read()
            self.bytes["exchange", RECEIVED] += len(body)
            message = decode(body)
            # The message's time in transit is unknown, so its age is ignored.
            self._apply_message(message, None)
        except msgspec.MsgspecError as error:
            self.events.record(Event.PEER_MESSAGE_REJECTED, detail=str(error))
            return web.Response(status=400)
        peers = self.table.recent_peers(self.clock.monotonic())
        revision = message.revision if message.wants_news else self.view.revision
        answer = self.writer.create_message(
            revision, peers, full=message.wants_addresses
        )
        answer.suspects = self.suspects.shared()
        answer.limits = self.signals.shared_limits()
        answer.leaving_servers = self.signals.shared_leaving()
        sender = message.hosts[0].entry.region if message.hosts else None
        self.demand.fill(answer, sender)
        body = encode(answer)
        self.bytes["exchange", SENT] += len(body)
        return web.Response(body=body)

    def _earliest_send_time(self, message: Message, size: int) -> float:
        """Return the estimated earliest time at which a message was written."""
        now = self.clock.monotonic()
        sender = message.hosts[0] if message.hosts else None
        delay = None
        if sender is not None and message.sent_at is not None:
            name = sender.entry.name
            delay = self.delays.record_message(
                name, sender.started, message.sent_at, now
            )
        if delay is None:
            # Without an earlier message to compare with, assume the sender's timeout.
            delay = EXCHANGE_SECONDS + send_seconds(size)
        return now - delay

    def _apply_message(self, message: Message, sent_after: float | None) -> None:
        """Apply an exchange message or an update.

        ``sent_after`` is the earliest time at which it was written, None if unknown.
        """
        now = self.clock.monotonic()
        self.table.merge(message, now)
        self.writer.loads.take(message.loads, now)
        self.writer.busy_servers.take(message.busy_servers, self.view.servers, now)
        if message.uneven_servers:
            record_uneven_servers(self.view.servers.demand, self.events, "peer")
        self.take_pressures(message.pressures)
        self.suspects.take(message.suspects)
        self.signals.take_limits(message.limits)
        self.signals.take_leaving(message.leaving_servers)
        self.demand.take(message)
        if message.partial_after is not None:
            self._apply_partial(message, message.partial_after, sent_after)
            return
        before = self.view.revision
        if message.revision > before >= message.after:
            self._apply_changes(message, now)
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

    def _apply_partial(
        self, message: Message, after: int, sent_after: float | None
    ) -> None:
        """Apply the small items of a message; the view stays incomplete."""
        items = [self.writer.packer.unpack(item) for item in message.items]
        changes = Changes((*items, *message.removed), self.view.revision)
        self.view.apply(changes, self.clock.monotonic(), _unconfirmed_removals(message))
        if after > self._small_values_revision():
            return
        self.partial_revision = max(self.partial_revision, message.revision)
        if message.age is not None and sent_after is not None:
            self.ages.record_servers_complete(sent_after - message.age)

    def _small_values_revision(self) -> int:
        """Return the revision up to which the view lacks at most large values."""
        return max(self.view.revision, self.partial_revision)

    def _apply_changes(self, message: Message, now: float) -> None:
        """Apply the store's items from a peer's message."""
        items = [self.writer.packer.unpack(item) for item in message.items]
        lapsed = _unconfirmed_removals(message)
        if message.whole:
            snapshot = Snapshot(tuple(items), message.revision)
            self.view.replace(snapshot, now, lapsed)
            return
        changes = Changes((*items, *message.removed), message.revision)
        self.view.apply(changes, now, lapsed)

    def _choose_peer(self) -> str | None:
        """Return the address of a random host, or of a seed while few are known."""
        now = self.clock.monotonic()
        self.table.evict_expired(now)
        self.delays.retain(self.table.peers_by_name)
        own = self.own.entry.peer_address
        entries = [row.state.entry for row in self.table.recent_peers(now)]
        addresses = {entry.peer_address for entry in entries}
        addresses |= {entry.peer_address for entry in self.view.hosts.values()}
        addresses.discard(own)
        if len(addresses) < 2:
            addresses |= {seed for seed in self.seeds if seed != own}
        if not addresses:
            return None
        local = addresses & {
            entry.peer_address for entry in entries if self.table.is_local(entry)
        }
        chosen = (
            local
            if local and self.random.random() < LOCAL_EXCHANGE_SHARE
            else addresses
        )
        ordered = sorted(chosen)
        return ordered[self.random.randrange(len(ordered))]


def _ignore(reports: list[ServicePressure]) -> None:
    """Ignore figures of peers while no part uses them."""


def _unconfirmed_removals(message: Message) -> dict[str, float]:
    """Return how many more seconds each removed key stays unconfirmed.

    A removal that follows an expired lease may be undone by a live server. A peer of
    the previous version sends only the keys, without seconds.
    """
    rows = zip_longest(message.lapsed, message.lapsed_seconds, fillvalue=LAPSED_SECONDS)
    return {str(key): float(seconds) for key, seconds in rows}
