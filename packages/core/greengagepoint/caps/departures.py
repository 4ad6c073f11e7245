"""Take an operator's word that a host has left."""

from typing import NamedTuple

from greengagepoint.caps.rights import refresh_rights
from greengagepoint.caps.tables import CapsTable
from greengagepoint.configuration import Configuration
from greengagepoint.records.schemas import DrainTarget
from greengagepoint.steering.schedule import wall_milliseconds


class Departure(NamedTuple):
    """A host and the time by which its drain says that it has left."""

    host: str
    leave_milliseconds: int


def planned_departures(configuration: Configuration) -> tuple[Departure, ...]:
    """Return the hosts whose drains have a time of leaving."""
    return tuple(
        Departure(drain.target, wall_milliseconds(drain.leave_at))
        for drain in configuration.drains.values()
        if drain.target_kind is DrainTarget.HOST and drain.leave_at is not None
    )


def update_departed(
    table: CapsTable, departures: tuple[Departure, ...], now_wall_ms: int
) -> None:
    """Note which hosts have left by now.

    Their shares are reclaimed after the quarantine without votes: if the witnesses
    of a host are lost together with it, nobody else could prove that it is gone. A
    host that is named and still runs gives its rights up itself.
    """
    departed = frozenset(
        departure.host
        for departure in departures
        if departure.leave_milliseconds <= now_wall_ms
    )
    if departed != table.departed:
        table.departed = departed
        refresh_rights(table)
