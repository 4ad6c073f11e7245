"""Choose the backend servers to probe, and when."""

from collections.abc import Collection, Iterable
from typing import Final

from greengagepoint.placing.tables import Incarnation, Server
from greengagepoint.protocols import Random
from greengagepoint.reachability.tracker import BackendReach, Reach

PROBED_SERVERS: Final = 3
# Enough to hold servers of several regions; looking at thousands takes milliseconds.
SAMPLED_SERVERS: Final = 64
# Twice the round trip to the farthest region, so that a caller waits for less than the
# timeout of its own connection.
PROBE_TIMEOUT_SECONDS: Final = 0.3
# A firewall or proxy may accept a connection and reset it at once.
PROBE_SETTLE_SECONDS: Final = 0.02
PROBE_INTERVAL_SECONDS: Final = 0.25


def is_probe_due(reach: BackendReach, last_at: float, now: float) -> bool:
    """Return True if servers should be probed; ``last_at`` is the last round's time."""
    if reach.state is Reach.REACHABLE:
        return False
    return now - last_at >= PROBE_INTERVAL_SECONDS


def servers_to_probe(
    servers: Iterable[Server], reach: BackendReach, random: Random
) -> list[Server]:
    """Return the servers to probe: of different regions and zones where possible.

    While in doubt, servers to which connections failed come last, as they may have
    crashed. A host that is cut off could not connect to any, so that tells nothing.
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
        best = min(rows, key=lambda row: _shared_places(row, chosen, failed))
        chosen.append(best)
        rows.remove(best)
    return chosen


def _shared_places(
    server: Server, chosen: Collection[Server], failed: Collection[Incarnation]
) -> tuple[bool, int, int]:
    """Return how much of its place a server shares with those already chosen."""
    return (
        server.incarnation in failed,
        sum(row.region == server.region for row in chosen),
        sum(row.zone == server.zone for row in chosen),
    )
