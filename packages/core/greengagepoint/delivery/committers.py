"""Choose which hosts write claims for their region, and how often."""

from collections.abc import Iterable, Sequence
from typing import Final

from greengagepoint.rendezvous import rank

COMMITTERS_PER_REGION: Final = 1
CLAIMS_PER_WRITE_MAX: Final = 128
STORE_WRITES_PER_SECOND: Final = 100.0
DIRECT_WRITES_PER_SECOND: Final = 100.0
DIRECT_HOSTS_MAX: Final = 100
DIRECT_BURST: Final = 2.0
WRITE_INTERVAL_MIN_SECONDS: Final = 0.005


def committers(region: str, live_hosts: Iterable[str]) -> list[str]:
    """Return the hosts that write a region's claims, by rendezvous hashing.

    Two hosts with different views choose differently, which costs a write more
    and breaks nothing: the store's create-if-absent decides, not who sends it.
    """
    return rank(region, live_hosts)[:COMMITTERS_PER_REGION]


def committer_for(key: str, chosen: Sequence[str]) -> str:
    """Return which of a region's committers writes a claim."""
    return rank(key, chosen)[0]


def write_interval_seconds(regions: int) -> float:
    """Return the shortest time between a committer's writes.

    All committers together stay under ``STORE_WRITES_PER_SECOND``, so that a
    growing fleet makes batches larger and not the store busier.
    """
    committers_in_all = max(1, regions) * COMMITTERS_PER_REGION
    return max(WRITE_INTERVAL_MIN_SECONDS, committers_in_all / STORE_WRITES_PER_SECOND)


def direct_writes_per_second(hosts: int) -> float:
    """Return how many claims a second a host may write by itself, without a hop.

    While claims are few, waiting for company only makes them late. Each host can
    save up a few such writes, so in a large fleet a wave of claims would hit the
    store at once; there all go through committers.
    """
    if hosts > DIRECT_HOSTS_MAX:
        return 0.0
    return DIRECT_WRITES_PER_SECOND / max(1, hosts)
