"""Choose the backend server of one request."""

from collections.abc import Callable, Iterable, Sequence
from typing import Final, NamedTuple

from greengagepoint.placing.ranking import RankCache
from greengagepoint.placing.request_limits import limit_wait
from greengagepoint.placing.rests import seconds_until_rested
from greengagepoint.placing.tables import Incarnation, Server, ServerTable

# A warm run takes about 0.4 of the latency goal, so a request that waits for half of
# the goal is still answered in time. A longer queue makes every answer late without
# raising throughput.
MAX_WAIT_GOAL_SHARE: Final = 0.5
# A cold run takes as long as three or four warm ones, so a request runs cold only if it
# would wait too long at the warm servers, and only on a server with at most this share
# of its slots in use. A much lower limit rejects callers, or queues them at a full
# server, while other servers are half busy. Using the last slot too evicts keys on
# servers that remember few of them.
COLD_RUN_OCCUPANCY_MAX: Final = 0.8
# A key that moves to its first-ranked server is not urgent: its cold run must not delay
# callers whose keys are warm there.
MOVE_OCCUPANCY_MAX: Final = 0.4
# Share of the caller's remaining time that may pass before its request runs. A cold run
# takes a third of a short deadline, and the wait estimate can be off by as much.
MAX_WAIT_DEADLINE_SHARE: Final = 0.4
# Callers that retry at once would find the same queue and arrive as one burst.
RETRY_SECONDS_MIN: Final = 0.3


class Finish(NamedTuple):
    """Hold the expected end of a request at a server, in seconds from now.

    ``seconds`` includes the round trip and the ``wait`` for a slot. ``pace`` is the
    factor that ``wait`` and ``run`` contain, ``pace_age`` the age of its report.
    """

    seconds: float
    wait: float
    run: float
    pace: float
    pace_age: float
    is_warm: bool


class ServerCriteria(NamedTuple):
    """Hold the criteria for choosing a server.

    ``regions`` lists the regions to use in order of preference, and
    ``round_trip_seconds`` is the round-trip time to them. ``key`` is None if any server
    will do; ``warm`` lists the servers that ran the key recently. ``seconds_left`` is
    the time to the deadline. Servers in ``tried`` are not chosen again. ``draw`` is a
    number from 0 to less than 1, drawn for this request.
    """

    service: str
    regions: Sequence[str]
    key: str | None
    goal_seconds: float
    seconds_left: float
    tried: frozenset[Incarnation] = frozenset()
    warm: Sequence[Incarnation] = ()
    round_trip_seconds: float = 0.0
    draw: float = 0.0


class NoServerAvailable(NamedTuple):
    """Report that no server can take a request; retry in ``retry_seconds``.

    The other fields explain the decision: the shortest expected wait, the longest wait
    allowed, the number of servers, of those with a request limit for which this host
    has no quota and of those that rest, and the age of the load report of the server
    with the shortest wait (infinite if it never reported). Times are in seconds.
    ``finish`` is the expected finish at the key's home, None with the demand mode off.
    ``unverified`` counts the servers that this host may not use for lack of news.
    """

    retry_seconds: float
    servers_known: bool
    shortest_wait: float = 0.0
    longest_wait: float = 0.0
    servers: int = 0
    report_age: float = float("inf")
    limited: int = 0
    resting: int = 0
    finish: Finish | None = None
    unverified: int = 0


class Permissions(NamedTuple):
    """Hold the checks that spend a budget, each called only when it is needed.

    ``may_send`` permits one request to a server that has just started or that has a
    request limit, ``may_wait`` one answer after the latency goal, ``may_move`` one key
    to move to its first-ranked server. ``has_quota`` spends nothing: it returns True if
    ``may_send`` would permit a request to a server with a limit. ``may_use`` spends
    nothing either: servers for which it returns False are left out.
    """

    may_send: Callable[[Server], bool]
    may_wait: Callable[[], bool]
    may_move: Callable[[], bool]
    has_quota: Callable[[Server], bool] = lambda server: True
    may_use: Callable[[Server], bool] = lambda server: True


def choose(
    table: ServerTable,
    ranks: RankCache,
    criteria: ServerCriteria,
    permissions: Permissions,
    now: float,
) -> Server | NoServerAvailable:
    """Return the server for a request, or the reason why there is none.

    Many hosts send to the same servers without coordinating each request. Each host
    uses the servers that are warm for the key, and leaves them only if the wait there
    costs more than a cold run.
    """
    untried = _untried_servers(table, criteria)
    if not untried:
        return NoServerAvailable(retry_seconds=1.0, servers_known=False)

    def is_usable(server: Server) -> bool:
        if server.is_resting(now) or not permissions.may_use(server):
            return False
        return server.request_limit is None or permissions.has_quota(server)

    servers = [row for row in untried if is_usable(row)]
    if not servers:
        return _none_usable(untried, permissions, now)
    ranked = _rank_servers(table, ranks, criteria, servers, is_usable, now)
    warm = _warm_servers(ranked, servers, criteria, now)
    max_wait = max(
        0.0, criteria.goal_seconds * MAX_WAIT_GOAL_SHARE - criteria.round_trip_seconds
    )
    best = min(warm, key=lambda row: row.expected_wait(now), default=None)
    move_target = _move_target(ranked, warm, permissions, now)
    if move_target is not None:
        return move_target
    in_time = best is not None and best.expected_wait(now) <= max_wait
    if in_time and _can_send(best, permissions, now):
        return best
    for server in _cold_candidates(ranked, servers, warm, now):
        if _has_cold_run_capacity(server, now) and _can_send(server, permissions, now):
            return server
    if best is not None and _can_wait_past_goal(best, criteria, permissions, now):
        return best
    return _all_busy(untried, servers, max_wait, now)


def _none_usable(
    untried: Sequence[Server], permissions: Permissions, now: float
) -> NoServerAvailable:
    """Report that all servers rest, or have a limit that is used up."""
    awake = [row for row in untried if not row.is_resting(now)]
    unverified = sum(not permissions.may_use(row) for row in awake)
    seconds = (
        max(RETRY_SECONDS_MIN, limit_wait(awake))
        if awake
        else seconds_until_rested(untried, now)
    )
    return NoServerAvailable(
        retry_seconds=seconds,
        servers_known=True,
        servers=len(untried),
        limited=len(awake) - unverified,
        resting=len(untried) - len(awake),
        unverified=unverified,
    )


def _all_busy(
    untried: Sequence[Server],
    usable: Sequence[Server],
    max_wait: float,
    now: float,
) -> NoServerAvailable:
    """Report that no usable server has capacity."""
    least_loaded = min(usable, key=lambda row: row.expected_wait(now))
    shortest = least_loaded.expected_wait(now)
    resting = sum(row.is_resting(now) for row in untried)
    return NoServerAvailable(
        retry_seconds=max(RETRY_SECONDS_MIN, shortest - max_wait),
        servers_known=True,
        shortest_wait=shortest,
        longest_wait=max_wait,
        servers=len(untried),
        report_age=now - least_loaded.reported_at,
        limited=len(untried) - len(usable) - resting,
        resting=resting,
    )


def preferred_servers(
    table: ServerTable, ranks: RankCache, criteria: ServerCriteria, now: float
) -> Sequence[Server]:
    """Return all servers in the order in which a request would use idle ones."""
    untried = _untried_servers(table, criteria)

    def is_awake(server: Server) -> bool:
        return not server.is_resting(now)

    servers = [row for row in untried if is_awake(row)]
    ranked = _rank_servers(table, ranks, criteria, servers, is_awake, now)
    first = [*_warm_servers(ranked, servers, criteria, now), *ranked]
    others = sorted(servers, key=lambda row: row.occupancy(now) / row.slots)
    return [*first, *(row for row in others if row not in first)]


def _untried_servers(table: ServerTable, criteria: ServerCriteria) -> list[Server]:
    """Return the servers that meet the criteria."""
    return [
        server
        for region in criteria.regions
        for server in table.find(criteria.service, region).servers
        if server.incarnation not in criteria.tried
    ]


def _rank_servers(
    table: ServerTable,
    ranks: RankCache,
    criteria: ServerCriteria,
    servers: Sequence[Server],
    is_usable: Callable[[Server], bool],
    now: float,
) -> Sequence[Server]:
    """Return the usable servers ranked for the key, or all by occupancy without one."""
    if criteria.key is None:
        return sorted(servers, key=lambda row: row.occupancy(now) / row.slots)
    return [
        server
        for region in criteria.regions
        for server in ranks.rank(table, criteria.service, region, criteria.key)
        if server.incarnation not in criteria.tried and is_usable(server)
    ]


def _warm_servers(
    ranked: Sequence[Server],
    servers: Sequence[Server],
    criteria: ServerCriteria,
    now: float,
) -> Sequence[Server]:
    """Return the servers assumed to be warm for the key, in rank order.

    If this host has not seen the key, it assumes that the first-ranked server is warm,
    because its peers send the key there. Without a key all servers are equal.
    """
    healthy = [server for server in ranked if server.suspect_until <= now]
    if criteria.key is None:
        return healthy
    usable = [row for row in servers if row.suspect_until <= now]
    known_warm = [row for row in usable if row.incarnation in criteria.warm]
    ranked_warm = [row for row in healthy if row in known_warm]
    return (
        ranked_warm + [row for row in known_warm if row not in healthy] or healthy[:1]
    )


def _move_target(
    ranked: Sequence[Server],
    warm: Sequence[Server],
    permissions: Permissions,
    now: float,
) -> Server | None:
    """Return the first-ranked server if the key should move there now, else None.

    A server that joins would stay empty if keys never left the servers they are warm
    on. If it took over all its keys at once, they would all run cold at the same time.
    """
    first = ranked[0] if ranked else None
    if first is None or not warm or first in warm or first.suspect_until > now:
        return None
    if not _is_idle(first, now) or not permissions.may_move():
        return None
    return first if _can_send(first, permissions, now) else None


def _cold_candidates(
    ranked: Sequence[Server],
    servers: Sequence[Server],
    warm: Sequence[Server],
    now: float,
) -> Iterable[Server]:
    """Yield servers for a cold run: by rank, then the least loaded, then suspects.

    A server outside the key's ranks is used only if none of the ranked ones can be:
    the key would become warm there too and evict the server's own keys.
    """
    not_warm = [server for server in ranked if server not in warm]
    yield from (server for server in not_warm if server.suspect_until <= now)
    healthy = [server for server in servers if server.suspect_until <= now]
    usable = [row for row in ranked if row in healthy and row.cold_until <= now]
    if healthy and not usable:
        yield min(
            healthy,
            key=lambda row: (row.cold_until > now, row.occupancy(now) / row.slots),
        )
    # If all ranked servers rest and all others are suspected, any is better than none.
    suspects = not_warm if ranked or healthy else servers
    yield from (server for server in suspects if server.suspect_until > now)


def _can_wait_past_goal(
    server: Server, criteria: ServerCriteria, permissions: Permissions, now: float
) -> bool:
    """Return True if a caller may wait for an answer after its latency goal."""
    max_wait = criteria.seconds_left * MAX_WAIT_DEADLINE_SHARE
    if server.expected_wait(now) > max_wait:
        return False
    return _can_send(server, permissions, now) and permissions.may_wait()


def _is_idle(server: Server, now: float) -> bool:
    """Return True if a server has enough free slots to take over a key."""
    return server.occupancy(now) <= MOVE_OCCUPANCY_MAX * server.slots


def _has_cold_run_capacity(server: Server, now: float) -> bool:
    """Return True if a server has enough free slots for a cold run."""
    return server.occupancy(now) <= COLD_RUN_OCCUPANCY_MAX * server.slots


def _can_send(server: Server, permissions: Permissions, now: float) -> bool:
    """Return True if a server takes any request, or this host may send it one."""
    return server.is_unrestricted(now) or permissions.may_send(server)
