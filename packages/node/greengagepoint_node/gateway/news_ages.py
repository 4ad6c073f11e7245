"""Know how old this host's news of the fleet is, by whatever way it came."""

from typing import Protocol

from greengagepoint.config.watchers import CURRENT_SECONDS
from greengagepoint.overload.full_link import STORE_UNREACHABLE_SECONDS
from greengagepoint.protocols import Clock

NEVER = float("-inf")


class News(Protocol):
    """Know when this host was last told what; monotonic seconds, or minus infinity."""

    def complete_at(self) -> float:
        """Return when the view was last known to lack nothing."""

    def informed_at(self) -> float:
        """Return when it was last known to lack nothing about backend servers."""

    def is_current(self) -> bool:
        """Tell whether this host would know a configuration that must be in force."""


class NewsAges:
    """The times at which this host was last told everything; monotonic seconds.

    ``store_at`` is by the store itself, ``peers_at`` by peers that had it from there.
    ``servers_at`` is everything about backend servers, by the store or a peer.
    ``as_peers_at`` is when it last knew all that a peer did while the store was away.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.store_at = NEVER
        self.peers_at = NEVER
        self.servers_at = NEVER
        self.as_peers_at = NEVER

    def note_store(self, seconds_ago: float) -> None:
        """Take in that the store told everything."""
        self.store_at = self.clock.monotonic() - seconds_ago

    def note_servers(self, at: float) -> None:
        """Take in that everything about backend servers was told as of a time."""
        self.servers_at = max(self.servers_at, at)

    def note_peer(self, told_at: float, age: float, *, full_link: bool) -> None:
        """Take in that a peer, whose own news was so old, told all that it knew.

        One with a full link may know less than others do; else news that it does not
        have is news that the store does not tell.
        """
        self.peers_at = max(self.peers_at, told_at - age)
        if age > STORE_UNREACHABLE_SECONDS and not full_link:
            self.as_peers_at = max(self.as_peers_at, told_at)

    def complete_at(self) -> float:
        """Return when the view was last known to lack nothing."""
        return max(self.store_at, self.peers_at)

    def informed_at(self) -> float:
        """Return when it was last known to lack nothing about backend servers.

        Where the store tells nobody anything, that is all that any host could know.
        """
        return max(self.complete_at(), self.servers_at, self.as_peers_at)

    def is_current(self) -> bool:
        """Tell whether this host would know a configuration that must be in force."""
        return self.clock.monotonic() - self.complete_at() <= CURRENT_SECONDS
