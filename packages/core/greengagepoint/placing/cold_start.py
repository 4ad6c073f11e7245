"""Hold all hosts together to what a cold backend server bears.

A server that has just started runs at half speed and crashes at a rate well above what
its service says. Hosts do not talk about each request, so the rate is split beforehand:
a few hosts, chosen by rendezvous hashing, may send to a cold server, each at its part.
Two views of who lives that differ by a third still stay within the bound.
"""

import math
from collections.abc import Sequence
from typing import Final

from greengagepoint.overload.token_bucket import TokenBucket, take
from greengagepoint.placing.tables import Incarnation
from greengagepoint.rendezvous import rank

# Of the rate that a cold server bears, the part that hosts use; the rest is for hosts
# that count as senders in another host's view only.
USED_SHARE: Final = 0.7
# A host that has just started knows too few others, and all hosts that start together
# would each take the whole rate; news of all takes two seconds.
START_SECONDS: Final = 3.0
# Each sender may send one request ahead of its rate, so their number bounds the burst.
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
        """Take a send from this host's part of a cold server's rate.

        ``hosts`` are those that serve; ``rate`` is requests a second over all hosts.
        """
        if now - self.started_at < START_SECONDS:
            return False
        wanted = max(1, min(SENDERS_MAX, math.floor(rate * USED_SHARE)))
        senders = rank(server.instance, hosts)[:wanted]
        if self.host not in senders:
            return False
        own_rate = rate * USED_SHARE / len(senders)
        bucket = self.buckets.setdefault(server, TokenBucket(1.0, now))
        return take(bucket, own_rate, 1.0, now) == 0.0

    def keep(self, servers: set[Incarnation]) -> None:
        """Forget servers that are gone."""
        for server in [row for row in self.buckets if row not in servers]:
            del self.buckets[server]
