"""Spread the requests of a route over its destinations by weight."""

from greengagepoint.routing.tables import Destination, Route


class WeightedSplit:
    """Smooth weighted round robin, one state a route.

    Random choice strays from the weights by several hundredths over the few hundred
    requests that an operator looks at; round robin strays by at most one request a
    host.
    """

    def __init__(self) -> None:
        self.credits: dict[tuple[str, tuple[Destination, ...]], list[float]] = {}

    def choose(self, route: Route) -> str:
        """Return the service that the next request of a route goes to."""
        destinations = route.destinations
        if len(destinations) == 1:
            return destinations[0].service
        credits = self.credits.setdefault(
            (route.name, destinations), [0.0] * len(destinations)
        )
        for index, destination in enumerate(destinations):
            credits[index] += destination.weight
        chosen = max(range(len(credits)), key=credits.__getitem__)
        credits[chosen] -= sum(destination.weight for destination in destinations)
        return destinations[chosen].service

    def keep(self, routes: set[str]) -> None:
        """Forget routes that no longer exist."""
        for key in [key for key in self.credits if key[0] not in routes]:
            del self.credits[key]
