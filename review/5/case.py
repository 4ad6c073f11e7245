"""Callers send large bodies, within the limits of the configuration.

The platform kills a process that exceeds its memory, and starts it again.
"""

import asyncio
import os
import random
import signal
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import NamedTuple

from greengagepoint_standins.users_platform.backend import (
    PlatformBackend,
    Received,
    request_id,
)
from greengagepoint_standins.users_platform.daemons import (
    HOST,
    SERVICE,
    Fleet,
    Node,
    async_fleet,
)

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Settings of a machine of rsf-hq, as `fleetbench wire` shows them.
LIMITS = {
    "cpuShare": 0.86,
    "cpus": 1,
    "memoryMb": 300,
    "maxFds": 4100,
    "linkMbps": 1000.0,
    "diskMb": 0,
}
BOUNDS = {
    "contactS": 3,
    "drainS": 2,
    "graceS": 6,
    "lossSlackS": 0.2,
    "configApplyS": 2,
    "rollbackSlackS": 0.25,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetSlack": 62,
    "coldOvershoot": 1.5,
    "coldSlack": 5,
    "evacuateS": 5,
}
MEBIBYTE = 1024 * 1024
# The platform's limit for a process (`limits.memoryMb` of its settings), in MiB.
MEMORY_MB = LIMITS["memoryMb"]
# The operator's limit for a request (`limits.maxBodyBytes` of the configuration).
BODY_BYTES_MAX = 64 * MEBIBYTE
BODY_BYTES = 60 * MEBIBYTE if TROUBLE else MEBIBYTE
PIECE_BYTES = MEBIBYTE // 4
UPLOADERS = 2
# The deadline of `red-tag-order` on rsf-hq.
DEADLINE_SECONDS = 4.0
SLOTS = 8
LOOK_UP_CALLERS = 4
LOOK_UP_PAUSE_SECONDS = 0.05
QUIET_SECONDS = 3.0
PLAY_SECONDS = 45.0
POLL_SECONDS = 0.01
RESTART_SECONDS = 1.0
# More than these end by themselves: a tenth of the machines, two at least, three times.
MACHINES_MIN = 2
ENDS_MIN = 3


class Exchange(NamedTuple):
    """A request, and its answer's status, 0 if the connection ended first."""

    at: float
    host: str
    kind: str
    request_id: str
    status: int


class End(NamedTuple):
    """A process that the platform has killed for its memory, in MiB."""

    at: float
    host: str
    memory: float


class UploadServer(PlatformBackend):
    """A server that keeps no bodies, so that the script's own memory stays small."""

    async def _async_answer(
        self,
        request: Received,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer one request; tell whether the connection goes on."""
        self.received.clear()
        self.load = f"1,0,{SLOTS}"
        return await super()._async_answer(request._replace(body=b""), reader, writer)


def prepare(node: Node, _: list[PlatformBackend]) -> None:
    """Give a daemon the settings of the site."""
    node.document.update(limits=LIMITS, bounds=BOUNDS, heartbeatS=1.5)


def memory_mb(pid: int) -> float:
    """Return the resident memory of a process in MiB, 0 if it is gone."""
    try:
        status = Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return 0.0
    for line in status.splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


def configure(fleet: Fleet) -> None:
    """Put a configuration with a route for look-ups and one for uploads."""
    rules = [
        {
            "name": kind,
            "kind": kind,
            "targetLatencyS": 0.4,
            "match": {"pathPrefix": prefix},
            "action": {
                "service": SERVICE,
                "timeoutS": DEADLINE_SECONDS,
                "maxAttempts": 2,
            },
        }
        for kind, prefix in (("safe", "/bays/"), ("unsafe", "/files/"))
    ]
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": BODY_BYTES_MAX,
        "headerTimeoutS": 3,
        "idleTimeoutS": 15,
    }
    document = {
        "version": "r100",
        "limits": limits,
        "listeners": [{"host": HOST, "rules": rules}],
        "clusters": [{"name": SERVICE, "coldStartS": 1.0, "coldPerS": 50.0}],
    }
    fleet.put("op/config", document)


async def async_limit_memory(node: Node, until: float, ends: list[End]) -> None:
    """Kill a process that exceeds its memory and start it again, as the platform."""
    while time.monotonic() < until:
        await asyncio.sleep(POLL_SECONDS)
        used = memory_mb(node.process.pid)
        if used <= MEMORY_MB:
            continue
        ends.append(End(time.monotonic(), node.name, used))
        await node.async_kill()
        await asyncio.sleep(RESTART_SECONDS)
        await node.async_start()


async def async_read_status(reader: asyncio.StreamReader) -> int:
    """Return the status of the next answer, read to its end."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    length = 0
    for line in head.split("\r\n"):
        name, _, value = line.partition(":")
        if name.lower() == "content-length":
            length = int(value)
    await reader.readexactly(length)
    return int(head.split(" ")[1])


def request_head(method: str, target: str, name: str, length: int) -> bytes:
    """Return the head of a request."""
    lines = (
        f"{method} {target} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Greengagepoint-Request-Id: {name}",
        f"X-Greengagepoint-Deadline-Ms: {DEADLINE_SECONDS * 1000:.0f}",
        f"Content-Length: {length}",
    )
    return "\r\n".join((*lines, "", "")).encode()


async def async_send(
    fleet: Fleet, node: Node, kind: str, size: int, until: float, log: list[Exchange]
) -> None:
    """Send one request after the other on a kept connection until a time."""
    address, _, port = node.listen["front"].partition(":")
    piece = b"x" * PIECE_BYTES
    method, target = ("POST", "/files/a") if size else ("GET", "/bays/a")
    writer: asyncio.StreamWriter | None = None
    while time.monotonic() < until:
        name = fleet.next_id()
        at, status = time.monotonic(), 0
        try:
            if writer is None:
                reader, writer = await asyncio.open_connection(address, int(port))
            writer.write(request_head(method, target, name, size))
            for start in range(0, size, PIECE_BYTES):
                writer.write(piece[: size - start])
                await writer.drain()
            async with asyncio.timeout(DEADLINE_SECONDS + 1):
                status = await async_read_status(reader)
        except ConnectionRefusedError:
            # Its process starts again; the request was not sent.
            await asyncio.sleep(LOOK_UP_PAUSE_SECONDS)
            continue
        except (OSError, EOFError):
            if writer is not None:
                writer.close()
            writer = None
        log.append(Exchange(at, node.name, kind, name, status))
        pause = LOOK_UP_PAUSE_SECONDS * random.uniform(0.5, 1.5)
        await asyncio.sleep(pause)
    if writer is not None:
        writer.close()


async def async_play(fleet: Fleet, log: list[Exchange], ends: list[End]) -> None:
    """Let callers look up and upload at all hosts while the platform watches."""
    for server in fleet.backends:
        server.__class__ = UploadServer
    configure(fleet)
    await asyncio.sleep(QUIET_SECONDS)
    until = time.monotonic() + PLAY_SECONDS
    async with asyncio.TaskGroup() as tasks:
        for node in fleet.nodes:
            tasks.create_task(async_limit_memory(node, until, ends))
            for _ in range(LOOK_UP_CALLERS):
                tasks.create_task(async_send(fleet, node, "safe", 0, until, log))
            for _ in range(UPLOADERS):
                tasks.create_task(
                    async_send(fleet, node, "unsafe", BODY_BYTES, until, log)
                )


def report(fleet: Fleet, log: list[Exchange], ends: list[End]) -> int:
    """Write the record and return the exit code."""
    ran: dict[str, str] = {}
    for server in fleet.backends:
        for row in server.ran:
            ran[request_id(row)] = server.instance
    by_host = Counter(row.host for row in ends)
    faulty = [host for host, count in by_host.items() if count >= ENDS_MIN]
    lost = [row for row in log if not row.status and row.request_id in ran]
    statuses = Counter((row.kind, row.status) for row in log)
    summary = [
        f"trouble: {TROUBLE}; bodies of {BODY_BYTES} bytes, {UPLOADERS} at once on a "
        f"host; allowed: {BODY_BYTES_MAX}",
        f"requests by kind and status (0: no answer): {dict(statuses)}",
        f"processes over {MEMORY_MB} MiB, by host: {dict(by_host)}",
        f"hosts with {ENDS_MIN} or more (Fault from {MACHINES_MIN} on): {len(faulty)}",
        f"requests run by a server whose connection ended without an answer: "
        f"{len(lost)}",
    ]
    began = min((row.at for row in log), default=0.0)
    rows = [
        (
            row.at,
            f"{row.kind} {row.request_id} to {row.host}: answered {row.status}, "
            f"run by {ran.get(row.request_id, '-')}",
        )
        for row in log
    ]
    rows += [
        (row.at, f"{row.host} has {row.memory:.0f} MiB and is killed") for row in ends
    ]
    lines = [f"{at - began:7.3f} s {text}" for at, text in sorted(rows)]
    path = Path(__file__).with_name("record.txt")
    path.write_text("\n".join([*summary, "", *lines]) + "\n")
    print("\n".join(summary))
    if not any(row.status == 200 for row in log):
        return 2
    return 1 if len(faulty) >= MACHINES_MIN else 0


async def async_main() -> int:
    """Run the case and return its exit code."""
    log: list[Exchange] = []
    ends: list[End] = []
    with tempfile.TemporaryDirectory() as folder:
        async with async_fleet(ROOT, Path(folder), prepare=prepare) as fleet:
            await async_play(fleet, log, ends)
            return report(fleet, log, ends)


async def async_main_or_stop() -> int:
    """Run the case; on SIGTERM, end the processes that it started."""
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await async_main()


if __name__ == "__main__":
    try:
        code = asyncio.run(async_main_or_stop())
    except (Exception, asyncio.CancelledError) as error:
        print(f"the case could not run: {error!r}")
        code = 2
    sys.exit(code)
