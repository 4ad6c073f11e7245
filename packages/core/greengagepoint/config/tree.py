"""Arrange the hosts of a region in a tree that passes new entries on."""

from collections.abc import Iterable
from typing import Final

from greengagepoint.hosts import HostIdentity
from greengagepoint.rendezvous import rank

FANOUT: Final = 4


def children_of(
    host: str, root: str, region: str, live: Iterable[HostIdentity]
) -> tuple[str, ...]:
    """Return the hosts to which a host passes on what came from a root.

    The order depends on the root, so an inner host of one tree is mostly a leaf of
    the other: a host that is lost or paused cuts off a branch of one tree only.
    Hosts whose views differ leave gaps, which anti-entropy closes.
    """
    names = {other.name for other in live if other.region == region}
    names.update((host,))
    names.discard(root)
    order = [root, *rank(root, names)]
    first = FANOUT * order.index(host) + 1
    return tuple(order[first : first + FANOUT])
