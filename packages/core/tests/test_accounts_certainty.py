"""Check that no host serves a key that was taken away too long ago."""

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

from greengagepoint.accounts.certainty import CLOCK_DRIFT_SECONDS, Certainty, Proof

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
def test_a_configuration_is_as_certain_as_what_was_asked_last(steps, age):
    certainty = Certainty()
    for name, *words in steps:
        getattr(certainty, name)(*words)
    assert certainty.age(10.0) == age


@pytest.mark.parametrize(
    ("age", "holds"),
    [
        (0.0, True),
        (BOUND - CLOCK_DRIFT_SECONDS - 0.001, True),
        (BOUND - CLOCK_DRIFT_SECONDS + 0.001, False),
        (BOUND, False),
    ],
)
def test_certainty_ends_before_the_bound(age, holds):
    certainty = Certainty()
    certainty.note_in_force(1)
    certainty.note_complete(100.0)
    assert certainty.holds(100.0 + age, BOUND) is holds


class Host:
    """One lifetime of a host; ``ahead`` is what its clock shows beside the others'."""

    def __init__(self, certainty: Certainty, ahead: float) -> None:
        self.certainty = certainty
        self.ahead = ahead
        self.waiting = 0


class Call:
    """A question on its way, to the store or to a peer, and its answer."""

    def __init__(self, host: Host, peer: Host | None, asked_at: float) -> None:
        self.host = host
        self.peer = peer
        self.asked_at = asked_at
        self.answered = False
        self.revision = 0
        self.proof: Proof | None = None


class KeysMachine(RuleBasedStateMachine):
    """Write, ask, answer, load and restart in any order, with any pause in between.

    A pause within a call is also a host that stands still or a link that is slow.
    """

    create_certainty = Certainty

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0
        self.written = [(1, self.now)]
        self.hosts = {name: self.start(number) for number, name in enumerate(HOSTS)}
        self.calls: list[Call] = []

    def start(self, number: int) -> Host:
        return Host(type(self).create_certainty(), number * 50.0)

    def clock(self, host: Host) -> float:
        return self.now + host.ahead

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
        waiting = [call for call in self.calls if not call.answered]
        if waiting:
            self.answer(data.draw(st.sampled_from(waiting)))

    @rule(data=st.data())
    def receive_one(self, data: st.DataObject) -> None:
        answered = [call for call in self.calls if call.answered]
        if answered:
            self.receive(data.draw(st.sampled_from(answered)))

    @rule(name=hosts, peer=st.none() | hosts, way=pauses, back=pauses, writes=writes)
    def ask_and_load(
        self, name: str, peer: str | None, way: float, back: float, writes: bool
    ) -> None:
        host = self.hosts[name]
        call = Call(host, self.hosts[peer] if peer else None, self.clock(host))
        self.calls.append(call)
        self.now += way
        self.answer(call)
        if writes:
            self.write()
        self.now += back
        self.receive(call)
        self.load(name)

    def answer(self, call: Call) -> None:
        call.answered = True
        if call.peer is None:
            call.revision = self.written[-1][0]
            return
        known = call.peer.certainty
        call.revision = max(known.newest, known.active_revision)
        call.proof = known.proof(self.clock(call.peer))

    def receive(self, call: Call) -> None:
        self.calls.remove(call)
        certainty = call.host.certainty
        if call.revision > certainty.active_revision:
            call.host.waiting = max(call.host.waiting, call.revision)
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
        if host.waiting:
            host.certainty.note_in_force(host.waiting)

    @rule(number=st.integers(0, len(HOSTS) - 1))
    def restart(self, number: int) -> None:
        self.hosts[HOSTS[number]] = self.start(number)

    @invariant()
    def no_key_lives_on(self) -> None:
        old = max(row for row, at in self.written if at <= self.now - BOUND or row == 1)
        for host in self.hosts.values():
            if host.certainty.holds(self.clock(host), BOUND):
                assert host.certainty.active_revision >= old


class BelievesReceipt(Certainty):
    """Take a proof as of its arrival."""

    def take(self, proof: Proof, asked_at: float) -> None:
        self.note(proof.revision, asked_at + BOUND)


class ForgetsAge(Certainty):
    """Pass a proof on as if it were new."""

    def proof(self, now: float) -> Proof | None:
        proof = super().proof(now)
        return proof and proof._replace(age=0.0)


class TakesKnownForLoaded(Certainty):
    """Count what is known of a version that is still to be read."""

    def _apply_newest(self) -> None:
        self.certain_at = max(self.certain_at, self.newest_verified_at)


SETTINGS = settings(
    max_examples=100,
    stateful_step_count=25,
    phases=[Phase.generate],
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)


def test_a_revoked_key_works_nowhere_after_the_bound():
    run_state_machine_as_test(KeysMachine, settings=SETTINGS)


@pytest.mark.parametrize(
    "mutant",
    [BelievesReceipt, ForgetsAge, TakesKnownForLoaded],
    ids=lambda row: row.__name__,
)
def test_the_machine_finds_a_broken_rule(mutant):
    class Mutated(KeysMachine):
        create_certainty = mutant

    with pytest.raises(AssertionError):
        run_state_machine_as_test(Mutated, settings=SETTINGS)
