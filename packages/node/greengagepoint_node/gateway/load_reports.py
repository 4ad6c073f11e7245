"""Read the load reports of backend servers with the platform's decoder."""

from collections.abc import Callable, Iterable
from typing import Final, NamedTuple

from greengagepoint.events import Event
from greengagepoint.placing.demand_mode import DemandMode
from greengagepoint.placing.tables import Incarnation, Server
from greengagepoint_node.context import EventSink

# Servers choose the length of what is logged.
LOGGED_CHARACTERS_MAX: Final = 40


class LoadReport(NamedTuple):
    """Hold the load that a server reported.

    ``running`` requests run and ``waiting`` ones wait there for a slot. ``slots`` and
    ``pace`` are None if absent; ``pace`` is the factor by which work takes longer than
    usual.
    """

    running: int
    waiting: int
    slots: int | None = None
    pace: float | None = None


DecodeLoad = Callable[[str], LoadReport | None]


class LoadReader:
    """Decode load reports and log, once for each server, those that are invalid."""

    def __init__(self, decode: DecodeLoad, events: EventSink) -> None:
        self.decode = decode
        self.events = events
        self.invalid: set[Incarnation] = set()

    def read(self, server: Server, text: str | None) -> LoadReport | None:
        """Return the report in a header, or None if it is absent or invalid."""
        if text is None:
            return None
        report = self.decode(text)
        if report is None and server.incarnation not in self.invalid:
            self.invalid.add(server.incarnation)
            self.events.record(
                Event.LOAD_REPORT_INVALID,
                instance=server.instance,
                detail=f"load {text[:LOGGED_CHARACTERS_MAX]!r}",
            )
        return report

    def retain(self, servers: Iterable[Incarnation]) -> None:
        """Drop the state of all other servers."""
        self.invalid.intersection_update(servers)


def record_uneven_servers(demand: DemandMode, events: EventSink, source: str) -> None:
    """Record that a server reports its pace, with how this host learned of it."""
    if demand.uneven_servers:
        return
    demand.uneven_servers = True
    events.record(Event.UNEVEN_SERVERS_FOUND, source=source)
