"""Keep the share of each service's keys that runs in each region."""

from typing import Final, NamedTuple

from greengagepoint.demand.regional import RegionalDemand
from greengagepoint.demand.shares import reassign_lost, settled_target
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
from greengagepoint_node.gateway.counters import RegionGauge

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
    """Move the weights of regions gradually toward the slots of their servers.

    With the demand-aware mode on, requests that prefer the callers' region move toward
    the shares that follow from the demand of all regions.
    """

    def __init__(
        self,
        home: str,
        regions: int,
        servers: ServerTable,
        events: EventSink,
        demand: RegionalDemand | None = None,
    ) -> None:
        self.home = home
        self.regions = regions
        self.servers = servers
        self.events = events
        self.demand = demand or RegionalDemand("", home, frozenset(), servers)
        self.targets: dict[WeightKey, Weights] = {}
        self.keys_before_demand: frozenset[WeightKey] = frozenset()
        self.weights: dict[WeightKey, Weights] = {}
        self.logged_weights: dict[WeightKey, Weights] = {}
        self.ticked_at: float | None = None

    def current(self, key: WeightKey) -> Weights:
        """Return the current weights by which keys are assigned to regions."""
        found = self.weights.get(key)
        if not found:
            found = self._first_weights(key)
            self.weights[key] = found
        return found

    def _first_weights(self, key: WeightKey) -> Weights:
        """Return the weights of requests that have none yet.

        If a route begins to run near its callers, because the mode is switched on,
        its keys move from their regions in steps too. A host that starts uses the
        shares that its peers' figures give already.
        """
        former = key._replace(prefers_local=False)
        if self.servers.demand.is_on and former in self.keys_before_demand:
            weights = self.weights.get(former)
            if weights:
                return weights
        slots = self.slots(key)
        if self._follows_demand(key) and self.ticked_at is not None:
            shares = self.demand.shares(key.service, slots, self.ticked_at)
            if shares is not None:
                return shares
        return self._target_weights(key, slots)

    def tick(self, now: float) -> None:
        """Move all weights one step toward their targets."""
        elapsed = now - self.ticked_at if self.ticked_at is not None else 0.0
        self.ticked_at = now
        if not self.servers.demand.is_on:
            self.keys_before_demand = frozenset(self.weights)
        max_change = CHANGE_PER_SECOND * min(elapsed, ELAPSED_SECONDS_MAX)
        for key, weights in list(self.weights.items()):
            slots = self.slots(key)
            target = self._settled_target(key, slots, now)
            usable = self._usable_weights(key, weights, target, slots)
            updated = step_toward(usable, target, max_change)
            self.weights[key] = updated
            self._log(key, updated, slots)

    def _usable_weights(
        self,
        key: WeightKey,
        weights: Weights,
        target: Weights,
        slots: dict[str, float],
    ) -> Weights:
        """Return the weights after the loss of regions.

        A region without servers can't run requests, so its share moves at once.
        """
        if self._follows_demand(key):
            return reassign_lost(weights, target, slots)
        return weights_by_slots(
            {name: weight for name, weight in weights.items() if name in slots}
        )

    def _target_weights(self, key: WeightKey, slots: dict[str, float]) -> Weights:
        """Return the weights that match the current slots of servers."""
        if not key.prefers_local:
            return weights_by_slots(slots)
        return local_weights(slots, self.home, self.regions)

    def _settled_target(
        self, key: WeightKey, slots: dict[str, float], now: float
    ) -> Weights:
        """Return the target weights; small changes of demand do not change them."""
        former = self.targets.pop(key, None)
        if not self._follows_demand(key):
            return self._target_weights(key, slots)
        shares = self.demand.shares(key.service, slots, now)
        target = shares or self._target_weights(key, slots)
        target = settled_target(former, target, slots)
        self.targets[key] = target
        if former != target:
            self._log_target(key, former, slots, now)
        return target

    def _follows_demand(self, key: WeightKey) -> bool:
        """Return True if the demand of regions decides where requests run.

        Requests with home regions are few and load other regions than their callers'.
        """
        is_on = self.servers.demand.is_on
        return is_on and key.prefers_local and not key.home_regions

    def gauges(self, now: float) -> list[RegionGauge]:
        """Return the demand of regions and their shares of this host's keys."""
        table = self.demand.table
        rows = []
        for key, weights in self.weights.items():
            if not self._follows_demand(key):
                continue
            for region in sorted(table.names | set(weights)):
                figure = table.recent_figure((region, key.service), now)
                rate, peak = (-1.0, -1.0) if figure is None else figure
                share = weights.get(region, 0.0)
                rows.append(RegionGauge(key.service, region, rate, peak, share))
        return rows

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

    def _log_target(
        self,
        key: WeightKey,
        former: Weights | None,
        slots: dict[str, float],
        now: float,
    ) -> None:
        """Log a new target with its inputs and their ages."""
        demand = self.demand.demand(key.service, now)
        self.events.record(
            Event.REGION_SHARES_CHANGED,
            service=key.service,
            home=self.home,
            former=_rounded(former or {}),
            target=_rounded(self.targets[key]),
            slots=slots,
            demand=_rounded(demand.slots) if demand else None,
            ages=_rounded(demand.ages) if demand else None,
            run_seconds=round(demand.run_seconds, 3) if demand else None,
        )


def _rounded(figures: dict[str, float]) -> dict[str, float]:
    """Return figures rounded for a log line."""
    return {name: round(value, 3) for name, value in figures.items()}
