"""Goodput of real daemons at and above the capacity of their backend servers."""

import asyncio
import json
import random
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Any, Final, NamedTuple

import aiohttp

from greengagepoint_standins.demo.processes import Processes
from measure.figure import Figure

HOSTS: Final = 3
SERVERS: Final = 6
SLOTS: Final = 4
SERVICE_MS: Final = 40.0
CAPACITY: Final = SERVERS * SLOTS / (SERVICE_MS / 1000)
DEADLINE_SECONDS: Final = 1.0
WARM_UP_SECONDS: Final = 2.0
MEASURED_SECONDS: Final = 5.0
LOADS: Final = (0.7, 1.0, 3.0)
GOODPUT_KEPT_MIN: Final = 0.9
SETTLE_SECONDS: Final = 4.0
SEED: Final = 1


class Level(NamedTuple):
    """What one load brought; latencies of whole answers in seconds, sorted."""

    load: float
    answered: list[float]
    refused: Counter[str]

    @property
    def goodput(self) -> float:
        """Return whole answers a second."""
        return len(self.answered) / MEASURED_SECONDS

    def percentile(self, share: float) -> float:
        """Return a latency in milliseconds."""
        return self.answered[int(len(self.answered) * share)] * 1000


def run() -> list[Figure]:
    """Measure goodput and latency at each load; callers come back when told to."""
    with tempfile.TemporaryDirectory() as directory:
        levels = asyncio.run(async_measure(Path(directory)))
    full = next(level for level in levels if level.load == 1.0)
    figures = []
    for level in levels:
        name = f"daemons at {level.load:g} times capacity"
        figures += [
            Figure(f"{name}: goodput", level.goodput, "1/s", full.goodput, "at 1.0"),
            Figure(f"{name}: p50", level.percentile(0.5), "ms"),
            Figure(f"{name}: p99", level.percentile(0.99), "ms"),
        ]
    kept = levels[-1].goodput / full.goodput
    figures.append(
        Figure(
            "goodput at 3 times capacity of that at 1.0",
            kept,
            "share",
            limit=GOODPUT_KEPT_MIN,
            at_least=True,
        )
    )
    return figures


async def async_measure(directory: Path) -> list[Level]:
    """Start a small fleet and load it."""
    processes = Processes(directory)
    try:
        addresses = await async_start_fleet(processes)
        session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        async with session:
            return [await async_load(session, addresses, load) for load in LOADS]
    finally:
        await processes.async_end_all()


async def async_start_fleet(processes: Processes) -> list[str]:
    """Return the addresses of daemons that serve."""
    store = (await processes.async_stand_in("store", "store"))[0]
    host_list = (await processes.async_stand_in("host-list", "host-list"))[0]
    control = {"slots": SLOTS, "service_ms": {"/": SERVICE_MS}, "queue_limit": SLOTS}
    backends = await processes.async_stand_in(
        "backends",
        "backends",
        "--count",
        str(SERVERS),
        "--control",
        json.dumps(control),
    )
    fields = [
        await _async_start_daemon(processes, f"host-{number}", store, host_list)
        for number in range(HOSTS)
    ]
    async with aiohttp.ClientSession() as session:
        hosts = [
            {
                "name": f"host-{number}",
                "address": one["address"],
                "peer_address": one["peer_address"],
                "region": "r",
                "zone": "r-a",
            }
            for number, one in enumerate(fields)
        ]
        url = f"http://{host_list}/control/hosts"
        async with session.post(url, json=hosts) as answer:
            answer.raise_for_status()
        await _async_apply(session, fields[0]["address"], backends)
    await asyncio.sleep(SETTLE_SECONDS)
    return [one["address"] for one in fields]


async def _async_start_daemon(
    processes: Processes, name: str, store: str, host_list: str
) -> dict[str, Any]:
    """Start one daemon; return the fields of its start event."""
    environment = {
        "GREENGAGEPOINT_HOST": name,
        "GREENGAGEPOINT_REGION": "r",
        "GREENGAGEPOINT_ZONE": "r-a",
        "GREENGAGEPOINT_LISTEN_ADDRESS": "127.0.0.1:0",
        "GREENGAGEPOINT_PEER_LISTEN_ADDRESS": "127.0.0.1:0",
        "GREENGAGEPOINT_STORE": f"http://{store}",
        "GREENGAGEPOINT_HOST_LIST": f"http://{host_list}",
        "GREENGAGEPOINT_LOG_FORMAT": "json",
    }
    child = await processes.async_daemon(name, environment)
    row = await child.async_wait_for_line("number", 1001)
    return row["fields"]


async def _async_apply(
    session: aiohttp.ClientSession, address: str, backends: list[str]
) -> None:
    """Put the records of one site and one service in force."""
    servers = [
        {"name": f"server-{number}", "service": "x", "address": one, "slots": SLOTS}
        for number, one in enumerate(backends)
    ]
    route = {"path": "/", "repeatable": True, "deadline_ms": 1000}
    changes = [
        _change("region", "r", zones=["r-a"], capacity=1000),
        _change(
            "site", "s", region="r", zone="r-a", capacity=1000, backend_servers=servers
        ),
        _change("service", "x", 2, sites=["s"], max_deadline_ms=3000, routes=[route]),
        _change("team", "t", requests_per_second=100_000, burst=100_000),
    ]
    url = f"http://{address}/v1/records/apply"
    async with asyncio.timeout(30):
        while True:
            body = {"author": "measure", "changes": changes}
            async with session.post(url, json=body) as answer:
                if answer.status == 200:
                    return
            await asyncio.sleep(0.2)


def _change(kind: str, name: str, version: int = 1, **fields: Any) -> dict[str, Any]:
    """Return the change that puts one record in force."""
    document = {"schema_version": version, "fields": fields}
    return {"kind": kind, "name": name, "document": document}


async def async_load(
    session: aiohttp.ClientSession, addresses: list[str], load: float
) -> Level:
    """Send an open loop of requests and count those of the measured time."""
    draw = random.Random(SEED)
    level = Level(load, [], Counter())
    ignored = Level(load, [], Counter())
    at = time.monotonic()
    warm_at = at + WARM_UP_SECONDS
    tasks: set[asyncio.Task[None]] = set()
    while at < warm_at + MEASURED_SECONDS:
        at += draw.expovariate(CAPACITY * load)
        await asyncio.sleep(max(0.0, at - time.monotonic()))
        chosen = level if at > warm_at else ignored
        task = asyncio.create_task(_async_ask(session, addresses, draw, chosen))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    await asyncio.gather(*tasks)
    level.answered.sort()
    return level


async def _async_ask(
    session: aiohttp.ClientSession,
    addresses: list[str],
    draw: random.Random,
    level: Level,
) -> None:
    """Send one request; come back when told to, while its deadline allows."""
    started = time.monotonic()
    ends_at = started + DEADLINE_SECONDS
    while (left := ends_at - time.monotonic()) > 0:
        headers = {
            "Greengagepoint-Team": "t",
            "Greengagepoint-Deadline-Ms": str(max(1, int(left * 1000))),
        }
        url = f"http://{draw.choice(addresses)}/s/x/q"
        try:
            async with session.get(url, headers=headers) as answer:
                await answer.read()
        except aiohttp.ClientError as error:
            level.refused[type(error).__name__] += 1
            return
        if answer.status == 200:
            level.answered.append(time.monotonic() - started)
            return
        level.refused[str(answer.status)] += 1
        await asyncio.sleep(float(answer.headers.get("Retry-After", "1")))
