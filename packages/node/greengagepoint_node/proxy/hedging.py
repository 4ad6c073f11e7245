"""Send a repeatable read to a second backend server when the first is slow."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Generic, Protocol, TypeVar

T = TypeVar("T")
Start = Callable[[], Awaitable[T]]
Discard = Callable[[T], None]


class HedgeAllowance(Protocol):
    """Decide from measured latency and the retry budget when to hedge."""

    def hedge_wait_seconds(self) -> float | None:
        """Return after how long a second copy is worth sending."""

    def may_hedge(self, elapsed: float, *, repeatable: bool) -> bool:
        """Tell whether a second copy may be sent, and take it from the budget."""


async def async_hedged(
    first: Start[T], second: Start[T], allowance: HedgeAllowance, discard: Discard[T]
) -> T:
    """Return the first good result of one or two tries.

    The second starts only after the wait and within the budget. The one that loses is
    cancelled; if it had a result already, ``discard`` gets it. When both fail the
    first one's error is raised.
    """
    wait = allowance.hedge_wait_seconds()
    if wait is None:
        return await first()
    hedge = _Hedge(second, allowance, wait)
    try:
        return await first()
    except asyncio.CancelledError:
        if not hedge.stop() and hedge.has_result():
            return hedge.take()
        raise
    except Exception:
        hedge.stop()
        if await hedge.async_has_result():
            return hedge.take()
        raise
    finally:
        hedge.stop()
        hedge.drop(discard)


class _Hedge(Generic[T]):
    """A second try beside the one that the current task runs itself.

    A task for the first try would cost every request that needs no second one. So
    the first runs in the caller's task, and a good second try cancels that task to
    get it out of its wait, as ``asyncio.timeout`` does.
    """

    def __init__(
        self, second: Start[T], allowance: HedgeAllowance, wait_seconds: float
    ) -> None:
        self.second = second
        self.allowance = allowance
        self.wait_seconds = wait_seconds
        self.task = asyncio.current_task()
        self.cancelling = self.task.cancelling()
        self.other: asyncio.Future[T] | None = None
        self.cancelled_first = False
        loop = asyncio.get_running_loop()
        self.timer: asyncio.TimerHandle | None = loop.call_later(
            wait_seconds, self._start
        )

    def stop(self) -> bool:
        """Take no part any longer; tell whether the caller was cancelled meanwhile."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.other is not None:
            self.other.remove_done_callback(self._interrupt)
        if self.cancelled_first:
            self.cancelled_first = False
            self.task.uncancel()
        return self.task.cancelling() > self.cancelling

    def has_result(self) -> bool:
        """Tell whether the second try has ended well."""
        return self.other is not None and self.other.done() and _is_good(self.other)

    async def async_has_result(self) -> bool:
        """Wait for the second try, if there is one; tell whether it ended well."""
        if self.other is not None:
            await asyncio.wait({self.other})
        return self.has_result()

    def take(self) -> T:
        """Return the second try's result, which then isn't discarded."""
        result = self.other.result()
        self.other = None
        return result

    def drop(self, discard: Discard[T]) -> None:
        """Cancel the second try, or discard its unused result."""
        if self.other is None:
            return
        self.other.add_done_callback(lambda ended: _discard_result(ended, discard))
        self.other.cancel()
        self.other = None

    def _start(self) -> None:
        """Start the second try, if the budget allows it."""
        self.timer = None
        if self.allowance.may_hedge(self.wait_seconds, repeatable=True):
            self.other = asyncio.ensure_future(self.second())
            self.other.add_done_callback(self._interrupt)

    def _interrupt(self, other: asyncio.Future[T]) -> None:
        """Get the first try out of its wait, because the second has ended well."""
        if _is_good(other):
            self.cancelled_first = True
            self.task.cancel()


def _is_good(task: asyncio.Future[T]) -> bool:
    """Tell whether a try that is done has a result."""
    return not task.cancelled() and task.exception() is None


def _discard_result(task: asyncio.Future[T], discard: Discard[T]) -> None:
    """Discard a result that came too late; an error needs nothing more."""
    if _is_good(task):
        discard(task.result())
