"""Run the periodic systems again and again."""

import asyncio
from collections.abc import Callable, Sequence
from typing import Final, Protocol

from greengagepoint.events import Event
from greengagepoint.protocols import Clock
from greengagepoint_node.context import EventSink

TICK_LATE_SECONDS: Final = 1.0

Tick = Callable[[float], None]


class TickMetrics(Protocol):
    """Where the time of a tick is counted."""

    def add_tick(self, seconds: float) -> None:
        """Count one tick."""


class Ticker:
    """Call each tick with the monotonic time, in order, every ``tick_seconds``."""

    def __init__(
        self,
        ticks: Sequence[Tick],
        tick_seconds: float,
        clock: Clock,
        events: EventSink,
        metrics: TickMetrics,
    ) -> None:
        self.ticks = tuple(ticks)
        self.tick_seconds = tick_seconds
        self.clock = clock
        self.events = events
        self.metrics = metrics
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to tick."""
        self.task = asyncio.create_task(self._async_run())

    def stop(self) -> None:
        """Stop ticking."""
        if self.task is not None:
            self.task.cancel()

    def tick_all(self, now: float) -> None:
        """Call each tick; one that fails does not stop the others."""
        for tick in self.ticks:
            try:
                tick(now)
            except Exception as error:
                self.events.record(
                    Event.INTERNAL_ERROR, where=tick.__qualname__, detail=repr(error)
                )

    async def _async_run(self) -> None:
        """Tick, and report where this process was paused in between."""
        last = self.clock.monotonic()
        while True:
            await asyncio.sleep(self.tick_seconds)
            now = self.clock.monotonic()
            if now - last > self.tick_seconds + TICK_LATE_SECONDS:
                self.events.record(Event.TICK_LATE, seconds=round(now - last, 3))
            last = now
            self.tick_all(now)
            self.metrics.add_tick(self.clock.monotonic() - now)
