"""Keep which part of the keys of each service runs in which region."""

from typing import Final, NamedTuple

from greengagepoint.events import Event
from greengagepoint.placing.regions import (
    CHANGE_PER_SECOND,
    Weights,
    moved_toward,
    wanted_weights,
)
from greengagepoint.placing.tables import ServerTable
from greengagepoint_node.context import EventSink

LOGGED_CHANGE: Final = 0.1
# After a pause the weights move on as after one second, not all at once.
TICK_SECONDS_MAX: Final = 1.0


class WeightKey(NamedTuple):
    """A service, and the regions in which its requests have to stay; none means any."""

    service: str
    homes: frozenset[str]


class RegionWeights:
    """Move the weights slowly toward what the servers ask for."""

    def __init__(self, servers: ServerTable, events: EventSink) -> None:
        self.servers = servers
        self.events = events
        self.weights: dict[WeightKey, Weights] = {}
        self.logged: dict[WeightKey, Weights] = {}
        self.ticked_at: float | None = None

    def current(self, service: str, homes: frozenset[str]) -> Weights:
        """Return the weights of a service, among its home regions if it has any."""
        key = WeightKey(service, homes)
        found = self.weights.get(key)
        if not found:
            found = wanted_weights(self._slots(key))
            self.weights[key] = found
        return found

    def tick(self, now: float) -> None:
        """Move all weights."""
        elapsed = now - self.ticked_at if self.ticked_at is not None else 0.0
        self.ticked_at = now
        most = CHANGE_PER_SECOND * min(elapsed, TICK_SECONDS_MAX)
        for key, weights in list(self.weights.items()):
            slots = self._slots(key)
            # A region without servers can't run anything, so its part moves at once.
            possible = {name: part for name, part in weights.items() if name in slots}
            moved = moved_toward(wanted_weights(possible), wanted_weights(slots), most)
            self.weights[key] = moved
            self._log(key, moved, slots)

    def _slots(self, key: WeightKey) -> dict[str, float]:
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
            weights={name: round(part, 3) for name, part in moved.items()},
            slots=slots,
        )
