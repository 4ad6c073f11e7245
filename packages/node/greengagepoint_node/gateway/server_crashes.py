"""Report requests that were in flight at crashed servers to the quarantine."""

import asyncio
from typing import Final

from greengagepoint.placing.tables import Server
from greengagepoint.quarantine.tables import ServerIncarnation
from greengagepoint_node.gateway.call import Call
from greengagepoint_node.gateway.crash_checks import CrashChecks
from greengagepoint_node.gateway.identity import RequestIdentity
from greengagepoint_node.gateway.outcomes import Outcomes
from greengagepoint_node.gateway.reach_monitor import ReachMonitor
from greengagepoint_node.gateway.request_quarantine import RequestQuarantine

# A server that a request crashes is down within this time.
ABANDONED_CHECK_DELAY_SECONDS: Final = 0.5


class ServerCrashes:
    """Record crashes of servers against the requests they were running."""

    def __init__(
        self,
        quarantine: RequestQuarantine,
        outcomes: Outcomes,
        monitor: ReachMonitor,
    ) -> None:
        self.monitor = monitor
        self.quarantine = quarantine
        self.outcomes = outcomes
        self.checks = CrashChecks()
        self.watches: set[asyncio.Task[None]] = set()

    async def async_handle_broken(
        self, call: Call, identity: RequestIdentity, server: Server
    ) -> None:
        """Check whether a server crashed after a connection to it broke; record it.

        A host whose links break sees all its servers reset and refuse connections.
        """
        began = self.monitor.clock.monotonic()
        self.monitor.note_doubt(began)
        if await self.checks.async_has_crashed(server):
            self.monitor.note_unreachable(server, began)
            if await self.monitor.async_has_lost_links():
                return
            self.outcomes.record_server_crash(call, server, identity.fingerprint)
            self.quarantine.note_end(identity, server)

    def watch_abandoned(
        self, call: Call, identity: RequestIdentity, server: Server
    ) -> None:
        """Check later whether a server crashed on a request its caller abandoned."""
        task = asyncio.create_task(self._async_watch(call, identity, server))
        self.watches.add(task)
        task.add_done_callback(self.watches.discard)

    async def _async_watch(
        self, call: Call, identity: RequestIdentity, server: Server
    ) -> None:
        """Check a server after a delay if failures or crashes of it were reported."""
        await asyncio.sleep(ABANDONED_CHECK_DELAY_SECONDS)
        run = ServerIncarnation(server.instance, server.born)
        if server.failures or run in self.quarantine.table.lost.ends:
            await self.async_handle_broken(call, identity, server)
