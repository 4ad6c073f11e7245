"""Experiments on the host list and on backend servers."""

import asyncio
import time

from greengagepoint_standins.demo.fleet import Fleet
from greengagepoint_standins.experiments.catalogue import experiment
from greengagepoint_standins.experiments.expectations import (
    expect_answered,
    expect_recovered,
)
from greengagepoint_standins.experiments.faults import (
    async_freeze,
    async_kill,
    async_replace,
)
from greengagepoint_standins.experiments.world import SERVICE_MS, World

FAULT_SECONDS = 10.0
AFTER_SECONDS = 5.0
LAST_SECONDS = 5.0
ALWAYS = 1_000_000


async def async_settle(world: World, seconds: float = AFTER_SECONDS) -> None:
    """Let the fleet recover and expect answers from then on."""
    await asyncio.sleep(seconds)
    expect_recovered(world)
    await asyncio.sleep(LAST_SECONDS)


async def _async_host_replaced(world: World) -> None:
    """Kill a host and start a new one in its name."""
    host = world.fleet.hosts[0]
    await async_kill(world, host)
    await async_replace(world, host)


@experiment("host-list-down")
async def async_host_list_down(world: World) -> None:
    """See one host's loss as ever while the host list does not answer.

    Hosts find peers that come and go by asking each other.
    """
    await world.async_host_list(down="refuse")
    await _async_host_replaced(world)
    await asyncio.sleep(FAULT_SECONDS)
    await world.async_host_list(down="no")
    await async_settle(world)


@experiment("host-list-garbage")
async def async_host_list_garbage(world: World) -> None:
    """See one host's loss as ever while the host list answers garbage.

    What can't be read is dropped; what was read last stays in use.
    """
    await world.async_host_list(garbage_answers=ALWAYS)
    await _async_host_replaced(world)
    await asyncio.sleep(FAULT_SECONDS)
    await world.async_host_list(garbage_answers=0)
    await async_settle(world)


@experiment("host-list-frozen")
async def async_host_list_frozen(world: World) -> None:
    """See one host's loss as ever while the host list still names the dead one.

    The list tells of candidates only: a host that does not answer its peers is not
    named in look-ups.
    """
    await world.async_host_list(frozen=True)
    await _async_host_replaced(world)
    await asyncio.sleep(FAULT_SECONDS)
    await world.async_host_list(frozen=False)
    await async_settle(world)


async def _async_fault(world: World, count: int, faults: dict, mended: dict) -> None:
    """Break some backend servers for a while; reads must go on."""
    chosen = world.random.sample(world.fleet.servers, count)
    began = time.monotonic()
    for _server, address in chosen:
        await world.async_control(address, **faults)
    await asyncio.sleep(FAULT_SECONDS)
    for _server, address in chosen:
        await world.async_control(address, **mended)
    expect_answered(
        world, "reads in the fault", began, time.monotonic(), keyed=False, least=0.95
    )
    await async_settle(world)


@experiment("backends-reset")
async def async_backends_reset(world: World) -> None:
    """Have reads answered by other servers while six reset connections.

    A read is sent again; a keyed request whose bytes were sent is not, and its
    caller is told that the outcome is unknown, until the servers are ejected.
    """
    fault = {"next_reset_before_run": ALWAYS}
    await _async_fault(world, 6, fault, {"next_reset_before_run": 0})


@experiment("backends-reset-after-run")
async def async_backends_reset_after_run(world: World) -> None:
    """Have reads answered by other servers while six run and then reset.

    The same as a reset before the run for the caller; here a second run of a keyed
    request would be a doubled payment.
    """
    fault = {"next_reset_after_run": ALWAYS}
    await _async_fault(world, 6, fault, {"next_reset_after_run": 0})


@experiment("backends-hang")
async def async_backends_hang(world: World) -> None:
    """Lose the requests that six hanging servers hold, then be served by others.

    A hanging server takes requests and answers nothing; its callers wait until
    their deadline, or get a hedged answer.
    """
    await _async_fault(world, 6, {"down": "hang"}, {"down": "no"})


@experiment("backends-lie")
async def async_backends_lie(world: World) -> None:
    """Be served in time while ten slow servers report that they are idle.

    Own counts of what is in flight go before reports that contradict them.
    """
    fault = {"load_factor": 0.0, "slow_factor": 5.0}
    await _async_fault(world, 10, fault, {"load_factor": 1.0, "slow_factor": 1.0})


@experiment("backends-load-garbage")
async def async_backends_load_garbage(world: World) -> None:
    """Notice nothing while ten servers report garbage as their load."""
    await _async_fault(world, 10, {"load_garbage": True}, {"load_garbage": False})


@experiment("site-sheds")
async def async_site_sheds(world: World) -> None:
    """Be served by other sites while all servers of one site shed.

    A shed request has not run and may be sent again, keyed or not, while the retry
    budget lasts.
    """
    # The first site's traffic is shifted away, so the second one is the busiest.
    site = list(world.fleet.places.site_regions)[1]
    chosen = [address for _server, address in world.servers_at(site)]
    began = time.monotonic()
    for address in chosen:
        await world.async_control(address, next_shed=ALWAYS)
    await asyncio.sleep(FAULT_SECONDS)
    for address in chosen:
        await world.async_control(address, next_shed=0)
    expect_answered(world, "answered beside the site", began, time.monotonic())
    await async_settle(world)


@experiment("backends-leave")
async def async_backends_leave(world: World) -> None:
    """Notice nothing while servers of the busiest site leave by their own word.

    A leaving server says so in its load report and its answers; within 3 s it gets
    nothing new, also from a host that was frozen when it began to leave.
    """
    site = list(world.fleet.places.site_regions)[1]
    freezing = asyncio.create_task(async_freeze(world, [world.fleet.hosts[2]], 6.0))
    await asyncio.sleep(1)
    for server, address in world.servers_at(site)[:3]:
        await world.async_control(address, leaving=True)
        world.drained[server.name] = time.monotonic()
    await freezing
    await async_settle(world)


@experiment("region-back")
async def async_region_back(world: World) -> None:
    """Lose a region's requests in flight, use the others, then the region again.

    All daemons and backend servers of a region are killed and come back 10 s later
    with cold caches; what they may carry is given back in steps.
    """
    await async_lose_and_return(world)
    await async_settle(world, 10.0)


async def async_lose_and_return(world: World, seconds: float = FAULT_SECONDS) -> None:
    """Kill a region's processes and start them again some seconds later."""
    region = world.deployment.lost_region
    fleet = world.fleet
    hosts = [host for host in fleet.hosts if host.region == region]
    await fleet.async_lose_region(region)
    await asyncio.sleep(seconds)
    await _async_start_backends(fleet, world, region)
    for host in hosts:
        await async_replace(world, host)


async def _async_start_backends(fleet: Fleet, world: World, region: str) -> None:
    """Start a region's backend servers on the ports that they had, cold."""
    pairs = [pair for pair in fleet.servers if pair[0].region == region]
    ports = [pair[1].rpartition(":")[2] for pair in pairs]
    options = [part for port in ports for part in ("--port", port)]
    name = f"backends-{region}"
    for child in fleet.processes.children:
        if child.name == name:
            child.name += f" until {time.monotonic():.1f}"
            child.log.rename(child.log.with_suffix(f".{len(fleet.lost_runs)}.log"))
    await fleet.processes.async_stand_in(name, "backends", *options)
    for server, address in pairs:
        await fleet.async_prepare(server, address)
        await world.async_control(
            address, service_ms=SERVICE_MS, cold_requests=100, cold_factor=4.0
        )
