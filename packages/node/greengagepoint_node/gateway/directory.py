"""Tell callers which entry hosts to use."""

from greengagepoint.protocols import Clock
from greengagepoint_node.gateway.gossip import Gossip
from greengagepoint_node.gateway.view import FleetView

ADDRESSES_MAX = 64
# Callers leave a host that stops within three times this at worst.
TTL_SECONDS = 1.0


class HostDirectory:
    """Name the hosts of a caller's region, or others when it has none."""

    def __init__(self, view: FleetView, gossip: Gossip, clock: Clock) -> None:
        self.view = view
        self.gossip = gossip
        self.clock = clock

    def addresses(self, region: str) -> list[str]:
        """Return host:port of the hosts that a caller of a region should use."""
        now = self.clock.monotonic()
        entries = {
            state.entry.name: state.entry for state in self.gossip.table.alive(now)
        }
        near = [entry for entry in entries.values() if entry.region == region]
        chosen = near or list(entries.values())
        return sorted(entry.front_address for entry in chosen)[:ADDRESSES_MAX]
