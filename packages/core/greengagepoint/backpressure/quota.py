"""Split a backend server's request limit over the hosts that have callers for it.

A limit may be lower than the number of hosts, and most hosts have no callers for that
server, so fixed shares would leave most of the limit unused. Instead, one host per
server issues quota: the right to send one request soon. A host asks for it when it has
such a request. The issuer is the first host in the server's rendezvous ranking, and all
hosts know it without coordination.

A host that can't reach the issuer asks the second host, which issues less unless it
believes to be the first. The shares are such that the bound holds while two hosts
believe that, or while one does and two others issue less.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final, NamedTuple

from greengagepoint.accounts.rates import Rate
from greengagepoint.overload.token_bucket import TokenBucket, take
from greengagepoint.placing.tables import REQUEST_LIMIT_MIN, Incarnation
from greengagepoint.rendezvous import rank

# Shares of a limit. A server may get one and a half times its limit, plus five
# requests, in 4 s. Quota issued in 4.25 s can be used within 4 s, so two full shares
# and their buckets, or one full and two reserve shares, stay below that.
ISSUED_SHARE: Final = 0.7
RESERVE_SHARE: Final = 0.3
QUOTA_VALID_SECONDS: Final = 0.25
# Quota saved up for a burst, in requests.
ISSUED_BURST: Final = 2.5
RESERVE_BURST: Final = 1.0
# An issuer that has just started may be unknown to hosts that still use its
# predecessor.
STARTUP_SECONDS: Final = 3.0
ASK_MAX: Final = 16
DEMAND_AVERAGE_SECONDS: Final = 1.0
# Share of the expected demand that is asked for in advance; quota that expires unused
# is lost.
PREFETCH_SHARE: Final = 0.5
RETRY_MAX_SECONDS: Final = 2.0
ISSUERS: Final = 2
# An issuer that did not answer is not asked again for this long.
FAILED_ISSUER_SKIP_SECONDS: Final = 1.0


class Grant(NamedTuple):
    """Quota for ``count`` requests, or when to ask again if it is 0.

    ``ready`` is false if this issuer has just started; another one has to be asked.
    """

    count: int
    retry_seconds: float = 0.0
    ready: bool = True


def issuers_of(server: Incarnation, hosts: Iterable[str]) -> list[str]:
    """Return the hosts to ask for a server's quota, in order."""
    return rank(server.instance, hosts)[:ISSUERS]


class QuotaIssuer:
    """Issue quota for the servers that this host is ranked first or second for."""

    def __init__(self, started_at: float) -> None:
        self.started_at = started_at
        self.buckets: dict[Incarnation, TokenBucket] = {}

    def grant(
        self,
        server: Incarnation,
        limit: float,
        count: int,
        now: float,
        *,
        is_first: bool,
    ) -> Grant:
        """Return quota for up to ``count`` requests to a server.

        ``limit`` is in requests per second over all hosts; ``is_first`` is true if this
        host ranks itself first.
        """
        if now - self.started_at < STARTUP_SECONDS:
            return Grant(0, ready=False)
        share, burst = (
            (ISSUED_SHARE, ISSUED_BURST) if is_first else (RESERVE_SHARE, RESERVE_BURST)
        )
        rate = max(REQUEST_LIMIT_MIN, limit) * share
        # A new issuer does not know what its predecessor issued, so it starts empty.
        bucket = self.buckets.setdefault(server, TokenBucket(0.0, now))
        issued = 0
        while issued < count:
            wait = take(bucket, rate, min(burst, 1.0 + limit), now)
            if wait:
                return Grant(issued, min(RETRY_MAX_SECONDS, wait))
            issued += 1
        return Grant(issued)

    def retain(self, servers: Iterable[Incarnation]) -> None:
        """Drop the state of all servers that are not in ``servers``."""
        kept = set(servers)
        for server in [row for row in self.buckets if row not in kept]:
            del self.buckets[server]


@dataclass(slots=True)
class HostQuota:
    """A host's quota for one server; times are monotonic seconds.

    ``expiries`` holds an expiry time for each request that may be sent.
    """

    expiries: deque[float] = field(default_factory=deque)
    ask_after: float = float("-inf")
    demand: Rate = field(default_factory=lambda: Rate(DEMAND_AVERAGE_SECONDS))

    def expire(self, now: float) -> None:
        """Drop expired quota."""
        while self.expiries and self.expiries[0] <= now:
            self.expiries.popleft()


class QuotaPool:
    """Hold the quota that this host was granted."""

    def __init__(self) -> None:
        self.rows: dict[Incarnation, HostQuota] = {}

    def is_available(self, server: Incarnation, now: float) -> bool:
        """Return True if a request may be sent to a server."""
        row = self._row(server)
        row.expire(now)
        return bool(row.expiries)

    def withdraw(self, server: Incarnation, now: float) -> bool:
        """Spend quota for one request; return False if there is none."""
        if not self.is_available(server, now):
            return False
        self.rows[server].expiries.popleft()
        return True

    def may_ask(self, server: Incarnation, now: float) -> bool:
        """Return True unless the issuer has none before a later time."""
        return now >= self._row(server).ask_after

    def count_demand(self, server: Incarnation, now: float) -> int:
        """Count a request for a server, and return how much quota to ask for."""
        row = self._row(server)
        row.demand.add(1, now)
        expected = row.demand.read(now) * QUOTA_VALID_SECONDS * PREFETCH_SHARE
        return min(ASK_MAX, max(1, round(expected)))

    def add(
        self, server: Incarnation, grant: Grant, asked_at: float, now: float
    ) -> None:
        """Add granted quota; it expires by the time at which it was asked for."""
        row = self._row(server)
        row.expire(now)
        row.expiries.extend([asked_at + QUOTA_VALID_SECONDS] * grant.count)
        row.ask_after = now + grant.retry_seconds

    def retain(self, servers: Iterable[Incarnation]) -> None:
        """Drop the state of all servers that are not in ``servers``."""
        kept = set(servers)
        for server in [row for row in self.rows if row not in kept]:
            del self.rows[server]

    def _row(self, server: Incarnation) -> HostQuota:
        """Return the quota for a server."""
        row = self.rows.get(server)
        if row is None:
            row = self.rows[server] = HostQuota()
        return row
