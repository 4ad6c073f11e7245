"""Play fatal requests beside random faults, and check how often they are sent.

Run as ``python -m greengagepoint_standins.users_platform.crash_loop_soak`` in the
checkout, with the number of seeds and the first one. A seed fixes the plan of faults
and load, not the scheduling of the processes.
"""

import asyncio
import random
import sys
import tempfile
import time
from pathlib import Path
from typing import Final, NamedTuple

from greengagepoint_standins.users_platform.crash_loop import (
    Arrival,
    Caller,
    CrashLoop,
    Outcome,
    async_calling,
    async_crash_loop,
)
from greengagepoint_standins.users_platform.daemons import Fleet, async_fleet
from greengagepoint_standins.users_platform.host_faults import HostFaults

SERVERS: Final = 14
FAULT_SECONDS: Final = 18.0
# The last servers that faults ended are back and no longer cold.
CALM_SECONDS: Final = 6.0
CONTACT_SECONDS: Final = 3.0
ENDS_MAX: Final = 3
LATE_SENDS_MAX: Final = 3
FAULTS: Final = 6
STORE_ANSWERS: Final = (503, 429)
FATAL: Final = ("/bays/fatal-1", "/bays/fatal-2")
KEYS: Final = ("1", "2", "3")


class Fault(NamedTuple):
    """One fault: seconds from the start, its kind, how long, and where."""

    at: float
    kind: str
    seconds: float
    place: int


def create_plan(draw: random.Random) -> list[Fault]:
    """Return the faults of a seed in order."""
    kinds = ("kill", "kill_all", "store", "pause", "servers")
    return sorted(
        Fault(
            draw.uniform(0.5, FAULT_SECONDS - 3.0),
            draw.choice(kinds),
            draw.uniform(0.3, 2.5),
            draw.randrange(100),
        )
        for _ in range(FAULTS)
    )


class Soak:
    """One seed on one fleet."""

    def __init__(self, fleet: Fleet, loop: CrashLoop, draw: random.Random) -> None:
        self.fleet = fleet
        self.loop = loop
        self.draw = draw
        self.plan = create_plan(draw)
        self.faults = HostFaults()
        self.fatal = [
            Caller(
                fleet,
                fleet.nodes,
                lambda number, target=target: target,
                draw.choice(KEYS),
                draw.uniform(0.1, 1.5),
            )
            for target in FATAL
        ]
        self.innocent = [
            Caller(fleet, fleet.nodes, lambda number: f"/bays/{number}", key, 0.15)
            for key in KEYS
        ]

    async def async_run(self) -> None:
        """Play the plan, and some calm seconds after it."""
        began = time.monotonic()
        async with (
            async_calling(*self.fatal, *self.innocent),
            asyncio.TaskGroup() as group,
        ):
            for fault in self.plan:
                await asyncio.sleep(max(0.0, began + fault.at - time.monotonic()))
                group.create_task(self._async_play(fault))
            rest = began + FAULT_SECONDS + CALM_SECONDS - time.monotonic()
            await asyncio.sleep(max(CALM_SECONDS, rest))
            self.calm_since = time.monotonic()
            await asyncio.sleep(CONTACT_SECONDS)

    async def _async_play(self, fault: Fault) -> None:
        """Play one fault."""
        nodes = self.fleet.nodes
        node = nodes[fault.place % len(nodes)]
        if fault.kind == "kill":
            await self.faults.async_restart([node], fault.seconds)
        elif fault.kind == "kill_all":
            await self.faults.async_restart(nodes, fault.seconds)
        elif fault.kind == "pause":
            await self.faults.async_pause(node, fault.seconds)
        elif fault.kind == "store":
            status = STORE_ANSWERS[fault.place % len(STORE_ANSWERS)]
            self.fleet.store.control.status = status
            await asyncio.sleep(fault.seconds)
            self.fleet.store.control.status = 0
        else:
            count = min(1 + fault.place % 4, len(self.fleet.backends))
            lost = self.draw.sample(self.fleet.backends, count)
            await asyncio.gather(*(self.loop.async_end(row) for row in lost))

    def late(self, target: str) -> list[Arrival]:
        """Return the sends of a fatal request that count, from hosts left in peace."""
        sent = {row.request_id: row for caller in self.fatal for row in caller.outcomes}
        rows = self.loop.sent_after(ENDS_MAX, CONTACT_SECONDS, target)
        return [row for row in rows if self._in_touch(row, sent.get(row.request_id))]

    def _in_touch(self, arrival: Arrival, outcome: Outcome | None) -> bool:
        """Tell whether a send's host had been left in peace for long enough."""
        return outcome is not None and not self.faults.is_disturbed(
            outcome.host, arrival.at - CONTACT_SECONDS, arrival.at
        )

    def broken(self) -> list[str]:
        """Return what users would find broken."""
        found = [
            f"{target}: {len(self.late(target))} late sends"
            for target in FATAL
            if len(self.late(target)) > LATE_SENDS_MAX
        ]
        for caller in self.innocent:
            unserved = caller.unserved_since(self.calm_since)
            if unserved:
                statuses = [row.status for row in unserved]
                found.append(f"key {caller.key}: {statuses} in calm seconds")
        return found

    def summary(self) -> str:
        """Return one line on what happened."""
        ends = [sum(fatal == target for _, fatal in self.loop.ends) for target in FATAL]
        late = [len(self.late(target)) for target in FATAL]
        kinds = ", ".join(fault.kind for fault in self.plan)
        return f"ends {ends}, late {late}, faults: {kinds}"


async def async_play(seed: int, root: Path) -> list[str]:
    """Play a seed, print its line, and return what was broken."""
    with tempfile.TemporaryDirectory() as folder:
        async with (
            async_fleet(root, Path(folder)) as fleet,
            async_crash_loop(fleet, SERVERS, set(FATAL), 0.1) as loop,
        ):
            soak = Soak(fleet, loop, random.Random(seed))
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
