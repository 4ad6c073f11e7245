"""Test what experiments count."""

import pytest

from greengagepoint_standins.demo.load import OK, Sent
from greengagepoint_standins.demo.places import Server
from greengagepoint_standins.demo.promises import Run
from greengagepoint_standins.experiments.outcomes import (
    Counts,
    check_answered,
    check_none_answered,
    count,
    peak_after,
)

SERVER = Server("one", "booking", "site", "region", 10)


def sent(outcome: str, ran: str) -> Sent:
    """Return a request that ended in some way."""
    return Sent("id", "ask", "", 0.0, outcome=outcome, ran=ran)


def run(started: float, ended: float) -> Run:
    """Return a run of some span."""
    return Run(SERVER, "id", "", started, ended, "finished")


ANSWERED = sent(OK, "ran")
REFUSED = sent("store_unavailable", "not_run")
BROKEN = sent("broken connection", "")
UNKNOWN = sent("outcome_unknown", "unknown")


def test_ends_are_counted_as_callers_saw_them() -> None:
    """Count what is not known to have run among the broken ones."""
    assert count([ANSWERED, REFUSED, BROKEN, UNKNOWN]) == Counts(1, 1, 2)


@pytest.mark.parametrize(
    ("ends", "broken"),
    [([ANSWERED] * 9 + [REFUSED], 0), ([ANSWERED] * 8 + [REFUSED] * 2, 1), ([], 1)],
)
def test_too_few_answers_break_the_expectation(ends: list[Sent], broken: int) -> None:
    """Take no requests at all for a missed expectation too."""
    assert check_answered("answered", ends, 0.9).broken == broken


@pytest.mark.parametrize(
    ("ends", "broken"),
    [([REFUSED], 0), ([ANSWERED], 1), ([BROKEN], 1), ([UNKNOWN, REFUSED], 1)],
)
def test_only_not_run_is_a_refusal(ends: list[Sent], broken: int) -> None:
    """Count answers and unknown ends."""
    assert check_none_answered("refused", ends).broken == broken


@pytest.mark.parametrize(
    ("runs", "expected"),
    [
        ([run(0, 2), run(0, 4), run(5, 6)], (4, 1)),
        ([run(0, 4), run(2, 6), run(3, 6)], (4, 2)),
        ([run(2, 4), run(2, 4)], (1.0, 2)),
    ],
)
def test_a_peak_counts_once_older_runs_are_over(
    runs: list[Run], expected: tuple[float, int]
) -> None:
    """Leave out what was in flight when the limit came into force at 1."""
    assert peak_after(runs, 1.0) == expected
