"""Keep which part of the keys of each service runs in which region."""

from typing import Final, NamedTuple

from greengagepoint.events import Event
from greengagepoint.placing.regions import (
    CHANGE_PER_SECOND,
    Weights,
    local_weights,
    step_toward,
    weights_by_slots,
)
from greengagepoint.placing.tables import ServerTable
from greengagepoint_node.context import EventSink

LOGGED_CHANGE: Final = 0.1
# After a pause the weights move on as after one second, not all at once.
TICK_SECONDS_MAX: Final = 1.0


class WeightKey(NamedTuple):
    """A service, and the regions in which its requests have to stay; none means any.

    ``near`` requests run in the callers' own region where they can.
    """

    service: str
    homes: frozenset[str]
    near: bool = False


class RegionWeights:
    """Move the weights slowly toward what the servers ask for."""

    def __init__(
        self, home: str, regions: int, servers: ServerTable, events: EventSink
    ) -> None:
        self.home = home
        self.regions = regions
        self.servers = servers
        self.events = events
        self.weights: dict[WeightKey, Weights] = {}
        self.logged: dict[WeightKey, Weights] = {}
        self.ticked_at: float | None = None

    def current(self, key: WeightKey) -> Weights:
        """Return the weights by which keys are given to regions now."""
        found = self.weights.get(key)
        if not found:
            found = self._wanted(key, self.slots(key))
            self.weights[key] = found
        return found

    def tick(self, now: float) -> None:
        """Move all weights."""
        elapsed = now - self.ticked_at if self.ticked_at is not None else 0.0
        self.ticked_at = now
        most = CHANGE_PER_SECOND * min(elapsed, TICK_SECONDS_MAX)
        for key, weights in list(self.weights.items()):
            slots = self.slots(key)
            # A region without servers can't run anything, so its part moves at once.
            possible = {name: part for name, part in weights.items() if name in slots}
            wanted = self._wanted(key, slots)
            moved = step_toward(weights_by_slots(possible), wanted, most)
            self.weights[key] = moved
            self._log(key, moved, slots)

    def _wanted(self, key: WeightKey, slots: dict[str, float]) -> Weights:
        """Return the weights that the servers ask for."""
        if not key.near:
            return weights_by_slots(slots)
        return local_weights(slots, self.home, self.regions)

    def slots(self, key: WeightKey) -> dict[str, float]:
        """Return the slots by region that requests may use."""
        return {
            region: float(self.servers.find(key.service, region).slots)
            for region in self.servers.regions_of(key.service)
            if not key.homes or region in key.homes
        }

    def _log(self, key: WeightKey, moved: Weights, slots: dict[str, float]) -> None:
        """Tell of weights that have changed much."""
        logged = self.logged.get(key, {})
        change = max(
            (
                abs(moved.get(name, 0.0) - logged.get(name, 0.0))
                for name in {*moved, *logged}
            ),
            default=0.0,
        )
        if change < LOGGED_CHANGE:
            return
        self.logged[key] = moved
        self.events.record(
            Event.SPILL_CHANGED,
            service=key.service,
            homes=sorted(key.homes),
            near=key.near,
            weights={name: round(part, 3) for name, part in moved.items()},
            slots=slots,
        )
