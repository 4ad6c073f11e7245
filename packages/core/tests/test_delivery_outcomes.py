"""What a try's end on the wire means for the request."""

import pytest

from greengagepoint.delivery.outcomes import (
    CONSEQUENCES,
    WireOutcome,
    classify_answer,
    combine,
    may_retry,
)
from greengagepoint.errors import ANSWERS, Ran

# Each row: whether it ran, may be repeated if repeatable, may be repeated if not.
EXPECTED = {
    "connect_refused": ("not_run", True, True),
    "connect_timeout": ("not_run", True, True),
    "reset_before_sending": ("not_run", True, True),
    "reset_after_sending": ("unknown", True, False),
    "reused_connection_closed": ("unknown", True, False),
    "headers_timeout": ("unknown", True, False),
    "shed": ("not_run", True, True),
    "garbage": ("unknown", True, False),
    "body_truncated": ("unknown", False, False),
    "body_timeout": ("unknown", False, False),
    "deadline_before_sending": ("not_run", False, False),
    "cancelled_before_sending": ("not_run", False, False),
    "cancelled_after_sending": ("unknown", False, False),
    "answered_success": ("ran", False, False),
    "answered_redirect": ("ran", False, False),
    "answered_client_error": ("ran", False, False),
    "answered_server_error": ("unknown", False, False),
    "answered_unavailable": ("unknown", True, False),
}


@pytest.mark.parametrize("outcome", WireOutcome)
def test_every_outcome_has_its_row(outcome):
    row = CONSEQUENCES[outcome]
    found = (row.ran.value, row.retry_if_repeatable, row.retry_if_not_repeatable)
    assert found == EXPECTED[outcome]
    assert may_retry(outcome, repeatable=False) is found[2]
    # What must not repeat is only ever sent again after a try that did not run.
    assert not row.retry_if_not_repeatable or row.ran is Ran.NOT_RUN
    # A caller told "not run" by default is never told so of what may have run.
    if row.kind is not None and row.ran is not Ran.NOT_RUN:
        assert ANSWERS[row.kind].ran is not Ran.NOT_RUN


@pytest.mark.parametrize(
    ("status", "word", "outcome"),
    [
        (101, None, "garbage"),
        (200, None, "answered_success"),
        (206, "not_run", "answered_success"),
        (304, None, "answered_redirect"),
        (409, "not_run", "answered_client_error"),
        (500, "not_run", "answered_server_error"),
        (503, "not_run", "shed"),
        (503, None, "answered_unavailable"),
        (503, "unknown", "answered_unavailable"),
        (504, "not_run", "answered_unavailable"),
        (600, None, "garbage"),
    ],
)
def test_only_the_backend_servers_word_makes_it_not_run(status, word, outcome):
    assert classify_answer(status, word) == outcome


@pytest.mark.parametrize("tries", [2, 3])
def test_one_doubtful_try_makes_the_request_doubtful(tries):
    words = [Ran.NOT_RUN] * (tries - 1)
    assert combine(Ran.NOT_RUN, words[0]) is Ran.NOT_RUN
    assert combine(Ran.UNKNOWN, words[0]) is Ran.UNKNOWN
    assert combine(words[0], Ran.RAN) is Ran.RAN
