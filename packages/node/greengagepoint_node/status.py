"""The state of one host, as operators see it."""

from typing import NamedTuple

from greengagepoint.balancing.tables import BackendRow, BackendTable
from greengagepoint.draining import flights
from greengagepoint.draining.flights import FlightTable
from greengagepoint.draining.stop import StopStatus
from greengagepoint.operator_api import (
    DrainPart,
    KnownHost,
    ShiftRow,
    StatusAnswer,
    StopPart,
)
from greengagepoint.steering.tables import SteeringTable
from greengagepoint_node.context import Context
from greengagepoint_node.coordinators.caps import CapsCoordinator
from greengagepoint_node.coordinators.config import ConfigCoordinator
from greengagepoint_node.coordinators.membership import MembershipCoordinator


class StatusSources(NamedTuple):
    """Where the state is read from."""

    context: Context
    config: ConfigCoordinator
    membership: MembershipCoordinator
    caps: CapsCoordinator
    backends: BackendTable
    flights: FlightTable
    steering: SteeringTable


def read_status(
    sources: StatusSources,
    state: str,
    in_flight: int,
    stop_status: StopStatus | None,
) -> StatusAnswer:
    """Return the answer to ``GET /v1/status``."""
    host = sources.context.host
    configuration = sources.config.configuration
    return StatusAnswer(
        host=host.name,
        region=host.region,
        zone=host.zone,
        incarnation=host.incarnation,
        state=state,
        in_flight=in_flight,
        generation=configuration.generation,
        digest=configuration.digest,
        store_reverted=sources.config.reports.store_reverted,
        store_available=sources.config.reports.store_available,
        hosts=_hosts(sources.membership),
        unreachable_regions=sorted(sources.membership.unreachable_regions()),
        caps=sources.caps.status(),
        shifts=_shifts(sources.steering),
        drains=_drains(sources),
        stop=_stop(stop_status),
    )


def _hosts(membership: MembershipCoordinator) -> list[KnownHost]:
    """Return the hosts that this one knows."""
    serving = membership.serving_hosts()
    live = {host.name: host for host in (*membership.live_hosts(), *serving)}
    names = {host.name for host in serving}
    return [
        KnownHost(
            name=host.name,
            region=host.region,
            zone=host.zone,
            address=host.address,
            incarnation=host.incarnation,
            serving=host.name in names,
        )
        for _name, host in sorted(live.items())
    ]


def _shifts(steering: SteeringTable) -> list[ShiftRow]:
    """Return how far each shift has come."""
    return [
        ShiftRow(
            name=row.name,
            cause=row.cause,
            service=row.service,
            from_site=row.from_site,
            to_site=row.to_site,
            fraction=row.fraction,
            target=row.target,
        )
        for row in steering.shifts.values()
    ]


def _stop(stop_status: StopStatus | None) -> StopPart | None:
    """Return what a stopping host waits for."""
    if stop_status is None:
        return None
    return StopPart(
        reasons=list(stop_status.reasons),
        remaining_seconds=round(stop_status.remaining_seconds, 1),
    )


def _remaining(sources: StatusSources, row: BackendRow) -> float | None:
    """Return the seconds until a backend server is empty, None if unknown."""
    left = flights.progress(
        sources.flights,
        lambda flight: flight.backend_server == row.name and flight.site == row.site,
        sources.context.clock.monotonic(),
    )
    seconds = left.remaining_seconds
    return None if seconds is None else round(seconds, 1)


def _drains(sources: StatusSources) -> list[DrainPart]:
    """Return what is still in flight to backend servers that are leaving."""
    return [
        DrainPart(
            service=row.service,
            site=row.site,
            backend_server=row.name,
            sources=sorted(row.leaving),
            in_flight=row.in_flight,
            remaining_seconds=_remaining(sources, row),
        )
        for row in sources.backends.rows.values()
        if row.leaving
    ]
