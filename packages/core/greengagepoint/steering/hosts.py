"""Tell which entry hosts a drain record takes out of look-ups."""

from greengagepoint.configuration import Configuration
from greengagepoint.records.schemas import DrainTarget
from greengagepoint.steering.schedule import has_started


def drained_hosts(configuration: Configuration, now_wall_ms: int) -> frozenset[str]:
    """Return the names of hosts whose drain has begun."""
    return frozenset(
        drain.target
        for drain in configuration.drains.values()
        if drain.target_kind is DrainTarget.HOST
        and has_started(drain.start_at, now_wall_ms)
    )
