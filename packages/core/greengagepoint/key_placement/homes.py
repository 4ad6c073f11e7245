"""Decide how many homes the keys of a service have.

With one home, callers of a key wait behind each other and behind callers of the other
keys there, while the servers beside it are idle. With two, requests go to the home that
is free, as long as servers keep twice as many keys warm. Whether they do shows in how
many runs of known keys are cold.
"""

from dataclasses import dataclass
from typing import Final

HOMES_MIN: Final = 1
HOMES_MAX: Final = 2
# A cold run takes three times as long as a warm one. Below the first share of cold
# runs, a second home costs less than the waits that it saves; above the second one,
# servers evict keys that are still in use.
COLD_SHARE_LOW: Final = 0.2
COLD_SHARE_HIGH: Final = 0.3
# Each key runs cold once at a new home. With 0.4 requests per second, most have done so
# after this time, and older runs have lost their weight in the share.
SETTLE_SECONDS: Final = 20.0
# Servers that evicted keys do so again unless the keys in use have changed.
RETRY_SECONDS: Final = 60.0


@dataclass(slots=True)
class HomeCount:
    """The number of homes of each key of a service, since ``changed_at``."""

    homes: int = HOMES_MIN
    changed_at: float = float("-inf")

    def update(self, cold_share: float, now: float) -> bool:
        """Adapt to the share of cold runs of known keys; return True on a change."""
        age = now - self.changed_at
        if self.homes < HOMES_MAX:
            wanted = cold_share < COLD_SHARE_LOW and age >= RETRY_SECONDS
        else:
            wanted = cold_share < COLD_SHARE_HIGH or age < SETTLE_SECONDS
        homes = HOMES_MAX if wanted else HOMES_MIN
        if homes == self.homes:
            return False
        self.homes = homes
        self.changed_at = now
        return True


def is_valid_count(homes: int) -> bool:
    """Return True if a number of homes from a peer is in range."""
    return HOMES_MIN <= homes <= HOMES_MAX
