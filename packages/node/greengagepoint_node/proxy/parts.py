"""The parts of the daemon that the request path uses."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from greengagepoint.balancing.tables import BackendRow, BackendTable
from greengagepoint.caps.tables import Permit
from greengagepoint.configuration import Configuration
from greengagepoint.draining.flights import FlightTable
from greengagepoint.steering.tables import SteeringTable
from greengagepoint.usage.tables import UsageOutcome
from greengagepoint_node.context import Context
from greengagepoint_node.coordinators.claims import ClaimsCoordinator
from greengagepoint_node.metrics import Metrics
from greengagepoint_node.proxy.sessions import BackendSessions


class Caps(Protocol):
    """Grant the right to send one request toward a site."""

    def acquire(self, site: str, deadline_seconds: float) -> Permit | None:
        """Return a permit that is at hand, or None."""

    async def async_acquire(
        self, site: str, deadline_seconds: float, wait_seconds: float
    ) -> Permit | None:
        """Return a permit, waiting a little for a loan."""

    def release(self, permit: Permit) -> None:
        """Give a permit back."""

    def headroom(self, site: str) -> int:
        """Return how many requests more could start toward a site."""


class UsageCounter(Protocol):
    """Count what teams are charged for."""

    def count(
        self,
        team: str,
        service: str,
        outcome: UsageOutcome,
        bytes_in: int,
        bytes_out: int,
    ) -> None:
        """Count one ended request."""


class Parts(NamedTuple):
    """Everything that one request meets on its way."""

    context: Context
    configuration: Callable[[], Configuration]
    sessions: BackendSessions
    caps: Caps
    claims: ClaimsCoordinator
    backends: BackendTable
    flights: FlightTable
    steering: SteeringTable
    usage: UsageCounter
    metrics: Metrics
    report_load: Callable[[BackendRow, str | None, float], None]
