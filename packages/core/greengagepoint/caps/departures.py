"""Track the hosts that have left according to an operator's drain."""

from typing import NamedTuple

from greengagepoint.caps.rights import refresh_rights
from greengagepoint.caps.tables import CapsTable
from greengagepoint.configuration import Configuration
from greengagepoint.records.schemas import DrainTarget
from greengagepoint.steering.schedule import wall_milliseconds


class Departure(NamedTuple):
    """A host and the wall-clock time at which its drain ends with its departure."""

    host: str
    leave_milliseconds: int


def planned_departures(configuration: Configuration) -> tuple[Departure, ...]:
    """Return the hosts whose drains have a departure time."""
    return tuple(
        Departure(drain.target, wall_milliseconds(drain.leave_at))
        for drain in configuration.drains.values()
        if drain.target_kind is DrainTarget.HOST and drain.leave_at is not None
    )


def update_departed(
    table: CapsTable, departures: tuple[Departure, ...], now_wall_ms: int
) -> None:
    """Record which hosts have left by now.

    Their shares are reclaimed after the quarantine without votes: if a host is lost
    together with its witnesses, nobody else could prove that it is lost. A departed
    host that still runs gives up its rights itself.
    """
    departed = frozenset(
        departure.host
        for departure in departures
        if departure.leave_milliseconds <= now_wall_ms
    )
    if departed != table.departed:
        table.departed = departed
        refresh_rights(table)
