"""Tell other hosts which backend servers have more requests than slots.

Load answered: a few servers have more keys than others, and are full beside idle ones.
A host of a large fleet meets each of them once in many seconds, so it learns of a queue
only from its own request that waited there, and the next host does not learn of it.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

import msgspec

from greengagepoint.placing.tables import Server, ServerTable

# A queue is worked off, or has grown, within two runs.
AGE_MAX_SECONDS: Final = 2.0
# The newest so many are passed on, of 27 bytes each: 0.9 KB beside the heartbeats.
SHARED_MAX: Final = 32


class BusyServer(msgspec.Struct, array_like=True):
    """The requests of one run of a server, running and waiting, and their age.

    A server that starts again under its id holds nothing of what it had before.
    """

    instance: str
    born: int
    held: int
    age_ms: int


@dataclass(slots=True)
class BusyServers:
    """The newest news of full servers, by instance and birth; monotonic seconds."""

    news: dict[tuple[str, int], tuple[int, float]] = field(default_factory=dict)

    def note(self, server: Server, held: int, now: float) -> None:
        """Take in what a server told this host."""
        if held >= server.slots:
            self.news[server.instance, server.born] = (held, now)
        else:
            self.news.pop((server.instance, server.born), None)

    def take(self, news: Iterable[BusyServer], table: ServerTable, now: float) -> None:
        """Take in what a peer passes on, and what it says of servers known here."""
        for row in news:
            at = now - row.age_ms / 1000
            server = table.servers.get(row.instance)
            if server is None or server.born != row.born:
                continue
            if at <= self._known_at(server):
                continue
            self.news[row.instance, row.born] = (row.held, at)
            server.take_shared(row.held, at)

    def shared(self, now: float) -> list[BusyServer]:
        """Return what peers should know, the newest first; forget the rest."""
        oldest = now - AGE_MAX_SECONDS
        recent = {run: row for run, row in self.news.items() if row[1] >= oldest}
        self.news = recent
        newest = sorted(recent.items(), key=lambda item: -item[1][1])[:SHARED_MAX]
        return [
            BusyServer(instance, born, held, round((now - at) * 1000))
            for (instance, born), (held, at) in newest
        ]

    def _known_at(self, server: Server) -> float:
        """Return when the newest news of a server was told."""
        run = (server.instance, server.born)
        _, at = self.news.get(run, (0, float("-inf")))
        return max(at, server.reported_at)
