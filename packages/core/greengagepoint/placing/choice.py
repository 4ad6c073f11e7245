"""Choose the backend server of one request."""

from collections.abc import Callable, Iterable, Sequence
from typing import Final, NamedTuple

from greengagepoint.placing.ranking import RankCache
from greengagepoint.placing.tables import Server, ServerTable

# Waiting at the warm server beats a cold run elsewhere until the wait alone takes this
# part of the response-time goal: a warm run takes about 0.4 of it, a cold one all.
WAIT_SHARE_OF_GOAL: Final = 0.5
# A request that can't even begin before this part of its time has passed would occupy
# a slot and end late.
WAIT_SHARE_OF_DEADLINE: Final = 0.6


class Wanted(NamedTuple):
    """What is asked of the choice.

    ``regions`` is the order in which they may be used; ``key`` None means any server.
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
    now: float,
) -> Server | NoPlace:
    """Return the server for a request, or why there is none.

    Load answered: many hosts send to the same servers without talking about each
    request. Each looks first at the server that is warm for the key and leaves it only
    for a wait that costs more than a cold run.
    """
    candidates = list(_candidates(table, ranks, wanted, now))
    for server in candidates:
        if server.expected_wait(now) > wanted.goal_seconds * WAIT_SHARE_OF_GOAL:
            continue
        if _may_use(server, may_send, now):
            return server
    return _least_wait(candidates, wanted, may_send, now)


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
    yield from suspected


def _in_region(
    table: ServerTable, ranks: RankCache, wanted: Wanted, region: str, now: float
) -> Sequence[Server]:
    """Return the servers of a region, by rank of the key or by their load."""
    if wanted.key is not None:
        return ranks.rank(table, wanted.service, region, wanted.key)
    members = table.find(wanted.service, region).servers
    return sorted(members, key=lambda server: server.occupancy(now) / server.slots)


def _least_wait(
    candidates: Sequence[Server], wanted: Wanted, may_send: Permission, now: float
) -> Server | NoPlace:
    """Return the candidate with the least wait, if the request can still end there."""
    if not candidates:
        return NoPlace(retry_seconds=1.0, servers_known=False)
    longest = wanted.seconds_left * WAIT_SHARE_OF_DEADLINE
    for server in sorted(candidates, key=lambda row: row.expected_wait(now)):
        if server.expected_wait(now) > longest:
            break
        if _may_use(server, may_send, now):
            return server
    shortest = min(server.expected_wait(now) for server in candidates)
    return NoPlace(retry_seconds=shortest, servers_known=True)


def _may_use(server: Server, may_send: Permission, now: float) -> bool:
    """Tell whether a server is warm, or this host may send to it though it is cold."""
    return server.cold_until <= now or may_send(server)
