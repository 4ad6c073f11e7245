"""Keep the share of each service's keys that runs in each region."""

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

LOGGED_CHANGE_MIN: Final = 0.1
# After a longer pause the weights move as far as in one second, not all at once.
ELAPSED_SECONDS_MAX: Final = 1.0


class WeightKey(NamedTuple):
    """A service and the regions to which its requests are restricted, empty for any.

    ``prefers_local`` requests run in the callers' own region if possible.
    """

    service: str
    home_regions: frozenset[str]
    prefers_local: bool = False


class RegionWeights:
    """Move the weights of regions gradually toward the slots of their servers."""

    def __init__(
        self, home: str, regions: int, servers: ServerTable, events: EventSink
    ) -> None:
        self.home = home
        self.regions = regions
        self.servers = servers
        self.events = events
        self.weights: dict[WeightKey, Weights] = {}
        self.logged_weights: dict[WeightKey, Weights] = {}
        self.ticked_at: float | None = None

    def current(self, key: WeightKey) -> Weights:
        """Return the current weights by which keys are assigned to regions."""
        found = self.weights.get(key)
        if not found:
            found = self._target_weights(key, self.slots(key))
            self.weights[key] = found
        return found

    def tick(self, now: float) -> None:
        """Move all weights one step toward their targets."""
        elapsed = now - self.ticked_at if self.ticked_at is not None else 0.0
        self.ticked_at = now
        max_change = CHANGE_PER_SECOND * min(elapsed, ELAPSED_SECONDS_MAX)
        for key, weights in list(self.weights.items()):
            slots = self.slots(key)
            # A region without servers can't run requests, so its share moves at once.
            with_servers = {
                name: weight for name, weight in weights.items() if name in slots
            }
            target = self._target_weights(key, slots)
            updated = step_toward(weights_by_slots(with_servers), target, max_change)
            self.weights[key] = updated
            self._log(key, updated, slots)

    def _target_weights(self, key: WeightKey, slots: dict[str, float]) -> Weights:
        """Return the weights that match the current slots of servers."""
        if not key.prefers_local:
            return weights_by_slots(slots)
        return local_weights(slots, self.home, self.regions)

    def slots(self, key: WeightKey) -> dict[str, float]:
        """Return the slots in each region that requests may use."""
        return {
            region: float(self.servers.find(key.service, region).slots)
            for region in self.servers.regions_of(key.service)
            if not key.home_regions or region in key.home_regions
        }

    def _log(self, key: WeightKey, updated: Weights, slots: dict[str, float]) -> None:
        """Log weights that changed by at least ``LOGGED_CHANGE_MIN``."""
        logged_weights = self.logged_weights.get(key, {})
        change = max(
            (
                abs(updated.get(name, 0.0) - logged_weights.get(name, 0.0))
                for name in {*updated, *logged_weights}
            ),
            default=0.0,
        )
        if change < LOGGED_CHANGE_MIN:
            return
        self.logged_weights[key] = updated
        self.events.record(
            Event.SPILL_CHANGED,
            service=key.service,
            homes=sorted(key.home_regions),
            near=key.prefers_local,
            weights={name: round(weight, 3) for name, weight in updated.items()},
            slots=slots,
        )
