"""Track how up to date this host's view of the fleet is."""

from typing import Protocol

from greengagepoint.config.watchers import CURRENT_SECONDS
from greengagepoint.overload.full_link import STORE_UNREACHABLE_SECONDS
from greengagepoint.protocols import Clock

NEVER = float("-inf")


class ViewFreshness(Protocol):
    """Report when the view was last complete; monotonic seconds or minus infinity."""

    def complete_at(self) -> float:
        """Return when the view was last complete."""

    def servers_complete_at(self) -> float:
        """Return when the view last held all entries of backend servers."""

    def is_current(self) -> bool:
        """Return True if the view holds every configuration that must be active."""


class ViewFreshnessTracker:
    """The times at which this host's view was last complete; monotonic seconds.

    ``store_at`` is as of the last read from the store, ``peers_at`` as of the last
    update of peers that had read from it. ``servers_at`` is when all entries of backend
    servers were last known, from the store or a peer. ``matched_peer_at`` is when the
    view last matched that of a peer while the store was unreachable.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.store_at = NEVER
        self.peers_at = NEVER
        self.servers_at = NEVER
        self.matched_peer_at = NEVER

    def record_store_read(self, seconds_ago: float) -> None:
        """Record that a read from the store completed the view ``seconds_ago``."""
        self.store_at = self.clock.monotonic() - seconds_ago

    def record_servers_complete(self, at: float) -> None:
        """Record that all entries of backend servers were known at a time."""
        self.servers_at = max(self.servers_at, at)

    def record_peer_view(self, sent_at: float, age: float, *, full_link: bool) -> None:
        """Record that a peer sent its whole view, which was ``age`` seconds old.

        A peer on a saturated link may know less than other hosts. For any other peer
        with an old view it follows that the store serves no host.
        """
        self.peers_at = max(self.peers_at, sent_at - age)
        if age > STORE_UNREACHABLE_SECONDS and not full_link:
            self.matched_peer_at = max(self.matched_peer_at, sent_at)

    def complete_at(self) -> float:
        """Return when the view was last complete."""
        return max(self.store_at, self.peers_at)

    def servers_complete_at(self) -> float:
        """Return when the view last held all entries of backend servers.

        If the store serves no host, the view is complete once it matches that of a
        peer, since no host can know more.
        """
        return max(self.servers_read_at(), self.matched_peer_at)

    def servers_read_at(self) -> float:
        """Return when the view last held what the store said of backend servers."""
        return max(self.complete_at(), self.servers_at)

    def is_current(self) -> bool:
        """Return True if the view holds every configuration that must be active."""
        return self.clock.monotonic() - self.complete_at() <= CURRENT_SECONDS
