"""Read the times that steering records carry."""

from datetime import datetime
from functools import lru_cache
from typing import Final

SCHEDULES_CACHED: Final = 4096


@lru_cache(maxsize=SCHEDULES_CACHED)
def wall_milliseconds(time: str) -> int:
    """Return milliseconds since the epoch of an RFC 3339 time with an offset.

    Raise ``ValueError`` when the text is not such a time.
    """
    parsed = datetime.fromisoformat(time)
    if parsed.tzinfo is None:
        raise ValueError(f"time without an offset: {time}")
    return round(parsed.timestamp() * 1000)


def has_started(time: str, now_wall_ms: int) -> bool:
    """Tell whether a scheduled time has come."""
    return wall_milliseconds(time) <= now_wall_ms
