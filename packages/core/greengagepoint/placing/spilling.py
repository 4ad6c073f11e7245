"""Choose the server of a request in its key's region or, failing that, in another one.

Two availability zones of a region may be evacuated, or return cold, while the servers
of the next region are idle. A caller rejected in its own region gets nothing; in the
other region it pays one more round trip and is mostly answered in time.
"""

from collections.abc import Callable, Sequence
from typing import Final, NamedTuple

from greengagepoint.placing.choice import (
    NoServerAvailable,
    Permissions,
    ServerCriteria,
    choose,
)
from greengagepoint.placing.ranking import RankCache, unit_hash
from greengagepoint.placing.tables import Server, ServerTable

# Up to the first share of slots in use, a region accepts all keys that another region
# has no capacity for; from the second one on it accepts none. A spilled key first runs
# cold, for as long as three warm runs, so a region filled with such keys would serve
# its own callers too late.
BUSY_OPEN: Final = 0.55
BUSY_CLOSED: Final = 0.95
# Share of keys that may leave a region that is only busy. Hosts that saved their
# allowances would otherwise all spend them in the first two seconds of a peak. At most
# 0.15 of a region's requests may change their region in that time, and weights take
# 0.06 of that.
BUSY_SPILL_KEY_SHARE: Final = 0.08


def can_spill_key(key: str, lost: float, busy: float | None) -> bool:
    """Return True if a key without a server in its region may run in another one.

    ``lost`` is the share of slots that the key's own region lost recently. No larger
    share of the keys may leave, because each of them evicts another key from a server's
    memory. ``busy`` is the share of the other region's slots in use, None if unknown.
    All hosts spill the same keys first, so those are warm in the other region when
    their callers send again.
    """
    if busy is None:
        return False
    free_share = (BUSY_CLOSED - busy) / (BUSY_CLOSED - BUSY_OPEN)
    return unit_hash(f"spill\0{key}") < min(lost, free_share)


class RemoteRegion(NamedTuple):
    """Name another region that may run a request, and the round-trip time to it."""

    region: str
    round_trip_seconds: float


def choose_with_spill(
    table: ServerTable,
    ranks: RankCache,
    criteria: ServerCriteria,
    remote_regions: Sequence[RemoteRegion],
    permissions: Permissions,
    may_spill: Callable[[Server], bool],
    now: float,
) -> Server | NoServerAvailable:
    """Return the server for a request, or why there is none in its key's region.

    ``remote_regions`` are the other regions that may run it, best first. An answer in
    time from another region is preferred to a late one from the key's own region. No
    request goes to another region if its answer would be late there.
    """
    in_time = permissions._replace(may_wait=lambda: False)
    choice = choose(table, ranks, criteria, in_time, now)
    if isinstance(choice, Server):
        return choice
    for region, seconds in remote_regions:
        remote = criteria._replace(regions=[region], round_trip_seconds=seconds)
        remote_choice = choose(table, ranks, remote, in_time, now)
        if isinstance(remote_choice, Server) and may_spill(remote_choice):
            return remote_choice
    return choose(table, ranks, criteria, permissions, now)
