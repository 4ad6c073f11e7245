"""Three real daemons, started by the deploy file's own command, on the stand-ins."""

import asyncio
import base64
import contextlib
import os
import signal
import socket
import sys
import tomllib
from pathlib import Path

import aiohttp
import msgspec
import pytest

from greengagepoint_platform.names import SETTINGS_FILE_VARIABLE
from greengagepoint_standins.users_platform.backend import PlatformBackend
from greengagepoint_standins.users_platform.store import PlatformStore

ROOT = Path(__file__).parents[3]
ZONES = {"z-a": "north", "z-b": "south"}
HOST = "a.example"
READY_SECONDS = 20.0
LISTENERS = ("front", "readiness", "directory", "control")


def free_address():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def command():
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    words = deploy["roles"]["host"]["run"].split()
    return [sys.executable, *words[1:]]


class Node:
    """One daemon as a process of its own."""

    def __init__(self, name, zone, store, folder):
        self.name = name
        self.listen = {kind: free_address() for kind in LISTENERS}
        self.path = folder / f"{name}.json"
        self.document = {
            "nodeName": name,
            "zone": zone,
            "region": ZONES[zone],
            "zones": ZONES,
            "listen": self.listen,
            "seeds": [],
            "bounds": {"graceS": 3, "retryBudgetRatio": 0.2, "budgetSlack": 64},
            "platform": {"address": store.address, "form": "kv"},
        }

    async def async_start(self):
        self.path.write_bytes(msgspec.json.encode(self.document))
        environment = {**os.environ, SETTINGS_FILE_VARIABLE: str(self.path)}
        self.process = await asyncio.create_subprocess_exec(
            *command(), cwd=ROOT, env=environment, stdout=asyncio.subprocess.PIPE
        )
        self.lines = []
        self.reading = asyncio.create_task(self.async_read())

    async def async_read(self):
        async for line in self.process.stdout:
            self.lines.append(msgspec.json.decode(line))

    def names(self):
        return [row["name"] for row in self.lines]

    async def async_kill(self):
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        await self.reading


class Fleet:
    """Three daemons, four backend servers, one store."""

    def __init__(self, store, backends, nodes, session):
        self.store = store
        self.backends = backends
        self.nodes = nodes
        self.session = session
        self.version = 0
        self.count = 0

    def put(self, key, document):
        value = base64.b64encode(msgspec.json.encode(document)).decode()
        self.store.items.put(key, value)

    def configure(self, *prefixes):
        self.version += 3
        rules = [
            {
                "name": f"r{prefix}",
                "kind": "safe",
                "targetLatencyS": 0.4,
                "sticky": True,
                "match": {"pathPrefix": prefix},
                "action": {"service": "booking", "timeoutS": 2.0, "maxAttempts": 2},
            }
            for prefix in prefixes
        ]
        document = {
            "version": f"r{self.version}",
            "listeners": [{"host": HOST, "rules": rules}],
            "clusters": [{"name": "booking", "coldStartS": 1.0, "coldPerS": 50.0}],
        }
        self.put("op/config", document)

    def enter(self, backend, zone, state="ready"):
        self.put(
            f"servers/{backend.instance}",
            {
                "service": "booking",
                "address": backend.address,
                "zone": zone,
                "slots": 8,
                "state": state,
                "coldLeftS": 0,
                "sequence": 1,
            },
        )

    async def async_call(self, node, path, key="1"):
        self.count += 1
        headers = {
            "Host": HOST,
            "X-Greengagepoint-Request-Id": f"id-{self.count}",
            "X-Greengagepoint-Deadline-Ms": "3000",
            "Cookie": f"X-Greengagepoint-Affinity-Key={key}",
        }
        url = f"http://{node.listen['front']}{path}"
        async with self.session.get(url, headers=headers) as answer:
            return answer.status, (await answer.read()).decode().split(" ")[0]

    async def async_until(self, check, seconds=READY_SECONDS):
        async with asyncio.timeout(seconds):
            while not await check():  # noqa: ASYNC110
                await asyncio.sleep(0.05)

    async def async_is_ready(self, node):
        with contextlib.suppress(aiohttp.ClientError):
            url = f"http://{node.listen['readiness']}/api/ready"
            async with self.session.get(url) as answer:
                return answer.status == 200
        return False

    async def async_named(self, node, region):
        url = f"http://{node.listen['directory']}/api/resolve"
        query = {"name": HOST, "region": region, "zone": "z-a"}
        async with self.session.get(url, params=query) as answer:
            if answer.status != 200:
                return []
            document = msgspec.json.decode(await answer.read())
            assert document["ttlS"] > 0
            return document["addresses"]

    async def async_everywhere(self, path, key="1"):
        return {await self.async_call(node, path, key) for node in self.nodes}


@contextlib.asynccontextmanager
async def async_fleet(folder):
    store = PlatformStore()
    await store.async_start()
    backends = [PlatformBackend(f"i-{number}") for number in range(4)]
    nodes = [
        Node("n1", "z-a", store, folder),
        Node("n2", "z-a", store, folder),
        Node("n3", "z-b", store, folder),
    ]
    seeds = [node.listen["control"] for node in nodes]
    async with aiohttp.ClientSession() as session:
        fleet = Fleet(store, backends, nodes, session)
        for number, backend in enumerate(backends):
            await backend.async_start()
            fleet.enter(backend, "z-a" if number < 2 else "z-b")
        fleet.configure("/bays/")
        for node in nodes:
            node.document["seeds"] = seeds
            await node.async_start()
        try:
            for node in nodes:
                await fleet.async_until(lambda node=node: fleet.async_is_ready(node))
            yield fleet
        finally:
            for node in nodes:
                await node.async_kill()
            for backend in backends:
                await backend.async_stop()
            await store.async_stop()


@pytest.fixture
async def fleet(tmp_path):
    async with async_fleet(tmp_path) as running:
        yield running


async def test_the_whole_path(fleet):
    n1, n2, n3 = fleet.nodes

    # All hosts of a region bring a key to the same server.
    found = {await fleet.async_call(node, "/bays/", "17") for node in (n1, n2)}
    assert len(found) == 1
    assert {status for status, _ in found} == {200}

    # Look-ups name the hosts of the caller's region.
    async def async_both_named():
        named = await fleet.async_named(n3, "north")
        return sorted(named) == sorted([n1.listen["front"], n2.listen["front"]])

    await fleet.async_until(async_both_named)

    # A new configuration is in force everywhere within two seconds.
    fleet.configure("/bays/", "/pay/")

    async def async_in_force():
        statuses = await fleet.async_everywhere("/pay/")
        return {status for status, _ in statuses} == {200}

    await fleet.async_until(async_in_force, 2.0)

    # A leaving server gets nothing new, and an evacuated zone neither.
    fleet.enter(fleet.backends[0], "z-a", "draining")
    await asyncio.sleep(1.0)
    before = len(fleet.backends[0].received)
    answers = [await fleet.async_call(n1, "/bays/", str(key)) for key in range(10)]
    assert {status for status, _ in answers} == {200}
    assert "i-0" not in {server for _, server in answers}
    fleet.put("op/evacuate/z-a", {})
    await asyncio.sleep(1.0)
    answers = [await fleet.async_call(n1, "/bays/", str(key)) for key in range(10)]
    assert {server for _, server in answers} <= {"i-2", "i-3"}
    assert len(fleet.backends[0].received) == before


async def test_a_host_that_starts_while_the_store_is_down(fleet):
    # The store is down when a host is replaced. It gets the configuration and the
    # servers from its peers and serves; a 404 would send its callers away for good.
    n1 = fleet.nodes[0]
    await n1.async_kill()
    fleet.store.control.status = 503
    await n1.async_start()
    await fleet.async_until(lambda: fleet.async_is_ready(n1))
    assert (await fleet.async_call(n1, "/bays/"))[0] == 200
    assert "configuration_from_peer" in n1.names()
    assert "store_unavailable" in n1.names()


async def test_a_planned_stop_and_a_reload(fleet):
    # A caller's request is in flight when its host is told to stop. It is answered
    # whole, the host vanishes from look-ups, and the process ends by itself.
    n1, n2, _ = fleet.nodes
    n1.path.write_bytes(b"{not json")
    n1.process.send_signal(signal.SIGHUP)
    await asyncio.sleep(0.2)
    n1.document["bounds"]["budgetSlack"] = 32
    n1.path.write_bytes(msgspec.json.encode(n1.document))
    await asyncio.sleep(1.5)
    reloads = [row for row in n1.lines if row["name"] == "settings_reloaded"]
    assert [row["accepted"] for row in reloads] == [False, True]
    assert reloads[1]["need_restart"] == []
    for backend in fleet.backends:
        backend.seconds = 0.5
    call = asyncio.create_task(fleet.async_call(n1, "/bays/"))
    await asyncio.sleep(0.2)
    n1.process.send_signal(signal.SIGTERM)
    assert (await call)[0] == 200

    async def async_gone():
        return n1.listen["front"] not in await fleet.async_named(n2, "north")

    await fleet.async_until(async_gone, 3.0)
    assert await asyncio.wait_for(n1.process.wait(), 4.0) == 0
    await n1.reading
    names = n1.names()
    for name in ("daemon_started", "settings_reloaded", "daemon_stopping"):
        assert name in names
    assert names[-1] == "daemon_stopped"
