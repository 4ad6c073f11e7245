"""Wait until a leaving host has served all callers."""

import asyncio
from collections.abc import Callable
from typing import Final

from greengagepoint.draining import flights, stop
from greengagepoint.draining.flights import FlightTable
from greengagepoint.draining.stop import StopState, StopStatus, StopTable
from greengagepoint.protocols import Clock

STOP_POLL_SECONDS: Final = 0.05


class GracefulStop:
    """Wait for cached look-up answers and requests in flight to run out.

    ``status`` tells what is waited for, None before the stop.
    """

    def __init__(
        self, clock: Clock, flight_table: FlightTable, in_flight: Callable[[], int]
    ) -> None:
        self.clock = clock
        self.flight_table = flight_table
        self.in_flight = in_flight
        self.table = StopTable()
        self.status: StopStatus | None = None

    async def async_wait(
        self, longest_ttl_seconds: float, grace_seconds: float
    ) -> None:
        """Return once nothing is left, or the grace is over.

        The grace is for requests that never end. It must be no shorter than the
        longest deadline, or a planned stop would cut off a request that still has
        time.
        """
        now = self.clock.monotonic()
        stop.leave(self.table, longest_ttl_seconds, grace_seconds, now)
        while (now := self.clock.monotonic()) < self.table.ends_at:
            left = flights.progress(self.flight_table, lambda flight: True, now)
            self.status = stop.run(
                self.table,
                self.in_flight(),
                left.remaining_seconds or 0.0,
                now,
                handed_over=False,
            )
            if self.status.state is StopState.DRAINED:
                return
            await asyncio.sleep(STOP_POLL_SECONDS)
