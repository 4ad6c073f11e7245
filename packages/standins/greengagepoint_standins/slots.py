"""Share a stand-in backend server's slots among requests in order of arrival."""

import asyncio
from collections import deque
from collections.abc import Callable

from greengagepoint_standins.backend_control import BackendControl


class Slots:
    """Count runs in flight and requests that wait for a slot."""

    def __init__(self, control: BackendControl) -> None:
        self.control = control
        self.in_flight = 0
        self.waiting: deque[asyncio.Future[None]] = deque()
        self.observers: list[asyncio.Future[None]] = []

    async def async_until(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition on the counts holds."""
        while not condition():
            change = asyncio.get_running_loop().create_future()
            self.observers.append(change)
            await change

    def notify(self) -> None:
        """Wake those who wait for a change of the counts."""
        observers, self.observers = self.observers, []
        for change in observers:
            if not change.done():
                change.set_result(None)

    @property
    def queued(self) -> int:
        """Return how many requests wait."""
        return len(self.waiting)

    @property
    def is_full(self) -> bool:
        """Tell whether a new request would have no place to wait."""
        if self.in_flight < self.control.slots:
            return False
        return self.queued >= self.control.queue_limit

    async def async_acquire(self) -> None:
        """Wait for a slot and take it."""
        if self.in_flight < self.control.slots and not self.waiting:
            self.in_flight += 1
            self.notify()
            return
        turn = asyncio.get_running_loop().create_future()
        self.waiting.append(turn)
        self.notify()
        try:
            await turn
        except asyncio.CancelledError:
            # The slot may have been given in the moment of the cancellation; kept,
            # it would be lost for good.
            if turn.done() and not turn.cancelled():
                self.release()
            elif turn in self.waiting:
                self.waiting.remove(turn)
                self.notify()
            raise

    def release(self) -> None:
        """Give a slot back, or on to the request that has waited longest."""
        while self.waiting:
            turn = self.waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                self.notify()
                return
        self.in_flight -= 1
        self.notify()
