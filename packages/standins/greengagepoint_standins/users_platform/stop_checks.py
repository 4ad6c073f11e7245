"""Check planned stops by what callers and backend servers saw of them."""

import math
from collections.abc import Iterable
from typing import Final, NamedTuple

from greengagepoint_standins.users_platform.backend import (
    PlatformBackend,
    request_id,
)
from greengagepoint_standins.users_platform.daemons import Node, ProcessLife
from greengagepoint_standins.users_platform.kept_callers import Ending, Sent

# A connection may end without an answer so soon after a request that crosses its close.
LOSS_SLACK_SECONDS: Final = 0.2
# The last part of the grace, in which long requests that came early may be cut off.
LAST_PART: Final = 5 / 6
EARLY_SECONDS: Final = 3.0
CONTACT_SECONDS: Final = 3.0
# A test that stood still for longer can't tell whether an answer came in time.
OWN_DELAY_MAX: Final = 0.5


class Word(NamedTuple):
    """A server's word that it leaves, from its acknowledgement to its next start."""

    instance: str
    at: float
    until: float


class Delay(NamedTuple):
    """How late the test or a whole processor ran at a time; monotonic seconds."""

    at: float
    seconds: float


class Evidence(NamedTuple):
    """All that is known of a run after it has ended.

    ``own_delays`` are those of the test, whose callers and servers saw all else.
    """

    sent: list[Sent]
    nodes: list[Node]
    backends: list[PlatformBackend]
    words: list[Word]
    grace_seconds: float
    drain_seconds: float
    answer_seconds: float
    own_delays: list[Delay]

    def own_delay(self, since: float, until: float) -> float:
        """Return for how long the test or a processor stood still within a time."""
        return sum(row.seconds for row in self.own_delays if since <= row.at <= until)


def life_of(evidence: Evidence, row: Sent) -> ProcessLife | None:
    """Return the process that accepted a request's connection."""
    for node in evidence.nodes:
        for life in node.lives:
            if node.name == row.host and life.began_at < row.opened_at < life.ended_at:
                return life
    return None


def lost_requests(evidence: Evidence) -> list[str]:
    """Return the requests that a process had read and did not answer whole."""
    runs = _runs(evidence.backends)
    found = []
    for row in evidence.sent:
        if row.ending is Ending.WHOLE:
            continue
        life = life_of(evidence, row)
        run = runs.get(row.request_id)
        if life is None or not _was_read(row, run) or _is_excused(evidence, life, run):
            continue
        is_late = evidence.own_delay(row.sent_at, row.ended_at) > OWN_DELAY_MAX
        if row.ending is Ending.TIMED_OUT and is_late:
            continue
        found.append(_describe(row, life, run))
    return found


def late_answers(evidence: Evidence) -> list[str]:
    """Return the requests whose answers began too late."""
    return [
        f"{row.request_id} at {row.host}: {row.begun_at - row.sent_at:.2f} s"
        for row in evidence.sent
        if row.begun_at is not None
        and row.begun_at - row.sent_at - evidence.own_delay(row.sent_at, row.begun_at)
        > evidence.answer_seconds
    ]


def overstays(evidence: Evidence) -> list[str]:
    """Return the processes that outlived the grace after their signal."""
    return [
        f"{life.host} outlived its grace"
        for node in evidence.nodes
        for life in node.lives
        if life.is_killed
    ]


def unasked_ends(evidence: Evidence) -> list[str]:
    """Return the processes that ended without SIGTERM."""
    return [
        f"{life.host} ended by itself with {life.exit_code}, "
        f"{life.ended_at - life.began_at:.2f} s after its start"
        for node in evidence.nodes
        for life in node.lives
        if life.ended_at < math.inf and life.stop_at == math.inf
    ]


def late_arrivals(evidence: Evidence) -> list[str]:
    """Return the requests that reached leaving servers too long after their word.

    Hosts that started shortly before do not count.
    """
    hosts = {row.request_id: row for row in evidence.sent}
    backends = {row.instance: row for row in evidence.backends}
    found = []
    for word in evidence.words:
        for received in backends[word.instance].received:
            own_delay = evidence.own_delay(received.at - 1.0, received.at)
            late = received.at - word.at - own_delay
            if late <= evidence.drain_seconds or received.at >= word.until:
                continue
            row = hosts.get(request_id(received))
            life = life_of(evidence, row) if row is not None else None
            if life is None or received.at - life.began_at < CONTACT_SECONDS:
                continue
            found.append(
                f"{request_id(received)} reached {word.instance} {late:.2f} s after "
                f"its word from {life.host}"
            )
    return found


class Run(NamedTuple):
    """When a backend server got a request, and when its work on it ended."""

    at: float
    ended_at: float


def _runs(backends: Iterable[PlatformBackend]) -> dict[str, Run]:
    """Return the first run of each request."""
    runs: dict[str, Run] = {}
    for backend in backends:
        for row in backend.received:
            runs.setdefault(request_id(row), Run(row.at, row.at + backend.seconds))
    return runs


def _was_read(row: Sent, run: Run | None) -> bool:
    """Return True if the host has read a request for certain.

    A connection that is closed while bytes on it are unread is reset.
    """
    if run is not None or row.begun_at is not None:
        return True
    if row.is_behind or row.ending is not Ending.CLOSED:
        return row.ending is Ending.TIMED_OUT and not row.is_behind
    return row.ended_at - row.sent_at > LOSS_SLACK_SECONDS


def _is_excused(evidence: Evidence, life: ProcessLife, run: Run | None) -> bool:
    """Return True if a long request was cut off in the last part of the grace."""
    if run is None:
        return False
    last_part = life.stop_at + LAST_PART * evidence.grace_seconds
    return run.at <= life.stop_at + EARLY_SECONDS and run.ended_at >= last_part


def _describe(row: Sent, life: ProcessLife, run: Run | None) -> str:
    """Return one line on a request; times are from the host's SIGTERM."""
    since = life.stop_at if life.stop_at < math.inf else life.began_at
    ran = f"ran {run.at - since:.2f}..{run.ended_at - since:.2f}" if run else "not run"
    return (
        f"{row.request_id} at {row.host}: sent {row.sent_at - since:.2f}, "
        f"{row.ending} {row.ended_at - since:.2f}, status {row.status}, {ran}, "
        f"opened {row.opened_at - since:.2f}, gone {life.ended_at - since:.2f}"
    )
