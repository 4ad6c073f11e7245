"""Choose the hosts of a region that watch the store."""

from collections.abc import Iterable
from typing import Final

import xxhash

from greengagepoint.hosts import HostIdentity

WATCHERS_A_REGION: Final = 2


def watchers_of(region: str, live: Iterable[HostIdentity]) -> tuple[str, ...]:
    """Return the watchers of a region by rendezvous hashing.

    Hosts with different views may disagree; as watching only reads, more
    watchers cost calls and fewer are covered by the other regions' hosts.
    """
    names = (host.name for host in live if host.region == region)
    return tuple(rank(region, names)[:WATCHERS_A_REGION])


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Return names by descending rendezvous weight for a key."""
    return sorted(
        names,
        key=lambda name: xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode()),
        reverse=True,
    )
