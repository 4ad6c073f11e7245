"""Distinguish a crashed backend server from a broken connection."""

import asyncio
from typing import Final

from greengagepoint.placing.tables import Incarnation, Server

CHECK_TIMEOUT_SECONDS: Final = 0.3


class CrashChecks:
    """Probe servers whose connections broke, with one probe for concurrent requests.

    Healthy servers also reset connections over their limit, truncate answers and close
    idle connections. Only a server that no longer listens has crashed.
    """

    def __init__(self) -> None:
        self.running: dict[Incarnation, asyncio.Task[bool]] = {}

    async def async_has_crashed(self, server: Server) -> bool:
        """Return True if nothing listens at the server's address."""
        check = self.running.get(server.incarnation)
        if check is None:
            check = asyncio.create_task(_async_is_refused(server.address))
            self.running[server.incarnation] = check
            check.add_done_callback(lambda _: self.running.pop(server.incarnation))
        # Shielded, as other requests may wait for the check when this one is cancelled.
        return await asyncio.shield(check)


async def _async_is_refused(address: str) -> bool:
    """Return True if a connection is refused; a timeout proves no crash."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(CHECK_TIMEOUT_SECONDS):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False
    writer.transport.abort()
    return False
