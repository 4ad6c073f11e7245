"""Count the backend servers that one request has been sent to."""

from dataclasses import dataclass, field
from typing import Final

from greengagepoint.placing.tables import Incarnation
from greengagepoint_node.gateway.exchange import Verdict

# How tries end of which their server got nothing, while there is time for another one.
UNSENT: Final = frozenset({Verdict.UNREACHABLE, Verdict.LEFT})
# Servers that could not be reached are tried beside those that a route allows. With a
# lost zone, few requests meet more of them in a row, and each uses up part of a short
# deadline.
UNREACHED_MAX: Final = 3


@dataclass(slots=True)
class Tries:
    """The servers of one request so far, the present one included.

    ``unreached`` is how many of them got nothing: no connection was made, or they left
    while one was made.
    """

    servers: set[Incarnation] = field(default_factory=set)
    unreached: int = 0

    def begin(self, server: Incarnation) -> None:
        """Take in that the request is to go to a server."""
        self.servers.add(server)

    def end(self, verdict: Verdict) -> None:
        """Take in how the try at the present server ended."""
        self.unreached += verdict in UNSENT

    def may_go_on(self, servers_max: int) -> bool:
        """Tell whether one more server may get the request.

        A route bounds how many servers get a request, and one that could not be reached
        got nothing. Counted as well, the request of a key whose two servers had crashed
        was refused beside sound ones, until each host had found out for itself.
        """
        sent = len(self.servers) - self.unreached
        return sent < max(1, servers_max) and self.unreached < UNREACHED_MAX
