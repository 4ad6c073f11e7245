"""Choose among servers that limit the requests of all hosts together."""

from collections.abc import Callable, Iterable

from greengagepoint.placing.tables import REQUEST_LIMIT_MIN, Server


def limit_wait(servers: Iterable[Server]) -> float:
    """Return the mean time between two requests that all servers together take.

    It is 0 if any of them has no limit.
    """
    total = 0.0
    for server in servers:
        if server.request_limit is None:
            return 0.0
        total += max(REQUEST_LIMIT_MIN, server.request_limit)
    return 1 / total if total else 0.0


def server_to_ask_for(
    preferred: Iterable[Server],
    has_quota: Callable[[Server], bool],
    may_ask: Callable[[Server], bool],
    now: float,
) -> Server | None:
    """Return the limited server for which a request needs quota first, or None.

    ``preferred`` are the servers in the order in which the request would use them. None
    is needed if it comes first to a server without a limit, or with quota.
    """
    for server in preferred:
        if server.suspect_until > now:
            continue
        if server.request_limit is None or has_quota(server):
            return None
        if may_ask(server):
            return server
    return None
