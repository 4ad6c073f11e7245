"""Decide what the head of a backend server's answer proves about a request.

A faulty server may write a second answer, which is read where the answer to the next
request of the connection is expected. Only the echoed request id tells them apart.
"""

from collections.abc import Sequence
from enum import StrEnum
from typing import Final, NamedTuple

MISDIRECTED_STATUS: Final = 421
SUCCESS_STATUSES: Final = range(200, 300)
ERROR_STATUS_MIN: Final = 400
# Callers take these for a guarantee that the request has not run and never will.
PROMISE_STATUSES: Final = frozenset({408, 421, 429, 503})


class Echo(StrEnum):
    """How the request id in an answer compares with that of the request."""

    EQUAL = "equal"
    OTHER = "other"
    NONE = "none"


class Proof(StrEnum):
    """What an answer proves; after a foreign one the request may have run."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    MISDIRECTED = "misdirected"
    FOREIGN = "foreign"


class AnswerHead(NamedTuple):
    """What decides about an answer.

    ``on_kept_connection`` is logged only: a new connection has no earlier answers.
    """

    status: int
    echo: Echo
    is_not_executed: bool
    is_signed: bool
    on_kept_connection: bool = False

    @property
    def says_not_run(self) -> bool:
        """Return True if it says that its request has not run."""
        return self.is_not_executed or self.status == MISDIRECTED_STATUS


class Finding(NamedTuple):
    """What an answer proves, and why."""

    proof: Proof
    reason: str


ANSWERED: Final = Finding(Proof.ANSWERED, "the answer names the request")
NOT_RUN: Final = Finding(Proof.NOT_RUN, "the server has not run the request")
MISDIRECTED: Final = Finding(Proof.MISDIRECTED, "another server has the address")
NAMES_ANOTHER: Final = Finding(Proof.FOREIGN, "the answer names another request")
NAMES_NONE: Final = Finding(Proof.FOREIGN, "the answer names no request")
UNSIGNED: Final = Finding(Proof.FOREIGN, "the answer has no signature")
CONTRADICTORY: Final = Finding(Proof.FOREIGN, "no failure, but not executed")


def compare_ids(echoed: Sequence[str], request_id: str) -> Echo:
    """Return how the request ids in an answer compare with that of the request."""
    if not echoed:
        return Echo.NONE
    is_equal = echoed[0] == request_id and (
        len(echoed) == 1 or all(value == request_id for value in echoed)
    )
    return Echo.EQUAL if is_equal else Echo.OTHER


def assess_answer(head: AnswerHead) -> Finding:
    """Return what the head of an answer proves about the request before it."""
    if head.echo is not Echo.EQUAL:
        return NAMES_NONE if head.echo is Echo.NONE else NAMES_ANOTHER
    if head.status == MISDIRECTED_STATUS:
        return MISDIRECTED
    if head.is_not_executed:
        return NOT_RUN if head.status >= ERROR_STATUS_MIN else CONTRADICTORY
    if head.status in SUCCESS_STATUSES and not head.is_signed:
        return UNSIGNED
    return ANSWERED


def is_unproved_promise(status: int, *, repeatable: bool) -> bool:
    """Return True if callers would take a server's status for a false promise.

    The server has not said that the request has not run. A caller that sends it again
    makes it run twice, which matters unless it is repeatable.
    """
    return status in PROMISE_STATUSES and not repeatable
