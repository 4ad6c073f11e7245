"""Limit the rate of all hosts together to a cold backend server.

A server that has just started runs at half speed and crashes at a rate well above the
one configured for its service. Hosts do not coordinate each request, so the rate is
split in advance: a few hosts, chosen by rendezvous hashing, may send to a cold server,
each at its share. The limit holds even if the membership views of hosts differ by a
third.
"""

import math
from collections.abc import Sequence
from typing import Final

from greengagepoint.overload.token_bucket import TokenBucket, take
from greengagepoint.placing.tables import Incarnation
from greengagepoint.rendezvous import rank

# Share of a cold server's rate that hosts use. The rest is left for hosts that are
# senders only in the view of another host.
USED_RATE_SHARE: Final = 0.7
# A host that has just started knows too few peers, and all hosts that start together
# would each use the whole rate. Membership takes two seconds to spread.
STARTUP_SECONDS: Final = 3.0
# Each sender may send one request ahead of its rate, so this bounds the burst.
SENDERS_MAX: Final = 8


class ColdStartLimiter:
    """Decide whether this host may send one more request to a cold server."""

    def __init__(self, host: str, started_at: float) -> None:
        self.host = host
        self.started_at = started_at
        self.buckets: dict[Incarnation, TokenBucket] = {}

    def may_send(
        self, server: Incarnation, rate: float, hosts: Sequence[str], now: float
    ) -> bool:
        """Spend one request of this host's share of a cold server's rate.

        Return False if the share is used up or this host is not a sender. ``hosts`` are
        those that share the rate, in requests per second over all hosts.
        """
        if now - self.started_at < STARTUP_SECONDS:
            return False
        max_senders = max(1, min(SENDERS_MAX, math.floor(rate * USED_RATE_SHARE)))
        senders = rank(server.instance, hosts)[:max_senders]
        if self.host not in senders:
            return False
        own_rate = rate * USED_RATE_SHARE / len(senders)
        bucket = self.buckets.setdefault(server, TokenBucket(1.0, now))
        return take(bucket, own_rate, 1.0, now) == 0.0

    def keep(self, servers: set[Incarnation]) -> None:
        """Drop the state of servers that are not in ``servers``."""
        for server in [row for row in self.buckets if row not in servers]:
            del self.buckets[server]
