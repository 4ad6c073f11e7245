"""The host's clocks."""

import time
from typing import Final

NANOSECONDS_PER_MILLISECOND: Final = 1_000_000


class SystemClock:
    """Read the clocks of the operating system."""

    def monotonic(self) -> float:
        """Return seconds that never go back and count while suspended.

        CLOCK_MONOTONIC stands still while a host is suspended: a daemon that wakes
        would see no gap in its ticks and act on rights that have lapsed. CLOCK_BOOTTIME
        shows the gap.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall_milliseconds(self) -> int:
        """Return milliseconds since the epoch, as this host believes."""
        return time.time_ns() // NANOSECONDS_PER_MILLISECOND
