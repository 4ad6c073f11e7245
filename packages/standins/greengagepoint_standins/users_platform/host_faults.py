"""Kill, restart and pause hosts, and keep when each was disturbed."""

import asyncio
import signal
import time
from collections.abc import Iterable
from typing import NamedTuple

from greengagepoint_standins.users_platform.daemons import Node


class Disturbance(NamedTuple):
    """A host that was killed, stopped or started at a time; monotonic seconds."""

    at: float
    host: str


class HostFaults:
    """Disturb hosts; one that is disturbed is left alone by other faults."""

    def __init__(self) -> None:
        self.disturbances: list[Disturbance] = []
        self.busy: set[str] = set()

    async def async_restart(self, nodes: Iterable[Node], seconds: float) -> None:
        """Kill hosts and start them again after some time."""
        free = [node for node in nodes if node.name not in self.busy]
        self.busy |= {node.name for node in free}
        for node in free:
            self._record(node)
            await node.async_kill()
        await asyncio.sleep(seconds)
        for node in free:
            await node.async_start()
            self._record(node)
        self.busy -= {node.name for node in free}

    async def async_pause(self, node: Node, seconds: float) -> None:
        """Stop a host's process for a while."""
        if node.name in self.busy:
            return
        self.busy.add(node.name)
        self._record(node)
        node.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        node.process.send_signal(signal.SIGCONT)
        self._record(node)
        self.busy.discard(node.name)

    def is_disturbed(self, host: str, since: float, until: float) -> bool:
        """Return True if a host was disturbed within a time."""
        return any(
            row.host == host and since <= row.at <= until for row in self.disturbances
        )

    def _record(self, node: Node) -> None:
        """Record that a host was disturbed now."""
        self.disturbances.append(Disturbance(time.monotonic(), node.name))
