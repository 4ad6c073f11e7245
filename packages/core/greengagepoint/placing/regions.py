"""Assign each key to a region, identically on every host.

A region may have a tenth of a service's servers and a third of its callers, the load of
each region peaks at a different time, and on a busy day all regions together are close
to what warm servers can handle. Spreading keys over the regions in proportion to their
slots fills the regions evenly wherever the callers are.

Keys of two kinds of requests stay in their callers' region as far as its slots allow.
Large answers are few, but make up most of the traffic between regions. And if the round
trip to another region takes a large share of the latency goal, even a short queue there
makes an answer late.
"""

import math
from collections.abc import Mapping
from typing import Final

from greengagepoint.placing.ranking import unit_hash
from greengagepoint.routing.tables import RequestKind, Route

# At most 0.15 of a region's requests may change their region between two intervals of
# 2 s. Random variation over a few hundred requests uses up to half of that.
CHANGE_PER_SECOND: Final = 0.03

# A run and a short queue need the rest of the goal. Routes with a shorter round trip
# gain as much from spreading their keys as other routes do.
ROUND_TRIP_GOAL_SHARE: Final = 0.2

Weights = dict[str, float]


def should_run_locally(
    route: Route, round_trip_seconds: float, *, demand_is_on: bool = False
) -> bool:
    """Return True if a route's keys should stay in the region of their callers.

    ``round_trip_seconds`` is the round-trip time to the farthest region. Uploads are as
    large as downloads; they stay local only if ``demand_is_on``, as the shares of
    regions otherwise assume that callers are distributed equally.
    """
    if route.kind is RequestKind.DOWNLOAD:
        return True
    if demand_is_on and route.kind is RequestKind.UPLOAD:
        return True
    return round_trip_seconds > ROUND_TRIP_GOAL_SHARE * route.goal_seconds


def weights_by_slots(slots: Mapping[str, float]) -> Weights:
    """Return each region's share of the keys, by its slots; the shares add up to 1."""
    total = sum(count for count in slots.values() if count > 0)
    return {region: count / total for region, count in slots.items() if count > 0}


def local_weights(slots: Mapping[str, float], home: str, regions: int) -> Weights:
    """Return each region's share of the keys requested by callers in ``home``.

    The calculation assumes that all ``regions`` have equally many callers. The home
    region keeps as many of its keys as its share of the slots allows. The rest goes to
    regions that have slots to spare under the same assumption.
    """
    shares = weights_by_slots(slots)
    equal = 1 / max(1, regions)
    kept = min(1.0, shares.get(home, 0.0) / equal)
    spare = {
        name: max(0.0, part - equal) for name, part in shares.items() if name != home
    }
    if not any(spare.values()):
        return {home: 1.0} if kept else shares
    others = weights_by_slots(spare)
    weights = {name: (1 - kept) * part for name, part in others.items()}
    return weights_by_slots({**weights, home: kept})


def moved_share(now: Weights, target: Weights) -> float:
    """Return the share of all keys whose region differs between two weights."""
    names = set(now) | set(target)
    changes = (target.get(name, 0.0) - now.get(name, 0.0) for name in names)
    return sum(part for part in changes if part > 0)


def step_toward(now: Weights, target: Weights, max_change: float) -> Weights:
    """Move weights toward ``target``, changing the region of at most ``max_change``.

    ``max_change`` is a share of all keys.
    """
    names = set(now) | set(target)
    change = {name: target.get(name, 0.0) - now.get(name, 0.0) for name in names}
    moved = sum(part for part in change.values() if part > 0)
    scale = 1.0 if moved <= max_change else max_change / moved
    parts = {name: now.get(name, 0.0) + scale * change[name] for name in names}
    return weights_by_slots(parts)


def region_for_key(key: str, weights: Weights) -> str | None:
    """Return the region in which a key runs, or None if there are no regions.

    This is weighted rendezvous hashing: a region whose weight grows takes keys from all
    others, and no key moves between those, so servers stay warm for their keys.
    """
    return max(weights, key=lambda region: _score(key, region, weights), default=None)


def _score(key: str, region: str, weights: Weights) -> float:
    """Return the weighted rendezvous score of a region for a key."""
    draw = unit_hash(f"{key}\0{region}")
    return -weights[region] / math.log(draw) if draw > 0 else 0.0
