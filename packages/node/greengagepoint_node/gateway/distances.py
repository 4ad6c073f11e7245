"""Know how far other regions are, from exchanges with their hosts."""

import math
from typing import Final

# One to open the connection, one for the exchange. The shortest exchange counts: the
# others hold the time in which a peer or this host was busy.
ROUND_TRIPS_OF_EXCHANGE: Final = 2


class RegionDistances:
    """The round trip to each region, in seconds; ``home`` is this host's region."""

    def __init__(self, home: str) -> None:
        self.home = home
        self.round_trips: dict[str, float] = {}

    def note(self, region: str | None, seconds: float) -> None:
        """Learn from an exchange with a host of a region, None if that is not known."""
        if region is None:
            return
        known = self.round_trips.get(region, math.inf)
        self.round_trips[region] = min(known, seconds / ROUND_TRIPS_OF_EXCHANGE)

    def farthest(self) -> float:
        """Return the round trip to the farthest region, 0 while none is known."""
        return max(self.round_trips.values(), default=0.0)

    def to(self, region: str) -> float:
        """Return the round trip to a region, 0 to the own one or while not known."""
        if region == self.home:
            return 0.0
        return self.round_trips.get(region, 0.0)
