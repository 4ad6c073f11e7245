"""The demo's fleet: stand-ins, daemons, and what is asked of them."""

import asyncio
import signal
import time
from pathlib import Path
from typing import Any, Final

import aiohttp

from greengagepoint_standins.demo.deployments import Deployment
from greengagepoint_standins.demo.places import Places, Server, read_places
from greengagepoint_standins.demo.processes import (
    STARTED_EVENT,
    Child,
    DemoError,
    Processes,
)
from greengagepoint_standins.demo.promises import InForce, Run, read_runs

PEER_KEY: Final = "demo-peer-key-not-a-secret"
OPERATOR_KEY: Final = "demo-operator-key-not-a-secret"
CALL_SECONDS: Final = 5.0
READY_SECONDS: Final = 60.0
WATCH_SECONDS: Final = 0.2
SERVICE_MS: Final = {"/": 30.0, "/reservations": 60.0, "/red-tags": 60.0}
PACK_BYTES_PER_SECOND: Final = 4_000_000.0


class Host:
    """One entry host of the demo."""

    def __init__(self, name: str, region: str, child: Child) -> None:
        self.name = name
        self.region = region
        self.child = child
        self.address = ""
        self.peer_address = ""
        self.alive = True


class Fleet:
    """All processes of one deployment and the figures read from them."""

    def __init__(self, deployment: Deployment, directory: Path) -> None:
        self.deployment = deployment
        self.directory = directory
        self.processes = Processes(directory / "logs")
        self.places: Places = read_places(deployment.records)
        self.hosts: list[Host] = []
        self.servers: list[tuple[Server, str]] = []
        self.lost_runs: list[Run] = []
        self.store_address = ""
        self.host_list_address = ""
        self.session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=CALL_SECONDS)
        )
        self.generations: dict[str, list[int]] = {}
        self.statuses: dict[str, dict[str, Any]] = {}
        self.headroom_lows: dict[str, int] = {}

    async def async_start_platform(self) -> None:
        """Start the store, the host list and one backend process a region."""
        start = self.processes.async_stand_in
        self.store_address = (await start("store", "store"))[0]
        self.host_list_address = (await start("host-list", "host-list"))[0]
        for region in self.places.zones:
            servers = [one for one in self.places.servers if one.region == region]
            addresses = await start(
                f"backends-{region}", "backends", "--count", str(len(servers))
            )
            self.servers += zip(servers, addresses, strict=True)
        self.servers.sort(key=lambda pair: self.places.servers.index(pair[0]))
        await asyncio.gather(*(self.async_prepare(*pair) for pair in self.servers))

    async def async_start_hosts(self) -> None:
        """Start all daemons and put them on the host list."""
        for region, zones in self.places.zones.items():
            for zone in zones:
                for number in range(1, self.deployment.hosts_a_zone + 1):
                    await self.async_start_host(f"{zone}-{number}", region, zone)
        await self.async_list_hosts(self.hosts)

    async def async_list_hosts(self, hosts: list[Host]) -> None:
        """Put started daemons on the host list."""
        for host in hosts:
            row = await host.child.async_wait_for_line("number", STARTED_EVENT)
            host.address = row["fields"]["address"]
            host.peer_address = row["fields"]["peer_address"]
        entries = [self._entry(host) for host in hosts]
        url = f"http://{self.host_list_address}/control/hosts"
        async with self.session.post(url, json=entries) as answer:
            answer.raise_for_status()

    async def async_wait_ready(self) -> None:
        """Wait until every live daemon serves callers and holds its rights."""
        async with asyncio.timeout(READY_SECONDS):
            while True:
                if await self._async_all_ready():
                    return
                await asyncio.sleep(WATCH_SECONDS)

    async def async_client(self, *arguments: str) -> str:
        """Run the operators' client against the first live host."""
        live = [host for host in self.hosts if host.alive]
        environment = {
            "GREENGAGEPOINT_SERVER": " ".join(
                f"http://{one.address}" for one in live[:2]
            ),
            "GREENGAGEPOINT_OPERATOR_KEY": OPERATOR_KEY,
            "GREENGAGEPOINT_AUTHOR": "demo",
        }
        code, output = await self.processes.async_client(
            *arguments, environment=environment
        )
        if code != 0:
            raise DemoError(f"greengagepoint {' '.join(arguments)}: {code}\n{output}")
        return output

    async def async_time_in_force(self, started: float) -> InForce:
        """Return how long the newest generation took to be in force everywhere."""
        live = [host for host in self.hosts if host.alive]
        newest = max([await self._async_generation(host) for host in live[:2]])
        async with asyncio.timeout(READY_SECONDS):
            while True:
                seen = await asyncio.gather(*map(self._async_generation, live))
                if min(seen) >= newest:
                    return InForce(newest, time.monotonic() - started)
                await asyncio.sleep(0.02)

    async def async_watch(self) -> None:
        """Read the state of all live hosts again and again."""
        while True:
            live = [host for host in self.hosts if host.alive]
            await asyncio.gather(*map(self._async_read_status, live))
            self._note_headroom(live)
            await asyncio.sleep(WATCH_SECONDS)

    async def async_stop_host(self, host: Host) -> float:
        """Stop a daemon as planned; return the seconds it took."""
        started = time.monotonic()
        code = await host.child.async_end(signal.SIGTERM, READY_SECONDS)
        host.alive = False
        if code != 0:
            raise DemoError(f"{host.name} ended with {code}")
        await self.async_unlist(host)
        return time.monotonic() - started

    async def async_lose_region(self, region: str) -> None:
        """Kill every process of a region."""
        self.lost_runs += await self._async_runs_of(region)
        for host in self.hosts:
            if host.region == region and host.alive:
                host.alive = False
                host.child.process.kill()
        for child in self.processes.children:
            if child.name == f"backends-{region}":
                child.process.kill()

    async def async_runs(self, lost_region: str | None) -> list[Run]:
        """Return all runs, those of a lost region as read just before its loss."""
        regions = [region for region in self.places.zones if region != lost_region]
        read = await asyncio.gather(*map(self._async_runs_of, regions))
        return [*self.lost_runs, *(run for runs in read for run in runs)]

    async def async_end(self) -> None:
        """End all processes."""
        await self.session.close()
        await self.processes.async_end_all()

    async def async_prepare(self, server: Server, address: str) -> None:
        """Give a backend server the slots and times of its service."""
        control = {
            "slots": server.slots,
            "service_ms": SERVICE_MS,
            "pack_bytes": self._pack_bytes(server.service),
            "pack_bytes_per_second": PACK_BYTES_PER_SECOND,
        }
        url = f"http://{address}/control"
        async with self.session.post(url, json=control) as answer:
            answer.raise_for_status()

    def _pack_bytes(self, service: str) -> int:
        """Return the size of a service's downloads."""
        sizes = [
            ask.download_bytes for ask in self.deployment.asks if ask.service == service
        ]
        return max(sizes, default=0) or 1000

    async def async_start_host(
        self, name: str, region: str, zone: str, **settings: str
    ) -> Host:
        """Start one daemon; its addresses are known once it is listed."""
        environment = {
            "GREENGAGEPOINT_HOST": name,
            "GREENGAGEPOINT_REGION": region,
            "GREENGAGEPOINT_ZONE": zone,
            "GREENGAGEPOINT_LISTEN_ADDRESS": "127.0.0.1:0",
            "GREENGAGEPOINT_PEER_LISTEN_ADDRESS": "127.0.0.1:0",
            "GREENGAGEPOINT_STORE": f"http://{self.store_address}",
            "GREENGAGEPOINT_HOST_LIST": f"http://{self.host_list_address}",
            "GREENGAGEPOINT_PEER_KEY": PEER_KEY,
            "GREENGAGEPOINT_OPERATOR_KEY": OPERATOR_KEY,
            "GREENGAGEPOINT_LOG_FORMAT": "json",
        } | settings
        child = await self.processes.async_daemon(name, environment)
        host = Host(name, region, child)
        self.hosts.append(host)
        return host

    def _entry(self, host: Host) -> dict[str, Any]:
        """Return a host as the host list has it."""
        return {
            "name": host.name,
            "address": host.address,
            "peer_address": host.peer_address,
            "region": host.region,
            "zone": host.name.rpartition("-")[0],
        }

    async def _async_all_ready(self) -> bool:
        """Tell whether all live hosts serve with rights."""
        live = [host for host in self.hosts if host.alive]
        await asyncio.gather(*map(self._async_read_status, live))
        states = [self.statuses.get(host.name, {}) for host in live]
        return all(
            state.get("state") == "serving" and state["caps"]["rights"]
            for state in states
        )

    async def _async_read_status(self, host: Host) -> None:
        """Read one host's state and note its generation."""
        headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        url = f"http://{host.address}/v1/status"
        try:
            async with self.session.get(url, headers=headers) as answer:
                answer.raise_for_status()
                status = await answer.json()
        except (aiohttp.ClientError, TimeoutError, ValueError):
            return
        self.statuses[host.name] = status
        self.generations.setdefault(host.name, []).append(status["generation"])

    async def _async_generation(self, host: Host) -> int:
        """Return the generation in force on a host."""
        await self._async_read_status(host)
        return self.statuses.get(host.name, {}).get("generation", 0)

    def _note_headroom(self, live: list[Host]) -> None:
        """Keep the least headroom seen by region."""
        used: dict[str, int] = {}
        for host in live:
            for site in (
                self.statuses.get(host.name, {}).get("caps", {}).get("sites", ())
            ):
                region = site["region"]
                used[region] = used.get(region, 0) + site["in_flight"]
        for region, in_flight in used.items():
            left = self.places.capacities[region] - in_flight
            lowest = self.headroom_lows.get(region, left)
            self.headroom_lows[region] = min(lowest, left)

    async def async_unlist(self, host: Host) -> None:
        """Take a host off the host list."""
        url = f"http://{self.host_list_address}/control/hosts/{host.name}"
        async with self.session.delete(url) as answer:
            answer.raise_for_status()

    async def _async_runs_of(self, region: str) -> list[Run]:
        """Read the run logs of a region's backend servers."""
        chosen = [pair for pair in self.servers if pair[0].region == region]
        read = await asyncio.gather(*(self._async_log(*pair) for pair in chosen))
        return [run for runs in read for run in runs]

    async def _async_log(self, server: Server, address: str) -> list[Run]:
        """Read the run log of one backend server."""
        url = f"http://{address}/control/runs?runs=1"
        async with self.session.get(url) as answer:
            summary = await answer.json()
        return read_runs(server, summary, summary["now"])
