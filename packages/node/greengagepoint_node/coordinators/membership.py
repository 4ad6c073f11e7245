"""Keep track of the other hosts."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Any, Final, NamedTuple

from greengagepoint.errors import ErrorKind, GreengagepointError
from greengagepoint.events import Event
from greengagepoint.hosts import HostIdentity
from greengagepoint.membership import messaging, regions, seeds, systems
from greengagepoint.membership.messages import (
    MESSAGES,
    Claim,
    HostState,
    Message,
)
from greengagepoint.membership.tables import (
    Change,
    MembershipTables,
    RegionChange,
    Send,
)
from greengagepoint.protocols import HostList, ListedHost
from greengagepoint_node.context import Context

# How often hosts known only by digests are looked over for having gone stale.
VIEW_SECONDS: Final = 2.0

STATE_EVENTS: Final = {
    HostState.ALIVE: Event.HOST_ALIVE,
    HostState.SUSPECTED: Event.HOST_SUSPECTED,
    HostState.GONE: Event.HOST_GONE,
}


class Candidates(NamedTuple):
    """Candidate hosts, and the view and host list that they were made from."""

    version: int
    listed: dict[str, ListedHost]
    hosts: tuple[HostIdentity, ...]


class MembershipCoordinator:
    """Watch other hosts by probes, seeded from the lagging host list.

    ``tick`` is due every 0.5 to 1 s. ``version`` grows when ``live_hosts``,
    ``serving_hosts`` or a region's reachability may have changed. ``serving_count`` is
    about how many hosts serve in the whole fleet, of which a large one shows few.
    """

    def __init__(self, context: Context, host_list: HostList) -> None:
        self.context = context
        self.host_list = host_list
        self.tables = MembershipTables(context.host, context.clock.monotonic())
        self.version = 0
        self.listeners: list[Callable[[], None]] = []
        self.note_takers: dict[str, Callable[[str, bytes], None]] = {}
        self.note_makers: dict[str, Callable[[], bytes]] = {}
        self.unsubscribes: list[Callable[[], None]] = []
        self.reader: asyncio.Task[None] | None = None
        self.list_failed = False
        self.candidates: Candidates | None = None
        self.live: tuple[HostIdentity, ...] = (context.host,)
        self.serving: tuple[HostIdentity, ...] = (context.host,)
        self.serving_count = 1
        self.seen_version = -1
        self.viewed_at = float("-inf")

    async def async_start(self) -> None:
        """Listen to other hosts, read the host list once and probe the first hosts."""
        for message_type in MESSAGES:
            unsubscribe = self.context.peers.subscribe(message_type, self.receive)
            self.unsubscribes.append(unsubscribe)
        await self.async_read_list()
        self.reader = asyncio.create_task(self._async_read_lists())
        self.tick(self.context.clock.monotonic())

    async def async_stop(self) -> None:
        """Tell all known hosts that this one has gone, and stop listening."""
        if self.reader is not None:
            self.reader.cancel()
            await asyncio.gather(self.reader, return_exceptions=True)
            self.reader = None
        self._send(
            messaging.announce_state(self.tables, leaving=True, state=HostState.GONE)
        )
        while self.unsubscribes:
            self.unsubscribes.pop()()

    def tick(self, now: float) -> None:
        """Run the periodic systems; report what changed."""
        for key, make in self.note_makers.items():
            messaging.note(self.tables, key, make())
        self._send(systems.run(self.tables, now, self.context.random))
        self._report()

    def receive(self, sender: str, message: Message) -> None:
        """Take in a message of another host."""
        now = self.context.clock.monotonic()
        self._send(messaging.receive(self.tables, sender, message, now))
        piggyback = getattr(message, "piggyback", None)
        if piggyback is not None:
            for key, payload in piggyback.notes.items():
                if key in self.note_takers:
                    self.note_takers[key](sender, payload)
        self._report()

    @property
    def own_version(self) -> int:
        """Return the version of this host's own claim.

        It starts at the incarnation and outgrows what peers hold of earlier runs, also
        when the wall clock went back between two runs; links that order a host's runs
        by number use it in place of the incarnation.
        """
        return self.tables.me.version

    def live_hosts(self) -> tuple[HostIdentity, ...]:
        """Return hosts held alive or only suspected, not leaving; with this one."""
        return self.live

    def serving_hosts(self) -> tuple[HostIdentity, ...]:
        """Return live hosts that look-ups may name: not suspected, not leaving."""
        return self.serving

    def known_hosts(self) -> tuple[Claim, ...]:
        """Return all hosts with state, leaving flag, incarnation and addresses."""
        return systems.known_hosts(self.tables)

    def population(self) -> int:
        """Return about how many hosts there are in all."""
        now = self.context.clock.monotonic()
        return regions.population(self.tables, now)

    def candidate_hosts(self) -> tuple[HostIdentity, ...]:
        """Return live hosts, and listed ones that this host does not track.

        The latter's incarnation is 0: nobody here has heard them, they may be gone.
        """
        version, listed = self.version, self.tables.listed
        # By identity: each read of the list makes a new table, and comparing thousands
        # of equal entries would take half a millisecond of each tick.
        if (
            self.candidates is None
            or self.candidates.version != version
            or self.candidates.listed is not listed
        ):
            hosts = systems.candidate_hosts(self.tables, self.live)
            if self.candidates is not None and self.candidates.hosts == hosts:
                hosts = self.candidates.hosts
            self.candidates = Candidates(version, listed, hosts)
        return self.candidates.hosts

    def unreachable_regions(self) -> frozenset[str]:
        """Return regions of which no host can be heard."""
        return frozenset(self.tables.unreachable)

    def peer_address(self, host: str) -> str | None:
        """Return where a host's daemon listens to peers, if known."""
        return self.tables.peer_address(host)

    def set_leaving(self) -> None:
        """Leave look-ups, and tell all known hosts at once."""
        if self.tables.me.leaving:
            return
        self._send(
            messaging.announce_state(self.tables, leaving=True, state=HostState.ALIVE)
        )
        self._report()

    def on_change(self, callback: Callable[[], None]) -> Callable[[], None]:
        """Call back after each growth of ``version``; return the unsubscribe."""
        self.listeners.append(callback)
        return lambda: self.listeners.remove(callback)

    def add_note(
        self,
        key: str,
        make: Callable[[], bytes],
        take: Callable[[str, bytes], None],
    ) -> None:
        """Let a payload of at most 128 bytes travel with every probe and answer.

        ``make`` is asked each tick (empty: nothing to tell); ``take`` is called with
        the sender's name and its payload.
        """
        self.note_makers[key] = make
        self.note_takers[key] = take

    async def async_read_list(self) -> None:
        """Read the host list once; what it told before stays when it fails."""
        events = self.context.events
        try:
            hosts = await self.host_list.read()
        except (GreengagepointError, OSError) as error:
            if not self.list_failed:
                kind = getattr(error, "kind", None)
                garbage = kind is ErrorKind.STORE_ANSWER_INVALID
                event = Event.HOST_LIST_UNAVAILABLE
                if garbage:
                    event = Event.HOST_LIST_INVALID
                events.record(event, detail=str(error))
            self.list_failed = True
            return
        self.list_failed = False
        rejected = seeds.apply_list(self.tables, hosts)
        if rejected:
            events.record(Event.HOST_LIST_INVALID, rejected=rejected)

    async def _async_read_lists(self) -> None:
        """Read the host list from time to time."""
        while True:
            await asyncio.sleep(seeds.list_period_seconds(self.tables))
            await self.async_read_list()

    def _send(self, sends: Iterable[Send]) -> None:
        """Hand messages to the peer links; a lost one is made up for by later ones."""
        for host, message in sends:
            self.context.peers.send(host, message)

    def _report(self) -> None:
        """Record changes as events and tell the listeners."""
        changes, self.tables.changes = self.tables.changes, []
        for change in changes:
            if isinstance(change, RegionChange):
                self._report_region(change)
            else:
                self._report_host(change)
        now = self.context.clock.monotonic()
        due = now - self.viewed_at >= VIEW_SECONDS
        if self.tables.version == self.seen_version and not due:
            return
        self.viewed_at = now
        self.seen_version = self.tables.version
        view = (
            systems.live_hosts(self.tables, now),
            systems.serving_hosts(self.tables, now),
        )
        self.serving_count = regions.serving_population(self.tables, view[1], now)
        if view == (self.live, self.serving) and not changes:
            return
        self.live, self.serving = view
        self.version += 1
        for listener in tuple(self.listeners):
            listener()

    def _report_host(self, change: Change) -> None:
        """Record what happened to one host."""
        before, after = change.before, change.after
        own = after.name == self.context.host.name
        fields: dict[str, Any] = {
            "subject": after.name,
            "incarnation": after.incarnation,
            "region": after.region,
            "zone": after.zone,
        }
        if after.leaving and (before is None or not before.leaving):
            self.context.events.record(Event.HOST_LEAVING, **fields)
        fresh = before is None or before.incarnation != after.incarnation
        if not own and (fresh or before.state is not after.state):
            self.context.events.record(STATE_EVENTS[after.state], **fields)

    def _report_region(self, change: RegionChange) -> None:
        """Record that a region came into reach or went out of it."""
        event = Event.REGION_UNREACHABLE
        if change.reachable:
            event = Event.REGION_REACHABLE
        self.context.events.record(event, region=change.region)
