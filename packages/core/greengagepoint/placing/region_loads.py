"""Track how busy the servers of each region are, as reported by hosts there.

A host that seldom sends to a region has no load reports of its servers and would assume
that servers filled by its peers are idle.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

import msgspec

from greengagepoint.placing.tables import Server, ServerTable

# Gossip spreads a region's load within one to two seconds. A load can change by a third
# in two seconds, so an older value is useless.
AGE_MAX_SECONDS: Final = 3.0


class RegionLoad(msgspec.Struct, array_like=True):
    """Report how busy the servers of one service in a region are.

    ``busy`` is the share of their slots in use, measured ``age`` seconds ago.
    """

    region: str
    service: str
    busy: float
    age: float


@dataclass(slots=True)
class RegionLoads:
    """Hold the newest load and its time by service and region.

    ``home`` is this host's region; times are monotonic seconds.
    """

    home: str
    loads: dict[tuple[str, str], tuple[float, float]] = field(default_factory=dict)

    def measure(self, table: ServerTable, now: float) -> None:
        """Update the loads of this host's own region."""
        for (service, region), members in table.members.items():
            if region == self.home:
                self.loads[service, region] = (_busy_share(members.servers, now), now)

    def take(self, reports: Iterable[RegionLoad], now: float) -> None:
        """Merge a peer's loads of other regions; the newer value wins."""
        for load in reports:
            measured_at = now - load.age
            current = self.loads.get((load.service, load.region))
            newer = current is None or current[1] < measured_at
            if load.region != self.home and newer:
                self.loads[load.service, load.region] = (load.busy, measured_at)

    def recent_loads(self, now: float) -> list[RegionLoad]:
        """Return the loads to share with peers, without expired ones."""
        return [
            RegionLoad(region, service, round(busy, 2), round(now - at, 2))
            for (service, region), (busy, at) in self.loads.items()
            if now - at <= AGE_MAX_SECONDS
        ]

    def busy(self, service: str, region: str, now: float) -> float | None:
        """Return the share of a region's slots in use, or None if it is unknown."""
        busy, at = self.loads.get((service, region), (0.0, float("-inf")))
        return busy if now - at <= AGE_MAX_SECONDS else None


def _busy_share(servers: Iterable[Server], now: float) -> float:
    """Return the share of slots in use over servers neither suspected nor resting."""
    usable = [
        row for row in servers if row.suspect_until <= now and not row.is_resting(now)
    ]
    slots = sum(row.usable_slots for row in usable)
    held = sum(min(row.occupancy(now), row.usable_slots) for row in usable)
    return held / slots if slots else 1.0
