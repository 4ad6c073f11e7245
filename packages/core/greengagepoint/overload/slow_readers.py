"""Decide how long a caller may pause while it reads its answer."""

from typing import Final

# An answer that began shortly before its deadline is still read to its end.
READING_MARGIN_SECONDS: Final = 1.0
# Callers choose their deadlines, and what they do not read stays in memory.
READING_SECONDS_MAX: Final = 60.0


def reading_seconds(seconds_left: float) -> float:
    """Return for how long a caller may read nothing before it is given up.

    ``seconds_left`` is the time to the deadline of its request.
    """
    seconds = max(0.0, seconds_left) + READING_MARGIN_SECONDS
    return min(READING_SECONDS_MAX, seconds)
