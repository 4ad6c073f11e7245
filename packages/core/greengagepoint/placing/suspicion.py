"""Avoid backend servers that fail, while keeping the keys assigned to them.

Servers crash or become silent while hosts send each of them tens of requests a second.
When the pause of a suspected server ends, a single request probes it; all others go to
other servers until that request is answered.
"""

from typing import Final

from greengagepoint.placing.tables import Server

# A crashed server is back within a few seconds or its entry is removed. One request
# probes it each time the pause ends; doubling the pause limits the cost of a dead one.
PAUSE_SECONDS: Final = 0.5
PAUSE_MAX_SECONDS: Final = 4.0
# A connection attempt times out after 0.6 s, so a probe of a silent server has failed
# by then and set the next pause.
PROBE_SECONDS: Final = 1.0


def record_failure(server: Server, now: float) -> None:
    """Suspect a server after a refused connection, a reset or silence."""
    server.failures += 1
    pause = min(PAUSE_MAX_SECONDS, PAUSE_SECONDS * 2 ** (server.failures - 1))
    server.suspect_until = now + pause


def begin_probe(server: Server, now: float) -> None:
    """Suspect a failed server for longer while one request probes it.

    A silent server is noticed only after a timeout. Without the probe, all requests of
    that time would wait for it.
    """
    if server.failures:
        server.suspect_until = max(server.suspect_until, now + PROBE_SECONDS)


def clear(server: Server) -> None:
    """Clear the suspicion of a server whose failures were those of this host's link."""
    server.failures = 0
    server.suspect_until = 0.0


def record_answer(server: Server, now: float) -> None:
    """Clear the suspicion of a server that has answered."""
    server.answered_at = now
    clear(server)
