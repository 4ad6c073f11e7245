"""Limit what hosts without news send to servers that may have become cold.

A host that reaches neither the store nor most other hosts does not hear that a zone is
evacuated or that servers have become cold. The other hosts stop sending there, so these
servers look idle and would attract most of its requests, more than cold servers bear.

The hosts that hear each other share the rate that a server bears while it is cold. What
exceeds it goes to other servers, in other regions as well, and is rejected if no server
is left: one that crashes serves nobody for seconds.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Final

from greengagepoint.placing.cold_start import SENDERS_MAX, USED_RATE_SHARE
from greengagepoint.placing.tables import Incarnation, Server
from greengagepoint.rendezvous import rank

# Hosts in touch with the store or a peer complete their view within two seconds.
NEWS_SECONDS: Final = 3.0


def lacks_news(age_seconds: float, heard_hosts: int, sharers: int) -> bool:
    """Return True if a view may miss that servers must not be used.

    ``age_seconds`` is the time since the view was that of the store, infinite before
    the first view. ``heard_hosts`` and ``sharers`` are the numbers of hosts that are
    heard and that may send to servers, this one included. While the store is down for
    all, nothing can be changed in it, and hosts hear most of the others. The limits
    would then reject callers for nothing.
    """
    return 2 * heard_hosts < sharers and NEWS_SECONDS < age_seconds < math.inf


@dataclass(slots=True)
class UnverifiedServers:
    """Share the rate of servers among the hosts that hear each other.

    ``hosts`` are those hosts, this one included. ``sent_at`` are the monotonic times of
    the last requests, and ``places`` this host's places in the rankings of servers.
    """

    host: str
    hosts: tuple[str, ...] = ()
    sent_at: dict[Incarnation, float] = field(default_factory=dict)
    places: dict[Incarnation, int] = field(default_factory=dict)

    def set_hosts(self, hosts: Sequence[str]) -> None:
        """Set the hosts that share the rate of each server."""
        names = tuple(sorted({*hosts, self.host}))
        if names != self.hosts:
            self.hosts = names
            self.places.clear()

    def may_use(self, server: Server, rate: float, now: float) -> bool:
        """Return True if a request fits this host's share of ``rate``.

        ``rate`` is what a cold server bears, in requests per second; 0 if any.
        """
        if rate <= 0:
            return True
        senders_max = max(1, min(SENDERS_MAX, math.floor(rate * USED_RATE_SHARE)))
        if self._place(server.incarnation) >= senders_max:
            return False
        senders = min(senders_max, len(self.hosts))
        gap_seconds = senders / (rate * USED_RATE_SHARE)
        sent_at = self.sent_at.get(server.incarnation, -math.inf)
        return now - sent_at >= gap_seconds

    def record(self, server: Server, now: float) -> None:
        """Record that a request is sent to a server."""
        self.sent_at[server.incarnation] = now

    def retain(self, servers: set[Incarnation]) -> None:
        """Drop the state of servers that are not in ``servers``."""
        for server in self.sent_at.keys() - servers:
            del self.sent_at[server]
        for server in self.places.keys() - servers:
            del self.places[server]

    def _place(self, server: Incarnation) -> int:
        """Return this host's place in the ranking of hosts for a server."""
        place = self.places.get(server)
        if place is None:
            place = rank(server.instance, self.hosts).index(self.host)
            self.places[server] = place
        return place
