"""Raw sockets on both sides of a daemon: hostile callers and backend servers."""

import asyncio
import contextlib
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, NamedTuple

import msgspec
from deployment import REGIONS, Deployment, async_deployment, async_until, records

from greengagepoint.events import Event
from greengagepoint_node.daemon import Daemon
from greengagepoint_standins.backend_control import BackendControl

SERVERS_A_SITE = 2
WAIT_SECONDS = 10.0
# A reader over its limit stops, and the server resets an upload that is still sent.
UPLOAD_BYTES_MAX = 4_000_000
GOOD = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood"

Answer = Callable[[bytes, asyncio.StreamWriter], Awaitable[None]]


class RawPort:
    """One address of a raw backend server."""

    def __init__(self, server: asyncio.Server) -> None:
        self.server = server
        self.control = BackendControl()
        host, port = server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def async_stop(self) -> None:
        self.server.close()


class RawBackend:
    """Answer each request with the bytes that a test wants."""

    def __init__(self) -> None:
        self.answer: bytes | Answer = GOOD
        self.requests: list[bytes] = []
        self.connections = 0
        self.reads_bodies = True
        self.broken = 0

    async def async_open_port(self) -> RawPort:
        return RawPort(
            await asyncio.start_server(
                self.async_serve, "127.0.0.1", 0, limit=UPLOAD_BYTES_MAX
            )
        )

    async def async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if head.startswith(b"GET /load"):
                    writer.write(b"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n")
                    continue
                if self.reads_bodies:
                    self.broken += 1
                    head += await _async_read_body(head, reader)
                    self.broken -= 1
                self.requests.append(head)
                if isinstance(self.answer, bytes):
                    no_body = head.startswith(b"HEAD")
                    end = self.answer.index(b"\r\n\r\n") + 4 if no_body else None
                    writer.write(self.answer[:end])
                else:
                    await self.answer(head, writer)
                if writer.is_closing():
                    break
        writer.close()


async def _async_read_body(head: bytes, reader: asyncio.StreamReader) -> bytes:
    lowered = head.lower()
    if b"transfer-encoding: chunked" in lowered:
        return await reader.readuntil(b"0\r\n\r\n")
    _, found, rest = lowered.partition(b"content-length: ")
    return await reader.readexactly(int(rest.split(b"\r\n")[0])) if found else b""


class RawAnswer(NamedTuple):
    """What came back on one connection until it closed or fell silent."""

    raw: bytes

    @property
    def status(self) -> int:
        return int(self.raw.split(b" ", 2)[1]) if self.raw else 0

    @property
    def head(self) -> str:
        return self.raw.partition(b"\r\n\r\n")[0].decode("latin-1")

    @property
    def problem(self) -> dict[str, Any]:
        return msgspec.json.decode(self.raw.partition(b"\r\n\r\n")[2])


async def async_raw(daemon: Daemon, data: bytes) -> RawAnswer:
    """Send bytes; return all that comes until the daemon closes the connection."""
    host, port = daemon.identity.address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        with contextlib.suppress(ConnectionError):
            writer.write(data)
            async with asyncio.timeout(WAIT_SECONDS):
                return RawAnswer(await reader.read())
        return RawAnswer(b"")
    finally:
        writer.close()


def raw_request(
    target: bytes = b"/s/booking/bays",
    *lines: bytes,
    method: bytes = b"GET",
    version: bytes = b"HTTP/1.1",
    body: bytes = b"",
) -> bytes:
    """Build a request that asks for its connection to be closed."""
    head = (
        method + b" " + target + b" " + version,
        b"Host: entry",
        b"Greengagepoint-Team: drivers",
        b"Connection: close",
        *lines,
    )
    return b"\r\n".join(head) + b"\r\n\r\n" + body


def held(deployment: Deployment) -> dict[str, int]:
    """Return every counter of requests in flight that is not at zero."""
    counted: dict[str, int] = {}
    for name, daemon in deployment.daemons.items():
        gates = daemon.admission.gates.values()
        rows = daemon.backends.table.rows.values()
        counted |= {
            f"{name} pipeline": daemon.pipeline.in_flight,
            f"{name} pool": sum(len(gate.pool.in_flight) for gate in gates),
            f"{name} queue": sum(gate.pool.length for gate in gates),
            f"{name} waiting": len(daemon.admission.waiting),
            f"{name} servers": sum(row.in_flight for row in rows),
            f"{name} caps": sum(s.in_flight for s in daemon.caps.table.sites.values()),
        }
    return {name: count for name, count in counted.items() if count}


class RawDeployment(NamedTuple):
    """A deployment, one of its daemons and the server behind it.

    ``events`` counts what the daemon records; its ring keeps the newest only.
    """

    deployment: Deployment
    daemon: Daemon
    backend: RawBackend
    events: Counter[Event]


def _count_events(daemon: Daemon) -> Counter[Event]:
    counts: Counter[Event] = Counter()
    record = daemon.events.record

    def count(event: Event, **fields: Any) -> None:
        counts[event] += 1
        record(event, **fields)

    daemon.events.record = count
    return counts


@contextlib.asynccontextmanager
async def async_raw_deployment(
    service: dict[str, Any] | None = None,
) -> AsyncIterator[RawDeployment]:
    """Run one daemon a region, all of whose backend servers are one raw one."""
    backend = RawBackend()
    async with async_deployment(servers_a_site=1) as deployment:
        stand_ins = tuple(deployment.backends.values())
        deployment.backends = {
            f"{region}-{number}": await backend.async_open_port()
            for region in REGIONS
            for number in range(SERVERS_A_SITE)
        }
        wanted = records(deployment.backends, 40, service or {})
        answer = await deployment.async_apply(wanted)
        assert answer.get("generation") == 2, answer
        daemons = deployment.daemons.values()
        await async_until(
            lambda: all(d.config.configuration.generation == 2 for d in daemons)
        )
        try:
            daemon = deployment.daemons["attiki-host-0"]
            yield RawDeployment(deployment, daemon, backend, _count_events(daemon))
        finally:
            for stand_in in stand_ins:
                await stand_in.async_stop()


def forgive(daemon: Daemon) -> None:
    """Forget the failures of backend servers, so that cases don't mix."""
    for row in daemon.backends.table.rows.values():
        row.consecutive_failures = 0
        row.failure_rate = 0.0
        row.ejected_until = None
        row.ejection_pending = False
        row.slow_start_from = None
