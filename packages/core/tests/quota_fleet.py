"""Simulate hosts that share the request limits of backend servers."""

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from greengagepoint.backpressure.limits import AdvertisedLimits
from greengagepoint.backpressure.quota import (
    FAILED_ISSUER_SKIP_SECONDS,
    Grant,
    QuotaIssuer,
    QuotaPool,
    issuers_of,
)
from greengagepoint.placing.tables import Incarnation

SERVER = Incarnation("i-1", 7, "10.0.0.1:1")
EXCHANGE_SECONDS = 0.5
ROUND_TRIP_SECONDS = 0.003
WINDOW_SECONDS = 4.0
CONTACT_SECONDS = 3.0
TOLD_SECONDS = 0.5


class Sent(NamedTuple):
    """A request that a host sent to the server."""

    at: float
    host: str


@dataclass
class LimitPeriod:
    """A time in which the server names limits, each since a time.

    ``told`` is when each host first passed on such an answer.
    """

    limits: list[tuple[float, float]]
    ends_at: float = math.inf
    told: dict[str, float] = field(default_factory=dict)

    def allowed(self, since: float) -> float:
        """Return how many requests the server may get in the window from a time on."""
        until = since + WINDOW_SECONDS
        ends = [*(at for at, _ in self.limits[1:]), math.inf]
        requests = sum(
            limit * max(0.0, min(end, until) - max(at, since))
            for (at, limit), end in zip(self.limits, ends, strict=True)
        )
        return 1.5 * requests + 5


@dataclass
class QuotaHost:
    """One host: its view of the live hosts, its quota and what it issues."""

    name: str
    started_at: float
    view: list[str]
    limits: AdvertisedLimits = field(default_factory=AdvertisedLimits)
    pool: QuotaPool = field(default_factory=QuotaPool)
    skipped_until: dict[str, float] = field(default_factory=dict)
    frozen: bool = False

    def __post_init__(self) -> None:
        self.issuer = QuotaIssuer(self.started_at)


class QuotaFleet:
    """Hosts with callers for one server, which names a limit or none."""

    def __init__(self, count: int, limit: float | None, seed: int = 1) -> None:
        self.names = [f"h{number}" for number in range(count)]
        self.hosts = {
            name: QuotaHost(name, -100.0, list(self.names)) for name in self.names
        }
        self.limit: float | None = None
        self.periods: list[LimitPeriod] = []
        self.rng = random.Random(seed)
        self.now = 0.0
        self.sent: list[Sent] = []
        self.rejected = 0
        self.asks = 0
        self.cut: set[frozenset[str]] = set()
        self.exchanged_at = 0.0
        self.set_limit(limit)

    def set_limit(self, limit: float | None) -> None:
        """Name a limit in all answers from now on, or none."""
        if self.limit is not None and limit is not None:
            self.periods[-1].limits.append((self.now, limit))
        elif limit is not None:
            self.periods.append(LimitPeriod([(self.now, limit)]))
        elif self.limit is not None:
            self.periods[-1].ends_at = self.now
        self.limit = limit

    def run(self, seconds: float, per_second: float, at: Sequence[str] = ()) -> None:
        """Let callers arrive for a while, at all hosts or at some."""
        ends_at = self.now + seconds
        while True:
            self.now += self.rng.expovariate(per_second)
            if self.now >= ends_at:
                self.now = ends_at
                return
            if self.now - self.exchanged_at >= EXCHANGE_SECONDS:
                self.exchanged_at = self.now
                self.exchange()
            host = self.hosts[self.rng.choice(at or self.names)]
            if not host.frozen:
                self.call(host)

    def call(self, host: QuotaHost) -> None:
        """Send one caller's request to the server if the host may."""
        if host.limits.limit(SERVER) is not None:
            if not host.pool.is_available(SERVER, self.now):
                self.ask(host)
            if not host.pool.withdraw(SERVER, self.now):
                self.rejected += 1
                return
        self.sent.append(Sent(self.now, host.name))
        if self.limit is not None:
            self.periods[-1].told.setdefault(host.name, self.now)
        host.limits.record(SERVER, self.limit, self.now)

    def ask(self, host: QuotaHost) -> None:
        """Ask the issuers that a host knows for quota."""
        if not host.pool.may_ask(SERVER, self.now):
            return
        count = host.pool.count_demand(SERVER, self.now)
        for name in issuers_of(SERVER, host.view):
            if host.skipped_until.get(name, 0.0) > self.now:
                continue
            grant = self.grant_of(name, host, count)
            if grant is not None and grant.ready:
                host.pool.add(SERVER, grant, self.now - ROUND_TRIP_SECONDS, self.now)
                return
            if grant is None:
                host.skipped_until[name] = self.now + FAILED_ISSUER_SKIP_SECONDS

    def grant_of(self, name: str, asking: QuotaHost, count: int) -> Grant | None:
        """Return what an issuer grants, or None if it can't be reached."""
        self.asks += 1
        issuer = self.hosts.get(name)
        if issuer is None or issuer.frozen or not self.connected(name, asking.name):
            return None
        limit = issuer.limits.limit(SERVER)
        if limit is None:
            limit = asking.limits.limit(SERVER)
        is_first = issuers_of(SERVER, issuer.view)[:1] == [name]
        return issuer.issuer.grant(SERVER, limit, count, self.now, is_first=is_first)

    def connected(self, first: str, second: str) -> bool:
        """Return True if two hosts can reach each other."""
        return frozenset((first, second)) not in self.cut

    def exchange(self) -> None:
        """Let each host share its limits with a random peer."""
        known = {SERVER.instance: SERVER}
        for host in self.hosts.values():
            peer = self.hosts[self.rng.choice(self.names)]
            if host.frozen or peer.frozen or not self.connected(host.name, peer.name):
                continue
            for one, other in ((host, peer), (peer, host)):
                notices = one.limits.shared(self.now)
                other.limits.merge(notices, known, self.now)

    def restart(self, name: str) -> None:
        """Restart a host that keeps nothing."""
        self.hosts[name] = QuotaHost(name, self.now, list(self.names))

    def excess(self, excused: Sequence[str] = ()) -> float:
        """Return the most requests over the bound in any window."""
        return max((self._excess(row, excused) for row in self.periods), default=0.0)

    def _excess(self, period: LimitPeriod, excused: Sequence[str]) -> float:
        """Return the most requests over the bound in any window of a period."""
        since = min(period.told.values(), default=math.inf) + CONTACT_SECONDS
        times = [
            row.at
            for row in self.sent
            if since <= row.at < period.ends_at
            and row.host not in excused
            and row.at >= period.told.get(row.host, math.inf) + TOLD_SECONDS
        ]
        return max(
            (
                sum(at <= other < at + WINDOW_SECONDS for other in times)
                - period.allowed(at)
                for at in times
            ),
            default=0.0,
        )

    def rate_since(self, since: float) -> float:
        """Return the requests per second that the server got since a time."""
        return sum(row.at >= since for row in self.sent) / (self.now - since)
