"""Run asyncio code in virtual time, so that waiting takes no time."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

Result = TypeVar("Result")


class _JumpingSelector(selectors.SelectSelector):
    """Advance a virtual clock in place of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list:
        """Return what is ready, and let the time that would be waited pass."""
        ready = super().select(0)
        if not ready and timeout:
            self.now += timeout
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock jumps to the next timer."""

    def __init__(self) -> None:
        self.jumping = _JumpingSelector()
        super().__init__(self.jumping)

    def time(self) -> float:
        """Return virtual seconds."""
        return self.jumping.now


class VirtualClock:
    """The clock of the running loop, as core's ``Clock``."""

    def monotonic(self) -> float:
        """Return virtual seconds."""
        return asyncio.get_running_loop().time()

    def wall_milliseconds(self) -> int:
        """Return virtual milliseconds."""
        return int(self.monotonic() * 1000)


def run(coroutine: Coroutine[Any, Any, Result]) -> Result:
    """Run a coroutine in virtual time, for code without sockets."""
    loop = VirtualTimeLoop()
    try:
        return loop.run_until_complete(coroutine)
    finally:
        pending = asyncio.all_tasks(loop)
        for task in pending:
            task.cancel()
        if pending:
            loop.run_until_complete(asyncio.gather(*pending, return_exceptions=True))
        loop.close()
