"""Remember what a store said that a copy from which it is restored may contradict.

A store that comes back from an older copy lists servers that have left, and lacks the
evacuations of its last seconds, until these are written again. A host that believed it
would send requests where it was told not to.
"""

from collections.abc import Collection, Hashable
from dataclasses import dataclass, field
from typing import Final, NamedTuple

# Users of the product guarantee that entries of operators and servers which the store
# lost are written again within this time of its return.
WRITTEN_AGAIN_SECONDS: Final = 2.0
# The store removes the entry of a server that ended after three missing heartbeats.
ENDED_ENTRY_SECONDS: Final = 10.0
# A copy is some seconds old; an older removal is in it.
COPY_AGE_MAX_SECONDS: Final = 60.0


class Removal(NamedTuple):
    """When a key was removed, and the server that it was about, if it was one."""

    at: float
    server: Hashable | None


class Hold(NamedTuple):
    """Keep the state of a key until a time, or a write after a position."""

    until: float
    position: int
    server: Hashable | None


@dataclass(slots=True)
class StoreMemory:
    """Hold recent removals, and the keys whose restored state does not apply yet.

    Times are monotonic seconds.
    """

    removals: dict[str, Removal] = field(default_factory=dict)
    holds: dict[str, Hold] = field(default_factory=dict)

    def record_removal(self, key: str, server: Hashable | None, now: float) -> None:
        """Record that a key is removed.

        ``server`` is the one that it was about, None if there is none or it is unknown.
        """
        if server is None and key in self.removals:
            return
        self.removals[key] = Removal(now, server)

    def record_presence(self, key: str) -> None:
        """Record that an entry of a key applies."""
        self.removals.pop(key, None)

    def begin_era(
        self,
        present: Collection[str],
        forgotten: Collection[str],
        position: int,
        now: float,
    ) -> int:
        """Hold the keys for which a restored store contradicts what it said before.

        ``present`` are all keys of the store at ``position``, ``forgotten`` those that
        it lacks and whose state stays. Return how many are held.
        """
        for key in forgotten:
            self.holds[key] = Hold(now + WRITTEN_AGAIN_SECONDS, position, None)
        for key, removal in self.removals.items():
            if key not in present or now - removal.at > COPY_AGE_MAX_SECONDS:
                continue
            seconds = ENDED_ENTRY_SECONDS if removal.server else WRITTEN_AGAIN_SECONDS
            self.holds[key] = Hold(now + seconds, position, removal.server)
        return len(self.holds)

    def note_write(self, key: str, position: int) -> None:
        """End the hold of a key that is written after the restored state was read."""
        hold = self.holds.get(key)
        if hold is not None and position > hold.position:
            del self.holds[key]

    def is_held(self, key: str, server: Hashable | None) -> bool:
        """Return True if the restored state of a key does not apply yet.

        ``server`` is the one that its entry is about; another run than the one that was
        removed is no part of the copy.
        """
        hold = self.holds.get(key)
        if hold is None:
            return False
        return hold.server is None or server is None or hold.server == server

    def expire(self, now: float) -> list[str]:
        """End the holds whose time is over and return their keys."""
        ended = [key for key, hold in self.holds.items() if hold.until <= now]
        for key in ended:
            del self.holds[key]
        for key, removal in list(self.removals.items()):
            if now - removal.at > COPY_AGE_MAX_SECONDS:
                del self.removals[key]
        return ended
