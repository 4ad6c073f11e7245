"""Units of caps while requests end in unusual ways, through real sockets."""

import asyncio

import pytest
from deployment import Deployment, async_deployment

from greengagepoint.caps.const import RUN_END_SECONDS
from greengagepoint_standins.runs import Run

LIMIT = 2
REQUESTS = 300
DEADLINE_SECONDS = {"deadline": 0.1, "caller": 2.0}


def peak_of(runs: list[Run], deadline: float) -> int:
    """Return the most runs at the same time.

    Caps rest on servers that end a run soon after its deadline. A run that goes on for
    longer, in a server that got no processor time, counts for that time only.
    """
    longest = deadline + RUN_END_SECONDS
    moments = [
        moment
        for run in runs
        for moment in (
            (run.started, 1),
            (min(run.ended or float("inf"), run.started + longest), -1),
        )
    ]
    peak = level = 0
    for _moment, change in sorted(moments):
        level += change
        peak = max(peak, level)
    return peak


async def async_ask(deployment: Deployment, number: int, ended_by: str) -> None:
    """Send one request that the server may hang on."""
    daemon = deployment.daemons["attiki-host-0"]
    deadline_ms = f"{DEADLINE_SECONDS[ended_by] * 1000:.0f}"
    asked = deployment.async_request(
        daemon,
        f"/s/booking/bays?{number}",
        headers={"Greengagepoint-Deadline-Ms": deadline_ms},
    )
    try:
        async with asyncio.timeout(0.06 if ended_by == "caller" else None):
            await asked
    except TimeoutError:
        pass


@pytest.mark.parametrize("ended_by", ["deadline", "caller"])
async def test_a_unit_is_free_only_when_its_run_has_ended(ended_by: str) -> None:
    """A site may run two requests at once, and a server hangs on each of them.

    The host gives them up at their deadline, or because the caller went away. The
    server hears of it a moment later, and until then they still run there. Other
    callers come all the time: they may be refused, but the site never runs three.
    """
    async with async_deployment(limit=LIMIT, servers_a_site=1) as deployment:
        for backend in deployment.backends.values():
            backend.control.next_hang = REQUESTS
            backend.control.cancel_lag_ms = 40.0
        asking = []
        for number in range(REQUESTS):
            asking.append(
                asyncio.ensure_future(async_ask(deployment, number, ended_by))
            )
            await asyncio.sleep(0.003)
        await asyncio.gather(*asking)
        for backend in deployment.backends.values():
            runs = list(backend.log.runs)
            assert 1 <= peak_of(runs, DEADLINE_SECONDS[ended_by]) <= LIMIT


@pytest.mark.parametrize(
    ("second_starts", "first_ends", "peak"),
    [(0.05, 0.2, 2), (0.34, 0.35, 2), (0.34, 0.3, 1), (0.36, 0.9, 1)],
    ids=["together", "late", "one after the other", "beyond what caps rest on"],
)
def test_runs_count_until_caps_take_them_for_ended(second_starts, first_ends, peak):
    runs = [
        Run("1", "", "GET", "/bays", started=0.0, ended=first_ends),
        Run("2", "", "GET", "/bays", started=second_starts, ended=1.0),
    ]
    assert peak_of(runs, 0.1) == peak
