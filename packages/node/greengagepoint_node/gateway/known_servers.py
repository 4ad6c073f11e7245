"""Keep the table of backend servers as the entries in force say."""

from collections.abc import Mapping

from greengagepoint.events import Event
from greengagepoint.placing.tables import Incarnation, Server, ServerTable
from greengagepoint_node.context import EventSink
from greengagepoint_node.gateway.facts import ServerEntry


class KnownServers:
    """Begin, change and end servers; whoever calls works out the members again."""

    def __init__(self, zones: Mapping[str, str], events: EventSink) -> None:
        self.zones = zones
        self.events = events
        self.table = ServerTable()
        self.replaced: set[Incarnation] = set()

    def take(self, entry: ServerEntry, revision: int, now: float) -> None:
        """Put an entry in force."""
        table = self.table
        server = table.servers.get(entry.instance)
        if server is None or not _is_of(entry, server):
            if server is not None:
                self._end(server, "another run has its id", revision)
            server = self._create(entry)
            table.servers[entry.instance] = server
        server.slots = entry.slots
        if entry.cold_seconds > 0:
            server.cold_until = max(server.cold_until, now + entry.cold_seconds)
        if entry.leaving:
            self._leave(server.incarnation, "draining", revision)
        elif server.incarnation not in self.replaced:
            table.leaving.discard(server.incarnation)

    def forget(self, entry: ServerEntry, reason: str, revision: int) -> None:
        """Drop the server of an entry that is in force no more."""
        server = self.table.servers.pop(entry.instance, None)
        if server is not None:
            self._end(server, reason, revision)

    def note_replaced(self, incarnation: Incarnation, revision: int) -> bool:
        """Take in that another server has this one's address; tell if it is news."""
        server = self.table.servers.get(incarnation.instance)
        if server is None or server.incarnation != incarnation:
            return False
        self.replaced.add(incarnation)
        reason = "another server answers at its address"
        return self._leave(incarnation, reason, revision)

    def _create(self, entry: ServerEntry) -> Server:
        """Return a server of which nothing is known but its entry."""
        return Server(
            instance=entry.instance,
            service=entry.service,
            address=entry.address,
            zone=entry.zone,
            region=self.zones.get(entry.zone, ""),
            slots=entry.slots,
            born=entry.born,
        )

    def _leave(self, incarnation: Incarnation, reason: str, revision: int) -> bool:
        """Give a server nothing new; tell whether it got something before."""
        if incarnation in self.table.leaving:
            return False
        self.table.leaving.add(incarnation)
        self._tell(incarnation, reason, revision)
        return True

    def _end(self, server: Server, reason: str, revision: int) -> None:
        """Forget what is kept of a run that has ended."""
        self.table.leaving.discard(server.incarnation)
        self.replaced.discard(server.incarnation)
        self._tell(server.incarnation, reason, revision)

    def _tell(self, incarnation: Incarnation, reason: str, revision: int) -> None:
        """Log that a server gets nothing new."""
        self.events.record(
            Event.BACKEND_SERVER_LEAVING,
            instance=incarnation.instance,
            born=incarnation.born,
            reason=reason,
            revision=revision,
        )


def _is_of(entry: ServerEntry, server: Server) -> bool:
    """Tell whether an entry is of the run that is known, in the same place."""
    return server.incarnation == entry.incarnation and (
        (server.service, server.zone) == (entry.service, entry.zone)
    )
