"""Allow something to a small part of the callers, with a reserve for short times.

Load answered, for late answers: a burst, or a start with all servers cold, is over in
seconds, and whoever waits for it is served, if late. In an overload that lasts, every
late answer takes the place of one in time, so only few may wait. Both are held apart by
what was saved before.

For keys that move: a server that joins should have its part of the keys, and each runs
cold there once; spread over seconds, few callers are late at a time.
"""

from dataclasses import dataclass
from typing import Final

# Saved while all is well, for a start at which all servers are cold.
WAITING_MOST: Final = 60.0
# In an overload that lasts, the share of callers that may wait for a late answer.
WAITING_RATIO: Final = 0.08
# The share of callers that may move their key to the server that should have it.
MOVING_RATIO: Final = 0.02
MOVING_MOST: Final = 1.0


@dataclass(slots=True)
class Allowance:
    """Tokens, of which each caller adds ``ratio`` up to ``most``."""

    ratio: float
    most: float
    tokens: float

    def deposit(self) -> None:
        """Add what one caller is worth."""
        self.tokens = min(self.most, self.tokens + self.ratio)

    def withdraw(self) -> bool:
        """Take the token of one caller; tell whether there was one."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def create_waiting() -> Allowance:
    """Return the allowance for answers after their goal."""
    return Allowance(WAITING_RATIO, WAITING_MOST, WAITING_MOST)


def create_moving() -> Allowance:
    """Return the allowance for keys that move to the server that should have them."""
    return Allowance(MOVING_RATIO, MOVING_MOST, 0.0)
