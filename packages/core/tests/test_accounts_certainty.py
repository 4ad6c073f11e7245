"""Check that no host serves a revoked key beyond the staleness bound."""

import math

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from greengagepoint.accounts.certainty import (
    CLOCK_DRIFT_SECONDS,
    ConfigFreshness,
    Proof,
)

BOUND = 5.0
HOSTS = ("a", "b", "c")
hosts = st.sampled_from(HOSTS)
pauses = st.sampled_from([0.0, 0.5, 2.5, 6.0])
writes = st.booleans()


@pytest.mark.parametrize(
    ("steps", "age"),
    [
        ([], math.inf),
        ([("note", 3, 1.0)], math.inf),
        ([("note", 3, 1.0), ("note_in_force", 3)], 9.0),
        ([("note_in_force", 3), ("note", 3, 1.0), ("note", 3, 4.0)], 6.0),
        ([("note_in_force", 3), ("note", 3, 4.0), ("note", 3, 1.0)], 6.0),
        ([("note_in_force", 3), ("note", 3, 1.0), ("note", 4, 6.0)], 9.0),
        ([("note_in_force", 3), ("note", 4, 6.0), ("note_in_force", 4)], 4.0),
        ([("note_in_force", 4), ("note", 3, 6.0)], 4.0),
        ([("note_in_force", 3), ("take", Proof(3, 2.0), 7.0)], 5.0),
        ([("note_in_force", 3), ("take", Proof(4, 2.0), 7.0)], math.inf),
        ([("note_in_force", 3), ("note_complete", 7.0)], 3.0),
    ],
)
def test_age_counts_from_when_the_newest_verification_was_requested(steps, age):
    certainty = ConfigFreshness()
    for name, *arguments in steps:
        getattr(certainty, name)(*arguments)
    assert certainty.age(10.0) == age


@pytest.mark.parametrize(
    ("age", "is_fresh"),
    [
        (0.0, True),
        (BOUND - CLOCK_DRIFT_SECONDS - 0.001, True),
        (BOUND - CLOCK_DRIFT_SECONDS + 0.001, False),
        (BOUND, False),
    ],
)
def test_freshness_expires_before_the_bound(age, is_fresh):
    certainty = ConfigFreshness()
    certainty.note_in_force(1)
    certainty.note_complete(100.0)
    assert certainty.is_fresh(100.0 + age, BOUND) is is_fresh


class Host:
    """One incarnation of a host, its clock ``clock_offset`` seconds ahead."""

    def __init__(self, certainty: ConfigFreshness, clock_offset: float) -> None:
        self.certainty = certainty
        self.clock_offset = clock_offset
        self.pending = 0


class Call:
    """A request in flight, to the store or to a peer, and its answer."""

    def __init__(self, host: Host, peer: Host | None, asked_at: float) -> None:
        self.host = host
        self.peer = peer
        self.asked_at = asked_at
        self.answered = False
        self.revision = 0
        self.proof: Proof | None = None


class KeysMachine(RuleBasedStateMachine):
    """Write, ask, answer, load and restart in any order, with any pause in between.

    A pause within a call stands for a paused host or a slow link.
    """

    create_certainty = ConfigFreshness

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0
        self.written = [(1, self.now)]
        self.hosts = {name: self.start(number) for number, name in enumerate(HOSTS)}
        self.calls: list[Call] = []

    def start(self, number: int) -> Host:
        return Host(type(self).create_certainty(), number * 50.0)

    def clock(self, host: Host) -> float:
        return self.now + host.clock_offset

    @rule(seconds=st.sampled_from([0.1, 1.0, 2.5, 6.0]))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @rule()
    def write_one(self) -> None:
        self.write()

    def write(self) -> None:
        self.written.append((self.written[-1][0] + 1, self.now))

    @rule(name=hosts)
    def ask_store(self, name: str) -> None:
        host = self.hosts[name]
        self.calls.append(Call(host, None, self.clock(host)))

    @rule(name=hosts, peer=hosts)
    def ask_peer(self, name: str, peer: str) -> None:
        host = self.hosts[name]
        self.calls.append(Call(host, self.hosts[peer], self.clock(host)))

    @rule(data=st.data())
    def answer_one(self, data: st.DataObject) -> None:
        pending = [call for call in self.calls if not call.answered]
        if pending:
            self.answer(data.draw(st.sampled_from(pending)))

    @rule(data=st.data())
    def receive_one(self, data: st.DataObject) -> None:
        answered = [call for call in self.calls if call.answered]
        if answered:
            self.receive(data.draw(st.sampled_from(answered)))

    @rule(
        name=hosts,
        peer=st.none() | hosts,
        request_pause=pauses,
        answer_pause=pauses,
        writes=writes,
    )
    def ask_and_load(
        self,
        name: str,
        peer: str | None,
        request_pause: float,
        answer_pause: float,
        writes: bool,
    ) -> None:
        host = self.hosts[name]
        call = Call(host, self.hosts[peer] if peer else None, self.clock(host))
        self.calls.append(call)
        self.now += request_pause
        self.answer(call)
        if writes:
            self.write()
        self.now += answer_pause
        self.receive(call)
        self.load(name)

    def answer(self, call: Call) -> None:
        call.answered = True
        if call.peer is None:
            call.revision = self.written[-1][0]
            return
        peer_certainty = call.peer.certainty
        call.revision = max(peer_certainty.newest, peer_certainty.active_revision)
        call.proof = peer_certainty.proof(self.clock(call.peer))

    def receive(self, call: Call) -> None:
        self.calls.remove(call)
        certainty = call.host.certainty
        if call.revision > certainty.active_revision:
            call.host.pending = max(call.host.pending, call.revision)
            certainty.note(call.revision, -math.inf)
        if call.peer is None:
            certainty.note_complete(call.asked_at)
        elif call.proof is not None:
            certainty.take(call.proof, call.asked_at)

    @rule(name=hosts)
    def load_one(self, name: str) -> None:
        self.load(name)

    def load(self, name: str) -> None:
        host = self.hosts[name]
        if host.pending:
            host.certainty.note_in_force(host.pending)

    @rule(number=st.integers(0, len(HOSTS) - 1))
    def restart(self, number: int) -> None:
        self.hosts[HOSTS[number]] = self.start(number)

    @invariant()
    def no_revoked_key_is_accepted(self) -> None:
        minimum_revision = max(
            row for row, at in self.written if at <= self.now - BOUND or row == 1
        )
        for host in self.hosts.values():
            if host.certainty.is_fresh(self.clock(host), BOUND):
                assert host.certainty.active_revision >= minimum_revision


class UsesArrivalTime(ConfigFreshness):
    """Take a proof as valid at its arrival, not at the time of the request."""

    def take(self, proof: Proof, asked_at: float) -> None:
        self.note(proof.revision, asked_at + BOUND)


class OmitsAge(ConfigFreshness):
    """Send a proof without its age."""

    def proof(self, now: float) -> Proof | None:
        proof = super().proof(now)
        return proof and proof._replace(age=0.0)


class IgnoresActivation(ConfigFreshness):
    """Apply the verification of a revision that is not loaded yet."""

    def _apply_newest(self) -> None:
        self.verified_at = max(self.verified_at, self.newest_verified_at)


SETTINGS = settings(
    max_examples=100,
    stateful_step_count=25,
    phases=[Phase.generate],
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)


def test_no_host_accepts_a_revoked_key_after_the_bound():
    run_state_machine_as_test(KeysMachine, settings=SETTINGS)


@pytest.mark.parametrize(
    "mutant",
    [UsesArrivalTime, OmitsAge, IgnoresActivation],
    ids=lambda row: row.__name__,
)
def test_the_state_machine_detects_a_broken_rule(mutant):
    class Mutated(KeysMachine):
        create_certainty = mutant

    with pytest.raises(AssertionError):
        run_state_machine_as_test(Mutated, settings=SETTINGS)
