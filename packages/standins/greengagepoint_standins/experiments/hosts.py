"""Experiments on entry hosts: killed, frozen, replaced, cut off."""

import asyncio

from greengagepoint_standins.experiments.catalogue import experiment
from greengagepoint_standins.experiments.expectations import expect_recovered
from greengagepoint_standins.experiments.faults import (
    async_cut,
    async_freeze,
    async_kill,
    async_replace,
    async_stop,
)
from greengagepoint_standins.experiments.world import World

DETECTED_SECONDS = 8.0
LAST_SECONDS = 5.0


@experiment("host-killed")
async def async_host_killed(world: World) -> None:
    """Lose one host's requests in flight, then use the others.

    Callers of the killed host see broken connections, then refused ones until their
    cached look-up ends. Its share of each cap stays unused until its lease is over.
    """
    await async_kill(world, world.fleet.hosts[0])
    await asyncio.sleep(DETECTED_SECONDS)
    expect_recovered(world)
    await asyncio.sleep(LAST_SECONDS)


@experiment("host-frozen-8s")
async def async_host_frozen_briefly(world: World) -> None:
    """Get no answer from a frozen host until the deadline, then use the others.

    The host wakes after 8 s with requests whose callers are gone and with rights
    that may have been claimed by others; it must not act on either.
    """
    await async_freeze(world, [world.fleet.hosts[0]], 8.0)
    await asyncio.sleep(DETECTED_SECONDS)
    expect_recovered(world)
    await asyncio.sleep(LAST_SECONDS)


@experiment("host-frozen-30s")
async def async_host_frozen_long(world: World) -> None:
    """Get no answer from a frozen host until look-ups no longer name it.

    After 30 s its lease is over, others hold its share, and operators have changed a
    record meanwhile; the host wakes, must refuse until it has rights again, and
    must not serve by the older records.
    """
    freezing = asyncio.create_task(async_freeze(world, [world.fleet.hosts[0]], 30.0))
    await asyncio.sleep(20)
    await world.async_change("drain", "backend-server", world.fleet.servers[-1][0].name)
    await freezing
    await asyncio.sleep(DETECTED_SECONDS)
    expect_recovered(world)
    await asyncio.sleep(LAST_SECONDS)


@experiment("region-hosts-frozen")
async def async_region_frozen(world: World) -> None:
    """Get no answer from any host of one region, then use other regions' hosts.

    All hosts of a region freeze for 8 s; its callers' look-ups go to other regions
    when the cached ones end. The backend servers of the region stay in use.
    """
    region = world.deployment.lost_region
    hosts = [host for host in world.fleet.hosts if host.region == region]
    await async_freeze(world, hosts, 8.0)
    await asyncio.sleep(DETECTED_SECONDS)
    expect_recovered(world)
    await asyncio.sleep(LAST_SECONDS)


@experiment("host-restarted")
async def async_host_restarted(world: World) -> None:
    """Lose the requests in flight of a host that comes back at once.

    The new incarnation has the same name, other addresses and no rights; callers
    find it when their look-ups name it. The dead one's rights stay unused for the
    longest request, so the new one borrows.
    """
    host = world.fleet.hosts[0]
    host.alive = False
    host.child.process.kill()
    await host.child.process.wait()
    await async_replace(world, host)
    await asyncio.sleep(DETECTED_SECONDS)
    expect_recovered(world)
    await asyncio.sleep(LAST_SECONDS)


@experiment("all-hosts-replaced")
async def async_all_replaced(world: World) -> None:
    """See no broken request while every host is stopped and started again.

    Each host leaves look-ups, ends what is in flight and hands over its rights
    before the next one is stopped; callers follow by their look-ups.
    """
    for host in list(world.fleet.hosts):
        await async_stop(world, host)
        await async_replace(world, host)
        await world.fleet.async_wait_ready()
    expect_recovered(world)
    await asyncio.sleep(LAST_SECONDS)


@experiment("host-isolated", relayed=True)
async def async_host_isolated(world: World) -> None:
    """Notice nothing but fewer free places while peers can't reach one host.

    The host still reaches the store and serves callers; others hear it but it does
    not hear them for 20 s. It may use only rights that no other can claim.
    """
    await async_cut(world, world.fleet.hosts[0], 20.0)
    await asyncio.sleep(DETECTED_SECONDS)
    expect_recovered(world)
    await asyncio.sleep(LAST_SECONDS)


@experiment("host-isolated-store-down", relayed=True)
async def async_host_isolated_store_down(world: World) -> None:
    """Have keyed requests refused while a host is cut off and the store is down.

    No host can claim a key; the isolated host can neither renew nor borrow rights
    and goes on with those that it owns, or refuses.
    """
    await world.async_store(down="hang")
    await async_cut(world, world.fleet.hosts[0], 12.0)
    await world.async_store(down="no")
    await asyncio.sleep(DETECTED_SECONDS)
    expect_recovered(world)
    await asyncio.sleep(LAST_SECONDS)
