"""Estimate round-trip times to other regions from exchanges with their hosts."""

import math
from typing import Final

# One to open the connection, one for the exchange. The shortest exchange counts, as the
# others include time in which the peer or this host was busy.
ROUND_TRIPS_OF_EXCHANGE: Final = 2


class RegionDistances:
    """Hold the round-trip time to each region; ``home`` is this host's region."""

    def __init__(self, home: str) -> None:
        self.home = home
        self.round_trips: dict[str, float] = {}

    def record_exchange(self, region: str | None, seconds: float) -> None:
        """Record an exchange with a host of a region; None is ignored."""
        if region is None:
            return
        shortest = self.round_trips.get(region, math.inf)
        self.round_trips[region] = min(shortest, seconds / ROUND_TRIPS_OF_EXCHANGE)

    def max_round_trip(self) -> float:
        """Return the longest round trip to a region in seconds, 0 if none is known."""
        return max(self.round_trips.values(), default=0.0)

    def round_trip_to(self, region: str) -> float:
        """Return the round trip in seconds, 0 for the own or an unknown region."""
        if region == self.home:
            return 0.0
        return self.round_trips.get(region, 0.0)
