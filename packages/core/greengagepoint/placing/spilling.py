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


def may_leave(key: str, lost: float, busy: float | None) -> bool:
    """Tell whether a key that finds no room in its own region may run in another one.

    ``lost`` is the part of its own region's slots that were lost lately: no larger part
    of the keys may leave, since each of them takes the place of another one in the
    memory of a server there. ``busy`` is the part of the other region's slots in use,
    None where it is not known. All hosts let the same keys go first, so that these are
    warm there when their callers come again.
    """
    if busy is None:
        return False
    room = (BUSY_CLOSED - busy) / (BUSY_CLOSED - BUSY_OPEN)
    return unit_hash(f"spill\0{key}") < min(lost, room)


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
    elsewhere goes before late at home; nobody is sent elsewhere to be late.
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
