"""Experiments on the key-value service."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator

from greengagepoint_standins.demo.processes import DemoError
from greengagepoint_standins.experiments.catalogue import experiment
from greengagepoint_standins.experiments.expectations import (
    expect_answered,
    expect_recovered,
    expect_refused,
    expect_true,
)
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
        await world.async_store(lose_replies=0)


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
    await world.async_store("/control/leases")
    await asyncio.sleep(8)
    await world.async_store("/control/leases")
    await asyncio.sleep(10)
    expect_recovered(world)
    await asyncio.sleep(LAST_SECONDS)


@experiment("store-restored")
async def async_store_restored(world: World) -> None:
    """Have reads answered while the store is back at an older revision.

    Hosts keep the newer records in force and refuse changes on top of the older
    ones, as claims made since the backup are gone and operators must look first.
    """
    revision = (await world.async_store())["revision"]
    await asyncio.sleep(2)
    server = world.fleet.servers[-1][0].name
    accepted = await world.async_change("drain", "backend-server", server)
    await asyncio.sleep(2)
    restored = time.monotonic()
    await world.async_store("/control/restore", revision=revision)
    await asyncio.sleep(2)
    try:
        await world.fleet.async_client("drain", "host", "none-such-host-1")
        refused, told = False, "accepted"
    except DemoError as error:
        refused, told = True, " ".join(str(error).split())[:160]
    expect_true(world, "a change after the restore is refused", refused, told)
    await asyncio.sleep(6)
    lowest = min(world.fleet.generations[host.name][-1] for host in world.live_hosts())
    expect_true(
        world,
        "no host goes back behind the accepted change",
        lowest >= accepted.generation,
        f"{lowest} in force, {accepted.generation} was accepted",
    )
    expect_answered(
        world, "reads after the restore", restored, time.monotonic(), keyed=False
    )
