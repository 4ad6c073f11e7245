"""The daemon's ticks and its graceful stop, in virtual time."""

import asyncio

import pytest

from greengagepoint.draining.flights import FlightTable
from greengagepoint.events import Event
from greengagepoint_node.graceful_stop import GracefulStop
from greengagepoint_node.ticker import TICK_LATE_SECONDS, Ticker
from greengagepoint_standins.timed_network import EventList
from greengagepoint_standins.virtual_time import VirtualClock, run

TICK_SECONDS = 0.25


class Counted:
    """Count the ticks that metrics are told of."""

    def __init__(self):
        self.ticks = 0

    def add_tick(self, seconds):
        self.ticks += 1


def test_a_failing_part_does_not_stop_the_others():
    """One part of a host raises at each tick. The parts after it still run, the next
    ticks come, and each failure is an event with the part's name.
    """
    seen = []

    def fail(now):
        raise ValueError("broken")

    async def scenario():
        events, metrics = EventList(), Counted()
        parts = [fail, seen.append]
        ticker = Ticker(parts, TICK_SECONDS, VirtualClock(), events, metrics)
        ticker.start()
        await asyncio.sleep(4.5 * TICK_SECONDS)
        ticker.stop()
        await asyncio.sleep(TICK_SECONDS)
        return events, metrics.ticks

    events, ticks = run(scenario())
    assert seen == [TICK_SECONDS * number for number in (1, 2, 3, 4)]
    assert (events, ticks) == ([Event.INTERNAL_ERROR] * 4, 4)


@pytest.mark.parametrize(
    ("paused_seconds", "expected"),
    [(TICK_LATE_SECONDS - 0.1, []), (TICK_LATE_SECONDS + 0.1, [Event.TICK_LATE])],
)
def test_a_pause_of_the_process_is_reported_once(paused_seconds, expected):
    """The process stands still between two ticks, as under a stopped container. The
    first tick after a long pause tells it; a short one is not worth a line.
    """

    async def scenario():
        loop = asyncio.get_running_loop()

        def pause(now):
            if now == TICK_SECONDS:
                loop.jumping.now += paused_seconds

        events = EventList()
        ticker = Ticker([pause], TICK_SECONDS, VirtualClock(), events, Counted())
        ticker.start()
        await asyncio.sleep(10)
        return events

    assert run(scenario()) == expected


@pytest.mark.parametrize(
    ("served_at", "ended_at"),
    [(0.0, 10.0), (20.0, 20.0), (float("inf"), 40.0)],
    ids=["cached answers", "a request in flight", "a request that never ends"],
)
def test_a_stop_waits_for_callers_and_not_for_ever(served_at, ended_at):
    """A host leaves while callers hold answers that name it, good for 5 s and 5 s more.

    It serves until these have run out and until nothing is in flight; a request that
    never ends holds it for the grace of 30 s and no longer.
    """

    async def scenario():
        clock = VirtualClock()
        stop = GracefulStop(
            clock, FlightTable(), lambda: int(clock.monotonic() < served_at)
        )
        await stop.async_wait(longest_ttl_seconds=5.0, grace_seconds=30.0)
        return clock.monotonic()

    assert run(scenario()) == pytest.approx(ended_at, abs=0.1)
