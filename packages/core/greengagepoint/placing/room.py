"""Detect that a region lost capacity: servers that left, crashed, rest or turned cold.

An evacuation, a crash or a cold return removes slots of a region within a second, and
the requests that ran there have to run in other regions at once. A region that is only
busy keeps its requests: there is a limit on how many requests may change their region
while nothing is wrong.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

from greengagepoint.placing.tables import Server, ServerTable

# Region weights adapt to the remaining slots, so a loss decays by this share of the
# former capacity per second. If it expired all at once, every key that left would
# return at the same time and run cold in its own region.
LOSS_DECAY_PER_SECOND: Final = 0.01


@dataclass(slots=True)
class RegionCapacity:
    """Hold the usable slots of one service in one region, now and before a loss."""

    usable: float = 0.0
    former: float = 0.0


@dataclass(slots=True)
class LostCapacityTracker:
    """Track the capacity of each service and region; times are monotonic seconds."""

    capacities: dict[tuple[str, str], RegionCapacity] = field(default_factory=dict)
    ticked_at: float | None = None

    def tick(self, table: ServerTable, now: float) -> None:
        """Update the capacities from the servers that are usable now."""
        elapsed = now - self.ticked_at if self.ticked_at is not None else 0.0
        self.ticked_at = now
        kept = max(0.0, 1 - LOSS_DECAY_PER_SECOND * elapsed)
        for key in set(self.capacities) | set(table.members):
            capacity = self.capacities.setdefault(key, RegionCapacity())
            capacity.usable = _usable_slots(table.find(*key).servers, now)
            capacity.former = max(capacity.usable, capacity.former * kept)

    def lost_share(self, service: str, region: str) -> float:
        """Return the share of its former slots that a region has lost."""
        capacity = self.capacities.get((service, region))
        if capacity is None or not capacity.former:
            return 0.0
        return 1 - capacity.usable / capacity.former


def _usable_slots(servers: Iterable[Server], now: float) -> float:
    """Return the usable slots of servers that are not suspected, cold or resting."""
    return sum(
        server.usable_slots
        for server in servers
        if server.suspect_until <= now
        and server.cold_until <= now
        and not server.is_resting(now)
    )
