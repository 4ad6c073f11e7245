"""Suspected requests, and the server crashes that count against them."""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final, NamedTuple

# Crashes kept per request; older ones do not change the decision.
CRASHES_KEPT: Final = 16


class ServerIncarnation(NamedTuple):
    """One incarnation of a backend server, started at ``born`` Unix milliseconds."""

    instance: str
    born: int


class CrashKey(NamedTuple):
    """One server crash with a request of one caller in flight."""

    incarnation: ServerIncarnation
    caller: str


@dataclass(slots=True)
class ServerCrash:
    """The time of a server crash in monotonic seconds.

    A ``settled`` crash no longer counts against the request.
    """

    at: float
    settled: bool = False


@dataclass(slots=True)
class Suspect:
    """The crashes and trials of one request content; times are monotonic seconds.

    ``ends`` are the crashes of servers with the request in flight.

    Until ``trial_until`` this host sends no copy, as one is being tried. ``trials`` is
    the number of copies that this host is trying now.
    """

    ends: dict[CrashKey, ServerCrash] = field(default_factory=dict)
    changed_at: float = float("-inf")
    trial_until: float = float("-inf")
    trials: int = 0

    def unsettled(self) -> dict[CrashKey, ServerCrash]:
        """Return the crashes that still count."""
        return {key: end for key, end in self.ends.items() if not end.settled}

    def add(self, key: CrashKey, at: float, *, settled: bool = False) -> bool:
        """Add a crash; return True if that changed anything.

        Hosts converge in whatever order they receive crashes: the earliest time counts,
        and a settled crash stays settled.
        """
        existing = self.ends.get(key)
        if existing is not None:
            existing.at = min(existing.at, at)
            has_changed = settled and not existing.settled
            existing.settled = existing.settled or settled
            return has_changed
        if len(self.ends) >= CRASHES_KEPT:
            oldest = min(self.ends, key=lambda row: self.ends[row].at)
            if self.ends[oldest].at >= at:
                return False
            del self.ends[oldest]
        self.ends[key] = ServerCrash(at, settled)
        return True


class Verdict(StrEnum):
    """Whether a request may be sent to a backend server.

    ``ALONE`` allows one copy at a time, on a server that no other requests of its key
    use. ``WAITS`` means that another copy is being tried now.
    """

    FREE = "free"
    ALONE = "alone"
    WAITS = "waits"
    QUARANTINED = "quarantined"


class Standing(NamedTuple):
    """The quarantine's decision on a request; retry after ``retry_seconds``.

    ``ends`` is the number of crashes that count against the request, the last one
    ``last_crash_seconds`` ago.
    """

    verdict: Verdict
    retry_seconds: float = 0.0
    ends: int = 0
    last_crash_seconds: float = 0.0

    @property
    def can_run(self) -> bool:
        """Return True if the request may be sent to a server."""
        return self.verdict in (Verdict.FREE, Verdict.ALONE)

    @property
    def alone(self) -> bool:
        """Return True if it must run on a server that no others of its key use."""
        return self.verdict is Verdict.ALONE


FREE: Final = Standing(Verdict.FREE)
