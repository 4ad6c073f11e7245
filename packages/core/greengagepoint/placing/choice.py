"""Choose the backend server of one request."""

from collections.abc import Callable, Iterable, Sequence
from typing import Final, NamedTuple

from greengagepoint.placing.ranking import RankCache
from greengagepoint.placing.tables import Incarnation, Server, ServerTable

# A warm run takes about 0.4 of the response-time goal, so a wait of half of it still
# ends in time. A queue that is let grow beyond makes every answer late, at the same
# number of answers.
WAIT_SHARE_OF_GOAL: Final = 0.5
# A cold run takes as long as three warm ones or four. It comes only where a caller
# would wait too long at the servers that are warm; a server takes it while this part of
# its slots is busy at most. With much less, callers are refused, or wait at a full
# server, beside ones that are half busy; with the last slot too, keys are pushed out
# where servers remember few.
ROOM_SHARE: Final = 0.8
# A key that moves to the server that should have it is in no hurry: its run must not
# make callers wait whose keys are warm there.
IDLE_SHARE: Final = 0.4
# Of the time that a caller has left, what may pass before its request runs: a cold run
# takes a third of a short deadline, and the estimate of a wait is off by as much.
WAIT_SHARE_OF_DEADLINE: Final = 0.4
# Callers that come back at once find the same queue; together they would be a burst.
RETRY_SECONDS_MIN: Final = 0.3


class Wanted(NamedTuple):
    """What is asked of the choice.

    ``regions`` is the order in which they may be used, ``away_seconds`` the round trip
    to them. ``key`` None means any server; ``warm`` are the servers that have run the
    key lately. ``seconds_left`` bounds a late answer.
    """

    service: str
    regions: Sequence[str]
    key: str | None
    goal_seconds: float
    seconds_left: float
    tried: frozenset[Incarnation] = frozenset()
    warm: Sequence[Incarnation] = ()
    away_seconds: float = 0.0


class NoPlace(NamedTuple):
    """No server fits; ``retry_seconds`` is when one should.

    The rest is what decided it: the shortest wait there is and the longest that was
    allowed, how many servers there are, and how old the report of the one with the
    shortest wait is (infinite where it never told its load); seconds.
    """

    retry_seconds: float
    servers_known: bool
    shortest_wait: float = 0.0
    longest_wait: float = 0.0
    servers: int = 0
    report_age: float = float("inf")


class Permissions(NamedTuple):
    """What a choice may use up, each asked only when it is needed.

    ``may_send`` allows one request to a server that has just started, ``may_wait`` one
    late answer, ``may_move`` one key to run on the server that should have it.
    """

    may_send: Callable[[Server], bool]
    may_wait: Callable[[], bool]
    may_move: Callable[[], bool]


def choose(
    table: ServerTable,
    ranks: RankCache,
    wanted: Wanted,
    permissions: Permissions,
    now: float,
) -> Server | NoPlace:
    """Return the server for a request, or why there is none.

    Load answered: many hosts send to the same servers without talking about each
    request. Each uses the servers that are warm for the key and leaves them only for a
    wait that costs more than a cold run.
    """
    servers = [
        server
        for region in wanted.regions
        for server in table.find(wanted.service, region).servers
        if server.incarnation not in wanted.tried
    ]
    if not servers:
        return NoPlace(retry_seconds=1.0, servers_known=False)
    ranked = _by_rank(table, ranks, wanted, servers, now)
    warm = _warm(ranked, servers, wanted, now)
    longest = max(0.0, wanted.goal_seconds * WAIT_SHARE_OF_GOAL - wanted.away_seconds)
    best = min(warm, key=lambda row: row.expected_wait(now), default=None)
    moved = _moved(ranked, warm, permissions, now)
    if moved is not None:
        return moved
    in_time = best is not None and best.expected_wait(now) <= longest
    if in_time and _may_use(best, permissions, now):
        return best
    for server in _cold_places(ranked, servers, warm, now):
        if _has_room(server, now) and _may_use(server, permissions, now):
            return server
    if best is not None and _may_end_late(best, wanted, permissions, now):
        return best
    freest = min(servers, key=lambda row: row.expected_wait(now))
    shortest = freest.expected_wait(now)
    return NoPlace(
        retry_seconds=max(RETRY_SECONDS_MIN, shortest - longest),
        servers_known=True,
        shortest_wait=shortest,
        longest_wait=longest,
        servers=len(servers),
        report_age=now - freest.reported_at,
    )


def _by_rank(
    table: ServerTable,
    ranks: RankCache,
    wanted: Wanted,
    servers: Sequence[Server],
    now: float,
) -> Sequence[Server]:
    """Return the servers that should have a key, the one that comes first at first."""
    if wanted.key is None:
        return sorted(servers, key=lambda row: row.occupancy(now) / row.slots)
    return [
        server
        for region in wanted.regions
        for server in ranks.rank(table, wanted.service, region, wanted.key)
        if server.incarnation not in wanted.tried
    ]


def _warm(
    ranked: Sequence[Server], servers: Sequence[Server], wanted: Wanted, now: float
) -> Sequence[Server]:
    """Return the servers that are taken for warm, the first of the ranks at first.

    A host that has not seen the key takes the server that should have it for warm: the
    others send it there. Without a key all servers are alike.
    """
    sound = [server for server in ranked if server.suspect_until <= now]
    if wanted.key is None:
        return sound
    usable = [row for row in servers if row.suspect_until <= now]
    known = [row for row in usable if row.incarnation in wanted.warm]
    first_known = [row for row in sound if row in known]
    return first_known + [row for row in known if row not in sound] or sound[:1]


def _moved(
    ranked: Sequence[Server],
    warm: Sequence[Server],
    permissions: Permissions,
    now: float,
) -> Server | None:
    """Return the server that should have the key, if it is to be warmed for it now.

    Servers that join would stay empty while the former ones keep their keys; taking
    all their keys over at once would make each of them run cold at the same time.
    """
    first = ranked[0] if ranked else None
    if first is None or not warm or first in warm or first.suspect_until > now:
        return None
    if not _is_idle(first, now) or not permissions.may_move():
        return None
    return first if _may_use(first, permissions, now) else None


def _cold_places(
    ranked: Sequence[Server],
    servers: Sequence[Server],
    warm: Sequence[Server],
    now: float,
) -> Iterable[Server]:
    """Yield servers for a cold run: by rank, then the most idle, then the suspected.

    Others than those of the key's ranks are used only where none of these can be: each
    would be warm for the key, and crowd out keys of its own.
    """
    others = [server for server in ranked if server not in warm]
    yield from (server for server in others if server.suspect_until <= now)
    sound = [server for server in servers if server.suspect_until <= now]
    usable = [row for row in ranked if row in sound and row.cold_until <= now]
    if sound and not usable:
        yield min(
            sound,
            key=lambda row: (row.cold_until > now, row.occupancy(now) / row.slots),
        )
    yield from (server for server in others if server.suspect_until > now)


def _may_end_late(
    server: Server, wanted: Wanted, permissions: Permissions, now: float
) -> bool:
    """Tell whether a caller may wait for an answer after its goal."""
    longest = wanted.seconds_left * WAIT_SHARE_OF_DEADLINE
    if server.expected_wait(now) > longest:
        return False
    return _may_use(server, permissions, now) and permissions.may_wait()


def _is_idle(server: Server, now: float) -> bool:
    """Tell whether a server has slots to spare for a run that could wait."""
    return server.occupancy(now) <= IDLE_SHARE * server.slots


def _has_room(server: Server, now: float) -> bool:
    """Tell whether a server has slots to spare for a cold run that is needed."""
    return server.occupancy(now) <= ROOM_SHARE * server.slots


def _may_use(server: Server, permissions: Permissions, now: float) -> bool:
    """Tell whether a server is warm, or this host may send to it though it is cold."""
    return server.cold_until <= now or permissions.may_send(server)
