"""Let backend servers name limits, leave and rest beside random faults.

It checks what they get.

Run as ``python -m greengagepoint_standins.users_platform.signal_soak`` in the checkout,
with the number of seeds and the first one. A seed fixes the plan of signals, faults and
load, not the scheduling of the processes.
"""

import asyncio
import random
import sys
import tempfile
import time
from pathlib import Path
from typing import Final, NamedTuple

from greengagepoint_standins.relay import Relay
from greengagepoint_standins.users_platform.backend import PlatformBackend
from greengagepoint_standins.users_platform.crash_loop import ZONE_OF, async_calling
from greengagepoint_standins.users_platform.daemons import Fleet, async_fleet
from greengagepoint_standins.users_platform.host_faults import HostFaults
from greengagepoint_standins.users_platform.signal_checks import (
    REST_REQUESTS_MAX,
    late_arrivals,
    limit_excess,
    most_in_a_rest,
)
from greengagepoint_standins.users_platform.signal_fleet import (
    async_linked_servers,
    create_callers,
    hosts_by_request,
)

SERVERS: Final = 6
RUN_SECONDS: Final = 0.05
PLAN_SECONDS: Final = 18.0
# The cold starts of hosts are over, and hosts have heard of the end of all signals.
CALM_SECONDS: Final = 8.0
CHECKED_SECONDS: Final = 3.0
SIGNALS: Final = 8
FAULTS: Final = 4
LIMITS: Final = (0.0, 0.8, 1.6, 4.0)
RESTS: Final = ("1", "2.5", "3")
DRAIN_SECONDS: Final = 2.5
FIRST_BORN: Final = 1_700_000_000_000
BAD_LIMITS: Final = ("nan", "-1", "", "many")
KEYS: Final = 12
CALLERS_PER_SECOND: Final = 100.0
STORE_ANSWERS: Final = (503, 429)
# How long a store is away that is restored from a copy, and until its users notice.
AWAY_SECONDS: Final = 1.0
WRITTEN_AGAIN_SECONDS: Final = 1.0


class Step(NamedTuple):
    """One signal or fault: seconds from the start, its kind, how long, and where."""

    at: float
    kind: str
    seconds: float
    place: int


def create_plan(draw: random.Random) -> list[Step]:
    """Return the signals and faults of a seed in order."""
    signals = [
        "limit",
        "changing_limit",
        "bad_limit",
        "all_limit",
        "leave",
        "rest",
        "all_rest",
    ]
    faults = ["kill", "kill_all", "pause", "store", "cut"]
    kinds = [draw.choice(signals) for _ in range(SIGNALS)]
    kinds += [draw.choice(faults) for _ in range(FAULTS)]
    steps = [
        Step(
            draw.uniform(0.5, PLAN_SECONDS - 4.0),
            kind,
            draw.uniform(0.3, 2.5) if kind in faults else draw.uniform(4.0, 9.0),
            draw.randrange(1000),
        )
        for kind in kinds
    ]
    # Drawn last, so that the other steps of a seed stay as they were.
    at = draw.uniform(3.0, PLAN_SECONDS - 5.0)
    steps.append(Step(at, "restore", draw.uniform(0.5, 3.0), draw.randrange(1000)))
    return sorted(steps)


class SignalSoak:
    """One seed on one fleet; ``links`` lead to the servers."""

    def __init__(self, fleet: Fleet, links: list[Relay], draw: random.Random) -> None:
        self.fleet = fleet
        self.links = links
        self.draw = draw
        self.plan = create_plan(draw)
        self.faults = HostFaults()
        self.busy: set[str] = set()
        self.born = {row.instance: FIRST_BORN for row in fleet.backends}
        self.callers = create_callers(fleet, KEYS, CALLERS_PER_SECOND)

    async def async_run(self) -> None:
        """Play the plan, and some calm seconds after it."""
        for backend in self.fleet.backends:
            self._enter(backend)
        await self.fleet.async_until(self.fleet.async_all_know)
        began = time.monotonic()
        async with async_calling(*self.callers):
            async with asyncio.TaskGroup() as group:
                for step in self.plan:
                    await asyncio.sleep(max(0.0, began + step.at - time.monotonic()))
                    group.create_task(self._async_play(step))
            await asyncio.sleep(CALM_SECONDS)
            self.calm_since = time.monotonic()
            await asyncio.sleep(CHECKED_SECONDS)

    def broken(self) -> list[str]:
        """Return what users would find broken."""
        hosts = hosts_by_request(self.callers)
        found = []
        for backend in self.fleet.backends:
            excess = limit_excess(backend, hosts, self.faults)
            if excess > 0:
                found.append(f"{backend.instance}: {excess:.1f} over its limit")
            late = late_arrivals(backend, hosts, DRAIN_SECONDS, self.faults)
            if late:
                found.append(f"{backend.instance}: {len(late)} late, {max(late):.1f} s")
            most = most_in_a_rest(backend, hosts, self.faults)
            if most > REST_REQUESTS_MAX:
                found.append(f"{backend.instance}: {most} in a rest")
        for caller in self.callers:
            unserved = caller.unserved_since(self.calm_since)
            if unserved:
                statuses = [row.status for row in unserved]
                found.append(f"key {caller.key}: {statuses} in calm seconds")
        return found

    def summary(self) -> str:
        """Return one line on what happened."""
        sent = [row for caller in self.callers for row in caller.outcomes]
        served = sum(row.status == 200 for row in sent)
        kinds = ", ".join(step.kind for step in self.plan)
        return f"served {served} of {len(sent)}; {kinds}"

    async def _async_play(self, step: Step) -> None:
        """Play one signal or fault."""
        node = self.fleet.nodes[step.place % len(self.fleet.nodes)]
        backend = self.fleet.backends[step.place % len(self.fleet.backends)]
        if step.kind == "limit":
            await self._async_limit([backend], [self._limit(step)], step.seconds)
        elif step.kind == "all_limit":
            everyone = self.fleet.backends
            await self._async_limit(everyone, [self._limit(step)], step.seconds)
        elif step.kind == "changing_limit":
            limits = [str(self.draw.choice(LIMITS)) for _ in range(4)]
            await self._async_limit([backend], limits, step.seconds / len(limits))
        elif step.kind == "bad_limit":
            bad = BAD_LIMITS[step.place % len(BAD_LIMITS)]
            await self._async_limit([backend], [bad], step.seconds)
        elif step.kind == "leave":
            await self._async_leave(backend, step.seconds)
        elif step.kind in ("rest", "all_rest"):
            resting = [backend] if step.kind == "rest" else self.fleet.backends
            await self._async_rest(resting, step)
        elif step.kind in ("kill", "kill_all"):
            nodes = [node] if step.kind == "kill" else self.fleet.nodes
            await self.faults.async_restart(nodes, step.seconds)
        elif step.kind == "pause":
            await self.faults.async_pause(node, step.seconds)
        elif step.kind == "store":
            status = STORE_ANSWERS[step.place % len(STORE_ANSWERS)]
            self.fleet.store.control.status = status
            await asyncio.sleep(step.seconds)
            self.fleet.store.control.status = 0
        elif step.kind == "restore":
            await self._async_restore(step.seconds)
        else:
            await self._async_cut(step.place % len(self.links), step.seconds)

    async def _async_restore(self, seconds: float) -> None:
        """Let the store come back from a copy; its users then write again."""
        store = self.fleet.store
        copy = store.items.copy()
        await asyncio.sleep(seconds)
        store.control.status = STORE_ANSWERS[0]
        await asyncio.sleep(AWAY_SECONDS)
        store.items.restore(copy)
        store.control.status = 0
        await asyncio.sleep(WRITTEN_AGAIN_SECONDS)
        self.fleet.configure("/bays/")
        for backend in self.fleet.backends:
            self._enter(backend)

    def _limit(self, step: Step) -> str:
        """Return the limit that a step names."""
        return str(LIMITS[step.place % len(LIMITS)])

    async def _async_limit(
        self, backends: list[PlatformBackend], limits: list[str], seconds: float
    ) -> None:
        """Let servers name limits, one after the other, and then none."""
        free = self._reserve(backends, "limit")
        for limit in limits:
            for backend in free:
                backend.name_limit(limit)
            await asyncio.sleep(seconds)
        for backend in free:
            backend.name_limit()
        self._release(free, "limit")

    async def _async_leave(self, backend: PlatformBackend, seconds: float) -> None:
        """Let a server say that it leaves, with its entry ready, and start anew."""
        for row in self._reserve([backend], "leave"):
            row.announce_leaving(leaving=True)
            await asyncio.sleep(seconds)
            row.announce_leaving(leaving=False)
            self.born[row.instance] += 1
            self._enter(row)
            self._release([row], "leave")

    async def _async_rest(self, backends: list[PlatformBackend], step: Step) -> None:
        """Let servers reject all requests for a while and ask for rest."""
        free = self._reserve(backends, "rest")
        for backend in free:
            backend.ask_for_rest(RESTS[step.place % len(RESTS)])
        await asyncio.sleep(step.seconds)
        for backend in free:
            backend.ask_for_rest(None)
        self._release(free, "rest")

    def _reserve(
        self, backends: list[PlatformBackend], kind: str
    ) -> list[PlatformBackend]:
        """Return the servers that don't give a kind of signal yet, for one step."""
        free = [row for row in backends if f"{row.instance} {kind}" not in self.busy]
        self.busy |= {f"{row.instance} {kind}" for row in free}
        return free

    def _release(self, backends: list[PlatformBackend], kind: str) -> None:
        """Let other steps use servers for a kind of signal."""
        self.busy -= {f"{row.instance} {kind}" for row in backends}

    def _enter(self, backend: PlatformBackend) -> None:
        """Write the entry of a server's current incarnation."""
        number = self.fleet.backends.index(backend)
        zone = ZONE_OF[number % len(ZONE_OF)]
        self.fleet.enter(backend, zone, born=self.born[backend.instance])

    async def _async_cut(self, number: int, seconds: float) -> None:
        """Cut the link to a server for a while."""
        link = self.links[number]
        if link.address in self.busy:
            return
        self.busy.add(link.address)
        await link.async_cut()
        await asyncio.sleep(seconds)
        await link.async_open()
        self.busy.discard(link.address)


async def async_play(seed: int, root: Path) -> list[str]:
    """Play a seed, print its line, and return what was broken."""
    with tempfile.TemporaryDirectory() as folder:
        async with (
            async_fleet(root, Path(folder)) as fleet,
            async_linked_servers(fleet, SERVERS, RUN_SECONDS) as links,
        ):
            soak = SignalSoak(fleet, links, random.Random(seed))
            await soak.async_run()
            broken = soak.broken()
            verdict = "; ".join(broken) or "good"
            sys.stdout.write(f"seed {seed}: {verdict}; {soak.summary()}\n")
            sys.stdout.flush()
            return broken


async def _async_main(seeds: int, first: int) -> int:
    """Play seeds one after the other; return how many were broken."""
    count = 0
    for seed in range(first, first + seeds):
        count += bool(await async_play(seed, Path.cwd()))
    return count


if __name__ == "__main__":
    seeds, first = (int(word) for word in sys.argv[1:3])
    sys.exit(min(1, asyncio.run(_async_main(seeds, first))))
