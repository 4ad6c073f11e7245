"""Notice that a region has lost room: servers that left, crashed or turned cold.

Load answered: an evacuation, a crash or a cold return takes a region's slots within a
second, and what ran there has to run in other regions at once. A region that is only
busy keeps its requests: users bound how many of them may change their region while
nothing is out of order.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

from greengagepoint.placing.tables import Server, ServerTable

# A region counts as having lost room while it has less than this part of its former
# slots. One suspected server of twelve is nothing that the others can't carry.
LOST_SHARE: Final = 0.9
# How long the former room is remembered; an evacuation lasts up to 11 s on users' days,
# and region weights have followed a loss of a third after 11 s.
MEMORY_SECONDS: Final = 30.0


@dataclass(slots=True)
class Room:
    """The usable slots of one service in one region, now and at their most."""

    usable: int = 0
    peak: int = 0
    peak_at: float = 0.0


@dataclass(slots=True)
class RoomWatch:
    """Rooms by service and region; times are monotonic seconds."""

    rooms: dict[tuple[str, str], Room] = field(default_factory=dict)

    def tick(self, table: ServerTable, now: float) -> None:
        """Take in what servers may be used now."""
        for key in set(self.rooms) | set(table.members):
            usable = _usable_slots(table.find(*key).servers, now)
            room = self.rooms.setdefault(key, Room())
            room.usable = usable
            if usable >= room.peak or now - room.peak_at > MEMORY_SECONDS:
                room.peak = usable
                room.peak_at = now

    def has_lost(self, service: str, region: str) -> bool:
        """Tell whether a region has clearly less room than it had lately."""
        room = self.rooms.get((service, region))
        return room is not None and room.usable < LOST_SHARE * room.peak


def _usable_slots(servers: Iterable[Server], now: float) -> int:
    """Return the slots of servers that are neither suspected nor cold."""
    return sum(
        server.slots
        for server in servers
        if server.suspect_until <= now and server.cold_until <= now
    )
