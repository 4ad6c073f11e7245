"""Compute the share of a region's keys that each region runs.

Regions are filled like vessels up to a common level of their slots. Each runs the keys
of its own callers up to the level, and what is above it flows to those below.
"""

from collections.abc import Mapping
from typing import Final

from greengagepoint.placing.regions import Weights, weights_by_slots

# A queue begins to form at this share of slots in use, and makes responses late.
FILL_LEVEL: Final = 0.7


def region_shares(
    slots: Mapping[str, float], demand: Mapping[str, float], home: str
) -> Weights:
    """Return the share of the keys of callers in ``home`` that each region runs.

    ``demand`` is the number of slots that the callers of each region need. The shares
    add up to 1; a region without slots gets none. Without any slots there are none.
    """
    if not any(count > 0 for count in slots.values()):
        return {}
    level = _fill_level(slots, demand)
    kept = _kept_share(level * slots.get(home, 0.0), demand.get(home, 0.0))
    spare = {
        name: max(0.0, level * count - demand.get(name, 0.0))
        for name, count in slots.items()
        if name != home
    }
    if not any(part > 0 for part in spare.values()):
        return {home: 1.0} if kept > 0 else weights_by_slots(slots)
    weights = {
        name: (1 - kept) * part for name, part in weights_by_slots(spare).items()
    }
    return weights_by_slots({**weights, home: kept})


def _fill_level(slots: Mapping[str, float], demand: Mapping[str, float]) -> float:
    """Return the share of slots to fill, more if all regions together need more."""
    return max(FILL_LEVEL, sum(demand.values()) / sum(slots.values()))


def _kept_share(capacity: float, demand: float) -> float:
    """Return the share of a region's demand that fits in its capacity."""
    if capacity <= 0:
        return 0.0
    return min(1.0, capacity / demand) if demand > 0 else 1.0
