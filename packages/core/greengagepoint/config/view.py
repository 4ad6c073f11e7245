"""Remember what follows from the view of live hosts until it changes."""

from collections.abc import Iterable, Sequence
from typing import Final

from greengagepoint.config.tree import children_of
from greengagepoint.config.watchers import watchers_of
from greengagepoint.hosts import HostIdentity

TREES_MAX: Final = 64


class FleetView:
    """Tell a host's peers, watchers and children for one view of live hosts.

    Ranking a region's hosts takes a hash a host; done for each message and tick it
    would be most of what the exchange costs.
    """

    def __init__(self, host: HostIdentity, live: Iterable[HostIdentity] = ()) -> None:
        self.host = host
        self.live = tuple(live)
        others = [other for other in self.live if other.name != host.name]
        self.near = [other for other in others if other.region == host.region]
        self.far = [other for other in others if other.region != host.region]
        self.watchers: dict[str, tuple[str, ...]] = {}
        self.trees: dict[str, tuple[str, ...]] = {}

    def is_watcher(self) -> bool:
        """Tell whether this host should watch the store, also when it is alone."""
        region = self.host.region
        if region not in self.watchers:
            self.watchers[region] = watchers_of(region, (self.host, *self.near))
        return self.host.name in self.watchers[region]

    def far_watchers(self) -> list[str]:
        """Return the watchers of all other regions."""
        regions = sorted({host.region for host in self.far})
        for region in regions:
            if region not in self.watchers:
                self.watchers[region] = watchers_of(region, self.far)
        return [name for region in regions for name in self.watchers[region]]

    def children(self, root: str) -> tuple[str, ...]:
        """Return the hosts to which this one passes on what came from a root."""
        if root not in self.trees:
            if len(self.trees) >= TREES_MAX:
                self.trees.clear()
            region = self.host.region
            self.trees[root] = children_of(self.host.name, root, region, self.near)
        return self.trees[root]


def refresh(view: FleetView, live: Sequence[HostIdentity]) -> FleetView:
    """Return the view unchanged where the live hosts are the same, else a new one."""
    if len(view.live) == len(live) and view.live == tuple(live):
        return view
    return FleetView(view.host, live)
