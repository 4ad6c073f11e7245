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

# Region weights settle on what is left, so a loss is forgotten by this part of the
# former room a second. Forgotten all at once, every key that left would come back in
# the same moment, and run cold at home. The pace was chosen, not swept.
FORGOTTEN_PER_SECOND: Final = 0.01


@dataclass(slots=True)
class Room:
    """The usable slots of one service in one region, now and formerly."""

    usable: float = 0.0
    former: float = 0.0


@dataclass(slots=True)
class RoomWatch:
    """Rooms by service and region; times are monotonic seconds."""

    rooms: dict[tuple[str, str], Room] = field(default_factory=dict)
    ticked_at: float | None = None

    def tick(self, table: ServerTable, now: float) -> None:
        """Take in what servers may be used now."""
        elapsed = now - self.ticked_at if self.ticked_at is not None else 0.0
        self.ticked_at = now
        kept = max(0.0, 1 - FORGOTTEN_PER_SECOND * elapsed)
        for key in set(self.rooms) | set(table.members):
            room = self.rooms.setdefault(key, Room())
            room.usable = _usable_slots(table.find(*key).servers, now)
            room.former = max(room.usable, room.former * kept)

    def lost_share(self, service: str, region: str) -> float:
        """Return which part of its former slots a region has lost."""
        room = self.rooms.get((service, region))
        if room is None or not room.former:
            return 0.0
        return 1 - room.usable / room.former


def _usable_slots(servers: Iterable[Server], now: float) -> int:
    """Return the slots of servers that are neither suspected nor cold."""
    return sum(
        server.slots
        for server in servers
        if server.suspect_until <= now and server.cold_until <= now
    )
