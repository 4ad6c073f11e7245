"""Choose the backend servers to probe, and when.

A probe names no server that exists as its target. Servers answer such a request at
once, without a slot, and it counts towards none of their limits.
"""

from collections.abc import Callable, Collection, Iterable
from typing import Final

from greengagepoint.placing.tables import Incarnation, Server
from greengagepoint.protocols import Random
from greengagepoint.reachability.tracker import SILENCE_SECONDS, BackendReach, Reach

PROBED_SERVERS: Final = 3
# Enough to hold servers of several regions; looking at thousands takes milliseconds.
SAMPLED_SERVERS: Final = 64
# Twice the round trip to the farthest region, so that a caller waits for less than the
# timeout of its own connection.
PROBE_TIMEOUT_SECONDS: Final = 0.3
PROBE_ANSWER_SECONDS: Final = SILENCE_SECONDS
# The next server of a round is probed after this long, so that most rounds take one.
PROBE_STAGGER_SECONDS: Final = 0.05
PROBE_INTERVAL_SECONDS: Final = 0.25
# Outages of flapping links may be as short as the interval above.
RECOVERY_INTERVAL_SECONDS: Final = 0.1
# Requests without an answer for this many mean times raise a doubt, unless any server
# has answered meanwhile.
OVERDUE_RUNS: Final = 2.0
OVERDUE_MIN_SECONDS: Final = 0.1
# A proxy on the way gives these answers itself if it does not reach a server.
PROXY_STATUSES: Final = frozenset({502, 503, 504})


def overdue_seconds(mean_seconds: float) -> float:
    """Return after how long without any answer the link is in doubt.

    ``mean_seconds`` is the mean time that answers took.
    """
    return max(OVERDUE_MIN_SECONDS, OVERDUE_RUNS * mean_seconds)


def is_server_answer(status: int, *, names_server: bool) -> bool:
    """Return True if a response to a probe must come from a backend server.

    ``names_server`` tells whether it has a header that only servers set.
    """
    return names_server or status not in PROXY_STATUSES


def probe_interval_seconds(reach: BackendReach) -> float:
    """Return the seconds from the start of a round of probes to the next one."""
    if reach.state is Reach.RECOVERING:
        return RECOVERY_INTERVAL_SECONDS
    return PROBE_INTERVAL_SECONDS


def is_probe_due(reach: BackendReach, last_at: float, now: float) -> bool:
    """Return True if servers should be probed; ``last_at`` is the last round's time."""
    if reach.state is Reach.REACHABLE:
        return False
    return now - last_at >= probe_interval_seconds(reach)


def servers_to_probe(
    servers: Iterable[Server],
    reach: BackendReach,
    random: Random,
    is_restricted: Callable[[Server], bool] = lambda server: False,
) -> list[Server]:
    """Return the servers to probe: of different regions and zones where possible.

    While in doubt, servers to which connections failed come last, as they may have
    crashed. A host that is cut off could not connect to any, so that tells nothing.
    Those that ``is_restricted`` should get as few requests as possible, and come last
    as well.
    """
    failed: Collection[Incarnation] = () if reach.is_cut_off else reach.failed
    known = list(servers)
    if len(known) > SAMPLED_SERVERS:
        # Drawn with replacement, which is no bias that matters among so many.
        known = [known[random.randrange(len(known))] for _ in range(SAMPLED_SERVERS)]
        known = list({server.incarnation: server for server in known}.values())
    drawn = sorted(
        ((random.random(), server) for server in known), key=lambda row: row[0]
    )
    rows = sorted(
        (server for _, server in drawn), key=lambda row: row.incarnation in failed
    )
    chosen: list[Server] = []
    while rows and len(chosen) < PROBED_SERVERS:
        best = min(
            rows,
            key=lambda row: (
                row.incarnation in failed,
                is_restricted(row),
                *_shared_places(row, chosen),
            ),
        )
        chosen.append(best)
        rows.remove(best)
    return chosen


def _shared_places(server: Server, chosen: Collection[Server]) -> tuple[int, int]:
    """Return how much of its place a server shares with those already chosen."""
    return (
        sum(row.region == server.region for row in chosen),
        sum(row.zone == server.zone for row in chosen),
    )
