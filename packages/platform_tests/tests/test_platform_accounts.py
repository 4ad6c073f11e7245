"""Client accounts on real daemons: revoked keys and rate limits."""

import asyncio
import contextlib
import signal
import time
from pathlib import Path

import aiohttp
import pytest

from greengagepoint_standins.users_platform.daemons import HOST, SERVICE, async_fleet

ROOT = Path(__file__).parents[3]
KEY, OTHER_KEY = "k3yofone4567890abcde", "0therk3yofone4567890"
REVOKE_SECONDS = 3.0
# Covers a store watch, a report to peers and the network delay between them.
FRESHNESS_SECONDS = 8.0
RATE, BURST = 20, 20
WINDOW_SECONDS = 5.0


def configure(fleet, *keys, **limits):
    """Store a configuration with one account that holds these keys."""
    fleet.version += 3
    rule = {
        "name": "r",
        "kind": "unsafe",
        "targetLatencyS": 0.4,
        "sticky": True,
        "match": {"pathPrefix": "/bays/"},
        "action": {"service": SERVICE, "timeoutS": 2.0, "maxAttempts": 2},
    }
    document = {
        "version": f"r{fleet.version}",
        "tenants": [{"name": "one", "apiKeys": list(keys), **limits}],
        "listeners": [{"host": HOST, "rules": [rule]}],
        "clusters": [{"name": SERVICE, "coldStartS": 1.0, "coldPerS": 50.0}],
    }
    fleet.put("op/config", document)


@contextlib.asynccontextmanager
async def async_accounts(folder, *keys, strangers=False, **limits):
    """Run daemons with strict key revocation and one active account."""
    async with async_fleet(ROOT, folder, strangers=strangers) as fleet:
        for node in fleet.nodes:
            node.document["bounds"] |= {
                "strictRevoke": True,
                "revokeS": REVOKE_SECONDS,
            }
            await node.async_kill()
        configure(fleet, *keys, **limits)
        await asyncio.gather(*(node.async_start() for node in fleet.nodes))
        for node in fleet.nodes:
            await fleet.async_until(lambda node=node: fleet.async_is_ready(node))
            await fleet.async_until(lambda node=node: async_serves(fleet, node, KEY))
        yield fleet


async def async_status(fleet, node, key, session=None):
    """Return the status of one request with a key."""
    headers = {
        "Host": HOST,
        "X-Greengagepoint-Request-Id": fleet.next_id(),
        "X-Greengagepoint-Deadline-Ms": "3000",
        "Authorization": f"Bearer {key}",
    }
    url = f"http://{node.listen['front']}/bays/1"
    sender = session or fleet.session
    async with sender.post(url, headers=headers, data=b"x") as answer:
        await answer.read()
        return answer.status


async def async_serves(fleet, node, key):
    """Return True if a host serves requests with a key."""
    return await async_status(fleet, node, key) == 200


def count_executions(fleet):
    return sum(len(backend.ran) for backend in fleet.backends)


async def async_freeze(fleet, node):
    node.process.send_signal(signal.SIGSTOP)


async def async_resume(fleet, node):
    node.process.send_signal(signal.SIGCONT)


async def async_fail_store(fleet, node):
    fleet.store.control.status = 503


async def async_do_nothing(fleet, node):
    return None


@pytest.mark.parametrize(
    ("async_inject_fault", "async_clear_fault", "strangers"),
    [
        (async_do_nothing, async_do_nothing, False),
        (async_freeze, async_resume, False),
        (async_fail_store, async_do_nothing, False),
        (async_fail_store, async_do_nothing, True),
    ],
    ids=["no fault", "a host frozen", "the store unavailable", "a host isolated"],
)
async def test_no_request_with_a_revoked_key_runs_after_the_bound(
    tmp_path, async_inject_fault, async_clear_fault, strangers
):
    """Guards against a host that still accepts a key because it missed its removal."""
    async with (
        async_accounts(tmp_path, KEY, OTHER_KEY, strangers=strangers) as fleet,
        aiohttp.ClientSession() as session,
    ):
        node = fleet.nodes[0]
        assert await async_status(fleet, node, KEY, session) == 200
        await async_inject_fault(fleet, node)
        configure(fleet, OTHER_KEY)
        await asyncio.sleep(REVOKE_SECONDS)
        executions = count_executions(fleet)
        await async_clear_fault(fleet, node)
        # The first request uses the connection that was opened before the removal.
        statuses = [await async_status(fleet, row, KEY, session) for row in fleet.nodes]
        assert set(statuses) <= {401, 503}
        assert count_executions(fleet) == executions


async def test_keys_are_served_again_after_the_store_recovers(tmp_path):
    """Guards against hosts that still reject keys after a store outage."""
    async with async_accounts(tmp_path, KEY) as fleet:
        fleet.store.control.status = 503
        await asyncio.sleep(REVOKE_SECONDS + 0.5)
        assert await async_status(fleet, fleet.nodes[0], KEY) == 503
        fleet.store.control.status = 0
        for node in fleet.nodes:
            await fleet.async_until(
                lambda node=node: async_serves(fleet, node, KEY), FRESHNESS_SECONDS
            )


async def async_flood(fleet, seconds):
    """Send three times the limit to all hosts; return when each served one finished."""
    ends_at = time.monotonic() + seconds
    ran_at = []

    async def async_send(node):
        with contextlib.suppress(aiohttp.ClientError):
            if await async_status(fleet, node, KEY) == 200:
                ran_at.append(time.monotonic())

    async with asyncio.TaskGroup() as group:
        while time.monotonic() < ends_at:
            for node in fleet.nodes:
                group.create_task(async_send(node))
            await asyncio.sleep(3 / (3 * RATE))
    return ran_at


def max_per_window(ran_at):
    return max(
        sum(begin <= at < begin + WINDOW_SECONDS for at in ran_at) for begin in ran_at
    )


async def test_an_accounts_limit_holds_over_all_hosts_and_their_restart(tmp_path):
    """Guards against limits per host, and against usage that a restart forgets."""
    limits = {"ratePerS": RATE, "burst": BURST}
    async with async_accounts(tmp_path, KEY, **limits) as fleet:
        ran_at = await async_flood(fleet, 4.0)
        for node in fleet.nodes:
            await node.async_kill()
        await asyncio.gather(*(node.async_start() for node in fleet.nodes))
        ran_at += await async_flood(fleet, 6.0)
        assert max_per_window(ran_at) <= (RATE * WINDOW_SECONDS + BURST) * 1.1 + 20
        assert len(ran_at) >= 0.5 * RATE * 8
