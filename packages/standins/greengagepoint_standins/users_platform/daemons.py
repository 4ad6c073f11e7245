"""Run daemons as the deploy file says, on the stand-ins of the users' platform."""

import asyncio
import base64
import contextlib
import math
import os
import signal
import socket
import sys
import time
import tomllib
from collections.abc import AsyncIterator, Awaitable, Callable, Collection
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

import aiohttp
import msgspec

from greengagepoint_standins.users_platform.backend import PlatformBackend
from greengagepoint_standins.users_platform.store import PlatformStore

SETTINGS_VARIABLE: Final = "GREENGAGEPOINT_NODE_FILE"
METRICS_VARIABLE: Final = "GREENGAGEPOINT_METRICS_ADDRESS"
ZONES: Final = {"z-a": "north", "z-b": "south"}
HOST: Final = "a.example"
SERVICE: Final = "booking"
LISTENERS: Final = ("front", "readiness", "directory", "control")
METRICS: Final = "metrics"
READY_SECONDS: Final = 20.0
LOOK_SECONDS: Final = 0.05
SIGNAL_LOOK_SECONDS: Final = 0.002
GRACE_SECONDS: Final = 3
HOSTS: Final = (("n1", "z-a"), ("n2", "z-a"), ("n3", "z-b"))


@dataclass
class ProcessLife:
    """One process of a host; times are monotonic seconds, infinity if not yet.

    ``stop_at`` is the first SIGTERM, ``is_killed`` tells that it outlived its grace,
    and ``exit_code`` is the negative number of the signal that ended it, if one did.
    """

    host: str
    began_at: float
    stop_at: float = math.inf
    ended_at: float = math.inf
    is_killed: bool = False
    exit_code: int | None = None
    lines: list[dict[str, Any]] = field(default_factory=list)


class Address:
    """An address on loopback that is kept for one daemon until it is given back.

    A port that is only looked up may be given out again, or become the port of some
    connection, before the daemon listens; that start fails with "Address already in
    use". A bound socket keeps both off, and lets a daemon listen that shares it.
    """

    def __init__(self) -> None:
        self.holder = socket.socket()
        self.holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.holder.bind(("127.0.0.1", 0))
        self.text = f"127.0.0.1:{self.holder.getsockname()[1]}"


def deployed_command(root: Path) -> list[str]:
    """Return the command of the deploy file's role, for this interpreter."""
    deploy = tomllib.loads((root / "deploy" / "system.toml").read_text())
    words = deploy["roles"]["host"]["run"].split()
    return [sys.executable, *words[1:]]


def has_disposition(pid: int, number: signal.Signals) -> bool:
    """Return True if a process ignores or catches a signal, False if it is gone."""
    try:
        status = Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return False
    fields = dict(line.split(":", 1) for line in status.splitlines() if ":" in line)
    masks = [int(fields.get(name, "0"), 16) for name in ("SigIgn", "SigCgt")]
    return any(mask >> (number - 1) & 1 for mask in masks)


class Node:
    """One daemon as a process of its own; ``lines`` is its log so far."""

    def __init__(
        self, root: Path, folder: Path, name: str, zone: str, store: str
    ) -> None:
        self.root = root
        self.name = name
        self.held = {kind: Address() for kind in (*LISTENERS, METRICS)}
        self.listen = {kind: self.held[kind].text for kind in LISTENERS}
        self.metrics = self.held[METRICS].text
        self.path = folder / f"{name}.json"
        self.command = deployed_command(root)
        self.lines: list[dict[str, Any]] = []
        self.lives: list[ProcessLife] = []
        self.document: dict[str, Any] = {
            "nodeName": name,
            "zone": zone,
            "region": ZONES[zone],
            "zones": ZONES,
            "listen": self.listen,
            "seeds": [],
            "bounds": {
                "graceS": GRACE_SECONDS,
                "retryBudgetRatio": 0.2,
                "budgetSlack": 64,
            },
            "platform": {"address": store, "form": "kv"},
        }

    def write_settings(self) -> None:
        """Write the settings file."""
        self.path.write_bytes(msgspec.json.encode(self.document))

    async def async_start(self) -> None:
        """Start the process."""
        self.write_settings()
        self.lines = []
        life = ProcessLife(self.name, time.monotonic(), lines=self.lines)
        self.lives.append(life)
        self.process = await asyncio.create_subprocess_exec(
            *self.command,
            cwd=self.root,
            env={
                **os.environ,
                SETTINGS_VARIABLE: str(self.path),
                METRICS_VARIABLE: self.metrics,
            },
            stdout=asyncio.subprocess.PIPE,
        )
        self.reading = asyncio.create_task(self._async_read())
        self.ending = asyncio.create_task(self._async_note_end(life))

    async def _async_note_end(self, life: ProcessLife) -> None:
        """Note when a process ends."""
        life.exit_code = await self.process.wait()
        life.ended_at = time.monotonic()

    async def async_reload(self) -> None:
        """Send SIGHUP as soon as the process ignores or handles it.

        It ends every process whose interpreter has not started yet.
        """
        process = self.process
        while process.returncode is None:
            if has_disposition(process.pid, signal.SIGHUP):
                process.send_signal(signal.SIGHUP)
                return
            await asyncio.sleep(SIGNAL_LOOK_SECONDS)

    async def async_kill(self) -> None:
        """End the process if it still runs."""
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        await self.ending
        await self.reading

    async def async_terminate(self, grace_seconds: float) -> None:
        """Send SIGTERM, and kill the process if it outlives its grace."""
        life = self.lives[-1]
        if self.process.returncode is not None:
            return
        life.stop_at = min(life.stop_at, time.monotonic())
        self.process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(grace_seconds):
                await self.process.wait()
        except TimeoutError:
            # A test that stood still sees the timeout after the end of the process.
            if self.process.returncode is None:
                life.is_killed = True
                self.process.kill()
        await self.ending
        await self.reading

    def give_back(self) -> None:
        """Give back the addresses; the daemon is not started again."""
        for address in self.held.values():
            address.holder.close()

    def events(self) -> list[str]:
        """Return the names of the events so far."""
        return [row["name"] for row in self.lines]

    async def _async_read(self) -> None:
        """Keep the log."""
        assert self.process.stdout is not None
        async for line in self.process.stdout:
            self.lines.append(msgspec.json.decode(line))


class Fleet:
    """Daemons, backend servers and a store, and the operator and a caller of them."""

    def __init__(
        self,
        store: PlatformStore,
        backends: list[PlatformBackend],
        nodes: list[Node],
        session: aiohttp.ClientSession,
    ) -> None:
        self.store = store
        self.backends = backends
        self.nodes = nodes
        self.session = session
        self.version = 0
        self.count = 0

    def put(self, key: str, document: dict[str, Any]) -> None:
        """Write a document as the operator or a server does."""
        value = base64.b64encode(msgspec.json.encode(document)).decode()
        self.store.items.put(key, value)

    def configure(
        self, *prefixes: str, kind: str = "safe", unsafe: Collection[str] = ()
    ) -> None:
        """Put a configuration with these routes, all of one kind but the unsafe."""
        self.version += 3
        rules = [
            {
                "name": f"r{prefix}",
                "kind": "unsafe" if prefix in unsafe else kind,
                "targetLatencyS": 0.4,
                "sticky": True,
                "match": {"pathPrefix": prefix},
                "action": {"service": SERVICE, "timeoutS": 2.0, "maxAttempts": 2},
            }
            for prefix in prefixes
        ]
        document = {
            "version": f"r{self.version}",
            "listeners": [{"host": HOST, "rules": rules}],
            "clusters": [{"name": SERVICE, "coldStartS": 1.0, "coldPerS": 50.0}],
        }
        self.put("op/config", document)

    def enter(
        self,
        backend: PlatformBackend,
        zone: str,
        state: str = "ready",
        **fields: Any,
    ) -> None:
        """Write a server's entry; ``fields`` go before the ordinary ones."""
        document = {
            "service": SERVICE,
            "address": backend.address,
            "zone": zone,
            "version": "1",
            "slots": 8,
            "state": state,
            "coldLeftS": 0,
            "sequence": 1,
            **fields,
        }
        self.put(f"servers/{backend.instance}", document)

    def next_id(self) -> str:
        """Return the id of a new request."""
        self.count += 1
        return f"id-{self.count}"

    async def async_call(
        self,
        node: Node,
        path: str,
        key: str = "1",
        method: str = "GET",
        body: bytes | None = None,
        request_id: str | None = None,
    ) -> tuple[int, str, str]:
        """Send a request; return its status, the server that ran it, and its id."""
        request_id = request_id or self.next_id()
        headers = {
            "Host": HOST,
            "X-Greengagepoint-Request-Id": request_id,
            "X-Greengagepoint-Deadline-Ms": "3000",
            "Cookie": f"X-Greengagepoint-Affinity-Key={key}",
        }
        url = f"http://{node.listen['front']}{path}"
        async with self.session.request(
            method, url, headers=headers, data=body
        ) as answer:
            server = (await answer.read()).decode().split(" ")[0]
            return answer.status, server, request_id

    async def async_until(
        self, check: Callable[[], Awaitable[bool]], seconds: float = READY_SECONDS
    ) -> None:
        """Wait until a check holds; raise TimeoutError when it takes too long."""
        async with asyncio.timeout(seconds):
            while not await check():  # noqa: ASYNC110
                await asyncio.sleep(LOOK_SECONDS)

    async def async_is_ready(self, node: Node) -> bool:
        """Ask a daemon whether callers may be sent there."""
        with contextlib.suppress(aiohttp.ClientError):
            url = f"http://{node.listen['readiness']}/api/ready"
            async with self.session.get(url) as answer:
                return answer.status == 200
        return False

    async def async_all_know(self) -> bool:
        """Tell whether each host has taken in all that the store holds."""
        line = f"greengagepoint_store_revision {self.store.items.revision}"
        for node in self.nodes:
            async with self.session.get(f"http://{node.metrics}/metrics") as answer:
                if line not in (await answer.text()).splitlines():
                    return False
        return True

    async def async_named(self, node: Node, region: str) -> list[str]:
        """Ask a daemon for the hosts that callers of a region should use."""
        url = f"http://{node.listen['directory']}/api/resolve"
        query = {"name": HOST, "region": region, "zone": "z-a"}
        async with self.session.get(url, params=query) as answer:
            if answer.status != 200:
                return []
            return msgspec.json.decode(await answer.read())["addresses"]


@contextlib.asynccontextmanager
async def async_fleet(
    root: Path,
    folder: Path,
    *,
    strangers: bool = False,
    hosts: Collection[tuple[str, str]] = HOSTS,
    prepare: Callable[[Node, list[PlatformBackend]], None] | None = None,
) -> AsyncIterator[Fleet]:
    """Run daemons and four servers in two regions until the block ends.

    ``hosts`` are names and zones. ``prepare`` changes a daemon's command before it
    starts, when the servers listen. Daemons that are ``strangers`` never hear
    of each other, but all reach the store.
    """
    store = PlatformStore()
    await store.async_start()
    store.control.lost_prefix = "hosts/" if strangers else None
    backends = [PlatformBackend(f"i-{number}") for number in range(4)]
    nodes = [Node(root, folder, name, zone, store.address) for name, zone in hosts]
    async with aiohttp.ClientSession() as session:
        fleet = Fleet(store, backends, nodes, session)
        for number, backend in enumerate(backends):
            await backend.async_start()
            fleet.enter(backend, "z-a" if number < 2 else "z-b")
        fleet.configure("/bays/")
        for node in nodes:
            if not strangers:
                node.document["seeds"] = [row.listen["control"] for row in nodes]
            if prepare is not None:
                prepare(node, backends)
            await node.async_start()
        try:
            for node in nodes:
                await fleet.async_until(lambda node=node: fleet.async_is_ready(node))
            yield fleet
        finally:
            for node in nodes:
                await node.async_kill()
                node.give_back()
            for backend in backends:
                await backend.async_stop()
            await store.async_stop()
