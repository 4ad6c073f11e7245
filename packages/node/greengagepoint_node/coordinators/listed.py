"""Read the host list for leaving backend servers and tell the region's hosts."""

import asyncio
from collections.abc import Callable, Sequence

from greengagepoint.balancing import listed
from greengagepoint.balancing.listed import LeavingNames, ListedTable
from greengagepoint.balancing.messages import ListedLeaving
from greengagepoint.balancing.tables import BackendTable
from greengagepoint.errors import StoreError
from greengagepoint.hosts import HostIdentity
from greengagepoint.protocols import HostList
from greengagepoint_node.context import Context


class ListedCoordinator:
    """Let two hosts of a region read the list often, and all hosts act on it.

    Membership reads the same list for entry hosts, but far less often than a leaving
    backend server has to be noticed.
    """

    def __init__(
        self,
        context: Context,
        host_list: HostList,
        live_hosts: Callable[[], Sequence[HostIdentity]],
        backends: BackendTable,
    ) -> None:
        self.context = context
        self.host_list = host_list
        self.live_hosts = live_hosts
        self.backends = backends
        self.table = ListedTable()
        self.reading: asyncio.Task[None] | None = None
        self.unsubscribe: Callable[[], None] | None = None

    async def async_start(self) -> None:
        """Listen to the region's readers."""
        self.unsubscribe = self.context.peers.subscribe(ListedLeaving, self.on_listed)

    async def async_stop(self) -> None:
        """Stop listening and reading."""
        if self.unsubscribe is not None:
            self.unsubscribe()
        if self.reading is not None:
            self.reading.cancel()
            await asyncio.gather(self.reading, return_exceptions=True)

    def tick(self, now: float) -> None:
        """Read the list when it is this host's turn; act on what was heard."""
        listed.apply(self.table, self.backends, now)
        if self.reading is not None and not self.reading.done():
            return
        if not listed.is_reader(self.context.host, self.live_hosts()):
            return
        if listed.is_read_due(self.table, now):
            self.reading = asyncio.create_task(self.async_read())

    def on_listed(self, sender: str, message: ListedLeaving) -> None:
        """Take in what a reader says."""
        now = self.context.clock.monotonic()
        self.table.by_reader[sender] = LeavingNames(frozenset(message.names), now)
        listed.apply(self.table, self.backends, now)

    async def async_read(self) -> None:
        """Read the list once; what it said before stays for a while if that fails."""
        try:
            hosts = await self.host_list.read()
        except StoreError:
            # Membership reads the same list and records the event.
            return
        now = self.context.clock.monotonic()
        leaving = [host.name for host in hosts if host.leaving]
        names = listed.leaving_backend_servers(self.backends, leaving)
        own_name = self.context.host.name
        if listed.record_read(self.table, own_name, len(hosts), names, now):
            self._tell(names)
        listed.apply(self.table, self.backends, now)

    def _tell(self, names: frozenset[str]) -> None:
        """Tell the hosts of this region."""
        message = ListedLeaving(tuple(sorted(names)))
        host = self.context.host
        for other in self.live_hosts():
            if other.region == host.region and other.name != host.name:
                self.context.peers.send(other.name, message)
