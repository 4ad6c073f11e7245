"""Know which runs of servers have ended, and which ended together."""

from bisect import bisect_left, insort
from collections.abc import Callable
from typing import Final

from greengagepoint.quarantine.tables import ServerRun

# A server that ended so shortly before or after another ended at the same moment.
TOGETHER_SECONDS: Final = 0.5
LOST_MAX: Final = 4_096


class LostServers:
    """The ends of server runs by time, monotonic seconds."""

    def __init__(self) -> None:
        self.ends: dict[ServerRun, float] = {}
        self.ordered: list[tuple[float, ServerRun]] = []

    def note(self, run: ServerRun, at: float) -> None:
        """Take in that a run ended; the earliest time that is told counts."""
        known = self.ends.get(run)
        if known is not None:
            if at >= known:
                return
            self._remove(run, known)
        self.ends[run] = at
        insort(self.ordered, (at, run))
        if len(self.ordered) > LOST_MAX:
            oldest, first = self.ordered[0]
            self._remove(first, oldest)

    def any_near(self, at: float, wanted: Callable[[ServerRun], bool]) -> bool:
        """Tell whether one of the runs that are wanted ended at the same moment."""
        start = bisect_left(self.ordered, (at - TOGETHER_SECONDS,))
        for ended_at, run in self.ordered[start:]:
            if ended_at > at + TOGETHER_SECONDS:
                return False
            if wanted(run):
                return True
        return False

    def forget_before(self, at: float) -> None:
        """Forget what ended before a time."""
        end = bisect_left(self.ordered, (at,))
        for _, run in self.ordered[:end]:
            del self.ends[run]
        del self.ordered[:end]

    def _remove(self, run: ServerRun, at: float) -> None:
        """Forget one run."""
        del self.ends[run]
        del self.ordered[bisect_left(self.ordered, (at, run))]
