"""Count the attempts of one request and limit them."""

from dataclasses import dataclass, field
from typing import Final

from greengagepoint.placing.tables import Incarnation
from greengagepoint_node.gateway.exchange import Verdict

# Verdicts on attempts that delivered nothing to the server and left time for another.
UNSENT: Final = frozenset(
    {Verdict.UNREACHABLE, Verdict.LEFT, Verdict.RESTING, Verdict.HOST_LEAVING}
)
# Unreachable servers allowed per request, in addition to the route's attempts. Even
# when a zone is lost, few requests meet more in a row, and each of them uses up part of
# a short deadline.
UNREACHED_MAX: Final = 3


@dataclass(slots=True)
class Attempts:
    """Servers that a request was assigned to, including the current one.

    ``unreached`` counts those that got nothing: the connection failed, or the server
    left or asked for rest while connecting.
    """

    servers: set[Incarnation] = field(default_factory=set)
    unreached: int = 0

    def begin(self, server: Incarnation) -> None:
        """Record the server of a new attempt."""
        self.servers.add(server)

    def end(self, verdict: Verdict) -> None:
        """Record the verdict on the current attempt."""
        self.unreached += verdict in UNSENT

    def has_attempts_left(self, servers_max: int) -> bool:
        """Return True if the request may be sent to one more server.

        ``servers_max`` limits how many servers get a request. Unreachable servers got
        nothing and don't count: otherwise a request whose key is assigned to two
        crashed servers would be rejected although healthy ones are free, until this
        host has detected the crashes.
        """
        return self.left(servers_max) > 0 and self.unreached < UNREACHED_MAX

    def left(self, servers_max: int) -> int:
        """Return how many more servers may get the request, 0 at least."""
        sent = len(self.servers) - self.unreached
        return max(0, max(1, servers_max) - sent)
