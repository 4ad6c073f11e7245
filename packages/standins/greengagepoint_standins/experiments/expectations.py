"""Expectations that several experiments share."""

import time

from greengagepoint_standins.demo.load import Sent
from greengagepoint_standins.demo.promises import Check
from greengagepoint_standins.experiments.outcomes import (
    check_answered,
    check_none_answered,
    peak_after,
    started_within,
)
from greengagepoint_standins.experiments.world import Finished, World

RECOVERED_SHARE = 0.97


def expect_recovered(world: World) -> None:
    """Expect that what is sent from now on is answered."""
    expect_answered(world, "answered after recovery", time.monotonic(), float("inf"))


def expect_answered(
    world: World,
    what: str,
    since: float,
    until: float,
    *,
    keyed: bool | None = None,
    least: float = RECOVERED_SHARE,
) -> None:
    """Expect that a share of what was sent in a span is answered."""

    def check(finished: Finished) -> Check:
        sent = _sent(finished, since, until, keyed)
        return check_answered(what, sent, least)

    world.expect(check)


def expect_refused(world: World, what: str, since: float, until: float) -> None:
    """Expect that all keyed requests of a span are refused as "not run"."""

    def check(finished: Finished) -> Check:
        return check_none_answered(what, _sent(finished, since, until, True))

    world.expect(check)


def expect_limit(world: World, site: str, limit: int, settled: float) -> None:
    """Expect that a site's peak stays under a limit set at a moment."""

    def check(finished: Finished) -> Check:
        runs = [run for run in finished.runs if run.server.site == site]
        since, peak = peak_after(runs, settled)
        detail = f"{site} {peak}/{limit}, {since - settled:.2f} s after in force"
        return Check("lowered cap is kept", len(runs), int(peak > limit), detail)

    world.expect(check)


def expect_true(world: World, what: str, held: bool, detail: str = "") -> None:
    """Note something that was seen during the run."""
    seen = Check(what, 1, int(not held), detail)
    world.expect(lambda finished: seen)


def _sent(
    finished: Finished, since: float, until: float, keyed: bool | None
) -> list[Sent]:
    """Return requests of a span, with a key, without, or both."""
    return [
        one
        for one in started_within(finished.sent, since, until)
        if keyed is None or bool(one.key) is keyed
    ]
