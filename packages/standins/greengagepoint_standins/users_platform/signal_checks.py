"""Check hosts by what backend servers see that say something about themselves."""

import math
from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple

from greengagepoint_standins.users_platform.backend import (
    PlatformBackend,
    request_id,
)
from greengagepoint_standins.users_platform.host_faults import HostFaults

# The bound on the requests of all hosts that passed on an answer with a limit.
LIMIT_WINDOW_SECONDS: Final = 4.0
LIMIT_FACTOR: Final = 1.5
LIMIT_SLACK: Final = 5.0
# Hosts may need this long to agree after a limit was first named, and each host to
# hear of it after its own answer.
CONTACT_SECONDS: Final = 3.0
TOLD_SECONDS: Final = 0.5
# A host may send this many requests in a rest.
REST_REQUESTS_MAX: Final = 2


class LimitPeriod(NamedTuple):
    """A time in which a server named limits in all its answers.

    ``limits`` are the limits in requests per second and since when each was named;
    monotonic seconds.
    """

    limits: tuple[tuple[float, float], ...]
    ends_at: float

    @property
    def begins_at(self) -> float:
        """Return when the server began to name limits."""
        return self.limits[0][0]

    def allowed(self, since: float) -> float:
        """Return how many requests may come within one window from a time on."""
        until = since + LIMIT_WINDOW_SECONDS
        requests = 0.0
        ends = [*(at for at, _ in self.limits[1:]), math.inf]
        for (at, limit), end in zip(self.limits, ends, strict=True):
            requests += limit * max(0.0, min(end, until) - max(at, since))
        return LIMIT_FACTOR * requests + LIMIT_SLACK


def allowed_requests(limit: float) -> float:
    """Return how many requests a server with one limit may get in one window."""
    return LimitPeriod(((0.0, limit),), math.inf).allowed(0.0)


def limit_periods(backend: PlatformBackend) -> list[LimitPeriod]:
    """Return the periods in which a server named limits that can be read."""
    periods: list[LimitPeriod] = []
    current: list[tuple[float, float]] = []
    for at, limit in backend.limit_changes:
        if limit is not None:
            current.append((at, limit))
        elif current:
            periods.append(LimitPeriod(tuple(current), at))
            current = []
    if current:
        periods.append(LimitPeriod(tuple(current), math.inf))
    return periods


def counted_arrivals(
    backend: PlatformBackend,
    period: LimitPeriod,
    hosts_by_request: Mapping[str, str],
    faults: HostFaults | None = None,
) -> list[float]:
    """Return when requests came from hosts that knew of the server's limit.

    Hosts that were disturbed since they were told do not count.
    """
    told = _told_hosts(backend, period, hosts_by_request)
    first = min(told.values(), default=math.inf)
    arrivals = []
    for row in backend.received:
        host = hosts_by_request.get(request_id(row))
        if host not in told or not first + CONTACT_SECONDS <= row.at < period.ends_at:
            continue
        is_told = row.at >= told[host] + TOLD_SECONDS
        if is_told and not _is_disturbed(faults, host, told[host], row.at):
            arrivals.append(row.at)
    return arrivals


def limit_excess(
    backend: PlatformBackend,
    hosts_by_request: Mapping[str, str],
    faults: HostFaults | None = None,
) -> float:
    """Return the most requests beyond what a server's limits allowed in a window."""
    excess = 0.0
    for period in limit_periods(backend):
        times = counted_arrivals(backend, period, hosts_by_request, faults)
        for at in times:
            until = at + LIMIT_WINDOW_SECONDS
            count = sum(at <= other < until for other in times)
            excess = max(excess, count - period.allowed(at))
    return excess


def late_arrivals(
    backend: PlatformBackend,
    hosts_by_request: Mapping[str, str],
    drain_seconds: float,
    faults: HostFaults | None = None,
) -> list[float]:
    """Return how late requests came from hosts that knew that the server leaves.

    Each is in seconds from the answer that told the host; earlier than
    ``drain_seconds`` is allowed. Hosts that were disturbed since do not count.
    """
    late = []
    for began, ended in backend.leaving_periods:
        told: dict[str, float] = {}
        for at, request in backend.leaving_told:
            host = hosts_by_request.get(request)
            if host is not None and began <= at < ended:
                told.setdefault(host, at)
        for row in backend.received:
            host = hosts_by_request.get(request_id(row))
            if host not in told or not told[host] + drain_seconds < row.at < ended:
                continue
            if not _is_disturbed(faults, host, told[host], row.at):
                late.append(row.at - told[host])
    return late


def most_in_a_rest(
    backend: PlatformBackend,
    hosts_by_request: Mapping[str, str],
    faults: HostFaults | None = None,
) -> int:
    """Return the most requests from one host in a rest that a server asked it for.

    The first half second of a rest does not count, nor do hosts that were disturbed
    since. A server that starts anew has asked for nothing.
    """
    most = 0
    for rest in backend.rests:
        host = hosts_by_request.get(rest.request_id)
        starts = [end for _, end in backend.leaving_periods if end > rest.at]
        ends_at = min([rest.at + rest.seconds, *starts])
        arrivals = [
            row.at
            for row in backend.received
            if rest.at + TOLD_SECONDS < row.at < ends_at
            and hosts_by_request.get(request_id(row)) == host
        ]
        if host is None or not arrivals:
            continue
        if not _is_disturbed(faults, host, rest.at, max(arrivals)):
            most = max(most, len(arrivals))
    return most


def most_in_window(times: Iterable[float], seconds: float) -> int:
    """Return the most times that lie within any span of so many seconds."""
    rows = sorted(times)
    return max(
        (sum(at <= row < at + seconds for row in rows) for at in rows), default=0
    )


def _told_hosts(
    backend: PlatformBackend, period: LimitPeriod, hosts_by_request: Mapping[str, str]
) -> dict[str, float]:
    """Return when each host first got an answer with a limit in a period."""
    told: dict[str, float] = {}
    for named in backend.limits_named:
        host = hosts_by_request.get(named.request_id)
        if host is not None and period.begins_at <= named.at < period.ends_at:
            told.setdefault(host, named.at)
    return told


def _is_disturbed(
    faults: HostFaults | None, host: str, since: float, until: float
) -> bool:
    """Return True if faults disturbed a host within a time."""
    return faults is not None and faults.is_disturbed(host, since, until)
