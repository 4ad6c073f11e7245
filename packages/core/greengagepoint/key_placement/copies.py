"""Choose the keys that get a second home."""

from collections.abc import Mapping
from typing import Final, NamedTuple

COPIES_MAX: Final = 32
# Share of a server's slots that a key's requests fill. Above the first one, callers of
# the key wait for each other; between the two, a key keeps what it has.
SLOTS_SHARE_MIN: Final = 0.5
SLOTS_SHARE_KEPT: Final = 0.35
# Share of cold runs of known keys. Above it, servers evict keys, and a second home
# would evict one more.
COLD_SHARE_MAX: Final = 0.2
COLD_SHARE_KEPT: Final = 0.3


class ServiceLoad(NamedTuple):
    """The run time, the mean slots of a server, and the share of cold runs."""

    run_seconds: float
    slots: float
    cold_share: float


def choose_copies(
    rates: Mapping[str, float], load: ServiceLoad, present: frozenset[str]
) -> frozenset[str]:
    """Return the keys that get a second home, those with most requests first.

    ``rates`` are the requests per second by key, ``present`` the keys that have a
    second home now.
    """
    if not load.slots or load.cold_share >= COLD_SHARE_KEPT:
        return frozenset()
    may_add = load.cold_share < COLD_SHARE_MAX
    slots_per_rate = load.run_seconds / load.slots
    chosen = [
        (-rate, key)
        for key, rate in rates.items()
        if rate * slots_per_rate > SLOTS_SHARE_KEPT
        and _fills(rate * slots_per_rate, key in present, may_add)
    ]
    return frozenset(key for _, key in sorted(chosen)[:COPIES_MAX])


def _fills(slots_share: float, is_present: bool, may_add: bool) -> bool:
    """Return True if a key above ``SLOTS_SHARE_KEPT`` gets or keeps a second home."""
    return is_present or (may_add and slots_share > SLOTS_SHARE_MIN)
