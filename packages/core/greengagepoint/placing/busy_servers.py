"""Share with peers which backend servers have no free slots.

A few servers have more keys than others and are full while others are idle. In a large
fleet a host sends to each of them only once in many seconds, so without sharing it
learns about a queue only from a request of its own that waited there, and its peers
never learn about it.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

import msgspec

from greengagepoint.placing.tables import Server, ServerTable

# A queue drains or grows within two runs.
AGE_MAX_SECONDS: Final = 2.0
# Only the newest reports are shared. Each takes 27 bytes, so a message grows by at most
# 0.9 KB beside the heartbeats.
SHARED_MAX: Final = 32


class BusyServer(msgspec.Struct, array_like=True):
    """Report how many requests a server holds, running and waiting.

    ``born`` is the start time of the server's incarnation: a server that restarts under
    its id holds none of the earlier requests. ``age_ms`` is the age of the report.
    """

    instance: str
    born: int
    held: int
    age_ms: int


@dataclass(slots=True)
class BusyServers:
    """Hold the newest load of full servers, by instance and start time.

    Each value is the number of requests held and the monotonic time of the report.
    """

    reports: dict[tuple[str, int], tuple[int, float]] = field(default_factory=dict)

    def note(self, server: Server, held: int, now: float) -> None:
        """Record the load that a server reported to this host."""
        if held >= server.slots:
            self.reports[server.instance, server.born] = (held, now)
        else:
            self.reports.pop((server.instance, server.born), None)

    def take(
        self, reports: Iterable[BusyServer], table: ServerTable, now: float
    ) -> None:
        """Merge the reports of a peer and apply them to the servers in ``table``.

        Reports of unknown servers or other incarnations are ignored, and so are those
        older than what this host has.
        """
        for row in reports:
            at = now - row.age_ms / 1000
            server = table.servers.get(row.instance)
            if server is None or server.born != row.born:
                continue
            if at <= self._latest_report_time(server):
                continue
            self.reports[row.instance, row.born] = (row.held, at)
            server.apply_peer_report(row.held, at)

    def recent_reports(self, now: float) -> list[BusyServer]:
        """Return the reports to share with peers, newest first, and drop old ones."""
        oldest = now - AGE_MAX_SECONDS
        recent = {run: row for run, row in self.reports.items() if row[1] >= oldest}
        self.reports = recent
        newest = sorted(recent.items(), key=lambda item: -item[1][1])[:SHARED_MAX]
        return [
            BusyServer(instance, born, held, round((now - at) * 1000))
            for (instance, born), (held, at) in newest
        ]

    def _latest_report_time(self, server: Server) -> float:
        """Return the monotonic time of the newest load report of a server."""
        run = (server.instance, server.born)
        _, at = self.reports.get(run, (0, float("-inf")))
        return max(at, server.reported_at)
