"""Check hosts by what backend servers see that say something about themselves."""

from collections.abc import Iterable, Mapping, Sequence
from typing import Final

from greengagepoint_standins.users_platform.backend import (
    PlatformBackend,
    request_id,
)

# The bound on the requests of all hosts that passed on an answer with a limit.
LIMIT_WINDOW_SECONDS: Final = 4.0
LIMIT_FACTOR: Final = 1.5
LIMIT_SLACK: Final = 5.0
# Hosts may need this long to agree after a limit was first named, and each host to
# hear of it after its own answer.
CONTACT_SECONDS: Final = 3.0
TOLD_SECONDS: Final = 0.5


def allowed_requests(limit: float) -> float:
    """Return how many requests a server with a limit may get in one window."""
    return LIMIT_FACTOR * limit * LIMIT_WINDOW_SECONDS + LIMIT_SLACK


def told_hosts(
    backend: PlatformBackend, hosts_by_request: Mapping[str, str]
) -> dict[str, float]:
    """Return when each host first got an answer that names a limit."""
    told: dict[str, float] = {}
    for named in backend.limits_named:
        host = hosts_by_request.get(named.request_id)
        if host is not None:
            told.setdefault(host, named.at)
    return told


def counted_arrivals(
    backend: PlatformBackend, hosts_by_request: Mapping[str, str]
) -> list[float]:
    """Return when requests came from hosts that knew of the server's limit."""
    if not backend.limits_named:
        return []
    told = told_hosts(backend, hosts_by_request)
    since = backend.limits_named[0].at + CONTACT_SECONDS
    return [
        row.at
        for row in backend.received
        if row.at >= since
        and (host := hosts_by_request.get(request_id(row))) in told
        and row.at >= told[host] + TOLD_SECONDS
    ]


def most_in_window(times: Iterable[float], seconds: float) -> int:
    """Return the most times that lie within any span of so many seconds."""
    ordered = sorted(times)
    most = first = 0
    for last, at in enumerate(ordered):
        while at - ordered[first] >= seconds:
            first += 1
        most = max(most, last - first + 1)
    return most


def requests_per_second(times: Sequence[float], seconds: float) -> float:
    """Return the mean rate of requests over a time in seconds."""
    return len(times) / seconds
