"""Test that a host that stops answers all that it has read, and exits in time."""

from dataclasses import replace

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
    run_state_machine_as_test,
)

from greengagepoint.draining import shutdown as decisions
from greengagepoint.draining.connections import ConnectionState
from greengagepoint.draining.shutdown import (
    CLOSE_RESERVE_SECONDS,
    EXIT_RESERVE_SECONDS,
    EndReason,
    Shutdown,
    ShutdownInputs,
    ShutdownPhase,
    advance,
    create_shutdown,
    may_close,
)

GRACE_SECONDS = 6.0
IDLE = ConnectionState(0, False, 0)
WAITING = ConnectionState(1, False, 0)
BUSY = ConnectionState(0, True, 0)
SENDING = ConnectionState(0, False, 500)


def inputs(now, *, last=-10.0, in_flight=0, connections=(), delay=0.0):
    return ShutdownInputs(now, last, in_flight, connections, delay)


@pytest.mark.parametrize(
    ("phase", "given", "expected"),
    [
        ("accepting", inputs(2.9), "accepting"),
        ("accepting", inputs(3.0), "rejecting"),
        ("accepting", inputs(2.9, delay=0.6), "accepting"),
        ("rejecting", inputs(3.1), "closing"),
        ("rejecting", inputs(3.1, connections=[IDLE]), "closing"),
        ("rejecting", inputs(3.1, last=2.5), "rejecting"),
        ("rejecting", inputs(5.1, in_flight=1), "rejecting"),
        ("rejecting", inputs(5.1, connections=[WAITING]), "rejecting"),
        ("rejecting", inputs(5.1, connections=[BUSY]), "rejecting"),
        ("rejecting", inputs(5.1, connections=[IDLE, SENDING]), "rejecting"),
        ("rejecting", inputs(5.2, connections=[SENDING]), "rejecting"),
        ("rejecting", inputs(5.3, connections=[SENDING]), "closing"),
        ("rejecting", inputs(4.7, connections=[SENDING], delay=0.6), "rejecting"),
        ("rejecting", inputs(4.8, connections=[SENDING], delay=0.6), "closing"),
        ("closing", inputs(5.3), "ended"),
        ("closing", inputs(5.6, connections=[SENDING]), "closing"),
        ("closing", inputs(5.6, in_flight=1), "closing"),
        ("closing", inputs(5.7, connections=[BUSY]), "ended"),
        ("closing", inputs(5.6, connections=[BUSY], delay=1.6), "closing"),
    ],
)
def test_phases(phase, given, expected):
    stop = Shutdown(0.0, GRACE_SECONDS, phase=ShutdownPhase(phase))
    assert advance(stop, given) == expected


@pytest.mark.parametrize(
    ("phase", "now", "expected"),
    [
        ("accepting", 2.4, "accepting"),
        ("accepting", 2.5, "rejecting"),
        ("closing", 5.1, "closing"),
        ("closing", 5.2, "ended"),
    ],
)
def test_a_signal_that_has_waited_shortens_the_grace(phase, now, expected):
    stop = create_shutdown(0.0, GRACE_SECONDS, 0.6)
    stop.phase = ShutdownPhase(phase)
    assert advance(stop, inputs(now, connections=[SENDING])) == expected


@pytest.mark.parametrize(
    ("connections", "reason"),
    [([], EndReason.ANSWERED), ([SENDING], EndReason.OUT_OF_TIME)],
)
def test_the_reason_tells_whether_all_was_answered(connections, reason):
    stop = Shutdown(0.0, GRACE_SECONDS, phase=ShutdownPhase.CLOSING)
    advance(stop, inputs(5.9, connections=connections))
    assert stop.reason is reason


class Caller:
    """One connection: what was read from it, and how many bytes wait to be sent."""

    def __init__(self):
        self.unanswered = 0
        self.unsent = 0
        self.is_closed = False

    @property
    def owes(self):
        return self.unanswered or self.unsent

    def state(self):
        return ConnectionState(self.unanswered, False, self.unsent)


class StopMachine(RuleBasedStateMachine):
    """Let callers connect, send and read at any time while a host stops."""

    advance = staticmethod(advance)
    may_close = staticmethod(may_close)

    def __init__(self):
        super().__init__()
        self.now = self.last_request_at = 0.0
        self.delay = self.longest_delay = 0.0
        self.callers = []

    create_shutdown = staticmethod(create_shutdown)

    @initialize(delay=st.sampled_from([0.0, 0.0, 0.6]))
    def begin(self, delay):
        self.longest_delay = delay
        self.killed_at = GRACE_SECONDS - delay
        self.stop = self.create_shutdown(0.0, GRACE_SECONDS, delay)

    @property
    def is_listening(self):
        phases = (ShutdownPhase.ACCEPTING, ShutdownPhase.REJECTING)
        return self.stop.phase in phases

    def open_callers(self):
        return [row for row in self.callers if not row.is_closed]

    @rule()
    def connect(self):
        if self.is_listening:
            self.callers.append(Caller())

    @rule(number=st.integers(0, 9))
    def read(self, number):
        """Read a request on an open connection."""
        rows = self.open_callers()
        if rows and self.stop.phase is not ShutdownPhase.ENDED:
            rows[number % len(rows)].unanswered += 1
            self.last_request_at = self.now

    @rule()
    def call(self):
        """Connect, and get a whole answer at once."""
        if self.is_listening:
            self.connect()
            self.last_request_at = self.now

    @rule(number=st.integers(0, 9), unsent=st.sampled_from([0, 100]))
    def answer(self, number, unsent):
        rows = [row for row in self.callers if row.unanswered]
        if rows:
            rows[number % len(rows)].unanswered -= 1
            rows[number % len(rows)].unsent += unsent

    @rule(number=st.integers(0, 9))
    def send(self, number):
        rows = [row for row in self.callers if row.unsent]
        if rows:
            rows[number % len(rows)].unsent = 0

    @rule(seconds=st.sampled_from([0.05, 0.05, 0.4, 1.0]))
    def wait(self, seconds):
        """Let time pass with sweeps in between."""
        for _ in range(round(seconds / 0.05)):
            self.now += 0.05
            self.sweep()

    @rule(delay=st.sampled_from([0.0, 0.2, 0.5]))
    def run_late(self, delay):
        """Let the event loop run late."""
        self.delay = delay
        self.longest_delay = max(self.longest_delay, delay)
        self.now += delay
        self.sweep()

    def sweep(self):
        if self.stop.phase is ShutdownPhase.ENDED:
            return
        if self.stop.phase is ShutdownPhase.CLOSING:
            for row in self.open_callers():
                if self.may_close(row.state()):
                    assert not row.owes
                    row.is_closed = True
        given = ShutdownInputs(
            self.now,
            self.last_request_at,
            sum(row.unanswered for row in self.callers),
            [row.state() for row in self.open_callers()],
            self.delay,
        )
        before = self.stop.phase
        self.advance(self.stop, given)
        self.check(before)

    def check(self, before):
        reserve = decisions.LOOP_DELAY_RESERVE_SECONDS
        late = max(0.0, self.longest_delay - reserve)
        exit_at = self.killed_at - EXIT_RESERVE_SECONDS + reserve
        owing = [row for row in self.callers if row.owes]
        phase = self.stop.phase
        if phase is before:
            if before is ShutdownPhase.CLOSING:
                assert owing
                assert self.now < exit_at
            return
        if phase is ShutdownPhase.REJECTING:
            assert self.now >= 3.0 - late
        if phase is ShutdownPhase.CLOSING and owing:
            assert self.now >= self.killed_at - CLOSE_RESERVE_SECONDS - late
        if phase is ShutdownPhase.CLOSING and not owing:
            is_quiet = self.now - self.last_request_at >= decisions.QUIET_SECONDS
            assert is_quiet or self.now >= self.stop.close_at
        if phase is ShutdownPhase.ENDED and owing:
            assert self.now >= self.killed_at - EXIT_RESERVE_SECONDS


class ClosesConnectionsInUse(StopMachine):
    """Close all connections at once, as the HTTP library does."""

    may_close = staticmethod(lambda state: True)


class ClosesBeforeBytesAreSent(StopMachine):
    """Take an answer in the send buffer for one that was sent."""

    may_close = staticmethod(lambda state: not state.unanswered)


class WaitsForHandlersOnly(StopMachine):
    """End when no request is handled, whatever is still to be sent."""

    advance = staticmethod(
        lambda stop, given: advance(stop, given._replace(connections=[]))
    )


class IgnoresSignalDelay(StopMachine):
    """Take the whole grace although the signal has waited."""

    create_shutdown = staticmethod(
        lambda now, grace, delay: create_shutdown(now, grace, 0.0)
    )


class ExitsForDelays(StopMachine):
    """Take a delay for one that the signal has had as well."""

    @staticmethod
    def advance(stop, given):
        advance(stop, given)
        stop.signal_delay_seconds = stop.loop_delay_seconds


class IgnoresRequestsInTransit(StopMachine):
    """Stop listening as soon as nothing is owed."""

    advance = staticmethod(
        lambda stop, given: advance(stop, given._replace(last_request_at=-10.0))
    )


class RejectsAtOnce(StopMachine):
    """Reject from the signal on."""

    create_shutdown = staticmethod(
        lambda *given: replace(create_shutdown(*given), phase=ShutdownPhase.REJECTING)
    )

    def check(self, before):
        if before is ShutdownPhase.REJECTING:
            assert self.now >= 3.0 - self.longest_delay
        super().check(before)


SETTINGS = settings(
    max_examples=300,
    stateful_step_count=50,
    deadline=None,
    suppress_health_check=list(HealthCheck),
    phases=[Phase.generate],
)
MUTANTS = [
    ClosesConnectionsInUse,
    ClosesBeforeBytesAreSent,
    WaitsForHandlersOnly,
    IgnoresSignalDelay,
    ExitsForDelays,
    IgnoresRequestsInTransit,
    RejectsAtOnce,
]


def test_any_order_of_events():
    run_state_machine_as_test(StopMachine, settings=SETTINGS)


@pytest.mark.parametrize("mutant", MUTANTS)
def test_mutants_are_found(mutant):
    with pytest.raises(AssertionError):
        run_state_machine_as_test(mutant, settings=SETTINGS)
