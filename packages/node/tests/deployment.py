"""A small deployment in one loop: stand-ins, and daemons that tests drive."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from typing import Any

import aiohttp

from greengagepoint.protocols import ListedHost
from greengagepoint_node.daemon import Daemon
from greengagepoint_node.settings import read_settings
from greengagepoint_standins.backend import BackendStandIn, async_start_backend
from greengagepoint_standins.backend_control import BackendControl
from greengagepoint_standins.host_list import HostListStandIn, async_start_host_list
from greengagepoint_standins.store import StoreStandIn, async_start_store

REGIONS = ("attiki", "kentriki")
WAIT_SECONDS = 20.0
OPERATOR_KEY = "operator-key-of-tests"
PEER_KEY = "peer-key-of-the-tests"


class Deployment:
    """Stand-ins and daemons of one test."""

    def __init__(self) -> None:
        self.store: StoreStandIn
        self.host_list: HostListStandIn
        self.session: aiohttp.ClientSession
        self.backends: dict[str, BackendStandIn] = {}
        self.daemons: dict[str, Daemon] = {}
        self.service: dict[str, Any] = {}

    async def async_add_daemon(self, name: str, region: str) -> Daemon:
        """Start a daemon and put it on the host list."""
        values = {
            "host": name,
            "region": region,
            "zone": f"{region}-a",
            "listen_address": "127.0.0.1:0",
            "peer_listen_address": "127.0.0.1:0",
            "store": f"http://{self.store.address}",
            "host_list": f"http://{self.host_list.address}",
            "tick_seconds": "0.05",
            "slow_sender_seconds": "0.5",
            "max_body_bytes": "1000000",
        }
        environment = {
            "GREENGAGEPOINT_PEER_KEY": PEER_KEY,
            "GREENGAGEPOINT_OPERATOR_KEY": OPERATOR_KEY,
        }
        daemon = Daemon(read_settings(values, environment))
        await daemon.async_start()
        self.daemons[name] = daemon
        identity = daemon.identity
        self.host_list.server.put(
            ListedHost(
                name,
                identity.address,
                identity.peer_address,
                region,
                f"{region}-a",
                leaving=False,
            )
        )
        return daemon

    async def async_apply(self, changes: list[dict[str, Any]]) -> dict[str, Any]:
        """Apply records through the first daemon."""
        daemon = next(iter(self.daemons.values()))
        url = f"http://{daemon.identity.address}/v1/records/apply"
        headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        body = {"author": "tests", "changes": changes}
        # A daemon that has just started refuses to write until it has heard of its
        # peers' configuration, and says when to come back.
        async with asyncio.timeout(WAIT_SECONDS):
            while True:
                async with self.session.post(url, json=body, headers=headers) as sent:
                    answer = await sent.json()
                if answer.get("kind") != "not_ready":
                    return answer
                await asyncio.sleep(0.05)

    async def async_request(
        self, daemon: Daemon, path: str, *, method: str = "GET", **kwargs: Any
    ) -> aiohttp.ClientResponse:
        """Send a request through a daemon and read the whole answer."""
        headers = {"Greengagepoint-Team": "drivers", **kwargs.pop("headers", {})}
        url = f"http://{daemon.identity.address}{path}"
        answer = await self.session.request(method, url, headers=headers, **kwargs)
        await answer.read()
        return answer


def document(kind: str, name: str, version: int = 1, **fields: Any) -> dict[str, Any]:
    """Return the change that puts one record in force."""
    return {
        "kind": kind,
        "name": name,
        "document": {
            "kind": kind,
            "name": name,
            "schema_version": version,
            "fields": fields,
        },
    }


def records(
    backends: dict[str, BackendStandIn], limit: int, service: dict[str, Any]
) -> list[dict[str, Any]]:
    """Return records for two regions with one site each."""
    changes = []
    for region in REGIONS:
        servers = [
            {
                "name": name,
                "service": "booking",
                "address": stand_in.address,
                "slots": stand_in.control.slots,
            }
            for name, stand_in in backends.items()
            if name.startswith(region)
        ]
        changes += [
            document("region", region, zones=[f"{region}-a"], capacity=limit),
            document(
                "site",
                f"{region}-1",
                region=region,
                zone=f"{region}-a",
                capacity=limit,
                backend_servers=servers,
            ),
        ]
    routes = [
        {"path": "/bays", "request_class": "lookup", "repeatable": True},
        {"path": "/archive", "request_class": "archive", "repeatable": True},
        {"path": "/reservations", "request_class": "payment", "needs_key": True},
    ]
    fields = {
        "sites": [f"{region}-1" for region in REGIONS],
        "max_deadline_ms": 10_000,
        "lookup_ttl_seconds": 1,
        "routes": routes,
        **service,
    }
    changes.append(document("service", "booking", 2, **fields))
    changes.append(document("team", "drivers", requests_per_second=10_000, burst=5_000))
    return changes


async def async_until(condition: Callable[[], bool]) -> None:
    """Wait for a condition; the time limit only ends a test that hangs."""
    async with asyncio.timeout(WAIT_SECONDS):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def async_deployment(
    *,
    hosts_a_region: int = 1,
    servers_a_site: int = 2,
    limit: int = 40,
    control: Callable[[], BackendControl] = BackendControl,
    service: dict[str, Any] | None = None,
) -> AsyncIterator[Deployment]:
    """Run a deployment with records in force on all daemons."""
    deployment = Deployment()
    deployment.store = await async_start_store()
    deployment.host_list = await async_start_host_list()
    deployment.session = aiohttp.ClientSession()
    try:
        for region in REGIONS:
            for number in range(servers_a_site):
                name = f"{region}-{number}"
                deployment.backends[name] = await async_start_backend(
                    0, control(), name=name
                )
            for number in range(hosts_a_region):
                await deployment.async_add_daemon(f"{region}-host-{number}", region)
        count = len(deployment.daemons)
        daemons = deployment.daemons.values()
        await async_until(
            lambda: all(len(d.membership.serving_hosts()) == count for d in daemons)
        )
        answer = await deployment.async_apply(
            records(deployment.backends, limit, service or {})
        )
        assert answer.get("generation") == 1, answer
        await async_until(lambda: all(d.state == "serving" for d in daemons))
        await async_until(lambda: all(d.caps.table.has_rights for d in daemons))
        yield deployment
    finally:
        for daemon in deployment.daemons.values():
            if daemon.state != "stopped":
                await daemon.async_abort()
        await deployment.session.close()
        for backend in deployment.backends.values():
            await backend.async_stop()
        await deployment.host_list.async_stop()
        await deployment.store.async_stop()
