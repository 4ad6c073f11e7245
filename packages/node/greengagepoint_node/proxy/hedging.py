"""Send a repeatable read to a second backend server when the first is slow."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Protocol, TypeVar

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
    task = asyncio.ensure_future(first())
    try:
        await asyncio.wait({task}, timeout=wait)
    except asyncio.CancelledError:
        _drop(task, discard)
        raise
    if task.done() or not allowance.may_hedge(wait, repeatable=True):
        return await _async_only(task, discard)
    return await _async_race([task, asyncio.ensure_future(second())], discard)


async def _async_only(task: asyncio.Future[T], discard: Discard[T]) -> T:
    """Return the result of the only try."""
    try:
        return await task
    except asyncio.CancelledError:
        # The try may have ended at the very moment when the caller went away. Its
        # result would reach nobody and hold its place for ever.
        _drop(task, discard)
        raise


async def _async_race(tasks: list[asyncio.Future[T]], discard: Discard[T]) -> T:
    """Return the first good result and drop the other try."""
    winner: asyncio.Future[T] | None = None
    try:
        winner = await _async_first_good(tasks)
        return winner.result()
    finally:
        for task in tasks:
            if task is not winner:
                _drop(task, discard)


async def _async_first_good(tasks: list[asyncio.Future[T]]) -> asyncio.Future[T]:
    """Return the first try that succeeds, or the first one when all fail."""
    pending: set[asyncio.Future[T]] = set(tasks)
    while pending:
        done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            if task in done and task.exception() is None:
                return task
    return tasks[0]


def _drop(task: asyncio.Future[T], discard: Discard[T]) -> None:
    """Cancel a try that is under way, or discard its unused result."""
    task.add_done_callback(lambda ended: _discard_result(ended, discard))
    task.cancel()


def _discard_result(task: asyncio.Future[T], discard: Discard[T]) -> None:
    """Discard a result that came too late; an error needs nothing more."""
    if not task.cancelled() and task.exception() is None:
        discard(task.result())
