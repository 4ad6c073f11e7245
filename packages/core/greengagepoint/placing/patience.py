"""Let a part of the callers wait for a late answer when none in time is to be had.

Load answered: a burst, or a start with all servers cold, is over in seconds, and
whoever waits for it is served, if late. In an overload that lasts, every late answer
takes the place of one in time, so only few may wait. Both are held apart by what was
saved before.
"""

from dataclasses import dataclass
from typing import Final

# Saved while all is well; a start with cold servers makes about 300 callers of a region
# wait, on three hosts or four.
PATIENCE_MOST: Final = 60.0
# In an overload that lasts, of a hundred callers so many may wait for a late answer.
PATIENCE_RATIO: Final = 0.08


@dataclass(slots=True)
class Patience:
    """Tokens for callers who may wait longer than their goal."""

    tokens: float = PATIENCE_MOST

    def deposit(self) -> None:
        """Add what one caller is worth."""
        self.tokens = min(PATIENCE_MOST, self.tokens + PATIENCE_RATIO)

    def withdraw(self) -> bool:
        """Take the token of one caller; tell whether there was one."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
