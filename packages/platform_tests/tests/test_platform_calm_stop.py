"""One real daemon is stopped in calm, while callers keep using their connections."""

import asyncio
import random
import signal
from pathlib import Path

import pytest

from greengagepoint_standins.users_platform import stop_checks
from greengagepoint_standins.users_platform.backend import request_id
from greengagepoint_standins.users_platform.daemons import HOST, SERVICE, async_fleet
from greengagepoint_standins.users_platform.kept_callers import (
    Ending,
    Habit,
    KeptCaller,
)

ROOT = Path(__file__).parents[3]
# Longer than any grace here, so that only a decision by the deadline avoids a cut.
TIMEOUT_SECONDS = 8.0
LATE_SECONDS = 0.5
DRAIN_SECONDS = 2.0
HABITS = (Habit.PLAIN, Habit.UPLOAD, Habit.PIPELINED, Habit.FRESH, Habit.SLOW_READER)
# Callers keep coming, as some hold an old look-up.
ARRIVAL_SECONDS = 0.05
KEYS = 24
CALLERS_BEFORE_STOP = 20


def configure(fleet):
    fleet.version += 3
    rules = [
        {
            "name": f"r{prefix}",
            "kind": kind,
            "targetLatencyS": 0.4,
            "match": {"pathPrefix": prefix},
            "action": {
                "service": SERVICE,
                "timeoutS": TIMEOUT_SECONDS,
                "maxAttempts": 2,
            },
        }
        for prefix, kind in (("/bays/", "safe"), ("/pay/", "unsafe"))
    ]
    document = {
        "version": f"r{fleet.version}",
        "listeners": [{"host": HOST, "rules": rules}],
        "clusters": [{"name": SERVICE, "coldStartS": 1.0, "coldPerS": 50.0}],
    }
    fleet.put("op/config", document)


async def async_stop_in_use(fleet, grace_seconds, run_seconds):
    """Stop the first host in use; return what callers and servers saw."""
    node = fleet.nodes[0]
    node.document["bounds"]["graceS"] = grace_seconds
    node.write_settings()
    node.process.send_signal(signal.SIGHUP)
    configure(fleet)
    await fleet.async_until(fleet.async_all_know)
    fleet.nodes = [node]
    callers = []
    stop = None
    async with asyncio.TaskGroup() as group:
        while stop is None or not stop.done():
            habit = HABITS[len(callers) % len(HABITS)]
            draw = random.Random(len(callers))
            callers.append(KeptCaller(fleet, habit, draw, KEYS))
            group.create_task(callers[-1].async_run())
            await asyncio.sleep(ARRIVAL_SECONDS)
            if stop is None and len(callers) == CALLERS_BEFORE_STOP:
                for backend in fleet.backends:
                    backend.seconds = run_seconds
                stop = group.create_task(node.async_terminate(grace_seconds))
        for caller in callers:
            caller.is_stopped = True
    return stop_checks.Evidence(
        [row for caller in callers for row in caller.sent],
        fleet.nodes,
        fleet.backends,
        [],
        grace_seconds,
        DRAIN_SECONDS,
        TIMEOUT_SECONDS + LATE_SECONDS,
        [],
    )


@pytest.mark.parametrize(
    ("grace_seconds", "run_seconds"), [(3.0, 0.02), (3.0, 1.8), (6.0, 0.3), (6.0, 2.6)]
)
async def test_a_calm_stop_cuts_off_no_request_that_came_late_in_its_grace(
    tmp_path, grace_seconds, run_seconds
):
    # Requests that were sent on late in the grace were cut off at the exit.
    async with async_fleet(ROOT, tmp_path) as fleet:
        nodes = fleet.nodes
        try:
            evidence = await async_stop_in_use(fleet, grace_seconds, run_seconds)
        finally:
            fleet.nodes = nodes
        stop_at = nodes[0].lives[0].stop_at
        late = [row for row in evidence.sent if row.sent_at > stop_at]
        ran = {request_id(row) for backend in evidence.backends for row in backend.ran}
        cut_off = [row for row in late if row.ending is not Ending.WHOLE]
        assert [row for row in cut_off if row.request_id in ran] == []
        assert stop_checks.lost_requests(evidence) == []
        assert stop_checks.overstays(evidence) == []
        assert [
            row for row in late if row.status == 503 and row.request_id in ran
        ] == []
        assert {row.status for row in late} >= {503}
