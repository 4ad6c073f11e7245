"""Run a task that is cancelled once its result is no longer needed."""

import asyncio
import contextlib
from collections.abc import Callable, Coroutine
from typing import Any


async def async_run_while_needed(
    work: Coroutine[Any, Any, None], is_needed: Callable[[], bool], check_seconds: float
) -> None:
    """Run work to completion, or cancel it once ``is_needed`` returns False.

    The check runs every ``check_seconds``.
    """
    task = asyncio.create_task(work)
    try:
        while not task.done() and is_needed():
            await asyncio.wait({task}, timeout=check_seconds)
        if task.done():
            task.result()
    finally:
        if not task.done():
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
