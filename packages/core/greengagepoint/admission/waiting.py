"""Order the requests that wait on a host for a server."""

from bisect import insort
from dataclasses import dataclass, field
from typing import Final, NamedTuple

WAITING_MAX: Final = 64
WAIT_GOAL_SHARE: Final = 0.25


class Urgency(NamedTuple):
    """Order waiting requests, most urgent first.

    ``shed_share`` is the probability that a request of this account is rejected, which
    is higher the more the account exceeds its share. ``ends_at`` is the monotonic time
    of the deadline.
    """

    rank: int
    shed_share: float
    ends_at: float
    number: int


@dataclass(slots=True, frozen=True, order=True)
class Waiting:
    """One waiting request of a service, which leaves the queue at ``until``."""

    urgency: Urgency
    service: str = field(compare=False)
    until: float = field(compare=False)


@dataclass(slots=True)
class WaitQueue:
    """Hold waiting requests in order; ``cursor`` is the last one that tried again."""

    rows: list[Waiting] = field(default_factory=list)
    cursor: Waiting | None = None

    def add(self, row: Waiting) -> Waiting | None:
        """Add a request; return the one that has to leave, None if there is space.

        Requests of one rank and account don't displace each other in turn, because a
        later one has the later deadline.
        """
        if len(self.rows) >= WAITING_MAX:
            last = self.rows[-1]
            if row > last:
                return row
            self.rows.pop()
            insort(self.rows, row)
            return last
        insort(self.rows, row)
        return None

    def remove(self, row: Waiting) -> bool:
        """Remove a request; return False if it has left already."""
        if row not in self.rows:
            return False
        self.rows.remove(row)
        return True

    def pop_expired(self, now: float) -> list[Waiting]:
        """Remove and return the requests whose wait has ended."""
        expired = [row for row in self.rows if row.until <= now]
        for row in expired:
            self.rows.remove(row)
        return expired

    def pop_next(self, count: int) -> list[Waiting]:
        """Remove and return the next requests that try again.

        Half of them are the most urgent ones. The others continue behind the last one
        that tried, so that requests whose servers stay busy do not block the others.
        """
        first = (count + 1) // 2
        chosen, rest = self.rows[:first], self.rows[first:]
        cursor = self.cursor
        behind = [row for row in rest if cursor is None or row > cursor]
        before = rest[: len(rest) - len(behind)]
        others = (behind + before)[: count - first]
        self.cursor = others[-1] if others else None
        chosen = sorted(chosen + others)
        for row in chosen:
            self.rows.remove(row)
        return chosen

    def pop_first(self, service: str) -> Waiting | None:
        """Remove and return the most urgent request of a service."""
        for row in self.rows:
            if row.service == service:
                self.rows.remove(row)
                return row
        return None


def wait_until(
    arrived_at: float,
    ends_at: float,
    goal_seconds: float,
    run_seconds: float,
    began: float,
) -> float:
    """Return until when a request may wait that began to wait at ``began``.

    The run has to fit the goal, which counts from the arrival, and the wait takes at
    most a quarter of the goal.
    """
    return min(
        arrived_at + goal_seconds - run_seconds,
        began + WAIT_GOAL_SHARE * goal_seconds,
        ends_at - run_seconds,
    )
