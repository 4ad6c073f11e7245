"""Requests that crash every server that runs them, on three real daemons."""

import asyncio
import time
from pathlib import Path

import pytest

from greengagepoint_standins.users_platform.crash_loop import (
    Caller,
    async_calling,
    async_crash_loop,
)
from greengagepoint_standins.users_platform.daemons import async_fleet

ROOT = Path(__file__).parents[3]
FATAL = "/bays/fatal"
SERVERS = 12
# The users' bound: CONTACT_SECONDS after the third crash, at most LATE_SENDS_MAX more
# sends of the request.
CRASHES_MAX = 3
CONTACT_SECONDS = 3.0
LATE_SENDS_MAX = 3
# The last crashed server restarts after 1.5 s and is no longer cold a second later.
RECOVERY_SECONDS = 3.0
KEYS = ("1", "2", "3")


@pytest.fixture
async def fleet(tmp_path):
    async with async_fleet(ROOT, tmp_path) as running:
        yield running


def fatal_caller(fleet, **fields):
    return Caller(fleet, fleet.nodes, lambda number: FATAL, "1", 0.2, **fields)


def innocent_callers(fleet):
    """Return callers with three keys, the first one shared with the fatal request."""
    return [
        Caller(fleet, fleet.nodes, lambda number: f"/bays/{number}", key, 0.1)
        for key in KEYS
    ]


def late_sends(loop):
    return len(loop.sent_after(CRASHES_MAX, CONTACT_SECONDS, FATAL))


async def async_third_crash(fleet, loop):
    """Wait for the third server crash, and return its time."""

    async def async_has_crashed():
        return len(loop.ends) >= CRASHES_MAX

    await fleet.async_until(async_has_crashed)
    return sorted(loop.ends)[CRASHES_MAX - 1][0]


async def async_quarantine(fleet, node):
    """Return the suspected requests that a host lists for operators."""
    async with fleet.session.get(f"http://{node.metrics}/quarantine") as answer:
        assert answer.status == 200
        return await answer.json()


async def async_restart_all(fleet):
    """Kill all hosts at once and restart them."""
    await asyncio.gather(*(node.async_kill() for node in fleet.nodes))
    for node in fleet.nodes:
        await node.async_start()
    for node in fleet.nodes:
        await fleet.async_until(lambda node=node: fleet.async_is_ready(node))


@pytest.mark.parametrize(
    ("kind", "method", "body"), [("safe", "GET", None), ("unsafe", "POST", b"order")]
)
async def test_a_request_that_crashes_servers_does_not_reach_all_of_them(
    fleet, kind, method, body
):
    fleet.configure("/bays/", kind=kind)
    async with async_crash_loop(fleet, SERVERS, {FATAL}, 0.1) as loop:
        innocent = innocent_callers(fleet)
        fatal = fatal_caller(fleet, method=method, body=body)
        async with async_calling(fatal, *innocent):
            third_crash_at = await async_third_crash(fleet, loop)
            await asyncio.sleep(CONTACT_SECONDS + RECOVERY_SECONDS + 4.0)
        assert late_sends(loop) <= LATE_SENDS_MAX
        since = third_crash_at + CONTACT_SECONDS + RECOVERY_SECONDS
        assert all(caller.outcomes for caller in innocent)
        assert not [
            caller.unserved_since(since)
            for caller in innocent
            if caller.unserved_since(since)
        ]


@pytest.mark.parametrize("store_down", [False, True])
async def test_a_quarantine_survives_a_restart_of_all_hosts(fleet, store_down):
    async with async_crash_loop(fleet, SERVERS, {FATAL}, same_id=store_down) as loop:
        fleet.store.control.status = 503 if store_down else 0
        async with async_calling(fatal_caller(fleet)):
            await async_third_crash(fleet, loop)
            await asyncio.sleep(CONTACT_SECONDS)
            fleet.store.control.status = 0
            await asyncio.sleep(4.0 if store_down else 0.0)
            # A fleet that detected the request anew after each restart would lose three
            # servers each time.
            for _ in range(2):
                await async_restart_all(fleet)
                await asyncio.sleep(3.0)
        assert late_sends(loop) <= LATE_SENDS_MAX


async def test_a_host_that_starts_without_the_store_is_informed_by_peers(fleet):
    async with async_crash_loop(fleet, SERVERS, {FATAL}, same_id=True) as loop:
        fleet.store.control.status = 503
        async with async_calling(fatal_caller(fleet)):
            await async_third_crash(fleet, loop)
            await asyncio.sleep(CONTACT_SECONDS)
            node = fleet.nodes[0]
            for _ in range(2):
                await node.async_kill()
                await node.async_start()
                await fleet.async_until(lambda: fleet.async_is_ready(node))
                await asyncio.sleep(2.5)
        assert late_sends(loop) <= LATE_SENDS_MAX


@pytest.mark.parametrize("channel", ["peers", "store"])
async def test_hosts_add_up_their_crash_counts_over_one_channel(tmp_path, channel):
    async with (
        async_fleet(ROOT, tmp_path, strangers=channel == "store") as fleet,
        async_crash_loop(fleet, SERVERS, {FATAL}, same_id=channel == "peers") as loop,
    ):
        fleet.configure("/bays/", kind="unsafe")
        await fleet.async_until(fleet.async_all_know)
        fleet.store.control.status = 503 if channel == "peers" else 0
        # Each host gets the request every 3.6 s, so counting only its own crashes it
        # would reach the third one too late.
        fatal = Caller(fleet, fleet.nodes, lambda number: FATAL, "1", 1.2, "POST")
        async with async_calling(fatal):
            await async_third_crash(fleet, loop)
            await asyncio.sleep(2 * CONTACT_SECONDS + 2.0)
        assert late_sends(loop) <= LATE_SENDS_MAX


async def test_two_servers_do_not_crash_repeatedly_while_the_store_is_down(fleet):
    async with async_crash_loop(fleet, 2, {FATAL}, same_id=True) as loop:
        fleet.store.control.status = 503
        fatal = Caller(fleet, fleet.nodes, lambda number: FATAL, "1", 0.5)
        async with async_calling(fatal):
            await async_third_crash(fleet, loop)
            await asyncio.sleep(CONTACT_SECONDS + 9.0)
        assert late_sends(loop) <= LATE_SENDS_MAX


async def test_an_operator_lists_and_lifts_a_quarantine(fleet):
    async with async_crash_loop(fleet, SERVERS, {FATAL}) as loop:
        async with async_calling(fatal_caller(fleet)):
            await async_third_crash(fleet, loop)
            await asyncio.sleep(1.0)
        loop.fatal.clear()
        shown = await async_quarantine(fleet, fleet.nodes[0])
        content = next(row["content"] for row in shown if row["refused_seconds"])
        assert (await fleet.async_call(fleet.nodes[1], FATAL))[0] == 503
        url = f"http://{fleet.nodes[0].metrics}/quarantine/{content}"
        async with fleet.session.delete(url) as answer:
            assert answer.status == 204

        async def async_served():
            answers = [await fleet.async_call(node, FATAL) for node in fleet.nodes]
            return {status for status, _, _ in answers} == {200}

        async def async_is_removed():
            return f"quarantine/{content}" not in fleet.store.items.items

        await fleet.async_until(async_served, CONTACT_SECONDS)
        await fleet.async_until(async_is_removed, CONTACT_SECONDS)
        async with fleet.session.delete(url) as answer:
            assert answer.status == 404


async def test_a_request_is_not_blamed_for_servers_killed_while_running_it(fleet):
    target = "/bays/popular"
    async with async_crash_loop(fleet, SERVERS, set(), 0.3) as loop:
        caller = Caller(fleet, fleet.nodes, lambda number: target, "1", 0.25)
        async with async_calling(caller):
            for _ in range(8):
                await asyncio.sleep(1.0)
                running = [
                    backend
                    for backend in fleet.backends
                    if any(row.target == target for row in backend.ran[-1:])
                ]
                for backend in running[:1]:
                    await loop.async_end(backend)
            killed_at = time.monotonic()
            await asyncio.sleep(RECOVERY_SECONDS)
        assert len(loop.ends) > CRASHES_MAX
        statuses = [row.status for row in caller.outcomes]
        assert statuses.count(200) > 0.8 * len(statuses)
        assert not caller.unserved_since(killed_at + 1.0)
        for node in fleet.nodes:
            assert "request_quarantined" not in node.events()
