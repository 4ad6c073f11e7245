"""Log what really ran on a stand-in backend server."""

from collections import Counter, deque
from enum import StrEnum
from typing import Any, Final

import msgspec

MAX_RUNS: Final = 200_000


class RunState(StrEnum):
    """How far a run came."""

    STARTED = "started"
    FINISHED = "finished"
    CANCELLED = "cancelled"
    EXPIRED = "expired"


class Run(msgspec.Struct):
    """One run; times are monotonic seconds of its process.

    ``leaving_seconds`` is how long the server had been leaving when the run
    started, or None when it was not.
    """

    request_id: str
    key: str
    method: str
    path: str
    started: float
    leaving_seconds: float | None = None
    ended: float | None = None
    state: RunState = RunState.STARTED


class RunLog:
    """Keep the newest runs and counts of all."""

    def __init__(self) -> None:
        self.runs: deque[Run] = deque(maxlen=MAX_RUNS)
        self.states: Counter[RunState] = Counter()
        self.by_key: Counter[str] = Counter()
        self.by_request: Counter[str] = Counter()

    def start(self, run: Run) -> None:
        """Log that a run has started."""
        self.runs.append(run)
        self.states[RunState.STARTED] += 1
        if run.key:
            self.by_key[run.key] += 1
        if run.request_id:
            self.by_request[run.request_id] += 1

    def end(self, run: Run, state: RunState, now: float) -> None:
        """Log how a run has ended."""
        run.state = state
        run.ended = now
        self.states[state] += 1

    def summary(self, *, with_runs: bool) -> dict[str, Any]:
        """Return counts by state, key and request id, and the runs if wanted."""
        shown: dict[str, Any] = {
            "states": dict(self.states),
            "by_key": dict(self.by_key),
            "by_request": dict(self.by_request),
        }
        if with_runs:
            shown["runs"] = list(self.runs)
        return shown
