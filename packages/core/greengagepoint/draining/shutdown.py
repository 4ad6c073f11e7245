"""Decide when a stopping host rejects requests, closes connections and exits."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Final, NamedTuple

from greengagepoint.draining.connections import ConnectionPhase, ConnectionState

# Callers cache addresses for up to three times their time to live, so new requests
# come for longer than the whole grace. In its second half, the host rejects them all to
# get quiet, so that it exits as soon as it has answered the others.
ACCEPTING_FRACTION: Final = 0.5
# Requests in transit when the host stops listening are never read, so it listens until
# none has come for this long.
QUIET_SECONDS: Final = 0.8
# The time before the end of the grace at which the host stops listening, and at which
# it exits. The latter is for writing the log and for the end of the process.
CLOSE_RESERVE_SECONDS: Final = 0.7
EXIT_RESERVE_SECONDS: Final = 0.3
# The reserves allow for an event loop that is late by this.
LOOP_DELAY_RESERVE_SECONDS: Final = 0.1
# An answer that is ready this long before the exit is on its way when the host exits.
ANSWER_RESERVE_SECONDS: Final = 0.1


class ShutdownPhase(StrEnum):
    """How far a host is with its stop."""

    ACCEPTING = "accepting"
    REJECTING = "rejecting"
    CLOSING = "closing"
    ENDED = "ended"


class EndReason(StrEnum):
    """Why a phase ended."""

    ANSWERED = "answered"
    OUT_OF_TIME = "out of time"


class ShutdownInputs(NamedTuple):
    """What a host knows of itself; times are monotonic seconds.

    ``in_flight`` are the requests of callers and of other hosts that are handled, and
    ``loop_delay_seconds`` is how late the event loop ran last.
    """

    now: float
    last_request_at: float
    in_flight: int
    connections: Sequence[ConnectionState]
    loop_delay_seconds: float = 0.0


@dataclass(slots=True)
class Shutdown:
    """The stop of one host, which is killed ``grace_seconds`` after its signal.

    ``signal_delay_seconds`` is how late the event loop ran when it handled the signal,
    which has waited as long; ``loop_delay_seconds`` is its longest delay since. Both
    are beyond the reserve. ``reason`` is why the last phase ended.
    """

    began_at: float
    grace_seconds: float
    signal_delay_seconds: float = 0.0
    loop_delay_seconds: float = 0.0
    phase: ShutdownPhase = ShutdownPhase.ACCEPTING
    reason: EndReason = EndReason.ANSWERED

    @property
    def signalled_at(self) -> float:
        """Return when the signal came, as far as the host can tell."""
        return self.began_at - self.signal_delay_seconds

    @property
    def reject_at(self) -> float:
        """Return when the host begins to reject all requests."""
        return self.signalled_at + self.grace_seconds * ACCEPTING_FRACTION

    @property
    def close_at(self) -> float:
        """Return when the host stops listening at the latest."""
        return self._before_grace(CLOSE_RESERVE_SECONDS + self.loop_delay_seconds)

    @property
    def exit_at(self) -> float:
        """Return when the process exits at the latest.

        To exit earlier because the event loop is late would leave requests unanswered
        for nothing.
        """
        return self._before_grace(EXIT_RESERVE_SECONDS)

    @property
    def answer_by(self) -> float:
        """Return when an answer has to be ready to reach its caller before the exit.

        An event loop that was late may be so again when the answer comes.
        """
        return self.exit_at - ANSWER_RESERVE_SECONDS - self.loop_delay_seconds

    def _before_grace(self, seconds: float) -> float:
        """Return the time so long before the end of the grace."""
        return self.signalled_at + self.grace_seconds - seconds


def create_shutdown(
    now: float, grace_seconds: float, signal_delay_seconds: float
) -> Shutdown:
    """Return the stop of a host whose event loop ran late when the signal came."""
    delay = _beyond_reserve(signal_delay_seconds, grace_seconds)
    return Shutdown(now, grace_seconds, delay, delay)


def advance(shutdown: Shutdown, inputs: ShutdownInputs) -> ShutdownPhase:
    """Advance a stop by one phase at most, and return its phase."""
    delay = _beyond_reserve(inputs.loop_delay_seconds, shutdown.grace_seconds)
    shutdown.loop_delay_seconds = max(delay, shutdown.loop_delay_seconds)
    now = inputs.now
    owes = bool(inputs.in_flight) or owes_answers(inputs.connections)
    if shutdown.phase is ShutdownPhase.ACCEPTING:
        if now >= shutdown.reject_at:
            shutdown.phase = ShutdownPhase.REJECTING
    elif shutdown.phase is ShutdownPhase.REJECTING:
        is_quiet = not owes and now - inputs.last_request_at >= QUIET_SECONDS
        if is_quiet or now >= shutdown.close_at:
            _end_phase(shutdown, ShutdownPhase.CLOSING, is_answered=is_quiet)
    elif not owes or now >= shutdown.exit_at:
        _end_phase(shutdown, ShutdownPhase.ENDED, is_answered=not owes)
    return shutdown.phase


def may_close(state: ConnectionState) -> bool:
    """Return True if a connection may be closed, as it owes its caller nothing."""
    return state.phase is ConnectionPhase.IDLE


def owes_answers(connections: Sequence[ConnectionState]) -> bool:
    """Return True if any connection owes its caller an answer or a part of one."""
    return any(not may_close(state) for state in connections)


def _end_phase(shutdown: Shutdown, phase: ShutdownPhase, *, is_answered: bool) -> None:
    """Begin the next phase."""
    shutdown.phase = phase
    shutdown.reason = EndReason.ANSWERED if is_answered else EndReason.OUT_OF_TIME


def _beyond_reserve(delay_seconds: float, grace_seconds: float) -> float:
    """Return a delay as far as the reserves don't allow for it, within bounds."""
    delay = max(0.0, delay_seconds - LOOP_DELAY_RESERVE_SECONDS)
    return min(delay, grace_seconds / 4)
