"""Order the stop of a host: leave look-ups, serve to the end, hand over, exit."""

import math
from dataclasses import dataclass
from enum import StrEnum
from typing import Final, NamedTuple

# Until then other hosts may still give out answers that name this one.
NOTICE_SECONDS: Final = 5.0


class StopState(StrEnum):
    """How far a host has come with its stop."""

    SERVING = "serving"
    LEAVING = "leaving"
    DRAINED = "drained"


class StopReason(StrEnum):
    """What a leaving host still waits for."""

    CACHED_ANSWERS = "cached_answers"
    IN_FLIGHT = "in_flight"
    HAND_OVER = "hand_over"


@dataclass(slots=True)
class StopTable:
    """One host's stop; times are monotonic seconds.

    ``ends_at`` is when the host closes at the latest.
    """

    state: StopState = StopState.SERVING
    cached_until: float = 0.0
    left_at: float = 0.0
    ends_at: float = math.inf


class StopStatus(NamedTuple):
    """The state, what is waited for, and the seconds that it takes by estimate.

    A drained host that waits for nothing may exit.
    """

    state: StopState
    reasons: tuple[StopReason, ...]
    remaining_seconds: float


def note_lookup_answer(table: StopTable, ttl_seconds: float, now: float) -> None:
    """Note that an answer naming this host was given out."""
    table.cached_until = max(table.cached_until, now + ttl_seconds)


def leave(
    table: StopTable, longest_ttl_seconds: float, grace_seconds: float, now: float
) -> None:
    """Begin the stop; ``longest_ttl_seconds`` is the longest that any host gives.

    ``grace_seconds`` is the time for requests after the last cached answer.
    """
    if table.state is not StopState.SERVING:
        return
    table.state = StopState.LEAVING
    table.left_at = now
    note_lookup_answer(table, NOTICE_SECONDS + longest_ttl_seconds, now)
    table.ends_at = table.cached_until + grace_seconds


def in_lookups(table: StopTable) -> bool:
    """Tell whether look-up answers may name this host."""
    return table.state is StopState.SERVING


def accepts(table: StopTable, request_ends_at: float) -> bool:
    """Return True if a request that ends at ``request_ends_at`` is still served.

    A leaving host serves: callers come from answers that they have cached, and a
    refusal would cost each of them another look-up. It refuses what may outlast it:
    its server would be working on the request when the host closes.
    """
    return table.state is not StopState.DRAINED and request_ends_at <= table.ends_at


def run(
    table: StopTable,
    in_flight: int,
    in_flight_seconds: float,
    now: float,
    *,
    handed_over: bool,
) -> StopStatus:
    """Advance the stop and tell what it waits for.

    Rights and counters are handed over only once the host is drained, and a drained
    host never serves again: its rights may be another's by then.
    """
    reasons = []
    seconds = 0.0
    if table.state is StopState.LEAVING:
        if now < table.cached_until:
            reasons.append(StopReason.CACHED_ANSWERS)
            seconds = table.cached_until - now
        if in_flight:
            reasons.append(StopReason.IN_FLIGHT)
            seconds = max(seconds, in_flight_seconds)
        if not reasons:
            table.state = StopState.DRAINED
    if table.state is StopState.DRAINED and not handed_over:
        reasons.append(StopReason.HAND_OVER)
    return StopStatus(table.state, tuple(reasons), seconds)
