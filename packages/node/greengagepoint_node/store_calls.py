"""Count the calls to the key-value service, each of which it counts, too."""

import asyncio
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final

from greengagepoint.errors import StoreError

OUTCOME_OK: Final = "ok"
OUTCOME_CANCELLED: Final = "cancelled"
# A watch call that fails raises the HTTP library's own errors.
OUTCOME_FAILED: Final = "failed"

# Calls by operation (the last part of the path) and outcome.
StoreCalls = Counter[tuple[str, str]]


@contextmanager
def counting(calls: StoreCalls, path: str) -> Iterator[None]:
    """Count one call by its path and by how what is done meanwhile ends."""
    outcome = OUTCOME_FAILED
    try:
        yield
        outcome = OUTCOME_OK
    except StoreError as error:
        outcome = error.kind.value
        raise
    except asyncio.CancelledError:
        outcome = OUTCOME_CANCELLED
        raise
    finally:
        calls[path.rpartition("/")[2], outcome] += 1
