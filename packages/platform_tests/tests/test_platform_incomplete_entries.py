"""Entries of another writer under the ids of servers, with three real daemons."""

import asyncio
from pathlib import Path

import pytest

from greengagepoint_standins.users_platform.backend import PlatformBackend
from greengagepoint_standins.users_platform.daemons import (
    HOST,
    SERVICE,
    async_fleet,
)

ROOT = Path(__file__).parents[3]
OTHER = "vault"
PREFIXES = {"/bays/": SERVICE, "/vault/": OTHER}
KEYS = 12
WORK_SECONDS = 0.1
MISSING = (
    "version",
    "service",
    "address",
    "zone",
    "slots",
    "state",
    "coldLeftS",
    "sequence",
)


def put_two_services(fleet):
    """Configure one route to each of two services."""
    fleet.version += 3
    rules = [
        {
            "name": f"r{prefix}",
            "kind": "unsafe",
            "match": {"pathPrefix": prefix},
            "action": {"service": service, "timeoutS": 2.0, "maxAttempts": 2},
        }
        for prefix, service in PREFIXES.items()
    ]
    document = {
        "version": f"r{fleet.version}",
        "listeners": [{"host": HOST, "rules": rules}],
        "clusters": [{"name": service} for service in PREFIXES.values()],
    }
    fleet.put("op/config", document)


def ran_by_a_wrong_service(fleet):
    """Return the requests that a server of another service ran."""
    return [
        (backend.instance, row.target)
        for backend in fleet.backends
        for row in backend.ran
        if row.target.startswith("/vault/") is not (backend.instance == "v-0")
    ]


async def async_call_both(fleet):
    """Send requests to both services through all hosts; return their statuses."""
    calls = [
        fleet.async_call(node, prefix, str(key), "POST", b"order")
        for prefix in PREFIXES
        for node in fleet.nodes
        for key in range(KEYS)
    ]
    return {status for status, _, _ in await asyncio.gather(*calls)}


async def async_put_over(fleet, backend, **fields):
    """Put an entry over a server's own while requests run; fields of None lack."""
    document = {
        "service": OTHER,
        "address": backend.address,
        "zone": "z-a",
        "version": "1",
        "slots": 8,
        "state": "ready",
        "coldLeftS": 0,
        "sequence": 2,
        **fields,
    }
    running = asyncio.create_task(async_call_both(fleet))
    await asyncio.sleep(WORK_SECONDS / 2)
    rest = {name: value for name, value in document.items() if value is not None}
    fleet.put(f"servers/{backend.instance}", rest)
    await fleet.async_until(fleet.async_all_know)
    assert await running <= {200, 429, 503}
    assert 200 in await async_call_both(fleet)


@pytest.fixture
async def fleet(tmp_path):
    async with async_fleet(ROOT, tmp_path) as running:
        vault = PlatformBackend("v-0")
        await vault.async_start()
        running.backends.append(vault)
        running.enter(vault, "z-a", service=OTHER)
        put_two_services(running)
        for backend in running.backends:
            backend.seconds = WORK_SECONDS
        await running.async_until(running.async_all_know)
        yield running


async def test_an_incomplete_entry_names_no_server(fleet):
    # The entry stands under the id of a server of one service and names the other. The
    # server bears that id, so it would run the requests of the other service.
    first = fleet.backends[0]
    for name in MISSING:
        await async_put_over(fleet, first, **{name: None})
        assert ran_by_a_wrong_service(fleet) == [], name
        # Its own next report brings the server back.
        before = len(first.ran)
        fleet.enter(first, "z-a", sequence=3)

        async def async_is_back(before=before):
            await async_call_both(fleet)
            return len(first.ran) > before

        await fleet.async_until(async_is_back)
    assert ran_by_a_wrong_service(fleet) == []
