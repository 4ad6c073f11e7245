"""What every coordinator of the daemon is given."""

from typing import Any, NamedTuple, Protocol

from greengagepoint.events import Event
from greengagepoint.hosts import HostIdentity
from greengagepoint.protocols import Clock, ConfigStore, PeerLink, Random


class EventSink(Protocol):
    """Keep numbered events for the log and the time line."""

    def record(self, event: Event, **fields: Any) -> None:
        """Record that an event happened now on this host."""


class Context(NamedTuple):
    """The daemon's surroundings, shared by all coordinators."""

    host: HostIdentity
    clock: Clock
    random: Random
    store: ConfigStore
    peers: PeerLink
    events: EventSink


class Coordinator(Protocol):
    """Join one matter's decisions in core to the outside."""

    async def async_start(self) -> None:
        """Start background work."""

    async def async_stop(self) -> None:
        """Stop background work and hand over what others can use."""

    def tick(self, now: float) -> None:
        """Run the periodic systems; ``now`` is monotonic seconds."""
