"""Decide whose key weights a host applies, and check them."""

import math
from dataclasses import dataclass, field
from typing import Final

from greengagepoint.key_placement.balancing import WEIGHT_MAX, WEIGHT_MIN
from greengagepoint.key_placement.homes import is_valid_count
from greengagepoint.key_placement.messages import KeyWeights
from greengagepoint.placing.tables import ServerTable

# More servers than a region of the largest deployment has.
WEIGHTS_MAX: Final = 4_096
SERVICES_MAX: Final = 256


@dataclass(slots=True)
class RegionPlacement:
    """The weights of one region's servers, the incarnation that issued them, and when.

    ``weights`` may name servers that this host does not know yet.
    """

    coordinator: str = ""
    started: int = 0
    version: int = 0
    weights: dict[str, float] = field(default_factory=dict)
    homes: dict[str, int] = field(default_factory=dict)
    received_at: float = float("-inf")

    def is_newer(self, message: KeyWeights, *, is_passed_on: bool) -> bool:
        """Return True if a message replaces these weights.

        Those of another incarnation do if it sent them itself: the host asks the
        coordinator that it ranks first among those alive. Weights that another host
        passes on may be older, and hosts that take them in turn move keys each time.
        """
        if (message.coordinator, message.started) != (self.coordinator, self.started):
            return not (is_passed_on and self.version)
        return message.version > self.version

    def create_message(self) -> KeyWeights:
        """Return these weights as a message of their coordinator."""
        return KeyWeights(
            self.coordinator,
            self.version,
            dict(self.weights),
            dict(self.homes),
            self.started,
        )


@dataclass(slots=True)
class AppliedWeights:
    """Hold the weights of all regions and merge them into the table of servers."""

    regions: dict[str, RegionPlacement] = field(default_factory=dict)
    merged_version: int = -1

    def of_region(self, region: str) -> RegionPlacement:
        """Return the weights of a region's servers."""
        return self.regions.get(region, NO_PLACEMENT)

    def apply(
        self,
        region: str,
        message: KeyWeights,
        table: ServerTable,
        now: float,
        *,
        is_passed_on: bool = False,
    ) -> int | None:
        """Apply a message that is newer; return None if it is not.

        Return the number of rows that are left out, as they are out of range. Weights
        of servers that this host does not know yet are kept for when it does.
        ``is_passed_on`` is true if the sender is not the coordinator.
        """
        if not self.of_region(region).is_newer(message, is_passed_on=is_passed_on):
            return None
        if is_too_large(message):
            return len(message.weights) + len(message.homes)
        weights = {
            name: weight
            for name, weight in message.weights.items()
            if math.isfinite(weight) and WEIGHT_MIN <= weight <= WEIGHT_MAX
        }
        homes = {
            service: count
            for service, count in message.homes.items()
            if is_valid_count(count)
        }
        self.regions[region] = RegionPlacement(
            message.coordinator, message.started, message.version, weights, homes, now
        )
        self.merge(table)
        out_of_range = len(message.weights) - len(weights)
        return out_of_range + len(message.homes) - len(homes)

    def tick(self, table: ServerTable) -> None:
        """Apply weights of servers that this host has learned of since."""
        if self.merged_version != table.version:
            self.merge(table)

    def merge(self, table: ServerTable) -> None:
        """Write the weights of known servers into the table."""
        self.merged_version = table.version
        weights = {
            name: weight
            for region, placement in self.regions.items()
            for name, weight in placement.weights.items()
            if weight != 1 and _is_in_region(table, name, region)
        }
        homes = {
            (region, service): count
            for region, placement in self.regions.items()
            for service, count in placement.homes.items()
        }
        table.set_key_placement(weights, homes)

    def clear(self, table: ServerTable) -> None:
        """Drop all weights."""
        if self.regions:
            self.regions.clear()
            self.merge(table)


def is_too_large(message: KeyWeights) -> bool:
    """Return True if a message has more rows than any region needs."""
    if len(message.weights) > WEIGHTS_MAX:
        return True
    return len(message.homes) > SERVICES_MAX


def _is_in_region(table: ServerTable, instance: str, region: str) -> bool:
    """Return True if a server is known and in a region."""
    server = table.servers.get(instance)
    return server is not None and server.region == region


NO_PLACEMENT: Final = RegionPlacement()
