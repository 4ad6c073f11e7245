"""Learn which requests were in flight at a server that ended."""

import asyncio
from typing import Final

from greengagepoint.placing.tables import Server
from greengagepoint.quarantine.tables import ServerIncarnation
from greengagepoint_node.gateway.call import Call
from greengagepoint_node.gateway.end_checks import EndChecks
from greengagepoint_node.gateway.identity import RequestIdentity
from greengagepoint_node.gateway.outcomes import Outcomes
from greengagepoint_node.gateway.request_quarantine import RequestQuarantine

# A server that runs a request to its own end does so within this.
ABANDONED_SECONDS: Final = 0.5


class ServerEnds:
    """Tell the quarantine of requests whose servers ended."""

    def __init__(self, quarantine: RequestQuarantine, outcomes: Outcomes) -> None:
        self.quarantine = quarantine
        self.outcomes = outcomes
        self.checks = EndChecks()
        self.watches: set[asyncio.Task[None]] = set()

    async def async_note_broken(
        self, call: Call, identity: RequestIdentity, server: Server
    ) -> None:
        """Find out whether a server ended, after a connection to it broke."""
        if await self.checks.async_has_ended(server):
            self.outcomes.note_ended(call, server, identity.fingerprint)
            self.quarantine.note_end(identity, server)

    def note_abandoned(
        self, call: Call, identity: RequestIdentity, server: Server
    ) -> None:
        """Find out later what became of a server whose request's caller has left."""
        task = asyncio.create_task(self._async_watch(call, identity, server))
        self.watches.add(task)
        task.add_done_callback(self.watches.discard)

    async def _async_watch(
        self, call: Call, identity: RequestIdentity, server: Server
    ) -> None:
        """Look after a server of which others tell that something is wrong."""
        await asyncio.sleep(ABANDONED_SECONDS)
        run = ServerIncarnation(server.instance, server.born)
        if server.failures or run in self.quarantine.table.lost.ends:
            await self.async_note_broken(call, identity, server)
