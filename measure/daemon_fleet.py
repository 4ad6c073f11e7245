"""Run daemons in Ermis' shape with their stand-ins in one loop, for measurements."""

import asyncio
import contextlib
import itertools
import re
import secrets
import tomllib
from collections.abc import AsyncIterator, Callable
from pathlib import Path
from typing import Any, Final, NamedTuple

import aiohttp

from greengagepoint.protocols import ListedHost
from greengagepoint.records.loading import parse_toml
from greengagepoint_node.daemon import Daemon
from greengagepoint_node.settings import read_settings
from greengagepoint_standins.backend import BackendStandIn, async_start_backend
from greengagepoint_standins.backend_control import BackendControl
from greengagepoint_standins.host_list import HostListStandIn, async_start_host_list
from greengagepoint_standins.relay import Relay
from greengagepoint_standins.store import StoreStandIn, async_start_store

RECORDS: Final = Path(__file__).resolve().parent.parent / "deployments" / "ermis"
ADDRESS: Final = re.compile(r'(address = )"[^"]*"')
LOOKUP_TTL: Final = re.compile(r"lookup_ttl_seconds = \d+")
DEADLINE: Final = re.compile(r"(deadline_ms) = (\d+)")
WAIT_SECONDS: Final = 60.0
POLL_SECONDS: Final = 0.01
UNREACHABLE: Final = "http://127.0.0.1:1"
SERVICE_MS: Final = 20.0
OPERATOR_KEY: Final = secrets.token_hex(16)
PEER_KEY: Final = secrets.token_hex(16)


class Place(NamedTuple):
    """Where a host stands."""

    region: str
    zone: str


class DaemonFleet:
    """Daemons with the platform's stand-ins.

    ``cut`` holds pairs of regions that are cut from each other, ``killed`` daemons
    whose messages are lost, ``paths`` each region's way to store and host list.
    """

    def __init__(self) -> None:
        self.store: StoreStandIn
        self.host_list: HostListStandIn
        self.session: aiohttp.ClientSession
        self.backends: list[BackendStandIn] = []
        self.daemons: dict[str, Daemon] = {}
        self.places: dict[str, Place] = {}
        self.cut: set[frozenset[str]] = set()
        self.killed: set[Daemon] = set()
        self.paths: dict[str, tuple[Relay, Relay]] = {}
        self.write_number = 0

    async def async_start_host(self, name: str, place: Place) -> Daemon:
        """Start a daemon and put it on the host list."""
        store, host_list = await self._async_paths(place.region)
        values = {
            "host": name,
            "region": place.region,
            "zone": place.zone,
            "listen_address": "127.0.0.1:0",
            "peer_listen_address": "127.0.0.1:0",
            "store": f"http://{store.address}",
            "host_list": f"http://{host_list.address}",
        }
        environment = {
            "GREENGAGEPOINT_PEER_KEY": PEER_KEY,
            "GREENGAGEPOINT_OPERATOR_KEY": OPERATOR_KEY,
        }
        daemon = Daemon(read_settings(values, environment))
        await daemon.async_start()
        self.daemons[name] = daemon
        self.places[name] = place
        self._make_cuttable(daemon)
        identity = daemon.identity
        listed = ListedHost(
            name, identity.address, identity.peer_address, *place, leaving=False
        )
        self.host_list.server.put(listed)
        return daemon

    def _make_cuttable(self, daemon: Daemon) -> None:
        """Lose what the daemon sends over a cut, as a network does: unseen."""
        send = daemon.links.send
        own = self.places[daemon.identity.name].region

        def send_unless_cut(host: str, message: object) -> bool:
            place = self.places.get(host)
            if place is not None and frozenset({own, place.region}) in self.cut:
                return True
            if daemon in self.killed:
                return True
            return send(host, message)

        daemon.links.send = send_unless_cut

    async def _async_paths(self, region: str) -> tuple[Relay, Relay]:
        """Return a region's ways to store and host list."""
        if region not in self.paths:
            paths = (Relay(self.store.address), Relay(self.host_list.address))
            for path in paths:
                await path.async_open()
            self.paths[region] = paths
        return self.paths[region]

    async def async_kill(self, name: str) -> None:
        """End a daemon as a kill does: nothing is told, all connections reset."""
        daemon = self.daemons[name]
        self.killed.add(daemon)
        daemon.context.store.addresses[:] = [UNREACHABLE]
        for site in list(daemon.runner.sites):
            await site.stop()
        for connection in list(daemon.runner.server.connections):
            if connection.transport is not None:
                connection.transport.abort()
        await daemon.async_abort()

    async def async_change(self, daemon: Daemon) -> int:
        """Change a team's weight through a daemon; return the new generation."""
        self.write_number += 1
        fields = {
            "requests_per_second": 2000,
            "burst": 400,
            "weight": 1.0 + self.write_number,
        }
        change = _change("team", f"extra-{self.write_number}", 1, fields)
        return await self.async_apply(daemon, [change])

    async def async_apply(self, daemon: Daemon, changes: list[dict[str, Any]]) -> int:
        """Apply records, waiting while the daemon says that it cannot yet."""
        url = f"http://{daemon.identity.address}/v1/records/apply"
        headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        body = {
            "author": "measure",
            "changes": changes,
            "write_id": secrets.token_hex(8),
        }
        async with asyncio.timeout(WAIT_SECONDS):
            while True:
                async with self.session.post(url, json=body, headers=headers) as sent:
                    answer = await sent.json()
                if "generation" in answer:
                    return answer["generation"]
                if answer.get("status") not in (503, 504):
                    raise RuntimeError(answer)
                await asyncio.sleep(0.05)

    def serving(self) -> list[Daemon]:
        """Return the daemons that are not stopped."""
        return [one for one in self.daemons.values() if one.state != "stopped"]

    def runs_of(self, key: str) -> int:
        """Return how often a key's request has really run."""
        return sum(backend.log.by_key[key] for backend in self.backends)

    async def async_until_ready(self, names: list[str]) -> None:
        """Wait until hosts serve, see all others and hold rights."""
        hosts = [self.daemons[name] for name in names]
        await async_until(lambda: all(host.state == "serving" for host in hosts))
        await async_until(lambda: all(host.caps.table.has_rights for host in hosts))


async def async_until(condition: Callable[[], bool]) -> None:
    """Wait for a condition."""
    async with asyncio.timeout(WAIT_SECONDS):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(POLL_SECONDS)


class Shortened(NamedTuple):
    """Times that a fleet's records have in place of those of the deployment."""

    lookup_ttl_seconds: int
    max_deadline_ms: int


def read_changes(
    addresses: list[str], shortened: Shortened | None
) -> list[dict[str, Any]]:
    """Return all records of Ermis with the stand-ins' addresses put in, in order."""
    left = iter(addresses)
    changes = []
    for path in sorted(RECORDS.glob("*.toml")):
        text = path.read_text()
        if path.name == "sites.toml":
            text = ADDRESS.sub(lambda match: f'{match[1]}"{next(left)}"', text)
        if shortened is not None:
            ttl = f"lookup_ttl_seconds = {shortened.lookup_ttl_seconds}"
            text = LOOKUP_TTL.sub(ttl, text)
            text = DEADLINE.sub(lambda match: _at_most(match, shortened), text)
        changes += [
            _change(one.kind, one.name, one.schema_version, one.fields)
            for one in parse_toml(text, path.name)
        ]
    return changes


def _at_most(match: re.Match[str], shortened: Shortened) -> str:
    """Return a deadline's setting, at most the longest one."""
    return f"{match[1]} = {min(int(match[2]), shortened.max_deadline_ms)}"


def _change(
    kind: str, name: str, version: int, fields: dict[str, Any]
) -> dict[str, Any]:
    """Return the change that puts one record in force."""
    document = {
        "kind": kind,
        "name": name,
        "schema_version": version,
        "fields": fields,
    }
    return {"kind": kind, "name": name, "document": document}


def zones_of_records() -> list[Place]:
    """Return all availability zones of the records."""
    regions = tomllib.loads((RECORDS / "regions.toml").read_text())["region"]
    return [
        Place(region["name"], zone) for region in regions for zone in region["zones"]
    ]


async def _async_start_backends(fleet: DaemonFleet) -> None:
    """Start a stand-in for each backend server of the records."""
    sites = tomllib.loads((RECORDS / "sites.toml").read_text())["site"]
    servers = [server for site in sites for server in site["backend_servers"]]
    for seed, server in enumerate(servers):
        control = BackendControl(
            slots=server["slots"], service_ms={"/": SERVICE_MS}, connection_ms=0.0
        )
        fleet.backends.append(
            await async_start_backend(0, control, name=server["name"], seed=seed)
        )


@contextlib.asynccontextmanager
async def async_fleet(
    *, hosts_a_zone: int, shortened: Shortened | None = None
) -> AsyncIterator[DaemonFleet]:
    """Run a fleet with the records in force on all daemons."""
    fleet = DaemonFleet()
    fleet.store = await async_start_store()
    fleet.host_list = await async_start_host_list()
    fleet.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
    try:
        await _async_start_backends(fleet)
        for place in zones_of_records():
            for number in range(hosts_a_zone):
                await fleet.async_start_host(f"{place.zone}-{number}", place)
        first = next(iter(fleet.daemons.values()))
        addresses = [backend.address for backend in fleet.backends]
        await fleet.async_apply(first, read_changes(addresses, shortened))
        await fleet.async_until_ready(list(fleet.daemons))
        yield fleet
    finally:
        for daemon in fleet.serving():
            await daemon.async_abort()
        for path in itertools.chain.from_iterable(fleet.paths.values()):
            await path.async_cut()
        await fleet.session.close()
        for backend in fleet.backends:
            await backend.async_stop()
        await fleet.host_list.async_stop()
        await fleet.store.async_stop()
