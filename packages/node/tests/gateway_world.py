"""Run a gateway on loopback with the platform's backend servers and a fake store."""

import asyncio
import contextlib
import random
import socket
from collections import deque
from collections.abc import Sequence
from typing import Any

import aiohttp
from deployment import async_until

from greengagepoint.accounts.tables import Account
from greengagepoint.events import Event
from greengagepoint.routing.tables import (
    CallerLimits,
    Destination,
    RequestKind,
    Route,
    ServicePolicy,
    create_route_table,
)
from greengagepoint_node.clock import SystemClock
from greengagepoint_node.gateway.daemon import GatewayDaemon
from greengagepoint_node.gateway.settings import (
    DRAIN_SECONDS,
    REVOKE_SECONDS,
    GatewaySettings,
)
from greengagepoint_node.gateway.store_types import (
    Changes,
    Configuration,
    Connection,
    Part,
    ServerEntry,
    Snapshot,
    StoredItem,
)
from greengagepoint_platform.load import decode_load
from greengagepoint_platform.names import HEADERS
from greengagepoint_standins.users_platform.backend import PlatformBackend

NAMES = HEADERS
HOST = "a.example"
ZONES = {"zone-a": "north", "zone-b": "south"}
ALLOCATED_PORTS: set[int] = set()
# The newest only; the daemons of a test need fewer.
HELD_ADDRESSES: deque[socket.socket] = deque(maxlen=100)
Accounts = Sequence[tuple[Account, list[str]]]


class EventLog:
    """Record events with their fields."""

    def __init__(self) -> None:
        self.rows: list[tuple[Event, dict[str, Any]]] = []

    def record(self, event: Event, **fields: Any) -> None:
        self.rows.append((event, fields))

    def of(self, event: Event) -> list[dict[str, Any]]:
        return [fields for kind, fields in self.rows if kind is event]


class AdjustableClock(SystemClock):
    """System clock that a test can advance and stop."""

    def __init__(self) -> None:
        self.ahead = 0.0
        self.stopped_at: float | None = None

    def stop(self) -> None:
        self.stopped_at = super().monotonic()

    def monotonic(self) -> float:
        now = super().monotonic() if self.stopped_at is None else self.stopped_at
        return now + self.ahead


class StaticStore:
    """A store whose content never changes."""

    def __init__(self, facts: dict[str, Any]) -> None:
        self.facts = facts

    async def async_snapshot(self) -> Snapshot:
        items = tuple(StoredItem(key, b"", 1) for key in self.facts)
        return Snapshot(items, 1)

    async def async_changes(
        self,
        after: int,
        wait_seconds: float,
        part: Part = Part.ALL,
        connection: Connection = Connection.WATCH,
    ) -> Changes:
        await asyncio.sleep(wait_seconds)
        return Changes((), after)

    async def async_grant_lease(self, seconds: float) -> int:
        return 1

    async def async_renew_lease(self, lease: int) -> None:
        return None

    async def async_end_lease(self, lease: int) -> None:
        return None

    async def async_put(self, entries: Any, lease: int) -> None:
        return None


def free_address() -> str:
    """Return a loopback address that was not returned before, and keep it free.

    The kernel may assign a port again as soon as it is free, to another listener or to
    a connection, and the daemon could not start. A bound socket prevents that, and lets
    a listener share its address.
    """
    while True:
        holder = socket.socket()
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        holder.bind(("127.0.0.1", 0))
        port = holder.getsockname()[1]
        if port not in ALLOCATED_PORTS:
            ALLOCATED_PORTS.add(port)
            HELD_ADDRESSES.append(holder)
            return f"127.0.0.1:{port}"
        holder.close()


def routes(**changes: Any) -> list[Route]:
    kinds = {
        "/safe/": RequestKind.SAFE,
        "/unsafe/": RequestKind.UNSAFE,
        "/pack/": RequestKind.DOWNLOAD,
        "/upload/": RequestKind.UPLOAD,
    }
    fields = {"timeout_seconds": 1.0, "attempts_max": 2, "goal_seconds": 0.4, **changes}
    return [
        Route(
            name=prefix,
            prefix=prefix,
            kind=kind,
            destinations=(Destination("booking"),),
            **fields,
        )
        for prefix, kind in kinds.items()
    ]


class GatewayEnvironment:
    """A daemon with backend servers and a caller's session."""

    def __init__(self, daemon: GatewayDaemon, backends: list[PlatformBackend]) -> None:
        self.daemon = daemon
        self.backends = backends
        self.events: EventLog = daemon.events
        self.clock: AdjustableClock = daemon.clock
        self.session = aiohttp.ClientSession()
        self.count = 0

    @property
    def url(self) -> str:
        return f"http://{self.daemon.settings.front_address}"

    def headers(self, deadline_ms: int = 2000) -> dict[str, str]:
        self.count += 1
        return {
            "Host": HOST,
            NAMES.request_id: f"id-{self.count}",
            NAMES.deadline_ms: str(deadline_ms),
        }

    async def async_call(
        self, path: str, method: str = "GET", deadline_ms: int = 2000, **fields: Any
    ) -> tuple[int, bytes, dict[str, str]]:
        headers = {**self.headers(deadline_ms), **fields.pop("headers", {})}
        async with self.session.request(
            method, self.url + path, headers=headers, **fields
        ) as answer:
            return answer.status, await answer.read(), dict(answer.headers)

    async def async_stop_updates(self) -> None:
        """Cut the host off from updates of the store and of peers."""
        await async_until(self.daemon.gossip.ages.is_current)
        self.clock.stop()
        following = self.daemon.tasks[:3]
        for task in following:
            task.cancel()
        await asyncio.wait(following)

    @contextlib.contextmanager
    def blocked_connections(self):
        """Block new connections to servers until the end of the context."""
        released = asyncio.Event()
        waiting = asyncio.Event()

        async def async_hold(*_: Any) -> None:
            waiting.set()
            await released.wait()

        trace = aiohttp.TraceConfig()
        trace.on_connection_create_start.append(async_hold)
        trace.freeze()
        traces = self.daemon.sessions.session.trace_configs
        traces.append(trace)
        try:
            yield waiting
        finally:
            traces.remove(trace)
            released.set()

    def ran(self) -> int:
        return sum(len(backend.ran) for backend in self.backends)


def create_daemon(facts: dict[str, Any], **changes: Any) -> GatewayDaemon:
    settings = GatewaySettings(
        host="h1",
        zone="zone-a",
        region="north",
        zones=ZONES,
        front_address=free_address(),
        ready_address=free_address(),
        directory_address=free_address(),
        peer_address=free_address(),
        seeds=(),
        names=NAMES,
        stop_seconds=2.0,
        retry_ratio=0.2,
        retry_slack=64.0,
        admission=True,
    )._replace(**changes)
    return GatewayDaemon(
        settings,
        StaticStore(facts),
        lambda item: facts[item.key],
        lambda directory: None,
        "/ready",
        AdjustableClock(),
        EventLog(),
        decode_load=decode_load,
    )


def create_facts(
    backends: list[PlatformBackend],
    rows: list[Route],
    accounts: Accounts = (),
    health_path: str = "",
) -> dict[str, Any]:
    policy = ServicePolicy(
        name="booking",
        cold_seconds=3,
        cold_requests_per_second=16,
        health_path=health_path,
    )
    table = create_route_table(1, {HOST: rows}, [policy], CallerLimits())
    for account, keys in accounts:
        table.accounts.add(account, keys)
    facts: dict[str, Any] = {"config": Configuration(table)}
    for backend in backends:
        facts[backend.instance] = ServerEntry(
            backend.instance, "booking", backend.address, "zone-a", 4, False, 0.0
        )
    return facts


@contextlib.asynccontextmanager
async def async_environment(
    servers: int = 2,
    seconds: float = 0.0,
    *,
    metrics: bool = False,
    drain_seconds: float = DRAIN_SECONDS,
    accounts: Accounts = (),
    rows: list[Route] | None = None,
    load: str = "1,0,4",
    health_path: str = "",
    memory_mb: float = 0.0,
    **changes: Any,
):
    random.seed(1)
    backends = [
        PlatformBackend(f"i-{index}", seconds=seconds) for index in range(servers)
    ]
    for backend in backends:
        backend.load = load
        await backend.async_start()
    metrics_address = free_address() if metrics else ""
    facts = create_facts(backends, rows or routes(**changes), accounts, health_path)
    daemon = create_daemon(
        facts,
        metrics_address=metrics_address,
        drain_seconds=drain_seconds,
        revoke_seconds=REVOKE_SECONDS,
        memory_mb=memory_mb,
    )
    await daemon.async_start()
    env = GatewayEnvironment(daemon, backends)
    try:
        await async_until(daemon.is_ready)
        yield env
    finally:
        await env.session.close()
        for task in daemon.tasks:
            task.cancel()
        for listener in daemon.listeners:
            await listener.async_close(0.02)
        await daemon.async_close_sessions()
        for backend in backends:
            await backend.async_stop()
