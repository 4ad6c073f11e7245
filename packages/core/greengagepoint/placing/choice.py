"""Choose the backend server of one request."""

from collections.abc import Callable, Iterable, Sequence
from typing import Final, NamedTuple

from greengagepoint.placing.ranking import RankCache
from greengagepoint.placing.tables import Server, ServerTable

# A warm run takes about 0.4 of the response-time goal, so a wait of half of it still
# ends in time. A queue that is let grow beyond makes every answer late, at the same
# number of answers: with queues as long as servers take them, 1 to 5 in 100 requests of
# a lasting overload were answered in time.
WAIT_SHARE_OF_GOAL: Final = 0.5
# A cold run takes as long as three warm ones. A server that is not warm for a key takes
# it only while this part of its slots is busy at most; spent on a busy one, each such
# run keeps three callers waiting whose keys are warm there.
IDLE_SHARE: Final = 0.6
# Of the time that a caller has left, what may pass before its request runs: a cold run
# takes a third of a short deadline, and the estimate of a wait is off by as much.
WAIT_SHARE_OF_DEADLINE: Final = 0.4
# Callers that come back at once find the same queue; together they would be a burst.
RETRY_SECONDS_MIN: Final = 0.3


class Wanted(NamedTuple):
    """What is asked of the choice.

    ``seconds_left`` bounds a late answer. ``regions`` is the order in which they may
    be used; ``key`` None means any server.
    """

    service: str
    regions: Sequence[str]
    key: str | None
    goal_seconds: float
    seconds_left: float
    tried: frozenset[str] = frozenset()


class NoPlace(NamedTuple):
    """No server fits; ``retry_seconds`` is when one should."""

    retry_seconds: float
    servers_known: bool


Permission = Callable[[Server], bool]


def choose(
    table: ServerTable,
    ranks: RankCache,
    wanted: Wanted,
    may_send: Permission,
    may_wait: Callable[[], bool],
    now: float,
) -> Server | NoPlace:
    """Return the server for a request, or why there is none.

    Load answered: many hosts send to the same servers without talking about each
    request. Each looks first at the server that is warm for the key and leaves it only
    for a wait that costs more than a cold run.
    """
    longest = wanted.goal_seconds * WAIT_SHARE_OF_GOAL
    shortest = float("inf")
    for place, server in enumerate(_candidates(table, ranks, wanted, now)):
        wait = server.expected_wait(now)
        shortest = min(shortest, wait)
        is_warm = place == 0 and wanted.key is not None
        fits = wait <= longest if is_warm else _is_idle(server, now)
        if fits and _may_use(server, may_send, now):
            return server
    if shortest == float("inf"):
        return NoPlace(retry_seconds=1.0, servers_known=False)
    late = _late_place(table, ranks, wanted, now)
    if late is not None and _may_use(late, may_send, now) and may_wait():
        return late
    retry_seconds = max(RETRY_SECONDS_MIN, shortest - longest)
    return NoPlace(retry_seconds=retry_seconds, servers_known=True)


def _candidates(
    table: ServerTable, ranks: RankCache, wanted: Wanted, now: float
) -> Iterable[Server]:
    """Yield servers in the order of preference, the suspected ones last."""
    suspected = []
    for region in wanted.regions:
        for server in _in_region(table, ranks, wanted, region, now):
            if server.instance in wanted.tried:
                continue
            if server.suspect_until > now:
                suspected.append(server)
            else:
                yield server
        yield from _idle_ones(table, wanted, region, now)
    yield from suspected


def _late_place(
    table: ServerTable, ranks: RankCache, wanted: Wanted, now: float
) -> Server | None:
    """Return the server that is warm for the key, if it answers before the deadline."""
    for region in wanted.regions:
        for server in _in_region(table, ranks, wanted, region, now):
            if server.instance in wanted.tried or server.suspect_until > now:
                continue
            longest = wanted.seconds_left * WAIT_SHARE_OF_DEADLINE
            return server if server.expected_wait(now) <= longest else None
    return None


def _idle_ones(
    table: ServerTable, wanted: Wanted, region: str, now: float
) -> Iterable[Server]:
    """Yield the most idle server of a region, if any may be asked."""
    members = table.find(wanted.service, region).servers
    fit = [
        server
        for server in members
        if server.instance not in wanted.tried and server.suspect_until <= now
    ]
    if not fit:
        return
    yield min(fit, key=lambda row: row.occupancy(now) / row.slots)


def _is_idle(server: Server, now: float) -> bool:
    """Tell whether a server has slots to spare for a cold run."""
    return server.occupancy(now) <= IDLE_SHARE * server.slots


def _in_region(
    table: ServerTable, ranks: RankCache, wanted: Wanted, region: str, now: float
) -> Sequence[Server]:
    """Return the servers of a region, by rank of the key or by their load."""
    if wanted.key is not None:
        return ranks.rank(table, wanted.service, region, wanted.key)
    members = table.find(wanted.service, region).servers
    return sorted(members, key=lambda server: server.occupancy(now) / server.slots)


def _may_use(server: Server, may_send: Permission, now: float) -> bool:
    """Tell whether a server is warm, or this host may send to it though it is cold."""
    return server.cold_until <= now or may_send(server)
