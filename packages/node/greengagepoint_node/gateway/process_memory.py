"""Read how much memory this process uses."""

import os
from pathlib import Path
from typing import Final

STATM: Final = Path("/proc/self/statm")
UNKNOWN: Final = -1


def resident_bytes(statm: Path = STATM) -> int:
    """Return the resident memory of this process in bytes, or -1 if unknown."""
    try:
        pages = int(statm.read_text().split()[1])
    except (OSError, ValueError, IndexError):
        return UNKNOWN
    return pages * os.sysconf("SC_PAGE_SIZE")
