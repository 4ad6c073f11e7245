"""A host that stood still for a second accepts a revoked key for good.

Three hosts in two regions, with tenants and strictRevoke. While the only host of one
region is stopped for a second, two configurations come in quick succession: the first
changes a time-out, the second takes a key away. With TROUBLE=0 nothing is stopped.
"""

import asyncio
import base64
import json
import os
import signal
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import aiohttp

from greengagepoint_standins.users_platform.backend import PlatformBackend, request_id
from greengagepoint_standins.users_platform.daemons import Node
from greengagepoint_standins.users_platform.store import PlatformStore

HERE = Path(__file__).parent
ROOT = HERE.parents[1]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HOST = "a.example"
SERVICE = "booking"
HOSTS = (("n1", "z-a"), ("n2", "z-a"), ("n3", "z-b"))
STOPPED = 2

# The configuration has grown by many routes (big_config, 1,400 at a time) three times.
ROUTES = 3 * 1400
VALUE_BYTES_MAX = 1_048_576

STOP_SECONDS = 1.0
FIRST_CHANGE_SECONDS = 0.2
# The pause between changes in quick succession (config_storm).
GAP_SECONDS = 0.33
REVOKE_SECONDS = 5.0
BOUNDS = {
    "seedLagS": 3,
    "addrReuseS": 2,
    "contactS": 4,
    "ackS": 5,
    "drainS": 3,
    "graceS": 6,
    "configApplyS": 3,
    "strictRevoke": True,
    "revokeS": REVOKE_SECONDS,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetSlack": 204,
    "quotaWindowS": 5,
    "quotaOvershoot": 0.1,
    "quotaSlack": 20,
}

LOOK_SECONDS = 0.25
# If no host accepts the key so long after the change, the next round begins.
EARLY_SECONDS = 2.5
# Otherwise requests go on for so long after the bound.
BEYOND_SECONDS = 4.0
RUN_SECONDS = 75.0


class Record:
    """Write what was sent, answered and run to record.txt."""

    def __init__(self) -> None:
        self.began = time.monotonic()
        self.file = (HERE / "record.txt").open("w")

    def note(self, text: str) -> None:
        """Write one line with its time."""
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.file.flush()


class Operator:
    """Write configurations to the store; return when each was acknowledged."""

    def __init__(self, store: PlatformStore, record: Record) -> None:
        self.store = store
        self.record = record
        self.version = 0

    def configure(self, keys: list[str], timeout: float) -> float:
        """Write the next version with the keys of the tenant."""
        self.version += 3
        prefixes = ["/bays/"] + [
            f"/archive-of-the-month-{number:05d}/" for number in range(ROUTES)
        ]
        rules = [
            {
                "name": f"route-{number}",
                "kind": "safe",
                "targetLatencyS": 0.4,
                "priority": 1,
                "sticky": False,
                "match": {"pathPrefix": prefix},
                "action": {"service": SERVICE, "timeoutS": timeout, "maxAttempts": 2},
            }
            for number, prefix in enumerate(prefixes)
        ]
        tenant = {"name": "garage", "apiKeys": keys, "ratePerS": 0, "burst": 0}
        document = {
            "version": f"r{self.version}",
            "listeners": [{"host": HOST, "rules": rules}],
            "clusters": [{"name": SERVICE, "coldStartS": 1.0, "coldPerS": 50.0}],
            "tenants": [tenant],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1048576},
        }
        value = json.dumps(document, separators=(",", ":")).encode()
        assert len(value) <= VALUE_BYTES_MAX, len(value)
        self.put("op/config", value)
        acknowledged = time.monotonic()
        self.record.note(
            f"operator: r{self.version} acknowledged, {len(value)} bytes, keys {keys}"
        )
        return acknowledged

    def put(self, key: str, value: bytes) -> None:
        """Write one value."""
        self.store.items.put(key, base64.b64encode(value).decode())


class Clients:
    """Send requests with a key to each host, and keep when each was sent."""

    def __init__(
        self,
        name: str,
        nodes: list[Node],
        session: aiohttp.ClientSession,
        record: Record,
    ) -> None:
        self.name = name
        self.nodes = nodes
        self.session = session
        self.record = record
        self.count = 0
        self.sent: dict[str, tuple[float, str, str]] = {}

    async def async_send(self, node: Node, key: str) -> int:
        """Send one request; return its status, 0 without an answer."""
        self.count += 1
        name = f"{self.name}-{self.count}"
        headers = {
            "Host": HOST,
            "X-Greengagepoint-Request-Id": name,
            "X-Greengagepoint-Deadline-Ms": "2000",
            "Authorization": f"Bearer {key}",
        }
        self.sent[name] = (time.monotonic(), node.name, key)
        status = 0
        try:
            async with self.session.get(
                f"http://{node.listen['front']}/bays/1",
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=2.5),
            ) as answer:
                await answer.read()
                status = answer.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            pass
        self.record.note(f"client: {name} to {node.name} with {key}: {status}")
        return status

    async def async_send_to_all(self, key: str) -> list[int]:
        """Send one request to each host at once."""
        return await asyncio.gather(*(self.async_send(row, key) for row in self.nodes))


async def async_until_accepted(clients: Clients, key: str, seconds: float) -> None:
    """Wait until each host accepts a key."""
    async with asyncio.timeout(seconds):
        while set(await clients.async_send_to_all(key)) != {200}:  # noqa: ASYNC110
            await asyncio.sleep(LOOK_SECONDS)


async def async_round(
    number: int, node: Node, operator: Operator, clients: Clients, record: Record
) -> tuple[str, float]:
    """Make two changes, and send with the key that the second takes away.

    Return that key, and when its removal was acknowledged.
    """
    kept, revoked = "key-kept", f"key-{number}"
    operator.configure([kept, revoked], 2.0)
    await async_until_accepted(clients, revoked, 10.0)
    await asyncio.sleep(0.5 + 0.137 * number % 1.0)
    if TROUBLE:
        record.note(f"{node.name} is stopped")
        node.process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(FIRST_CHANGE_SECONDS)
    operator.configure([kept, revoked], 1.5)
    await asyncio.sleep(GAP_SECONDS)
    acknowledged = operator.configure([kept], 1.5)
    await asyncio.sleep(STOP_SECONDS - FIRST_CHANGE_SECONDS - GAP_SECONDS)
    if TROUBLE:
        node.process.send_signal(signal.SIGCONT)
        record.note(f"{node.name} goes on")
    ends = REVOKE_SECONDS + BEYOND_SECONDS
    while (since := time.monotonic() - acknowledged) < ends:
        statuses = await clients.async_send_to_all(revoked)
        if since > EARLY_SECONDS and 200 not in statuses:
            break
        await asyncio.sleep(LOOK_SECONDS)
    return revoked, acknowledged


def late_runs(
    backends: list[PlatformBackend], clients: Clients, key: str, acknowledged: float
) -> list[str]:
    """Return the requests that ran though sent over revokeS after the removal."""
    ran = {request_id(row) for backend in backends for row in backend.ran}
    return [
        name
        for name, (sent, _, used) in clients.sent.items()
        if used == key and name in ran and sent > acknowledged + REVOKE_SECONDS
    ]


def note_log(node: Node, record: Record) -> None:
    """Note what a host has logged of its last configurations."""
    rows = [row for row in node.lines if row["name"].startswith("configuration_")]
    for row in rows[-6:]:
        record.note(f"log of {node.name}: {json.dumps(row)}")


async def async_rounds(
    nodes: list[Node],
    backends: list[PlatformBackend],
    operator: Operator,
    record: Record,
) -> int:
    """Play rounds until the rule is broken or the time is over."""
    began = time.monotonic()
    async with aiohttp.ClientSession() as session:
        clients = Clients("id", nodes, session, record)
        number = 0
        while time.monotonic() - began < RUN_SECONDS:
            number += 1
            stopped = nodes[STOPPED]
            key, acknowledged = await async_round(
                number, stopped, operator, clients, record
            )
            late = late_runs(backends, clients, key, acknowledged)
            for name in late:
                sent, host, _ = clients.sent[name]
                record.note(
                    f"BROKEN: {name} with {key} was sent to {host}"
                    f" {sent - acknowledged:.2f} s after the removal, and ran"
                )
            if late:
                note_log(stopped, record)
                record.note(f"CONFIG broken in round {number}, {len(late)} requests")
                return 1
            record.note(f"round {number}: held")
    record.note(f"CONFIG held in {number} rounds")
    return 0


async def async_main(record: Record) -> int:
    """Start the store, servers and hosts; return the exit code."""
    store = PlatformStore()
    await store.async_start()
    operator = Operator(store, record)
    backends = [PlatformBackend(f"i-{number}") for number in range(4)]
    nodes: list[Node] = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            for number, backend in enumerate(backends):
                await backend.async_start()
                # Three clients, so that no server has more to do than its slots.
                backend.load = "1,0,8"
                entry: dict[str, Any] = {
                    "service": SERVICE,
                    "address": backend.address,
                    "zone": "z-a" if number < 2 else "z-b",
                    "version": "1",
                    "slots": 8,
                    "state": "ready",
                    "coldLeftS": 0,
                    "sequence": 1,
                }
                key = f"servers/{backend.instance}"
                operator.put(key, json.dumps(entry).encode())
            operator.configure(["key-kept"], 2.0)
            nodes += [
                Node(ROOT, Path(folder), name, zone, store.address)
                for name, zone in HOSTS
            ]
            for node in nodes:
                node.document["seeds"] = [row.listen["control"] for row in nodes]
                node.document["bounds"] = BOUNDS
                node.document["heartbeatS"] = 1.5
                await node.async_start()
            async with aiohttp.ClientSession() as session:
                clients = Clients("start", nodes, session, record)
                await async_until_accepted(clients, "key-kept", 20.0)
            await asyncio.sleep(3.0)
            return await async_rounds(nodes, backends, operator, record)
        finally:
            for node in nodes:
                await node.async_kill()
                node.give_back()
            for backend in backends:
                await backend.async_stop()
            await store.async_stop()


async def async_until_stopped(record: Record) -> int:
    """Run the case, and end what it has started when it is told to stop."""
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await async_main(record)


def main() -> None:
    """Run the case; any failure of the case itself exits with 2."""
    record = Record()
    try:
        code = asyncio.run(async_until_stopped(record))
    except (Exception, asyncio.CancelledError) as error:  # noqa: BLE001
        record.note(f"the case couldn't run: {error!r}")
        code = 2
    record.note(f"exit {code}")
    sys.exit(code)


if __name__ == "__main__":
    main()
