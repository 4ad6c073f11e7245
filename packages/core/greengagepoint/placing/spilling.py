"""Choose the server of a request, in its key's region or, failing that, in another.

Load answered: two availability zones of one region are emptied, or come back cold,
while the servers of the next region idle. A caller that is refused at home beside those
gets nothing; served there, it pays one round trip more and is mostly in time.
"""

from collections.abc import Callable, Sequence
from typing import Final, NamedTuple

from greengagepoint.placing.choice import NoPlace, Permissions, Wanted, choose
from greengagepoint.placing.ranking import RankCache, unit_hash
from greengagepoint.placing.tables import Server, ServerTable

# A region takes all keys that find no room elsewhere while it is this busy or less, and
# none from the other bound on. A key runs cold there first, for as long as three warm
# runs, so a region that is filled to the brim with such keys serves its own too late.
BUSY_OPEN: Final = 0.55
BUSY_CLOSED: Final = 0.95


def may_take_key(key: str, busy: float | None) -> bool:
    """Tell whether a region may take a key that finds no room in its own.

    ``busy`` is the part of the region's slots that are in use, None where it is not
    known. The same keys are taken first by every host, so they are warm there when
    their callers come again.
    """
    if busy is None:
        return False
    share = (BUSY_CLOSED - busy) / (BUSY_CLOSED - BUSY_OPEN)
    return unit_hash(f"spill\0{key}") < share


class Elsewhere(NamedTuple):
    """Another region that may run a request, and the round trip to it in seconds."""

    region: str
    away_seconds: float


def choose_with_spill(
    table: ServerTable,
    ranks: RankCache,
    wanted: Wanted,
    elsewhere: Sequence[Elsewhere],
    permissions: Permissions,
    may_spill: Callable[[Server], bool],
    now: float,
) -> Server | NoPlace:
    """Return the server for a request, or why there is none in its key's region.

    ``elsewhere`` are the other regions that may run it, the best first. In time
    elsewhere goes before late at home, and late at home before late elsewhere.
    """
    in_time = permissions._replace(may_wait=lambda: False)
    place = choose(table, ranks, wanted, in_time, now)
    if isinstance(place, Server):
        return place
    for region, seconds in elsewhere:
        there = wanted._replace(regions=[region], away_seconds=seconds)
        away = choose(table, ranks, there, in_time, now)
        if isinstance(away, Server) and may_spill(away):
            return away
    return choose(table, ranks, wanted, permissions, now)
