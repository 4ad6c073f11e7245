"""Remember on which backend servers each key ran lately, as far as this host saw.

Load answered: a server that is busy, leaves or joins makes keys run elsewhere, and a
run on a server that has not had the key takes three times as long. A key that has run
on a second server is warm on both, so the next callers can use whichever is free, and
servers that join take keys over at a pace instead of all at once.
"""

from dataclasses import dataclass, field
from typing import Final

from greengagepoint.placing.tables import Incarnation

# Bounds the memory for keys and the servers of each.
KEYS_MAX: Final = 10_000
# Servers keep the last few dozen objects that they worked on; one that was used this
# lately is still among them.
WARM_SECONDS: Final = 20.0


@dataclass(slots=True)
class WarmKeys:
    """Servers by key, with the time of the last run; monotonic seconds."""

    runs: dict[str, dict[Incarnation, float]] = field(default_factory=dict)

    def note(self, key: str, server: Incarnation, now: float) -> None:
        """Take in that a key runs on a server."""
        servers = self.runs.pop(key, {})
        servers[server] = now
        self.runs[key] = servers
        if len(self.runs) > KEYS_MAX:
            del self.runs[next(iter(self.runs))]

    def forget(self, key: str, server: Incarnation) -> None:
        """Take in that a key did not run on a server after all."""
        self.runs.get(key, {}).pop(server, None)

    def servers(self, key: str, now: float) -> tuple[Incarnation, ...]:
        """Return where a key is warm, in the order of its first runs there."""
        found = self.runs.get(key)
        if not found:
            return ()
        oldest = now - WARM_SECONDS
        for server in [row for row, at in found.items() if at < oldest]:
            del found[server]
        return tuple(found)
