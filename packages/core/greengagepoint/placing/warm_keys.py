"""Track the backend servers on which this host recently ran each key.

A server that is busy, leaves or joins makes keys run on other servers, and a run on a
server that has not had the key takes three times as long. A key that has run on a
second server is warm on both, so the next callers can use whichever is free, and a
server that joins takes over keys at a limited rate instead of all at once.
"""

from dataclasses import dataclass, field
from typing import Final

from greengagepoint.placing.tables import Incarnation

# Limits the memory for keys and their servers.
KEYS_MAX: Final = 10_000
# Servers cache the last few dozen objects that they worked on. An object used within
# this time is still cached.
WARM_SECONDS: Final = 20.0


@dataclass(slots=True)
class WarmKeys:
    """Hold the servers of each key with the monotonic time of the last run there."""

    runs: dict[str, dict[Incarnation, float]] = field(default_factory=dict)

    def note(self, key: str, server: Incarnation, now: float) -> None:
        """Record that a key runs on a server."""
        servers = self.runs.pop(key, {})
        servers[server] = now
        self.runs[key] = servers
        if len(self.runs) > KEYS_MAX:
            del self.runs[next(iter(self.runs))]

    def forget(self, key: str, server: Incarnation) -> None:
        """Drop a server from a key's warm servers, as the key did not run there."""
        self.runs.get(key, {}).pop(server, None)

    def servers(self, key: str, now: float) -> tuple[Incarnation, ...]:
        """Return the servers that are warm for a key, in the order of the first run."""
        found = self.runs.get(key)
        if not found:
            return ()
        oldest = now - WARM_SECONDS
        for server in [row for row, at in found.items() if at < oldest]:
            del found[server]
        return tuple(found)
