"""Measure what a full tick costs at the brief's sizes, idle and under load.

A tick is what the daemon's loop runs each time: all coordinators and the systems of the
request path, in one of the 12 daemons that run here with 47 backend servers, 6 sites
and two services. The simplest tick to compare with is one whose coordinators do
nothing, so that only the loop over them is left.
"""

import asyncio
import time
from statistics import mean
from typing import Final

from greengagepoint_node.daemon import Daemon
from measure.daemon_fleet import DaemonFleet, async_fleet
from measure.figure import Figure
from measure.request_path_servers import async_deployment
from measure.runner import is_quick

HOSTS_A_ZONE: Final = 2
WARM_UP_SECONDS: Final = 2.0
SECONDS: Final = 2.0 if is_quick() else 5.0
CALLERS: Final = 8
IDLE_PROCESS_SECONDS: Final = 3.0 if is_quick() else 8.0
TICK_PERCENT_MAX: Final = 2.0
DEFAULT_TICK_SECONDS: Final = 0.25
MILLISECONDS: Final = 1e3
PERCENT: Final = 100.0


class TickTimer:
    """Time each tick of one daemon by its thread's processor time."""

    def __init__(self, daemon: Daemon) -> None:
        self.seconds: list[float] = []
        self.tick_all = daemon.ticker.tick_all
        daemon.ticker.tick_all = self.run

    def run(self, now: float) -> None:
        """Run one tick and keep its time."""
        started = time.thread_time()
        self.tick_all(now)
        self.seconds.append(time.thread_time() - started)

    async def async_take(self, seconds: float) -> list[float]:
        """Return the ticks of the next seconds."""
        self.seconds.clear()
        await asyncio.sleep(seconds)
        return list(self.seconds)


async def async_call(fleet: DaemonFleet, daemon: Daemon) -> None:
    """Send look-ups through a daemon, one after another, until cancelled."""
    url = f"http://{daemon.identity.address}/s/booking/bays"
    headers = {"Greengagepoint-Team": "drivers"}
    while True:
        async with fleet.session.get(url, headers=headers) as answer:
            await answer.read()


async def async_ticks() -> tuple[list[float], list[float], float]:
    """Return ticks when idle, under load, and the time of an empty tick."""
    async with async_fleet(hosts_a_zone=HOSTS_A_ZONE) as fleet:
        daemon = next(iter(fleet.daemons.values()))
        timer = TickTimer(daemon)
        await asyncio.sleep(WARM_UP_SECONDS)
        idle = await timer.async_take(SECONDS)
        callers = [
            asyncio.ensure_future(async_call(fleet, daemon)) for _ in range(CALLERS)
        ]
        loaded = await timer.async_take(SECONDS)
        for caller in callers:
            caller.cancel()
        await asyncio.gather(*callers, return_exceptions=True)
        empty = empty_tick(daemon, timer)
    return idle, loaded, empty


def empty_tick(daemon: Daemon, timer: TickTimer) -> float:
    """Return the time of a tick whose parts do nothing."""
    parts = [lambda now: None] * (len(daemon.coordinators) + 1)
    timer.seconds.clear()
    timer.tick_all = lambda now: [part(now) for part in parts]
    for _ in range(100):
        timer.run(0.0)
    return mean(timer.seconds)


async def async_process() -> tuple[float, float]:
    """Return an idle daemon's processor share in percent and memory in MB."""
    async with async_deployment() as deployment:
        daemon = deployment.daemon
        megabytes = daemon.resident_megabytes()
        before = daemon.processor_seconds()
        started = time.monotonic()
        await asyncio.sleep(IDLE_PROCESS_SECONDS)
        spent = daemon.processor_seconds() - before
        return spent / (time.monotonic() - started) * PERCENT, megabytes


def run() -> list[Figure]:
    """Return the figures of ticks and of an idle daemon."""
    idle, loaded, empty = asyncio.run(async_ticks())
    share, megabytes = asyncio.run(async_process())
    figures = []
    for name, ticks in (("idle", idle), ("under load", loaded)):
        figures += [
            Figure(
                f"tick: {name}",
                mean(ticks) * MILLISECONDS,
                "ms",
                empty * MILLISECONDS,
                "a tick that does nothing",
            ),
            Figure(f"tick: longest, {name}", max(ticks) * MILLISECONDS, "ms"),
            Figure(
                f"tick: share of a core, {name}",
                mean(ticks) / DEFAULT_TICK_SECONDS * PERCENT,
                "%",
                limit=TICK_PERCENT_MAX,
            ),
        ]
    return [
        *figures,
        Figure("tick: whole daemon alone and idle", share, "% of a core"),
        Figure("tick: memory of a daemon after its start", megabytes, "MB"),
    ]
