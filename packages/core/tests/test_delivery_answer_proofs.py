"""Answers with and without ids, late, doubled and foreign, and what they prove."""

from typing import NamedTuple

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
    run_state_machine_as_test,
)

from greengagepoint.delivery.answer_proofs import (
    ANSWERED,
    CONTRADICTORY,
    MISDIRECTED,
    NAMES_ANOTHER,
    NAMES_NONE,
    NOT_RUN,
    UNSIGNED,
    AnswerHead,
    Echo,
    Proof,
    assess_answer,
    compare_ids,
    is_unproved_promise,
)


@pytest.mark.parametrize(
    ("echoed", "echo"),
    [
        ((), Echo.NONE),
        (("a",), Echo.EQUAL),
        (("a", "a"), Echo.EQUAL),
        (("a", "b"), Echo.OTHER),
        (("b", "a"), Echo.OTHER),
        (("b",), Echo.OTHER),
        (("",), Echo.OTHER),
        (("A",), Echo.OTHER),
    ],
)
def test_ids_are_compared_whole(echoed, echo):
    assert compare_ids(echoed, "a") is echo


@pytest.mark.parametrize("not_executed", [False, True])
@pytest.mark.parametrize("signed", [False, True])
@pytest.mark.parametrize("status", [200, 302, 400, 404, 421, 429, 500, 503])
def test_an_answer_without_the_id_proves_nothing(status, signed, not_executed):
    for echo, finding in ((Echo.NONE, NAMES_NONE), (Echo.OTHER, NAMES_ANOTHER)):
        head = AnswerHead(status, echo, not_executed, signed)
        assert assess_answer(head) is finding
        assert head.says_not_run == (not_executed or status == 421)


@pytest.mark.parametrize(
    ("status", "not_executed", "signed", "finding"),
    [
        (200, False, True, ANSWERED),
        (200, False, False, UNSIGNED),
        (200, True, True, CONTRADICTORY),
        (302, False, False, ANSWERED),
        (400, False, False, ANSWERED),
        (400, True, False, NOT_RUN),
        (421, False, False, MISDIRECTED),
        (421, True, False, MISDIRECTED),
        (429, False, False, ANSWERED),
        (429, True, False, NOT_RUN),
        (500, False, True, ANSWERED),
        (503, False, True, ANSWERED),
        (503, True, True, NOT_RUN),
    ],
)
def test_an_answer_with_the_id(status, not_executed, signed, finding):
    head = AnswerHead(status, Echo.EQUAL, not_executed, signed)
    assert assess_answer(head) is finding


@pytest.mark.parametrize("status", [200, 400, 404, 408, 421, 429, 500, 502, 503, 504])
@pytest.mark.parametrize("repeatable", [False, True])
def test_only_a_promise_for_a_request_that_may_not_be_repeated_matters(
    status, repeatable
):
    is_promise = status in (408, 421, 429, 503)
    expected = is_promise and not repeatable
    assert is_unproved_promise(status, repeatable=repeatable) == expected


class Answer(NamedTuple):
    """An answer on the wire, and the number of the request that it belongs to."""

    status: int
    ids: tuple[str, ...]
    not_executed: bool
    signed: bool
    number: int | None


# What a server does with a request: status, not executed, signed, whether it has run.
OWN = st.sampled_from(
    [
        (200, False, True, True),
        (404, False, False, True),
        (500, False, True, True),
        (503, False, True, True),
        (503, False, False, True),
        (429, False, False, True),
        (503, True, False, False),
        (429, True, False, False),
        (400, True, False, False),
        (421, False, False, False),
        (421, True, False, False),
    ]
)
STATUSES = st.sampled_from([200, 302, 400, 408, 421, 429, 500, 503])
IDS = st.sampled_from(["none", "empty", "former", "last", "unknown", "two"])


class AnswerProofMachine(RuleBasedStateMachine):
    """Send requests over one connection to a server that writes further answers."""

    assess = staticmethod(assess_answer)
    compare = staticmethod(compare_ids)

    @initialize()
    def begin(self):
        self.count = 0
        self.wire = []
        self.kept = False

    @rule(own=OWN)
    def send(self, own):
        """Send a request, and read the first answer that is on the connection."""
        status, not_executed, signed, ran = own
        self.count += 1
        name = f"id-{self.count}"
        self.wire.append(Answer(status, (name,), not_executed, signed, self.count))
        answer = self.wire.pop(0)
        head = AnswerHead(
            answer.status,
            self.compare(answer.ids, name),
            answer.not_executed,
            answer.signed,
            self.kept,
        )
        proof = self.assess(head).proof
        self.check(answer, proof, ran)
        if proof is Proof.FOREIGN:
            self.connect()
        else:
            self.kept = True

    @rule(status=STATUSES, ids=IDS, not_executed=st.booleans(), signed=st.booleans())
    def write_late(self, status, ids, not_executed, signed):
        """Write an answer that arrives after the next request was sent."""
        names = {
            "none": (),
            "empty": ("",),
            "former": (f"id-{max(0, self.count - 1)}",),
            "last": (f"id-{self.count}",),
            "unknown": ("another",),
            "two": (f"id-{self.count + 1}", f"id-{self.count}"),
        }[ids]
        self.wire.append(Answer(status, names, not_executed, signed, None))

    @rule()
    def connect(self):
        """Begin a new connection, on which nothing of the former one arrives."""
        self.wire.clear()
        self.kept = False

    def check(self, answer, proof, ran):
        if answer.number != self.count:
            assert proof is Proof.FOREIGN, "it belongs to another request"
        elif proof in (Proof.NOT_RUN, Proof.MISDIRECTED):
            assert not ran, "the request would run twice"
            assert (proof is Proof.MISDIRECTED) == (answer.status == 421)
        else:
            assert ran, "a rejection that names its request is sent again"
            assert proof is Proof.ANSWERED


class TrustsRejectionsWithoutId(AnswerProofMachine):
    """Take a rejection that names no request for the answer to the last one."""

    @staticmethod
    def assess(head):
        if head.echo is Echo.NONE and head.is_not_executed:
            return NOT_RUN
        return assess_answer(head)


class TrustsMisdirectedWithoutId(AnswerProofMachine):
    """Take any 421 for the answer to the last request."""

    @staticmethod
    def assess(head):
        is_misdirected = head.status == 421 and head.echo is Echo.NONE
        return MISDIRECTED if is_misdirected else assess_answer(head)


class TrustsSignatures(AnswerProofMachine):
    """Take a signature for a proof that an answer belongs to the last request."""

    @staticmethod
    def assess(head):
        if head.is_signed:
            return assess_answer(head._replace(echo=Echo.EQUAL))
        return assess_answer(head)


class TrustsKeptConnections(AnswerProofMachine):
    """Take the first answer on a connection that has worked for the right one."""

    @staticmethod
    def assess(head):
        if head.on_kept_connection:
            return assess_answer(head._replace(echo=Echo.EQUAL))
        return assess_answer(head)


class TrustsStatus(AnswerProofMachine):
    """Take 503 for a promise, whether or not the server has said so."""

    @staticmethod
    def assess(head):
        return assess_answer(head._replace(is_not_executed=head.status == 503))


class ComparesFirstIdOnly(AnswerProofMachine):
    """Look at the first of several ids."""

    @staticmethod
    def compare(echoed, request_id):
        return compare_ids(echoed[:1], request_id)


class TakesEmptyIdForOwn(AnswerProofMachine):
    """Take an empty id for that of the request."""

    @staticmethod
    def compare(echoed, request_id):
        return compare_ids([value or request_id for value in echoed], request_id)


class TrustsNothing(AnswerProofMachine):
    """Take no rejection for one, so that nothing is sent again."""

    @staticmethod
    def assess(head):
        finding = assess_answer(head)
        return NAMES_NONE if finding is NOT_RUN else finding


SETTINGS = settings(
    max_examples=300,
    stateful_step_count=30,
    deadline=None,
    suppress_health_check=list(HealthCheck),
    phases=[Phase.generate],
)
MUTANTS = [
    TrustsRejectionsWithoutId,
    TrustsMisdirectedWithoutId,
    TrustsSignatures,
    TrustsKeptConnections,
    TrustsStatus,
    ComparesFirstIdOnly,
    TakesEmptyIdForOwn,
    TrustsNothing,
]


def test_any_order_of_answers():
    run_state_machine_as_test(AnswerProofMachine, settings=SETTINGS)


@pytest.mark.parametrize("mutant", MUTANTS)
def test_mutants_are_found(mutant):
    with pytest.raises(AssertionError):
        run_state_machine_as_test(mutant, settings=SETTINGS)
