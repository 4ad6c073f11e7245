"""What a server says of itself, against what its entries said before."""

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from greengagepoint.placing import server_claims
from greengagepoint.placing.server_claims import (
    DISPUTE_SECONDS,
    Claim,
    ClaimField,
    ServerClaims,
    contradicted_field,
)

KEY = "servers/i-1"
NOW = 50.0
OWN = Claim(100, "10.0.0.1:80", "booking", "zone-a")
CLAIMS = (
    OWN,
    OWN._replace(service="vault"),
    OWN._replace(zone="zone-b"),
    OWN._replace(born=0, service="vault"),
)


@pytest.mark.parametrize(
    ("former", "claim", "field"),
    [
        (OWN, OWN, None),
        (OWN, OWN._replace(service="vault"), ClaimField.SERVICE),
        (OWN, OWN._replace(zone="zone-b"), ClaimField.ZONE),
        (OWN, OWN._replace(address="10.0.0.2:80"), ClaimField.ADDRESS),
        (OWN, OWN._replace(born=0), ClaimField.BORN),
        (OWN, OWN._replace(born=101, service="vault"), None),
        (OWN._replace(born=0), OWN._replace(service="vault"), None),
        (
            OWN._replace(born=0),
            OWN._replace(born=0, service="vault"),
            ClaimField.SERVICE,
        ),
        (
            OWN._replace(born=0),
            OWN._replace(born=0, service="vault", address="10.0.0.2:80"),
            None,
        ),
    ],
)
def test_a_field_that_one_run_can_not_change(former, claim, field):
    assert contradicted_field(former, claim) is field


class Claims(RuleBasedStateMachine):
    """A server that writes its entry, and another writer that puts others over it."""

    create = ServerClaims

    def __init__(self):
        super().__init__()
        self.claims = self.create()
        self.now = NOW
        self.newest = None
        self.newest_since = NOW
        self.used = None
        self.trusted = None

    def put(self, claim):
        if claim != self.newest:
            self.newest, self.newest_since = claim, self.now
        self.look()

    def look(self):
        if self.newest is not None:
            decision = self.claims.decide(KEY, self.newest, self.now)
            self.used = self.newest if decision.accepted else None

    @rule(claim=st.sampled_from(CLAIMS))
    def write(self, claim):
        self.put(claim)

    @rule()
    def write_unreadable(self):
        self.newest = self.used = None
        self.claims.withdraw(KEY)

    @rule()
    def remove(self):
        self.newest = self.used = self.trusted = None
        self.claims.forget(KEY)

    @rule(seconds=st.sampled_from([0.5, 5.0, DISPUTE_SECONDS]))
    def wait(self, seconds):
        self.now += seconds
        if KEY in self.claims.expired(self.now):
            self.look()

    @invariant()
    def a_run_changes_only_if_nothing_confirms_what_it_was(self):
        if self.used is None:
            return
        is_later_run = self.trusted is None or self.used.born > self.trusted.born
        if self.used != self.trusted and not is_later_run:
            assert self.now - self.newest_since >= DISPUTE_SECONDS
        self.trusted = self.used

    @invariant()
    def no_claim_is_set_aside_for_ever(self):
        if self.newest is not None and self.used is None:
            assert self.now - self.newest_since < DISPUTE_SECONDS

    @invariant()
    def the_first_claim_of_a_key_holds(self):
        if self.newest is not None and self.trusted is None:
            assert self.used == self.newest

    @invariant()
    def a_key_without_a_claim_has_no_dispute(self):
        if self.newest is None:
            assert self.claims.expired(self.now) == []


SETTINGS = settings(
    max_examples=400,
    stateful_step_count=30,
    deadline=None,
    phases=(Phase.generate,),
    suppress_health_check=list(HealthCheck),
)


def test_the_claims_of_a_key_over_any_writes():
    run_state_machine_as_test(Claims, settings=SETTINGS)


def accept_all(former, claim):
    return None


def ignore_missing_start_times(former, claim):
    return None if former.born != claim.born else contradicted_field(former, claim)


class Stubborn(ServerClaims):
    """Hold the first claim forever."""

    def expired(self, now):
        return []


class Timeless(ServerClaims):
    """Keep a dispute whose claim is gone."""

    def withdraw(self, key):
        pass


class Remembering(ServerClaims):
    """Keep the claim of a server that the store removed."""

    def forget(self, key):
        self.disputes.pop(key, None)


@pytest.mark.parametrize("mutant", [Stubborn, Timeless, Remembering])
def test_mutants_of_the_claims_are_found(mutant):
    class Mutated(Claims):
        create = mutant

    with pytest.raises(AssertionError):
        run_state_machine_as_test(Mutated, settings=SETTINGS)


@pytest.mark.parametrize(
    ("name", "mutant"),
    [
        ("contradicted_field", accept_all),
        ("contradicted_field", ignore_missing_start_times),
        ("DISPUTE_SECONDS", 1.0),
        ("DISPUTE_SECONDS", 20.0),
    ],
)
def test_mutants_of_the_rule_are_found(monkeypatch, name, mutant):
    monkeypatch.setattr(server_claims, name, mutant)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(Claims, settings=SETTINGS)
