"""Requests under suspicion, and the ends of servers that speak against them."""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final, NamedTuple

# Ends of one request that are kept; older ones say nothing more.
ENDS_KEPT: Final = 16


class ServerRun(NamedTuple):
    """One run of a backend server; ``born`` is the Unix millisecond of its start."""

    instance: str
    born: int


class EndKey(NamedTuple):
    """One server's end beneath one caller's request."""

    run: ServerRun
    caller: str


@dataclass(slots=True)
class ServerEnd:
    """When a server ended, monotonic seconds, and whether that still counts."""

    at: float
    settled: bool = False


@dataclass(slots=True)
class Suspect:
    """A request's content and what speaks against it; times are monotonic seconds.

    ``trial_until`` is how long this host lets no copy run beside one that is tried
    elsewhere, ``trials`` how many this host tries now.
    """

    ends: dict[EndKey, ServerEnd] = field(default_factory=dict)
    changed_at: float = float("-inf")
    trial_until: float = float("-inf")
    trials: int = 0

    def unsettled(self) -> dict[EndKey, ServerEnd]:
        """Return the ends that count."""
        return {key: end for key, end in self.ends.items() if not end.settled}

    def add(self, key: EndKey, at: float, *, settled: bool = False) -> bool:
        """Take in an end; tell whether that is news.

        Whatever the order in which hosts hear of ends, they come to the same: the
        earliest time counts, and what is settled stays so.
        """
        known = self.ends.get(key)
        if known is not None:
            known.at = min(known.at, at)
            news = settled and not known.settled
            known.settled = known.settled or settled
            return news
        if len(self.ends) >= ENDS_KEPT:
            oldest = min(self.ends, key=lambda row: self.ends[row].at)
            if self.ends[oldest].at >= at:
                return False
            del self.ends[oldest]
        self.ends[key] = ServerEnd(at, settled)
        return True


class Verdict(StrEnum):
    """Whether a request may be sent to a backend server.

    ``ALONE`` is on a server that other requests of its key do not use, one at a time.
    """

    FREE = "free"
    ALONE = "alone"
    WAITS = "waits"
    QUARANTINED = "quarantined"


class Standing(NamedTuple):
    """What is held against a request; ``retry_seconds`` is when to ask again.

    ``ends`` count against it, the last one ``last_end_seconds`` ago.
    """

    verdict: Verdict
    retry_seconds: float = 0.0
    ends: int = 0
    last_end_seconds: float = 0.0

    @property
    def may_run(self) -> bool:
        """Tell whether a server may get the request."""
        return self.verdict in (Verdict.FREE, Verdict.ALONE)

    @property
    def alone(self) -> bool:
        """Tell whether that is a server that others of its key do not use."""
        return self.verdict is Verdict.ALONE


FREE: Final = Standing(Verdict.FREE)
