"""Decide how many homes the keys of a service have.

With one home, callers of a key wait behind each other and behind callers of the other
keys there, while the servers beside it are idle. With two, requests go to the home that
is free. But each key then runs cold once more, and servers that keep few keys warm
evict those in use. So keys have two homes where servers are busy and surely keep twice
as many keys warm, as long as few runs of known keys are cold.
"""

from dataclasses import dataclass
from typing import Final, NamedTuple

HOMES_MIN: Final = 1
HOMES_MAX: Final = 2
# The fewest keys that a backend server of any service keeps warm.
WARM_KEYS_MIN: Final = 8
# Share of slots that warm runs fill. In between, the number stays as it is. Above half,
# stalls and single long runs make queues at one server likely while others are idle. At
# a third, the cold runs of second homes made more callers late than queues did.
BUSY_LOW: Final = 0.35
BUSY_HIGH: Final = 0.5
# Above this share of cold runs, servers evict keys that are still in use.
COLD_SHARE_MAX: Final = 0.3
# Each key runs cold once at a new home. With 0.4 requests per second, most have done so
# after this time, and older runs have lost their weight in the share.
SETTLE_SECONDS: Final = 20.0
# Servers that evicted keys do so again unless the keys in use have changed.
RETRY_SECONDS: Final = 60.0


class ServiceUsage(NamedTuple):
    """The keys of a service per server, and the share of slots that warm runs fill.

    ``cold_share`` is the share of cold runs of known keys.
    """

    keys_per_server: float
    busy: float
    cold_share: float


@dataclass(slots=True)
class HomeCount:
    """The number of homes of each key of a service, since ``changed_at``.

    ``evicted_at`` is when servers last turned out to evict keys that were in use.
    """

    homes: int = HOMES_MIN
    changed_at: float = float("-inf")
    evicted_at: float = float("-inf")

    def update(self, usage: ServiceUsage, now: float) -> bool:
        """Adapt to the usage of a service; return True on a change."""
        homes = self._wanted(usage, now)
        if homes == self.homes:
            return False
        self.homes = homes
        self.changed_at = now
        return True

    def _wanted(self, usage: ServiceUsage, now: float) -> int:
        """Return the number of homes that the usage calls for."""
        if HOMES_MAX * usage.keys_per_server > WARM_KEYS_MIN:
            return HOMES_MIN
        if self.homes == HOMES_MIN:
            is_wanted = usage.busy > BUSY_HIGH
            return HOMES_MAX if is_wanted and self._may_retry(now) else HOMES_MIN
        is_settled = now - self.changed_at >= SETTLE_SECONDS
        if is_settled and usage.cold_share > COLD_SHARE_MAX:
            self.evicted_at = now
            return HOMES_MIN
        return HOMES_MAX if usage.busy >= BUSY_LOW else HOMES_MIN

    def _may_retry(self, now: float) -> bool:
        """Return True if servers have not evicted keys lately."""
        return now - self.evicted_at >= RETRY_SECONDS


def is_valid_count(homes: int) -> bool:
    """Return True if a number of homes from a peer is in range."""
    return HOMES_MIN <= homes <= HOMES_MAX
