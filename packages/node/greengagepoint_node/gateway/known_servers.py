"""Keep the table of backend servers in line with the active entries."""

from collections.abc import Callable, Mapping
from typing import Final

from greengagepoint.backpressure.leaving import LeavingServers
from greengagepoint.events import Event
from greengagepoint.placing.tables import Incarnation, Server, ServerTable
from greengagepoint_node.context import EventSink
from greengagepoint_node.gateway.store_types import ServerEntry

ANNOUNCED: Final = "the server said so in an answer"


class KnownServers:
    """Add, update and remove servers; the caller rebuilds the membership.

    ``restore_signals`` is called with each new row. An entry may lapse and come back
    while its server still has a request limit or rests.
    """

    def __init__(self, zones: Mapping[str, str], events: EventSink) -> None:
        self.zones = zones
        self.events = events
        self.table = ServerTable()
        self.replaced: set[Incarnation] = set()
        self.announced = LeavingServers()
        self.restore_signals: Callable[[Server], None] = lambda server: None

    def apply_entry(self, entry: ServerEntry, revision: int, now: float) -> None:
        """Add or update the server of an entry."""
        table = self.table
        server = table.servers.get(entry.instance)
        if server is None or not _is_entry_of(entry, server):
            if server is not None:
                self._drop_state(server, "another incarnation has its id", revision)
            server = self._create_server(entry)
            self.restore_signals(server)
            table.servers[entry.instance] = server
        server.slots = entry.slots
        if entry.cold_seconds > 0:
            server.cold_until = max(server.cold_until, now + entry.cold_seconds)
        if entry.leaving:
            self._mark_leaving(server.incarnation, "draining", revision)
        elif server.incarnation in self.announced:
            self._mark_leaving(server.incarnation, ANNOUNCED, revision)
        elif server.incarnation not in self.replaced:
            table.leaving.discard(server.incarnation)

    def remove_server(self, entry: ServerEntry, reason: str, revision: int) -> None:
        """Remove the server of an entry that is no longer active."""
        server = self.table.servers.pop(entry.instance, None)
        if server is not None:
            self._drop_state(server, reason, revision)

    def record_replacement(self, incarnation: Incarnation, revision: int) -> bool:
        """Record that another server has this one's address.

        Return True if the server was not known to be leaving before.
        """
        server = self.table.servers.get(incarnation.instance)
        if server is None or server.incarnation != incarnation:
            return False
        self.replaced.add(incarnation)
        reason = "another server answers at its address"
        return self._mark_leaving(incarnation, reason, revision)

    def record_announced(self, server: Server, revision: int) -> bool:
        """Record that a server said in an answer that it leaves.

        Return True if it was not known to be leaving before.
        """
        return self._mark_leaving(server.incarnation, ANNOUNCED, revision)

    def _create_server(self, entry: ServerEntry) -> Server:
        """Return a server of which only the entry is known."""
        return Server(
            instance=entry.instance,
            service=entry.service,
            address=entry.address,
            zone=entry.zone,
            region=self.zones.get(entry.zone, ""),
            slots=entry.slots,
            born=entry.born,
        )

    def _mark_leaving(
        self, incarnation: Incarnation, reason: str, revision: int
    ) -> bool:
        """Mark a server as leaving; return True unless it already was."""
        if incarnation in self.table.leaving:
            return False
        self.table.leaving.add(incarnation)
        self._log_leaving(incarnation, reason, revision)
        return True

    def _drop_state(self, server: Server, reason: str, revision: int) -> None:
        """Drop the state of an incarnation that has ended."""
        self.table.leaving.discard(server.incarnation)
        self.replaced.discard(server.incarnation)
        self._log_leaving(server.incarnation, reason, revision)

    def _log_leaving(
        self, incarnation: Incarnation, reason: str, revision: int
    ) -> None:
        """Log that a server gets no new requests."""
        self.events.record(
            Event.BACKEND_SERVER_LEAVING,
            instance=incarnation.instance,
            born=incarnation.born,
            reason=reason,
            revision=revision,
        )


def _is_entry_of(entry: ServerEntry, server: Server) -> bool:
    """Return True if an entry matches a server's incarnation, service and zone."""
    return server.incarnation == entry.incarnation and (
        (server.service, server.zone) == (entry.service, entry.zone)
    )
