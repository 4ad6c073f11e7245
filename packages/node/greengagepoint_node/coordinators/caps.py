"""Join caps to peers, the store and requests."""

import asyncio
from collections import deque
from collections.abc import Callable, Sequence
from contextlib import suppress
from typing import Final

from greengagepoint.caps import permits
from greengagepoint.caps.borrowing import Outgoing, apply_grant, create_loan_requests
from greengagepoint.caps.const import store_retry_seconds
from greengagepoint.caps.departures import (
    Departure,
    planned_departures,
    update_departed,
)
from greengagepoint.caps.ledger import owner_name
from greengagepoint.caps.lending import answer_request
from greengagepoint.caps.messages import (
    LedgerChanged,
    LoanGrant,
    LoanRequest,
    RegionUnitsWanted,
    Vouch,
    VouchRequest,
)
from greengagepoint.caps.owners import update_live
from greengagepoint.caps.rights import answer_vouch, handle_hint, record_vouch
from greengagepoint.caps.status import CapsStatus, status
from greengagepoint.caps.system import configure, run, yield_region_units
from greengagepoint.caps.tables import Permit, create_table, is_behind
from greengagepoint.configuration import Configuration
from greengagepoint.errors import StoreError
from greengagepoint.events import Event
from greengagepoint.hosts import HostIdentity
from greengagepoint_node.context import Context
from greengagepoint_node.coordinators.caps_ledger import async_read, async_sync

CONFLICT_RETRY_SECONDS: Final = 0.05
CONFLICT_RETRY_SECONDS_MAX: Final = 5.0
FIRST_WRITE_SECONDS: Final = 0.3
HANDOVER_SECONDS: Final = 3.0
HINTED_HOSTS_MAX: Final = 32


class CapsCoordinator:
    """Hold this host's rights toward sites; no request waits for the store."""

    def __init__(
        self,
        context: Context,
        configuration: Callable[[], Configuration],
        live_hosts: Callable[[], Sequence[HostIdentity]],
    ) -> None:
        self.context = context
        self.configuration = configuration
        self.live_hosts = live_hosts
        self.table = create_table(context.host)
        self.configured: Configuration | None = None
        self.departures: tuple[Departure, ...] = ()
        self.waiters: dict[str, deque[asyncio.Future[None]]] = {}
        self.sync_wanted = asyncio.Event()
        self.store_task: asyncio.Task[None] | None = None
        self.unsubscribes: list[Callable[[], None]] = []

    async def async_start(self) -> None:
        """Listen to peers and start the exchange with the store."""
        subscribe = self.context.peers.subscribe
        self.unsubscribes = [
            subscribe(LoanRequest, self.on_loan_request),
            subscribe(LoanGrant, self.on_loan_grant),
            subscribe(VouchRequest, self.on_vouch_request),
            subscribe(Vouch, self.on_vouch),
            subscribe(LedgerChanged, self.on_ledger_changed),
            subscribe(RegionUnitsWanted, self.on_region_units_wanted),
        ]
        self.tick(self.context.clock.monotonic())
        self.sync_wanted.set()
        self.store_task = asyncio.create_task(self._async_exchange())

    def leave(self) -> None:
        """Take no share any more and hand over units as they get free."""
        self.table.leaving = True
        self.table.next_plan = self.context.clock.monotonic()

    async def async_stop(self) -> None:
        """Return what is borrowed, hand over the share, and stop."""
        self.leave()
        now = self.context.clock.monotonic()
        for site in self.table.sites.values():
            site.peak = site.recent_peak = site.refused = 0
        self._send(create_loan_requests(self.table, list(self.table.sites), now))
        await self._async_cancel()
        with suppress(StoreError, TimeoutError):
            async with asyncio.timeout(HANDOVER_SECONDS):
                while (await async_sync(self.context, self.table)).again:
                    await self._async_pause(CONFLICT_RETRY_SECONDS)
        for unsubscribe in self.unsubscribes:
            unsubscribe()
        self.unsubscribes = []

    async def _async_cancel(self) -> None:
        """End the exchange with the store."""
        if self.store_task is None:
            return
        self.store_task.cancel()
        with suppress(asyncio.CancelledError):
            await self.store_task
        self.store_task = None

    def tick(self, now: float) -> None:
        """Keep rights and loans, and take a changed configuration."""
        configuration = self.configuration()
        if configuration is not self.configured:
            configure(self.table, configuration)
            self.departures = planned_departures(configuration)
            self.configured = configuration
        wall_milliseconds = self.context.clock.wall_milliseconds()
        update_departed(self.table, self.departures, wall_milliseconds)
        update_live(self.table, self.live_hosts(), now)
        commands = run(self.table, now)
        self._send(commands.messages)
        for happened in commands.events:
            self.context.events.record(happened.event, **happened.fields)
        if commands.sync:
            self.sync_wanted.set()
        for site in list(self.waiters):
            self._wake(site)

    def acquire(self, site: str, deadline_seconds: float) -> Permit | None:
        """Return the right to one request, or None where nothing is at hand."""
        now = self.context.clock.monotonic()
        return permits.acquire(self.table, site, deadline_seconds, now)

    def release(self, permit: Permit) -> None:
        """Give back the right to a request that has ended."""
        permits.release(self.table, permit)
        if permit.site in self.waiters:
            self._wake(permit.site)

    async def async_acquire(
        self, site: str, deadline_seconds: float, wait_seconds: float
    ) -> Permit | None:
        """Acquire, waiting a little for a loan or for another request's end."""
        permit = self.acquire(site, deadline_seconds)
        if permit is not None or wait_seconds <= 0 or site not in self.table.sites:
            return permit
        with suppress(TimeoutError):
            async with asyncio.timeout(wait_seconds):
                while permit is None:
                    await self._async_ask(site)
                    permit = self.acquire(site, deadline_seconds)
        return permit

    def headroom(self, site: str) -> int:
        """Return how many requests more could start toward a site now."""
        return permits.headroom(self.table, site, self.context.clock.monotonic())

    def status(self) -> CapsStatus:
        """Return what this host holds."""
        return status(self.table, self.context.clock.monotonic())

    def on_loan_request(self, sender: str, request: LoanRequest) -> None:
        """Lend units to a peer."""
        now = self.context.clock.monotonic()
        grant = answer_request(self.table, sender, request, now)
        if grant is not None:
            self.context.peers.send(sender, grant)

    def on_loan_grant(self, sender: str, grant: LoanGrant) -> None:
        """Take units from a peer and wake who waits for them."""
        now = self.context.clock.monotonic()
        for site in apply_grant(self.table, sender, grant, now):
            self.context.events.record(Event.LOAN_GRANTED, site=site, lender=sender)
            self._wake(site)

    def on_vouch_request(self, sender: str, request: VouchRequest) -> None:
        """Vouch for a peer's share."""
        now = self.context.clock.monotonic()
        vouch = answer_vouch(self.table, sender, request, now)
        if vouch is not None:
            self.context.peers.send(sender, vouch)

    def on_vouch(self, sender: str, vouch: Vouch) -> None:
        """Count a witness's word."""
        record_vouch(self.table, sender, vouch)

    def on_ledger_changed(self, sender: str, changed: LedgerChanged) -> None:
        """Read the ledger again, or tell a peer that has read an older one."""
        now = self.context.clock.monotonic()
        reply = handle_hint(self.table, changed, now)
        if reply is not None:
            self.context.peers.send(sender, reply)
        if is_behind(self.table, now):
            self.sync_wanted.set()

    def on_region_units_wanted(self, sender: str, wanted: RegionUnitsWanted) -> None:
        """Free spare units of the region's capacity."""
        if wanted.region == self.table.host.region:
            now = self.context.clock.monotonic()
            yield_region_units(self.table, wanted.units, now)

    def _send(self, messages: Sequence[Outgoing]) -> None:
        """Send messages to peers."""
        for outgoing in messages:
            self.context.peers.send(outgoing.host, outgoing.message)

    async def _async_ask(self, site: str) -> None:
        """Ask lenders without waiting for the tick, until a unit may be at hand."""
        future = asyncio.get_running_loop().create_future()
        waiting = self.waiters.setdefault(site, deque())
        waiting.append(future)
        try:
            self._send(
                create_loan_requests(self.table, [site], self.context.clock.monotonic())
            )
            await future
        finally:
            if future in waiting:
                waiting.remove(future)
            if not waiting and self.waiters.get(site) is waiting:
                del self.waiters[site]

    def _wake(self, site: str) -> None:
        """Wake as many waiters as there are units at hand."""
        waiting = self.waiters.get(site)
        if not waiting:
            return
        now = self.context.clock.monotonic()
        for _ in range(permits.available_units(self.table, site, now)):
            if not waiting:
                return
            future = waiting.popleft()
            if not future.done():
                future.set_result(None)

    async def _async_exchange(self) -> None:
        """Exchange the ledger whenever a tick or a hint asks for it.

        Before its first write the host tells its peers what it has read: if the store
        was restored, they know a later revision and say so.
        """
        with suppress(StoreError):
            await async_read(self.context, self.table)
            self._hint_peers()
            await self._async_pause(FIRST_WRITE_SECONDS)
        retry_seconds = CONFLICT_RETRY_SECONDS
        while True:
            await self.sync_wanted.wait()
            self.sync_wanted.clear()
            try:
                synced = await async_sync(self.context, self.table)
            except StoreError:
                await self._async_pause(store_retry_seconds(self._region_size()))
                continue
            if synced.written or synced.refused:
                self._hint_peers()
            if synced.again:
                self.sync_wanted.set()
                await self._async_pause(retry_seconds)
                retry_seconds = min(2 * retry_seconds, CONFLICT_RETRY_SECONDS_MAX)
            else:
                retry_seconds = CONFLICT_RETRY_SECONDS

    def _region_size(self) -> int:
        """Return about how many hosts of the region use its ledger."""
        hosts = self.table.region_hosts.get(self.context.host.region, ())
        return max(len(hosts), len(self.table.ledger.owners))

    async def _async_pause(self, seconds: float) -> None:
        """Wait for half to one and a half times the given time."""
        await asyncio.sleep(seconds * (0.5 + self.context.random.random()))

    def _hint_peers(self) -> None:
        """Tell owners of this region that the ledger has changed."""
        table = self.table
        names = {owner_name(key) for key in table.ledger.owners}
        hosts = table.region_hosts.get(table.host.region, ())
        if len(hosts) <= HINTED_HOSTS_MAX:
            names = {host.name for host in hosts}
        message = LedgerChanged(table.host.region, table.revision)
        for name in sorted(names - {table.host.name})[:HINTED_HOSTS_MAX]:
            self.context.peers.send(name, message)
