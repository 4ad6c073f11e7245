"""One experiment's fleet, load and what was noted on the way."""

import asyncio
import contextlib
import random
import time
from collections.abc import Callable
from pathlib import Path
from typing import Final, NamedTuple

import msgspec

from greengagepoint_standins.demo.deployments import Deployment
from greengagepoint_standins.demo.fleet import Fleet, Host
from greengagepoint_standins.demo.load import Callers, Load, Sent
from greengagepoint_standins.demo.places import Server, read_places, write_records
from greengagepoint_standins.demo.processes import DemoError
from greengagepoint_standins.demo.promises import (
    Check,
    Evidence,
    InForce,
    Run,
    check_all,
    check_stop,
)
from greengagepoint_standins.relay import LOOPBACK, Relay, free_port

REQUESTS_PER_SECOND: Final = 120.0
# Longer than in the demo, so that a small cap binds under a small load.
SERVICE_MS: Final = {"/": 100.0, "/reservations": 150.0, "/red-tags": 150.0}
TARGET_CAP: Final = 5
STEADY_SECONDS: Final = 4.0
APPLY_SECONDS: Final = 20.0
CALLER_ADDRESSES: Final = ("10.1.0.1", "10.2.0.1", "10.3.0.1")


class Stop(NamedTuple):
    """A planned stop of a host."""

    host: str
    began: float
    ended: float


class Finished(NamedTuple):
    """What an experiment left behind."""

    sent: list[Sent]
    runs: list[Run]


Expectation = Callable[[Finished], Check]


class World:
    """A fleet of one host a zone under load, with a shift onto a small cap."""

    def __init__(
        self, deployment: Deployment, directory: Path, seed: int, *, relayed: bool
    ) -> None:
        self.deployment = deployment._replace(
            hosts_a_zone=1, requests_per_second=REQUESTS_PER_SECOND
        )
        self.directory = directory
        self.seed = seed
        self.random = random.Random(seed)
        self.fleet = Fleet(self.deployment, directory)
        self.relays: dict[str, Relay] = {}
        self.relayed = relayed
        self.in_force: list[InForce] = []
        self.stops: list[Stop] = []
        self.drained: dict[str, float] = {}
        self.expectations: list[Expectation] = []
        self.lost_region: str | None = None
        self.load: Load | None = None
        self.tasks: list[asyncio.Task[None]] = []

    @property
    def target_site(self) -> str:
        """Return the site that traffic is shifted to."""
        return list(self.fleet.places.site_regions)[-1]

    @property
    def records(self) -> Path:
        """Return the directory of the records in force."""
        return self.directory / "records"

    async def async_start(self) -> None:
        """Start all processes, put the records in force and start the load."""
        fleet = self.fleet
        await fleet.async_start_platform()
        control = {"service_ms": SERVICE_MS}
        await asyncio.gather(
            *(self.async_control(address, **control) for _, address in fleet.servers)
        )
        await self._async_start_hosts()
        addresses = [pair[1] for pair in fleet.servers]
        source = self.deployment.records
        capped = {self.target_site: TARGET_CAP}
        write_records(source, self.records, addresses, capped)
        fleet.places = read_places(self.records)
        await self._async_apply()
        await fleet.async_wait_ready()
        await self._async_shift()
        self.load = Load(self.deployment, self._callers())
        self.load.random = random.Random(self.seed)
        self.tasks = [
            asyncio.create_task(fleet.async_watch()),
            asyncio.create_task(self.load.async_run()),
        ]
        await asyncio.sleep(STEADY_SECONDS)

    async def async_end_load(self) -> None:
        """End the load and wait for the last answers."""
        self.load.stopped = True
        watching, loading = self.tasks
        await loading
        await self.load.async_finish()
        watching.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await watching

    async def async_check(self) -> tuple[list[Check], list[Check]]:
        """Return the checks of the eight promises and of the expectations."""
        runs = await self.fleet.async_runs(self.lost_region)
        for name, rows in (("runs", runs), ("sent", self.load.sent)):
            lines = [msgspec.json.encode(row) for row in rows]
            (self.directory / f"{name}.jsonl").write_bytes(b"\n".join(lines))
        evidence = Evidence(
            places=self.fleet.places,
            sent=self.load.sent,
            runs=runs,
            drained=self.drained,
            stop_window=(0.0, 0.0),
            stopped_host="",
            in_force=self.in_force,
            generations=self.fleet.generations,
        )
        checks = check_all(evidence)
        checks += [
            check_stop(
                evidence._replace(
                    stopped_host=stop.host, stop_window=(stop.began, stop.ended)
                )
            )
            for stop in self.stops
        ]
        finished = Finished(self.load.sent, runs)
        return checks, [expect(finished) for expect in self.expectations]

    async def async_end(self) -> None:
        """End all processes and tasks."""
        for task in self.tasks:
            task.cancel()
        for relay in self.relays.values():
            await relay.async_cut()
        if self.load is not None:
            await self.load.session.close()
        await self.fleet.async_end()

    async def async_change(self, *arguments: str) -> InForce:
        """Write by the operators' client; time until it is in force everywhere."""
        await self.fleet.async_client(*arguments)
        seen = await self.fleet.async_time_in_force(time.monotonic())
        self.in_force.append(seen)
        return seen

    async def async_drain(self, server: str) -> InForce:
        """Drain a backend server; what starts 3 s after it is in force is wrong."""
        seen = await self.async_change("drain", "backend-server", server)
        self.drained[server] = time.monotonic()
        return seen

    def servers_at(self, site: str) -> list[tuple[Server, str]]:
        """Return a site's backend servers with their addresses."""
        return [pair for pair in self.fleet.servers if pair[0].site == site]

    async def async_control(
        self, address: str, path: str = "/control", **fields: object
    ) -> dict:
        """Change a stand-in's faults; return its state."""
        url = f"http://{address}{path}"
        async with self.fleet.session.post(url, json=fields) as answer:
            answer.raise_for_status()
            return await answer.json()

    async def async_store(self, path: str = "/control", **fields: object) -> dict:
        """Change the store's faults."""
        return await self.async_control(self.fleet.store_address, path, **fields)

    async def async_host_list(self, **fields: object) -> dict:
        """Change the host list's faults."""
        return await self.async_control(self.fleet.host_list_address, **fields)

    def live_hosts(self) -> list[Host]:
        """Return hosts that are neither ended nor frozen."""
        return [host for host in self.fleet.hosts if host.alive]

    def expect(self, expectation: Expectation) -> None:
        """Add an expectation that is checked at the end."""
        self.expectations.append(expectation)

    async def _async_start_hosts(self) -> None:
        """Start the daemons, behind relays where wanted."""
        if not self.relayed:
            await self.fleet.async_start_hosts()
            return
        for region, zones in self.fleet.places.zones.items():
            for zone in zones:
                listen = f"{LOOPBACK}:{free_port()}"
                relay = Relay(listen)
                await relay.async_open()
                name = f"{zone}-1"
                self.relays[name] = relay
                await self.fleet.async_start_host(
                    name,
                    region,
                    zone,
                    GREENGAGEPOINT_PEER_LISTEN_ADDRESS=listen,
                    GREENGAGEPOINT_ADVERTISED_PEER_ADDRESS=relay.address,
                )
        await self.fleet.async_list_hosts(self.fleet.hosts)

    async def _async_apply(self) -> None:
        """Write the records once the hosts have found each other."""
        async with asyncio.timeout(APPLY_SECONDS):
            while True:
                try:
                    await self.fleet.async_client("apply", str(self.records))
                    return
                except DemoError as error:
                    if "not_ready" not in str(error):
                        raise
                await asyncio.sleep(0.2)

    async def _async_shift(self) -> None:
        """Shift all traffic of the first site onto the small cap of the last."""
        await self.async_change(
            "shift",
            "experiment-shift",
            "--service",
            self.deployment.shift_service,
            "--from-site",
            next(iter(self.fleet.places.site_regions)),
            "--to-site",
            self.target_site,
            "--fraction",
            "1.0",
            "--ramp-seconds",
            "1",
        )

    def _callers(self) -> list[Callers]:
        """Return four groups of callers a region."""
        hosts = self.fleet.hosts
        callers = []
        pairs = zip(self.fleet.places.zones, CALLER_ADDRESSES, strict=True)
        for region, address in pairs:
            near = [one.address for one in hosts if one.region == region]
            far = [one.address for one in hosts if one.region != region]
            for _ in range(4):
                seed = self.random.getrandbits(32)
                callers.append(Callers(region, address, [*near, *far], seed))
        return callers
