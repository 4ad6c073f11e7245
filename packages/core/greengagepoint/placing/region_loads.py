"""Know how busy the servers of each region are, as far as hosts there tell.

Load answered: a host that seldom sends to a region has no report of its servers, and
takes those that others have filled for idle.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

import msgspec

from greengagepoint.placing.tables import Server, ServerTable

# News of a region's load is passed on by gossip within a second or two; older than this
# it says nothing of a load that moves by a third within two seconds.
AGE_MAX_SECONDS: Final = 3.0


class RegionLoad(msgspec.Struct, array_like=True):
    """How busy the servers of one service in a region are.

    ``busy`` is the part of their slots in use, ``age`` seconds old.
    """

    region: str
    service: str
    busy: float
    age: float


@dataclass(slots=True)
class RegionLoads:
    """The newest loads by service and region; ``home`` is this host's region."""

    home: str
    loads: dict[tuple[str, str], tuple[float, float]] = field(default_factory=dict)

    def measure(self, table: ServerTable, now: float) -> None:
        """Take in what this host sees of its own region."""
        for (service, region), members in table.members.items():
            if region == self.home:
                self.loads[service, region] = (_busy_share(members.servers, now), now)

    def take(self, news: Iterable[RegionLoad], now: float) -> None:
        """Take in what a peer tells of other regions."""
        for load in news:
            measured_at = now - load.age
            known = self.loads.get((load.service, load.region))
            newer = known is None or known[1] < measured_at
            if load.region != self.home and newer:
                self.loads[load.service, load.region] = (load.busy, measured_at)

    def known(self, now: float) -> list[RegionLoad]:
        """Return what a peer may want to know."""
        return [
            RegionLoad(region, service, round(busy, 2), round(now - at, 2))
            for (service, region), (busy, at) in self.loads.items()
            if now - at <= AGE_MAX_SECONDS
        ]

    def busy(self, service: str, region: str, now: float) -> float | None:
        """Return the part of a region's slots in use, None where it is not known."""
        busy, at = self.loads.get((service, region), (0.0, float("-inf")))
        return busy if now - at <= AGE_MAX_SECONDS else None


def _busy_share(servers: Iterable[Server], now: float) -> float:
    """Return the part of the slots in use, of servers that may be used."""
    usable = [row for row in servers if row.suspect_until <= now]
    slots = sum(row.slots for row in usable)
    held = sum(min(row.occupancy(now), row.slots) for row in usable)
    return held / slots if slots else 1.0
