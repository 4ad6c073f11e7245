"""Run work that may become needless while it runs."""

import asyncio
import contextlib
from collections.abc import Callable, Coroutine
from typing import Any


async def async_run_while(
    work: Coroutine[Any, Any, None], wanted: Callable[[], bool], look_seconds: float
) -> None:
    """Run work to its end, or give it up once it is no longer wanted."""
    task = asyncio.create_task(work)
    try:
        while not task.done() and wanted():
            await asyncio.wait({task}, timeout=look_seconds)
        if task.done():
            task.result()
    finally:
        if not task.done():
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
