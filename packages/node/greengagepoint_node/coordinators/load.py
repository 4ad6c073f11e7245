"""Share what backend servers say of their load with the other hosts."""

import asyncio
from collections.abc import Callable, Sequence
from typing import Final

import aiohttp

from greengagepoint.balancing import sharing
from greengagepoint.balancing.messages import LoadReports, LoadWanted
from greengagepoint.balancing.reports import (
    LOAD_BYTES_MAX,
    InvalidLoadError,
    parse_load,
    record_load_report,
)
from greengagepoint.balancing.shared_reports import (
    apply_shared_reports,
    reports_to_send,
    rows_to_poll,
)
from greengagepoint.balancing.sharing import SharingTable
from greengagepoint.balancing.tables import BackendRow, BackendTable
from greengagepoint.configuration import Configuration
from greengagepoint.events import Event
from greengagepoint.hosts import HostIdentity
from greengagepoint_node.context import Context

LOAD_PATH: Final = "/load"
ASK_TIMEOUT_SECONDS: Final = 0.8
ASKED_AT_ONCE_MAX: Final = 8
WANTS_SECONDS: Final = 1.0

LiveHosts = Callable[[], Sequence[HostIdentity]]


class LoadCoordinator:
    """Ask some backend servers for their load and tell the hosts that want it.

    Only pools that some host sends to are asked, each by two hosts near it. A
    server that can't be reached has no report; what it last said loses its weight.
    """

    def __init__(
        self,
        context: Context,
        configuration: Callable[[], Configuration],
        live_hosts: LiveHosts,
        session: aiohttp.ClientSession,
        table: BackendTable,
    ) -> None:
        self.context = context
        self.configuration = configuration
        self.live_hosts = live_hosts
        self.session = session
        self.table = table
        self.sharing = SharingTable()
        self.unsubscribes: list[Callable[[], None]] = []
        self.asks: set[asyncio.Task[None]] = set()
        self.places = asyncio.Semaphore(ASKED_AT_ONCE_MAX)
        self.invalid: set[str] = set()
        self.wants_at = float("-inf")

    async def async_start(self) -> None:
        """Listen to other hosts."""
        subscribe = self.context.peers.subscribe
        self.unsubscribes = [
            subscribe(LoadWanted, self.on_wanted),
            subscribe(LoadReports, self.on_reports),
        ]

    async def async_stop(self) -> None:
        """Stop listening and asking."""
        while self.unsubscribes:
            self.unsubscribes.pop()()
        for ask in self.asks:
            ask.cancel()
        await asyncio.gather(*self.asks, return_exceptions=True)

    def tick(self, now: float) -> None:
        """Ask what is due and tell who is to be told."""
        if now - self.wants_at >= WANTS_SECONDS:
            self.wants_at = now
            self._send_wants(now)
        for row in rows_to_poll(self.sharing, self.table, now):
            ask = asyncio.create_task(self.async_ask(row))
            self.asks.add(ask)
            ask.add_done_callback(self.asks.discard)
        own_name = self.context.host.name
        messages = reports_to_send(self.sharing, self.table, own_name, now)
        for host, message in messages.items():
            self.context.peers.send(host, message)

    def on_wanted(self, sender: str, message: LoadWanted) -> None:
        """Remember who wants the load of which pools."""
        now = self.context.clock.monotonic()
        sharing.record_subscription(self.sharing, sender, message, now)

    def on_reports(self, sender: str, message: LoadReports) -> None:
        """Take in reports of another host."""
        now = self.context.clock.monotonic()
        for row in apply_shared_reports(self.table, message, now):
            self._tell_invalid(row, f"a count out of range, from host {sender}")

    async def async_ask(self, row: BackendRow) -> None:
        """Ask one backend server for its load."""
        async with self.places:
            try:
                async with asyncio.timeout(ASK_TIMEOUT_SECONDS):
                    text = await self._async_read(row)
                load = parse_load(text)
            except InvalidLoadError as error:
                self._tell_invalid(row, str(error))
                return
            except (aiohttp.ClientError, TimeoutError, OSError):
                return
        self.invalid.discard(row.address)
        record_load_report(row, load, self.context.clock.monotonic())

    async def _async_read(self, row: BackendRow) -> bytes:
        """Return the answer of the load endpoint, cut where it is too long."""
        url = f"http://{row.address}{LOAD_PATH}"
        async with self.session.get(url, allow_redirects=False) as answer:
            if answer.status != 200:
                raise InvalidLoadError(f"the load endpoint answers {answer.status}")
            text = b""
            while len(text) <= LOAD_BYTES_MAX:
                part = await answer.content.read(LOAD_BYTES_MAX + 1 - len(text))
                if not part:
                    break
                text += part
            return text

    def _send_wants(self, now: float) -> None:
        """Tell the askers of the pools in use that their load is wanted."""
        messages = sharing.subscriptions_to_send(
            self.sharing,
            sharing.used_pools(self.table, now),
            self.configuration(),
            self.live_hosts(),
            self.context.host.name,
            now,
        )
        for host, message in messages.items():
            self.context.peers.send(host, message)

    def _tell_invalid(self, row: BackendRow, detail: str) -> None:
        """Record an invalid report once until the server sends a valid one.

        A broken load endpoint is asked each second and would flood the log.
        """
        if row.address in self.invalid:
            return
        self.invalid.add(row.address)
        self.context.events.record(
            Event.LOAD_REPORT_INVALID,
            service=row.service,
            site=row.site,
            backend_server=row.name,
            detail=detail,
        )
