"""Track how fresh a host's configuration is, with a bound on its staleness.

A revoked key must stop working everywhere within a bounded time, even on a host that
is cut off from the store and its peers. A host therefore serves keyed requests only
while its configuration was verified as the newest recently enough.

All times are readings of one host's monotonic clock, which also counts while the host
is suspended. A store's answer is valid as of the time the request was sent, and a
peer's proof as of the time the peer was asked, less the age that the peer reports: both
are earlier than the moment the answer was produced. Network delays and paused hosts can
thus only make a configuration look older than it is, never fresher.

A configuration is identified by the store revision of its last change.
"""

from typing import Final, NamedTuple

NEVER: Final = float("-inf")
# Monotonic clocks of two hosts drift apart by far less than this in a few seconds.
CLOCK_DRIFT_SECONDS: Final = 0.05


class Proof(NamedTuple):
    """Proof that a revision was the newest ``age`` seconds before it was written."""

    revision: int
    age: float


class ConfigFreshness:
    """Track the newest and the active configuration, and when each was verified."""

    def __init__(self) -> None:
        self.active_revision = 0
        self.newest = 0
        self.newest_verified_at = NEVER
        self.verified_at = NEVER

    def note(self, revision: int, at: float) -> None:
        """Record that a revision was the newest at a time.

        A newer revision that is not active yet proves nothing about the active one.
        """
        if revision <= self.active_revision:
            self.verified_at = max(self.verified_at, at)
        if revision > self.newest:
            self.newest, self.newest_verified_at = revision, at
        elif revision == self.newest:
            self.newest_verified_at = max(self.newest_verified_at, at)
        self._apply_newest()

    def note_complete(self, asked_at: float) -> None:
        """Record that the store, asked at a time, has sent every change."""
        self.note(self.newest, asked_at)

    def note_in_force(self, revision: int) -> None:
        """Record that a revision became active on this host.

        It is lower than that of the former one if that one was from a restored store.
        """
        self.active_revision = revision
        self._apply_newest()

    def take(self, proof: Proof, asked_at: float) -> None:
        """Apply a peer's proof that this host asked for at a time of its own clock."""
        self.note(proof.revision, asked_at - proof.age)

    def proof(self, now: float) -> Proof | None:
        """Return a proof for the active configuration to send to a peer.

        Return None while this host has not verified it at all.
        """
        if self.verified_at == NEVER:
            return None
        return Proof(self.active_revision, max(0.0, now - self.verified_at))

    def age(self, now: float) -> float:
        """Return the seconds since the active configuration was last verified."""
        return now - self.verified_at

    def is_fresh(self, now: float, seconds_max: float) -> bool:
        """Return True if the active configuration is at most ``seconds_max`` stale."""
        return self.age(now) <= seconds_max - CLOCK_DRIFT_SECONDS

    def _apply_newest(self) -> None:
        """Apply the newest revision's verification once that revision is active."""
        if self.active_revision >= self.newest:
            self.verified_at = max(self.verified_at, self.newest_verified_at)
