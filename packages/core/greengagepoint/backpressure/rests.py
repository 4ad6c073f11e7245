"""Read how long a backend server that rejects a request wants none from this host."""

import math
from typing import Final

# A server that asks for more would be lost to its callers by a wrong unit or a date.
REST_MAX_SECONDS: Final = 300.0


def read_rest(text: str) -> float | None:
    """Return the seconds of a ``Retry-After`` header, None if it can't be read.

    Dates can't be read: the clocks of servers and hosts need not agree.
    """
    try:
        seconds = float(text)
    except ValueError:
        return None
    if not math.isfinite(seconds) or seconds < 0:
        return None
    return min(REST_MAX_SECONDS, seconds)
