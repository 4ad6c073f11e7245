"""Tell which hosts share the limits of backend servers.

A limit over all hosts is split by their number or among their names. A host that is cut
off from its peers, but not from servers or the store, hears nobody. If it counted only
those that it hears, each part of a split fleet would use the whole limit.
"""

from collections.abc import Collection, Iterable


def limit_sharers(
    heard: Iterable[str], registered: Iterable[str], leaving: Collection[str]
) -> list[str]:
    """Return the sorted names of all hosts that may send to backend servers.

    ``heard`` are the hosts whose heartbeats arrive, this one included, ``registered``
    those that the store names. A host that is ``leaving`` sends nothing new; it stays
    registered until it has exited. So does a host that died until its lease expires,
    and its share is unused until then.
    """
    return sorted({*heard, *(name for name in registered if name not in leaving)})
