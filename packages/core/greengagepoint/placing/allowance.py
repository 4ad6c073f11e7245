"""Limit what a small share of callers may do, with a reserve for short bursts.

For late answers: a burst, or a start with all servers cold, is over in seconds, and
callers who wait for it are served, if late. In a lasting overload, every late answer
takes the slot of one in time, so only few callers may wait. Tokens saved before the
burst tell the two apart.

For keys that spill from a busy region: each runs cold in the other region, and
the region of requests may change only gradually.

For keys that move: a server that joins takes over its share of the keys, and each key
runs cold there once. Spreading the moves over seconds keeps few callers late at a time.
"""

from dataclasses import dataclass
from typing import Final

# Saved in normal operation, for a start with all servers cold.
WAIT_TOKENS_MAX: Final = 60.0
# Share of callers that may wait for a late answer in a lasting overload.
WAIT_RATIO: Final = 0.08
# Share of callers that may move their key to its first-ranked server.
MOVE_RATIO: Final = 0.02
MOVE_TOKENS_MAX: Final = 1.0
# Share of callers whose request may run in another region because its own is busy.
# Weights move 0.06 of the keys in 2 s, and 0.15 of a region's requests may change their
# region in that time.
SPILL_RATIO: Final = 0.05
SPILL_TOKENS_MAX: Final = 1.0


@dataclass(slots=True)
class Allowance:
    """Hold tokens; each caller adds ``ratio`` of one, up to ``max_tokens``."""

    ratio: float
    max_tokens: float
    tokens: float

    def deposit(self) -> None:
        """Add the share of one caller."""
        self.tokens = min(self.max_tokens, self.tokens + self.ratio)

    def withdraw(self) -> bool:
        """Spend one token; return False if there is none."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def create_wait_allowance() -> Allowance:
    """Return the allowance for answers after the latency goal."""
    return Allowance(WAIT_RATIO, WAIT_TOKENS_MAX, WAIT_TOKENS_MAX)


def create_move_allowance() -> Allowance:
    """Return the allowance for keys that move to their first-ranked server."""
    return Allowance(MOVE_RATIO, MOVE_TOKENS_MAX, 0.0)


def create_spill_allowance() -> Allowance:
    """Return the allowance for requests that leave a busy region."""
    return Allowance(SPILL_RATIO, SPILL_TOKENS_MAX, 0.0)
