"""Experiments on the key-value service."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator

from greengagepoint_standins.demo.fleet import OPERATOR_KEY
from greengagepoint_standins.demo.processes import DemoError
from greengagepoint_standins.experiments.catalogue import experiment
from greengagepoint_standins.experiments.expectations import (
    expect_answered,
    expect_recovered,
    expect_refused,
    expect_true,
)
from greengagepoint_standins.experiments.faults import async_replace, async_stop
from greengagepoint_standins.experiments.world import World

AFTER_SECONDS = 6.0
LAST_SECONDS = 5.0
# A keyed request's deadline is 4 s: what starts later in an outage ends in it, and
# what starts in the last 4 s may be sent again after it.
KEYED_DEADLINE_SECONDS = 4.5
OUTAGE_NOTICED_SECONDS = 0.5
LOSE_EVERY_SECONDS = 0.2


@experiment("store-down")
async def async_store_down(world: World) -> None:
    """Have keyed requests refused as "not run" for 15 s; all else is answered.

    A key can't be claimed without the store, and running without a claim could run
    twice. Look-ups and reads need no store: hosts keep the records and their rights.
    """
    await world.async_store(down="refuse")
    began = time.monotonic()
    await asyncio.sleep(15)
    await world.async_store(down="no")
    ended = time.monotonic()
    expect_refused(
        world,
        "keyed requests are refused as not run",
        began + OUTAGE_NOTICED_SECONDS,
        ended - KEYED_DEADLINE_SECONDS,
    )
    expect_answered(world, "reads go on in the outage", began, ended, keyed=False)
    await asyncio.sleep(AFTER_SECONDS)
    expect_recovered(world)
    await asyncio.sleep(LAST_SECONDS)


@experiment("store-slow")
async def async_store_slow(world: World) -> None:
    """Wait longer for keyed requests, or have them refused; all else is as ever.

    Each call to the store takes 1.5 s for 12 s; leases are renewed late.
    """
    began = time.monotonic()
    await world.async_store(slow_ms=1500)
    await asyncio.sleep(12)
    await world.async_store(slow_ms=0)
    expect_answered(
        world, "reads go on beside a slow store", began, time.monotonic(), keyed=False
    )
    await asyncio.sleep(AFTER_SECONDS)
    expect_recovered(world)
    await asyncio.sleep(LAST_SECONDS)


@contextlib.asynccontextmanager
async def async_losing_replies(world: World) -> AsyncIterator[None]:
    """Let the store lose the reply of about each fifth write."""

    async def async_lose() -> None:
        while True:
            await world.async_store(lose_replies=1)
            await asyncio.sleep(LOSE_EVERY_SECONDS)

    losing = asyncio.create_task(async_lose())
    try:
        yield
    finally:
        losing.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await losing
        counts = (await world.async_store(lose_replies=0))["counts"]
        lost = counts.get("lost_replies", 0)
        expect_true(world, "replies were lost", lost > 0, f"{lost} so far")


@experiment("store-loses-replies")
async def async_store_loses_replies(world: World) -> None:
    """Have keyed requests answered once, refused, or told that it is unknown.

    A claim whose reply is lost may be in the store; the host must find out whose
    it is before it sends, or refuse.
    """
    async with async_losing_replies(world):
        await asyncio.sleep(15)
    await asyncio.sleep(2)
    expect_recovered(world)
    await asyncio.sleep(LAST_SECONDS)


@experiment("store-leases-expired")
async def async_leases_expired(world: World) -> None:
    """Notice little while all leases end at once, twice.

    Every host finds its lease gone and takes a new one; until then it may use no
    right that another host could claim.
    """
    await world.async_store("/control/expire-leases")
    await asyncio.sleep(8)
    await world.async_store("/control/expire-leases")
    await asyncio.sleep(10)
    expect_recovered(world)
    await asyncio.sleep(LAST_SECONDS)


@experiment("store-restored")
async def async_store_restored(world: World) -> None:
    """Have reads answered while the store is back at an older revision.

    Hosts keep the newer records in force and put the lost generation back; a change
    is refused until then and lies on top of it afterwards. A host that starts later
    has the lost generation, too.
    """
    revision = (await world.async_store())["revision"]
    await asyncio.sleep(2)
    server = world.fleet.servers[-1][0].name
    accepted = await world.async_drain(server)
    await asyncio.sleep(2)
    restored = time.monotonic()
    await world.async_store("/control/restore", revision=revision)
    for number in range(1, 4):
        await _async_change_after(world, accepted.generation, number)
    host = world.fleet.hosts[0]
    await async_stop(world, host)
    new = await async_replace(world, host)
    await asyncio.sleep(AFTER_SECONDS)
    lowest = min(world.fleet.generations[one.name][-1] for one in world.live_hosts())
    expect_true(
        world,
        "no host goes back behind the accepted change, nor starts behind it",
        lowest >= accepted.generation,
        f"{lowest} in force, {accepted.generation} was accepted",
    )
    expect_true(
        world,
        "the accepted drain is on the new host",
        server in await _async_drained(world, new.address),
    )
    expect_answered(
        world, "reads after the restore", restored, time.monotonic(), keyed=False
    )
    await asyncio.sleep(LAST_SECONDS)


async def _async_change_after(world: World, accepted: int, number: int) -> None:
    """Write another record; it must be refused or lie on top of what was accepted."""
    server = world.fleet.servers[number][0].name
    try:
        await world.fleet.async_client("drain", "backend-server", server)
    except DemoError as error:
        told = " ".join(str(error).split())[-160:]
        expect_true(world, "a change after the restore is refused", True, told)
        return
    seen = await world.fleet.async_time_in_force(time.monotonic())
    world.in_force.append(seen)
    expect_true(
        world,
        "a change after the restore lies on top",
        seen.generation > accepted,
        f"generation {seen.generation}, {accepted} was accepted before",
    )


async def _async_drained(world: World, address: str) -> set[str]:
    """Return what the drain records on a host name."""
    headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
    url = f"http://{address}/v1/records"
    async with world.fleet.session.get(url, headers=headers) as answer:
        answer.raise_for_status()
        rows = (await answer.json())["documents"]
    return {row["fields"]["target"] for row in rows if row["kind"] == "drain"}
