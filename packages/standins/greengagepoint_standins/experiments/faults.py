"""Faults of hosts: kill, freeze, restart, cut."""

import asyncio
import signal
import time

from greengagepoint_standins.demo.fleet import Host
from greengagepoint_standins.experiments.world import Stop, World

UNLIST_SECONDS = 2.0


async def async_kill(world: World, host: Host) -> None:
    """Kill a host; the host list drops it some seconds later."""
    host.alive = False
    host.child.process.kill()
    await host.child.process.wait()
    await asyncio.sleep(UNLIST_SECONDS)
    await world.fleet.async_unlist(host)


async def async_freeze(world: World, hosts: list[Host], seconds: float) -> None:
    """Stop processes for some seconds and let them go on."""
    for host in hosts:
        host.alive = False
        host.child.process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(seconds)
    for host in hosts:
        host.child.process.send_signal(signal.SIGCONT)
        host.alive = True


async def async_stop(world: World, host: Host) -> None:
    """Stop a host as planned."""
    began = time.monotonic()
    await world.fleet.async_stop_host(host)
    world.stops.append(Stop(host.name, began, time.monotonic()))


async def async_replace(world: World, host: Host) -> Host:
    """Start a new incarnation of an ended host under its name."""
    fleet = world.fleet
    fleet.hosts.remove(host)
    past = fleet.generations.pop(host.name, [])
    # The older incarnation's generations stay under a name of their own: each
    # incarnation starts from nothing, and is checked for itself.
    fleet.generations[f"{host.name} until {time.monotonic():.1f}"] = past
    fleet.statuses.pop(host.name, None)
    log = host.child.log
    log.rename(log.with_suffix(f".{len(fleet.generations)}.log"))
    zone = host.name.rpartition("-")[0]
    new = await fleet.async_start_host(host.name, host.region, zone)
    new.alive = False
    await fleet.async_list_hosts([new])
    new.alive = True
    return new


async def async_cut(world: World, host: Host, seconds: float) -> None:
    """Let no other host reach a host for some seconds."""
    relay = world.relays[host.name]
    await relay.async_cut()
    await asyncio.sleep(seconds)
    await relay.async_open()
