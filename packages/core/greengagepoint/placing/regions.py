"""Give each key a region, the same on every host that is asked for it.

Load answered: a region holds a tenth of a service's servers and a third of its callers,
each region's callers peak at another time, and on a busy day all regions together are
near what warm servers bear. Keys spread over the regions by their slots fill them
evenly wherever callers are.

Two kinds of requests are the exception, and their keys stay with their callers as far
as the slots there go. Large answers are few, but make up most of the bytes between
regions. And where the way to another region and back takes a good part of the
response-time goal, even a short queue there makes an answer late.
"""

import math
from collections.abc import Mapping
from typing import Final

from greengagepoint.placing.ranking import unit_hash
from greengagepoint.routing.tables import RequestKind, Route

# Users allow 0.15 of a region's requests to change their region between two spans of
# 2 s; the luck of a few hundred requests takes up to half of it.
CHANGE_PER_SECOND: Final = 0.03

# A run and a short queue take the rest of the goal; with less to go, spreading the keys
# gains as much for other routes.
ROUND_TRIP_SHARE_OF_GOAL: Final = 0.2

Weights = dict[str, float]


def runs_near(route: Route, round_trip_seconds: float) -> bool:
    """Tell whether a route's keys stay in the region of their callers.

    ``round_trip_seconds`` is to the farthest region and back.
    """
    if route.kind is RequestKind.DOWNLOAD:
        return True
    return round_trip_seconds > ROUND_TRIP_SHARE_OF_GOAL * route.goal_seconds


def wanted_weights(slots: Mapping[str, float]) -> Weights:
    """Return each region's part of the keys, by its slots; the parts add up to one."""
    total = sum(count for count in slots.values() if count > 0)
    return {region: count / total for region, count in slots.items() if count > 0}


def near_weights(slots: Mapping[str, float], home: str, regions: int) -> Weights:
    """Return each region's part of the keys that callers in ``home`` ask for.

    A region keeps its keys as far as its part of the slots goes, if all ``regions`` had
    as many callers. The rest goes where slots are left over by the same measure.
    """
    room = wanted_weights(slots)
    equal = 1 / max(1, regions)
    kept = min(1.0, room.get(home, 0.0) / equal)
    spare = {
        name: max(0.0, part - equal) for name, part in room.items() if name != home
    }
    if not any(spare.values()):
        return {home: 1.0} if kept else room
    others = wanted_weights(spare)
    weights = {name: (1 - kept) * part for name, part in others.items()}
    return wanted_weights({**weights, home: kept})


def moved_toward(now: Weights, wanted: Weights, most: float) -> Weights:
    """Return weights that move at most ``most`` of the keys, toward ``wanted``."""
    names = set(now) | set(wanted)
    change = {name: wanted.get(name, 0.0) - now.get(name, 0.0) for name in names}
    moved = sum(part for part in change.values() if part > 0)
    scale = 1.0 if moved <= most else most / moved
    parts = {name: now.get(name, 0.0) + scale * change[name] for name in names}
    return wanted_weights(parts)


def region_for_key(key: str, weights: Weights) -> str | None:
    """Return the region in which a key runs, or None where there is none.

    Weighted rendezvous: a region whose weight grows takes keys from all others, and no
    key moves between those, so servers stay warm for the keys that they have.
    """
    return max(weights, key=lambda region: _pull(key, region, weights), default=None)


def _pull(key: str, region: str, weights: Weights) -> float:
    """Return how strongly a region draws a key."""
    draw = unit_hash(f"{key}\0{region}")
    return -weights[region] / math.log(draw) if draw > 0 else 0.0
