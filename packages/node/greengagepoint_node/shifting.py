"""Run shifts together with the other hosts."""

from functools import partial

from greengagepoint.balancing.service_time import service_time
from greengagepoint.balancing.tables import BackendTable
from greengagepoint.configuration import Configuration
from greengagepoint.steering import shifts
from greengagepoint.steering.messages import ShiftProgress
from greengagepoint.steering.tables import SteeringTable
from greengagepoint_node.context import Context

PROGRESS_SECONDS = 1.0
PROGRESS_HOSTS = 2


class ShiftKeeper:
    """Tick the shifts and tell some other hosts how far they have come."""

    def __init__(self, context: Context, backends: BackendTable) -> None:
        self.context = context
        self.backends = backends
        self.table = SteeringTable()
        self.progress_at = 0.0
        context.peers.subscribe(ShiftProgress, self.on_progress)

    def tick(
        self,
        configuration: Configuration,
        failed_regions: frozenset[str],
        peers: list[str],
        now: float,
    ) -> None:
        """Move each shift a step and share the progress."""
        events = shifts.run(
            self.table,
            configuration,
            failed_regions,
            partial(service_time, self.backends),
            now,
            self.context.clock.wall_milliseconds(),
        )
        for happened in events:
            self.context.events.record(
                happened.event,
                shift=happened.shift,
                fraction=round(happened.fraction, 4),
                detail=happened.detail,
            )
        self._share(peers, now)

    def on_progress(self, sender: str, message: ShiftProgress) -> None:
        """Take in how far another host has come."""
        now = self.context.clock.monotonic()
        shifts.merge_progress(self.table, sender, message, now)

    def is_moving(self) -> bool:
        """Tell whether any shift is on its way."""
        return shifts.is_moving(self.table)

    def _share(self, peers: list[str], now: float) -> None:
        """Tell a few hosts at random, once a second while anything moves."""
        if now < self.progress_at or not peers:
            return
        message = shifts.progress(self.table)
        if message is None:
            return
        self.progress_at = now + PROGRESS_SECONDS
        for _ in range(min(PROGRESS_HOSTS, len(peers))):
            peer = peers[self.context.random.randrange(len(peers))]
            self.context.peers.send(peer, message)
