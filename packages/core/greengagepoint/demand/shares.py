"""Compute the share of a region's keys that each region runs.

By water-filling: each region runs the keys of its own callers up to a common level of
its slots, and the rest goes to regions below the level. Addresses the load of regions
that differ in servers and whose callers peak at different times.
"""

import math
from collections.abc import Collection, Mapping
from typing import Final

from greengagepoint.placing.regions import Weights, moved_share, weights_by_slots

# A queue begins to form at this share of many slots in use, and makes responses late.
FILL_LEVEL: Final = 0.7
# Demand varies by a tenth between measurements, and each moved key costs a cold run.
TARGET_CHANGE_MIN: Final = 0.05


def region_shares(
    slots: Mapping[str, float],
    demand: Mapping[str, float],
    home: str,
    total: float | None = None,
) -> Weights:
    """Return the share of the keys of callers in ``home`` that each region runs.

    ``demand`` is the number of slots that the callers of each region need at their
    peak, ``total`` the number that all need at the same time, None for the sum of the
    peaks. The shares add up to 1; a region without slots gets none. Without any slots
    there are none.
    """
    fitting = {name: _fitting_demand(count) for name, count in slots.items()}
    if not any(fitting.values()):
        return weights_by_slots(slots)
    peaks = sum(demand.values())
    # Peaks of regions do not coincide. At the level that they need together, regions
    # with few servers would be full in their own peak while others are half idle.
    level = _fill_level(fitting, peaks if total is None else total)
    kept = _kept_share(level * fitting.get(home, 0.0), demand.get(home, 0.0))
    level = max(level, _fill_level(fitting, peaks))
    spare = {
        name: max(0.0, level * count - demand.get(name, 0.0))
        for name, count in fitting.items()
        if name != home
    }
    if not any(part > 0 for part in spare.values()):
        return {home: 1.0} if kept > 0 else weights_by_slots(slots)
    weights = {
        name: (1 - kept) * part for name, part in weights_by_slots(spare).items()
    }
    return weights_by_slots({**weights, home: kept})


def settled_target(
    former: Weights | None, target: Weights, regions: Collection[str]
) -> Weights:
    """Return the former target while a new one would move few keys.

    ``regions`` are those with servers. A target that includes others is replaced.
    """
    if former is None or not set(former) <= set(regions):
        return target
    return former if moved_share(former, target) < TARGET_CHANGE_MIN else target


def reassign_lost(
    weights: Weights, target: Weights, regions: Collection[str]
) -> Weights:
    """Return weights in which the share of regions without servers follows a target.

    Spread in proportion to the remaining weights, all keys of a lost region would run
    in a region that had a hundredth of them before.
    """
    kept = {name: part for name, part in weights.items() if name in regions}
    lost = max(0.0, 1 - sum(kept.values()))
    names = set(kept) | set(target)
    return weights_by_slots(
        {name: kept.get(name, 0.0) + lost * target.get(name, 0.0) for name in names}
    )


def _fitting_demand(slots: float) -> float:
    """Return the mean number of slots in use at which requests seldom wait.

    The number in use varies by its square root. Twice of that is left free, so that a
    region with 3 slots, of which one is in use, has as few queues as one with 30 slots.
    """
    if slots <= 0:
        return 0.0
    return min(FILL_LEVEL * slots, (slots / (math.sqrt(slots + 1) + 1)) ** 2)


def _fill_level(fitting: Mapping[str, float], demand: float) -> float:
    """Return by how much to overfill all regions, 1 if the demand fits."""
    return max(1.0, demand / sum(fitting.values()))


def _kept_share(capacity: float, demand: float) -> float:
    """Return the share of a region's demand that fits in its capacity."""
    if capacity <= 0:
        return 0.0
    return min(1.0, capacity / demand) if demand > 0 else 1.0
