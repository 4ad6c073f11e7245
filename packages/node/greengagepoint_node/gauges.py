"""Figures that metrics read from the daemon's parts."""

from collections.abc import Callable
from typing import Protocol

from greengagepoint.configuration import Configuration
from greengagepoint_node.metrics import PeerTotals
from greengagepoint_node.peers import PeerCounters


class HeadroomReader(Protocol):
    """Tell how much more may be sent to a site."""

    def headroom(self, site: str) -> int:
        """Return how many requests more could start toward a site."""


def read_headroom(
    configuration: Callable[[], Configuration], caps: HeadroomReader
) -> dict[str, float]:
    """Return what this host could still send toward each region."""
    free: dict[str, float] = {}
    for site in configuration().sites.values():
        headroom = caps.headroom(site.name)
        free[site.region] = free.get(site.region, 0) + headroom
    return free


def read_peer_totals(counters: PeerCounters) -> PeerTotals:
    """Return the totals of the peer links."""
    return PeerTotals(
        counters.bytes_in,
        counters.bytes_out,
        counters.messages_in,
        counters.messages_out,
        counters.rejected,
        counters.dropped,
    )
