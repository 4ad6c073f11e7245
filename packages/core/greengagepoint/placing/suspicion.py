"""Spare backend servers that fail, without forgetting the keys that they hold.

Load answered: servers crash or fall silent while hosts send each of them tens of
requests a second. Once the pause of one is over, a single request tries it; all others
go elsewhere until that one is answered.
"""

from typing import Final

from greengagepoint.placing.tables import Server

# A crashed server is back in a few seconds or its entry goes; one probe by a request
# each time that a pause ends finds out. Doubling bounds what a dead one costs.
PAUSE_SECONDS: Final = 0.5
PAUSE_MAX_SECONDS: Final = 4.0
# A trial at a silent server has failed by then, and note_failure sets the next pause: a
# connection is given up after 0.6 s.
TRIAL_SECONDS: Final = 1.0


def note_failure(server: Server, now: float) -> None:
    """Spare a server after a refused connection, a reset or silence."""
    server.failures += 1
    pause = min(PAUSE_MAX_SECONDS, PAUSE_SECONDS * 2 ** (server.failures - 1))
    server.suspect_until = now + pause


def begin_trial(server: Server, now: float) -> None:
    """Keep others off a server whose pause is over, while one request tries it.

    A server that is silent shows it only after a timeout; without this, all requests of
    that time would wait for it in vain.
    """
    if server.failures:
        server.suspect_until = max(server.suspect_until, now + TRIAL_SECONDS)


def note_answer(server: Server, now: float) -> None:
    """Trust a server again that has answered."""
    server.answered_at = now
    server.failures = 0
    server.suspect_until = 0.0
