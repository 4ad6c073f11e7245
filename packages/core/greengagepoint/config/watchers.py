"""Choose the hosts of a region that watch the store."""

from collections.abc import Iterable
from typing import Final

from greengagepoint.hosts import HostIdentity
from greengagepoint.rendezvous import rank

WATCHERS_A_REGION: Final = 2


def watchers_of(region: str, live: Iterable[HostIdentity]) -> tuple[str, ...]:
    """Return the watchers of a region by rendezvous hashing.

    Hosts with different views may disagree; as watching only reads, more
    watchers cost calls and fewer are covered by the other regions' hosts.
    """
    names = (host.name for host in live if host.region == region)
    return tuple(rank(region, names)[:WATCHERS_A_REGION])
