"""Run keys on servers that keep the last ten warm, as their coordinator places them."""

import random
from collections import OrderedDict
from typing import NamedTuple

from greengagepoint.key_placement.coordinator import KeyCoordinator
from greengagepoint.key_placement.following import AppliedWeights
from greengagepoint.key_placement.messages import KeyUsageReport
from greengagepoint.key_placement.usage import KeyUsage
from greengagepoint.placing.ranking import RankCache
from greengagepoint.placing.tables import Server, ServerTable

SERVICE, REGION = "wallet", "attiki"
SLOTS = 3
KEYS_WARM = 10
WARM_SECONDS, COLD_SECONDS, GOAL_SECONDS = 0.225, 0.75, 0.72


class Figures(NamedTuple):
    """What callers got in a second: runs, in time, cold, and keys that moved."""

    runs: int
    in_time: int
    cold: int
    moved: int


def create_table(servers: int) -> ServerTable:
    """Return a table of servers in one region."""
    table = ServerTable()
    for number in range(servers):
        add_server(table, f"i-{number:04}")
    return table


def add_server(table: ServerTable, name: str, region: str = REGION) -> None:
    """Add a server to a table."""
    table.servers[name] = Server(name, SERVICE, name, "zone-a", region, SLOTS)
    table.rebuild()


class Model:
    """One service, one host that sends all requests, and the region's coordinator."""

    def __init__(
        self,
        servers: int,
        keys: int,
        seed: int,
        *,
        placed: bool,
        keys_warm: int = KEYS_WARM,
    ) -> None:
        self.random = random.Random(seed)
        self.table = create_table(servers)
        self.keys = [f"/look-ups/\0{seed}-{number}" for number in range(keys)]
        self.placed = placed
        self.keys_warm = keys_warm
        self.ranks = RankCache()
        self.usage = KeyUsage()
        self.coordinator = KeyCoordinator(REGION)
        self.applied = AppliedWeights()
        self.free_at: dict[str, list[float]] = {}
        self.warm: dict[str, OrderedDict[str, None]] = {}
        self.now = 0.0

    def home(self, key: str) -> str:
        """Return the server on which a key runs."""
        return self.ranks.rank(self.table, SERVICE, REGION, key)[0].instance

    def _choose(self, key: str) -> str:
        """Return the home of a key with the earlier free slot."""
        homes = self.ranks.homes(self.table, SERVICE, REGION, key)
        idle = [0.0] * SLOTS
        return min(
            (row.instance for row in homes),
            key=lambda name: max(self.now, min(self.free_at.get(name, idle))),
        )

    def run_second(self, rate: float) -> Figures:
        """Run one second of requests, and place the keys at its end."""
        runs = in_time = cold = 0
        end = self.now + 1
        while (at := self.now + self.random.expovariate(rate)) < end:
            self.now = at
            is_cold, seconds = self._run(self.random.choice(self.keys))
            runs += 1
            cold += is_cold
            in_time += seconds <= GOAL_SECONDS
        self.now = end
        return Figures(runs, in_time, cold, self.place() if self.placed else 0)

    def _run(self, key: str) -> tuple[bool, float]:
        """Run a request; return whether it was cold, and the seconds until its end."""
        name = self._choose(key)
        slots = self.free_at.setdefault(name, [0.0] * SLOTS)
        warm = self.warm.setdefault(name, OrderedDict())
        is_cold = key not in warm
        warm[key] = None
        warm.move_to_end(key)
        if len(warm) > self.keys_warm:
            warm.popitem(last=False)
        seconds = COLD_SECONDS if is_cold else WARM_SECONDS
        slot = slots.index(min(slots))
        slots[slot] = max(slots[slot], self.now) + seconds
        self.usage.note(REGION, SERVICE, key, is_cold=is_cold)
        return is_cold, slots[slot] - self.now

    def place(self) -> int:
        """Report, balance and apply; return the number of known keys that moved."""
        while rows := self.usage.take(REGION):
            report = KeyUsageReport("h1", 1, REGION, 0, rows)
            self.coordinator.apply(report, self.table, self.now)
        known = [key for _, key in self.coordinator.keys.rows]
        before = [self.home(key) for key in known]
        for _ in self.coordinator.balance(self.table, self.now):
            pass
        message = self.coordinator.create_message("h1", 1)
        self.applied.apply(REGION, message, self.table, self.now)
        return sum(
            self.home(key) != home for key, home in zip(known, before, strict=True)
        )

    def homes(self) -> int:
        """Return the number of homes of each key."""
        return self.applied.of_region(REGION).homes.get(SERVICE, 1)

    def keys_by_server(self) -> list[int]:
        """Return the number of keys of each server, in ascending order."""
        homes = [self.home(key) for key in self.keys]
        members = self.table.find(SERVICE, REGION).servers
        return sorted(homes.count(row.instance) for row in members)
