"""Count what callers saw and what ran in a span of time."""

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from greengagepoint_standins.demo.load import OK, Sent
from greengagepoint_standins.demo.promises import Check, Run, peak_overlap


class Counts(NamedTuple):
    """How requests ended, as their callers saw it.

    ``refused`` were told "not run" last; ``broken`` are all others without an
    answer, whose callers can't know whether they ran.
    """

    answered: int
    refused: int
    broken: int


def count(sent: Iterable[Sent]) -> Counts:
    """Count ends of requests."""
    ends: Counter[str] = Counter()
    for one in sent:
        if one.outcome == OK:
            ends["answered"] += 1
        elif one.ran == "not_run":
            ends["refused"] += 1
        else:
            ends["broken"] += 1
    return Counts(ends["answered"], ends["refused"], ends["broken"])


def started_within(sent: Iterable[Sent], since: float, until: float) -> list[Sent]:
    """Return requests that started in a span."""
    return [one for one in sent if since <= one.started < until]


def check_answered(what: str, sent: list[Sent], least: float) -> Check:
    """Check that a share of requests was answered."""
    answered = sum(one.outcome == OK for one in sent)
    share = answered / len(sent) if sent else 0.0
    detail = f"{share:.1%} answered, at least {least:.0%} expected"
    return Check(what, len(sent), int(share < least), detail)


def check_none_answered(what: str, sent: list[Sent]) -> Check:
    """Check that requests were all refused as "not run"."""
    broken = sum(one.outcome == OK or one.ran != "not_run" for one in sent)
    return Check(what, len(sent), broken, "")


def peak_after(runs: Iterable[Run], settled: float) -> tuple[float, int]:
    """Return when the last run from before a moment ended, and the peak from then.

    A lowered cap is not exceeded anew from ``settled`` on, but what was in flight
    then may still run; the peak counts once none of that is left.
    """
    known = list(runs)
    older = [run.ended for run in known if run.started <= settled < run.ended]
    since = max(older, default=settled)
    clipped = [
        run._replace(started=max(run.started, since))
        for run in known
        if run.ended > since
    ]
    return since, peak_overlap(clipped)
