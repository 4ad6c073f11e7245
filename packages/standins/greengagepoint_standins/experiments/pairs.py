"""Experiments with two faults at once, each twice in a run."""

import asyncio

from greengagepoint_standins.experiments.catalogue import experiment
from greengagepoint_standins.experiments.expectations import expect_recovered
from greengagepoint_standins.experiments.faults import (
    async_freeze,
    async_kill,
    async_replace,
)
from greengagepoint_standins.experiments.operators import (
    ExitCode,
    async_lower_cap,
    async_race,
)
from greengagepoint_standins.experiments.platform import async_lose_and_return
from greengagepoint_standins.experiments.store import async_losing_replies
from greengagepoint_standins.experiments.world import World

AFTER_SECONDS = 8.0
LAST_SECONDS = 5.0


async def async_settle(world: World) -> None:
    """Let the fleet recover and expect answers from then on."""
    await asyncio.sleep(AFTER_SECONDS)
    expect_recovered(world)
    await asyncio.sleep(LAST_SECONDS)


@experiment("store-down-host-killed")
async def async_store_down_host_killed(world: World) -> None:
    """Have keyed requests refused and a host's requests broken, twice.

    A host dies in an outage of the store: nobody can claim its rights until the
    store is back, so its share stays unused. Its successor has no rights either.
    """
    for number in range(2):
        host = world.fleet.hosts[number]
        await world.async_store(down="hang")
        await asyncio.sleep(2)
        await async_kill(world, host)
        await asyncio.sleep(6)
        await world.async_store(down="no")
        await async_replace(world, host)
        await asyncio.sleep(AFTER_SECONDS)
    await async_settle(world)


@experiment("host-frozen-cap-lowered")
async def async_host_frozen_cap_lowered(world: World) -> None:
    """Be served elsewhere when a cap is lowered while a host is frozen, twice.

    The host wakes with shares of the higher cap and has not seen the record; it
    must not use them on top of what the others now hold.
    """
    for number, limit in enumerate((3, 2)):
        host = world.fleet.hosts[number]
        freezing = asyncio.create_task(async_freeze(world, [host], 10.0))
        await asyncio.sleep(2)
        await async_lower_cap(world, limit)
        await freezing
        await asyncio.sleep(AFTER_SECONDS)
    await async_settle(world)


@experiment("store-loses-replies-operators-racing")
async def async_loses_replies_racing(world: World) -> None:
    """Have keyed requests refused or unknown while operators race, twice.

    A change whose reply is lost is found by its write id; the client ends with
    accepted, conflict or unknown (7), and what is told as accepted is in force.
    """
    allowed = {ExitCode.OK, ExitCode.CONFLICT, ExitCode.OUTCOME_UNKNOWN}
    for first in (100, 200):
        async with async_losing_replies(world):
            await async_race(world, 8, allowed, first)
        await asyncio.sleep(2)
    await async_settle(world)


@experiment("region-lost-store-slow")
async def async_region_lost_store_slow(world: World) -> None:
    """Lose a region's requests in flight and wait for keyed ones, twice.

    The lost hosts' rights are claimed late, as each call to the store takes 1.5 s.
    """
    for _ in range(2):
        await world.async_store(slow_ms=1500)
        await async_lose_and_return(world, 8.0)
        await world.async_store(slow_ms=0)
        await asyncio.sleep(AFTER_SECONDS)
    await async_settle(world)
