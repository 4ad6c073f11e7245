"""Split the requests of a route between its destinations by weight."""

from greengagepoint.routing.tables import Destination, Route


class WeightedSplit:
    """Choose destinations by smooth weighted round robin, with a state per route.

    Random choice deviates from the weights by several percentage points over the few
    hundred requests that an operator looks at; round robin deviates by at most one
    request per host.
    """

    def __init__(self) -> None:
        self.credits: dict[tuple[str, tuple[Destination, ...]], list[float]] = {}

    def choose(self, route: Route) -> str:
        """Return the service for the next request of a route."""
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

    def retain(self, routes: set[str]) -> None:
        """Drop the state of routes whose names are not in ``routes``."""
        for key in [key for key in self.credits if key[0] not in routes]:
            del self.credits[key]
