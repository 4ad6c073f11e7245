"""Decide whether a deployment calls for the demand-aware decisions.

They cost messages and change which server gets a request, so they are off unless the
configuration or the servers ask for them. Callers compete if some of them upload large
bodies and routes differ in rank. Servers are uneven if they report the pace of machines
that they share with others.
"""

from dataclasses import dataclass

from greengagepoint.routing.tables import RouteTable


@dataclass(slots=True)
class DemandMode:
    """Whether callers compete and servers are uneven, as far as this host knows.

    ``uneven_servers`` stays set once a server reported its pace to any host: a service
    whose servers stop reporting it still runs on shared machines.
    """

    competing_callers: bool = False
    uneven_servers: bool = False

    @property
    def is_on(self) -> bool:
        """Return True if the demand-aware decisions apply."""
        return self.competing_callers or self.uneven_servers

    def apply_routes(self, table: RouteTable | None) -> None:
        """Update from the configuration in force, None while there is none."""
        self.competing_callers = table is not None and table.competing_callers
