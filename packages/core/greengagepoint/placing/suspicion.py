"""Spare backend servers that fail, without forgetting the keys that they hold."""

from typing import Final

from greengagepoint.placing.tables import Server

# A crashed server is back in a few seconds or its entry goes; one probe by a request
# each time that a pause ends finds out. Doubling bounds what a dead one costs.
PAUSE_SECONDS: Final = 0.5
PAUSE_MAX_SECONDS: Final = 4.0


def note_failure(server: Server, now: float) -> None:
    """Spare a server after a refused connection, a reset or silence."""
    server.failures += 1
    pause = min(PAUSE_MAX_SECONDS, PAUSE_SECONDS * 2 ** (server.failures - 1))
    server.suspect_until = now + pause


def note_answer(server: Server, now: float) -> None:
    """Trust a server again that has answered."""
    server.answered_at = now
    server.failures = 0
    server.suspect_until = 0.0
