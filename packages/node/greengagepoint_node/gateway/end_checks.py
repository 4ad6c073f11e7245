"""Tell a backend server that has ended from a connection that broke."""

import asyncio
from typing import Final

from greengagepoint.placing.tables import Incarnation, Server

CHECK_SECONDS: Final = 0.3


class EndChecks:
    """Connect to servers whose connections broke, once for all requests of a moment.

    Servers also reset connections over their limit, cut answers off and close what is
    idle. Only one that no longer listens has ended.
    """

    def __init__(self) -> None:
        self.running: dict[Incarnation, asyncio.Task[bool]] = {}

    async def async_has_ended(self, server: Server) -> bool:
        """Tell whether nothing listens at a server's address now."""
        check = self.running.get(server.incarnation)
        if check is None:
            check = asyncio.create_task(_async_is_refused(server.address))
            self.running[server.incarnation] = check
            check.add_done_callback(lambda _: self.running.pop(server.incarnation))
        # The check goes on for other requests when this one's caller leaves.
        return await asyncio.shield(check)


async def _async_is_refused(address: str) -> bool:
    """Tell whether a connection is refused; one that hangs proves nothing."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(CHECK_SECONDS):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False
    writer.transport.abort()
    return False
