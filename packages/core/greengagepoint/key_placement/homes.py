"""Decide how many homes the keys of a service have.

With one home, callers of a key wait behind each other and behind callers of the other
keys there, while the servers beside it are idle. With two, requests go to the home that
is free, as long as servers keep twice as many keys warm. Whether they do is not known
before a trial, and shows in how many runs of known keys are cold in its first seconds.
"""

from dataclasses import dataclass
from typing import Final

HOMES_MIN: Final = 1
HOMES_MAX: Final = 2
# Servers keep their last 8 to 20 keys warm. A trial with more keys on each evicts them
# for certain.
KEYS_PER_SERVER_MAX: Final = 20.0
# Servers that evict keys with one home for each keep no more of them warm with two.
COLD_SHARE_LOW: Final = 0.1
# A cold run takes three times as long as a warm one. Above this share of cold runs, a
# second home costs more than the waits that it saves.
COLD_SHARE_HIGH: Final = 0.3
# Time of reports before the first trial and of a trial. Evictions in a trial make
# callers late, and a key that has not run warm again at its second home within this
# time has too few requests to need one.
TRIAL_SECONDS: Final = 5.0
# Servers that evicted keys do so again unless the keys in use have changed.
RETRY_SECONDS: Final = 60.0


@dataclass(slots=True)
class HomeCount:
    """The number of homes of each key of a service, since ``changed_at``.

    Before the first trial, ``changed_at`` is the time of the first report.
    """

    homes: int = HOMES_MIN
    changed_at: float = float("-inf")
    was_tried: bool = False

    def update(
        self, cold_share: float | None, keys_per_server: float, now: float
    ) -> bool:
        """Adapt to the share of cold runs since the change; return True on a change.

        ``cold_share`` is None without a measured run. ``keys_per_server`` is the number
        of known keys for each server.
        """
        if cold_share is None:
            return False
        age = now - self.changed_at
        if self.homes < HOMES_MAX:
            seconds = RETRY_SECONDS if self.was_tried else TRIAL_SECONDS
            fits = HOMES_MAX * keys_per_server <= KEYS_PER_SERVER_MAX
            wanted = fits and cold_share < COLD_SHARE_LOW and age >= seconds
        else:
            wanted = cold_share < COLD_SHARE_HIGH or age < TRIAL_SECONDS
        homes = HOMES_MAX if wanted else HOMES_MIN
        if homes == self.homes:
            return False
        self.homes = homes
        self.changed_at = now
        self.was_tried = True
        return True


def is_valid_count(homes: int) -> bool:
    """Return True if a number of homes from a peer is in range."""
    return HOMES_MIN <= homes <= HOMES_MAX
