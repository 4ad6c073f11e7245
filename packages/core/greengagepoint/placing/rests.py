"""Tell when servers that asked this host for rest want requests again."""

from collections.abc import Iterable

from greengagepoint.placing.tables import Server


def seconds_until_rested(servers: Iterable[Server], now: float) -> float:
    """Return the seconds until the first server wants requests, 0 if one does now."""
    ends_at = min((server.rest_until for server in servers), default=now)
    return max(0.0, ends_at - now)
