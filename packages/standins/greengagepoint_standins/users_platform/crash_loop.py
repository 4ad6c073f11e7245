"""Backend servers that end when they run certain requests, and callers of them."""

import asyncio
import contextlib
import socket
import time
from collections.abc import AsyncIterator, Callable
from typing import Final, NamedTuple

import aiohttp

from greengagepoint_standins.users_platform.backend import (
    PlatformBackend,
    Received,
    request_id,
)
from greengagepoint_standins.users_platform.daemons import Address, Fleet, Node

ZONE_OF: Final = ("z-a", "z-b")
# A run ends its server after this; its entry lapses, and the next run starts, later.
FATAL_RUN_SECONDS: Final = 0.05
ENTRY_SECONDS: Final = 1.0
RESTART_SECONDS: Final = 1.5
COLD_SECONDS: Final = 1.0
CALL_SECONDS: Final = 5.0
# What is told to a caller whose host is gone.
NO_HOST: Final = 0


class Outcome(NamedTuple):
    """When a request was sent, monotonic seconds, to whom, and the status it got."""

    sent_at: float
    status: int
    host: str
    request_id: str


class Arrival(NamedTuple):
    """When a fatal request came to a server, monotonic seconds, and which it was."""

    at: float
    target: str
    request_id: str


class MortalBackend(PlatformBackend):
    """One run of a server that ends when it runs a fatal request."""

    def __init__(
        self, instance: str, zone: str, place: Address, loop: "CrashLoop"
    ) -> None:
        super().__init__(instance, seconds=loop.seconds)
        self.zone = zone
        self.place = place
        self.loop = loop

    async def async_listen(self) -> None:
        """Listen at the server's own address, which all its runs have."""
        host, _, port = self.place.text.rpartition(":")
        await self.async_start(socket.create_server((host, int(port))))

    async def _async_answer(
        self,
        request: Received,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """End with a fatal request; answer any other."""
        named = request.headers.get("x-greengagepoint-target-instance")
        if request.target not in self.loop.fatal or named != self.instance:
            return await super()._async_answer(request, reader, writer)
        arrival = Arrival(time.monotonic(), request.target, request_id(request))
        self.loop.arrivals.append(arrival)
        await asyncio.sleep(FATAL_RUN_SECONDS)
        await self.loop.async_end(self, request.target)
        return False


class CrashLoop:
    """The servers of a fleet; ``fatal`` are the targets that end them.

    ``ends`` are the monotonic seconds of each end, and what ended the server, if a
    request did. With ``same_id`` a server starts again under its id, and its entry
    stays as it is.
    """

    def __init__(
        self, fleet: Fleet, fatal: set[str], seconds: float, *, same_id: bool
    ) -> None:
        self.fleet = fleet
        self.fatal = fatal
        self.seconds = seconds
        self.same_id = same_id
        self.arrivals: list[Arrival] = []
        self.ends: list[tuple[float, str | None]] = []
        self.count = 0
        self.places: list[Address] = []
        self.restarts: set[asyncio.Task[None]] = set()

    async def async_add(self, zone: str) -> None:
        """Start a server and write its entry."""
        place = Address()
        self.places.append(place)
        backend = MortalBackend(self._next_id(), zone, place, self)
        await self._async_begin(backend)
        self.fleet.enter(backend, zone)

    async def async_end(
        self, backend: MortalBackend, target: str | None = None
    ) -> None:
        """End a run, and start the next one of that server some time later."""
        if backend not in self.fleet.backends:
            return
        self.fleet.backends.remove(backend)
        self.ends.append((time.monotonic(), target))
        await backend.async_crash()
        task = asyncio.create_task(self._async_restart(backend))
        self.restarts.add(task)
        task.add_done_callback(self.restarts.discard)

    async def _async_restart(self, ended: MortalBackend) -> None:
        """Let the entry of an ended run lapse, and start the next run."""
        await asyncio.sleep(ENTRY_SECONDS)
        if not self.same_id:
            self.fleet.store.items.remove(f"servers/{ended.instance}")
        await asyncio.sleep(RESTART_SECONDS - ENTRY_SECONDS)
        instance = ended.instance if self.same_id else self._next_id()
        backend = MortalBackend(instance, ended.zone, ended.place, self)
        await self._async_begin(backend)
        if not self.same_id:
            self.fleet.enter(backend, ended.zone, coldLeftS=COLD_SECONDS)

    async def _async_begin(self, backend: MortalBackend) -> None:
        """Let a run listen."""
        await backend.async_listen()
        self.fleet.backends.append(backend)

    def _next_id(self) -> str:
        """Return the id of a new run."""
        self.count += 1
        return f"i-{self.count:03}"

    def sent_after(self, ends: int, seconds: float, target: str) -> list[Arrival]:
        """Return which fatal requests came later than so long after an end."""
        times = sorted(at for at, fatal in self.ends if fatal == target)
        if len(times) < ends:
            return []
        since = times[ends - 1] + seconds
        return [row for row in self.arrivals if row.target == target and row.at > since]

    def stop(self) -> None:
        """Start no run any more."""
        for task in self.restarts:
            task.cancel()
        for place in self.places:
            place.holder.close()


@contextlib.asynccontextmanager
async def async_crash_loop(
    fleet: Fleet,
    servers: int,
    fatal: set[str],
    seconds: float = 0.0,
    *,
    same_id: bool = False,
) -> AsyncIterator[CrashLoop]:
    """Put servers of a zone each in turn in place of a fleet's own."""
    loop = CrashLoop(fleet, fatal, seconds, same_id=same_id)
    former = list(fleet.backends)
    for number in range(servers):
        await loop.async_add(ZONE_OF[number % len(ZONE_OF)])
    for backend in former:
        fleet.backends.remove(backend)
        fleet.store.items.remove(f"servers/{backend.instance}")
        await backend.async_stop()
    await fleet.async_until(fleet.async_all_know)
    try:
        yield loop
    finally:
        loop.stop()


class Caller:
    """Send requests at a fixed rate, at one host after the other."""

    def __init__(
        self,
        fleet: Fleet,
        nodes: list[Node],
        target: Callable[[int], str],
        key: str,
        pause_seconds: float,
        method: str = "GET",
        body: bytes | None = None,
    ) -> None:
        self.fleet = fleet
        self.nodes = nodes
        self.target = target
        self.key = key
        self.pause_seconds = pause_seconds
        self.method = method
        self.body = body
        self.outcomes: list[Outcome] = []
        self.calls: set[asyncio.Task[None]] = set()

    async def async_run(self) -> None:
        """Send until cancelled; a slow answer holds up no further request."""
        number = 0
        while True:
            node = self.nodes[number % len(self.nodes)]
            task = asyncio.create_task(self._async_send(node, self.target(number)))
            self.calls.add(task)
            task.add_done_callback(self.calls.discard)
            number += 1
            await asyncio.sleep(self.pause_seconds)

    async def _async_send(self, node: Node, target: str) -> None:
        """Send one request and keep how it ended."""
        sent_at = time.monotonic()
        request_id = self.fleet.next_id()
        try:
            async with asyncio.timeout(CALL_SECONDS):
                status, _, _ = await self.fleet.async_call(
                    node, target, self.key, self.method, self.body, request_id
                )
        except (aiohttp.ClientError, TimeoutError):
            status = NO_HOST
        self.outcomes.append(Outcome(sent_at, status, node.name, request_id))

    def unserved_since(self, since: float) -> list[Outcome]:
        """Return what was sent after a time and got no good answer."""
        return [row for row in self.outcomes if row.sent_at > since and row[1] != 200]


@contextlib.asynccontextmanager
async def async_calling(*callers: Caller) -> AsyncIterator[None]:
    """Let callers send until the block ends, and wait for their last answers."""
    tasks = [asyncio.create_task(caller.async_run()) for caller in callers]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        for caller in callers:
            if caller.calls:
                await asyncio.wait(caller.calls)
