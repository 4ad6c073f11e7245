"""Index server crashes by time, to find those that happened together."""

from bisect import bisect_left, insort
from collections.abc import Callable
from typing import Final

from greengagepoint.quarantine.tables import ServerIncarnation

# Crashes at most this far apart count as simultaneous.
SIMULTANEOUS_SECONDS: Final = 0.5
CRASHES_MAX: Final = 4_096


class LostServers:
    """Crashes of server incarnations by time in monotonic seconds."""

    def __init__(self) -> None:
        self.ends: dict[ServerIncarnation, float] = {}
        self.ordered: list[tuple[float, ServerIncarnation]] = []

    def record(self, incarnation: ServerIncarnation, at: float) -> None:
        """Record a crash; the earliest reported time counts."""
        earlier = self.ends.get(incarnation)
        if earlier is not None:
            if at >= earlier:
                return
            self._remove(incarnation, earlier)
        self.ends[incarnation] = at
        insort(self.ordered, (at, incarnation))
        if len(self.ordered) > CRASHES_MAX:
            oldest, first = self.ordered[0]
            self._remove(first, oldest)

    def has_crash_near(
        self, at: float, matches: Callable[[ServerIncarnation], bool]
    ) -> bool:
        """Return True if a matching incarnation crashed at about the same time."""
        start = bisect_left(self.ordered, (at - SIMULTANEOUS_SECONDS,))
        for ended_at, incarnation in self.ordered[start:]:
            if ended_at > at + SIMULTANEOUS_SECONDS:
                return False
            if matches(incarnation):
                return True
        return False

    def remove_before(self, at: float) -> None:
        """Remove crashes before a time."""
        end = bisect_left(self.ordered, (at,))
        for _, incarnation in self.ordered[:end]:
            del self.ends[incarnation]
        del self.ordered[:end]

    def _remove(self, incarnation: ServerIncarnation, at: float) -> None:
        """Remove one incarnation."""
        del self.ends[incarnation]
        del self.ordered[bisect_left(self.ordered, (at, incarnation))]
