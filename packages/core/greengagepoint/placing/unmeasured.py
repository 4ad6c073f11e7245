"""Choose among servers of which a host has no measurements yet.

A host that has had no callers knows neither loads nor run times. The requests that a
peer without links passes on at once would be rejected as if all servers were busy,
because the run time assumed for each is long.
"""

from greengagepoint.placing.choice import Permissions, ServerCriteria
from greengagepoint.placing.tables import (
    SHEDDING_QUEUE_PER_SLOT,
    Server,
    ServerTable,
)


def choose_unmeasured(
    table: ServerTable, criteria: ServerCriteria, permissions: Permissions, now: float
) -> Server | None:
    """Return the least loaded server without measurements, or None.

    It gets no more requests than it queues before it sheds load.
    """
    servers = [
        server
        for region in criteria.regions
        for server in table.find(criteria.service, region).servers
        if server.incarnation not in criteria.tried
        and _is_usable(server, now)
        and permissions.may_use(server)
    ]
    best = min(servers, key=_queue_per_slot, default=None)
    if best is None or _queue_per_slot(best) > SHEDDING_QUEUE_PER_SLOT:
        return None
    if best.is_unrestricted(now) or permissions.may_send(best):
        return best
    return None


def _is_usable(server: Server, now: float) -> bool:
    """Return True if nothing is known of a server that could forbid a request."""
    if server.suspect_until > now or server.is_resting(now):
        return False
    return not server.is_measured


def _queue_per_slot(server: Server) -> float:
    """Return how many of this host's requests wait for a slot, per slot.

    That other hosts send as much, as is assumed without reports, does not hold for
    requests that they pass on because they have no links.
    """
    return max(0, server.in_flight + 1 - server.slots) / server.slots
