"""Know as of when a host's configuration was surely the newest.

A key that is taken away must work nowhere after a bounded time, also at a host that
hears of nothing. So a host serves keyed requests only while the moment at which its
configuration was surely the newest is not too long ago.

All times are of one host's steady clock, which counts while the host is suspended. The
store's answer holds as of the moment at which it was asked for, and a peer's proof as
of the moment at which the peer was asked, less the proof's age there: both happened
before the answer was made. So however long an answer is under way, and however long
either host stands still, a host only takes itself for less sure than it is.

A configuration is named by the store's revision of its last change.
"""

from typing import Final, NamedTuple

NEVER: Final = float("-inf")
# Steady clocks of hosts run apart by far less over a few seconds.
CLOCK_DRIFT_SECONDS: Final = 0.05


class Proof(NamedTuple):
    """A configuration was the newest ``age`` seconds before this was written."""

    revision: int
    age: float


class Certainty:
    """The newest configuration known, the one in force, and as of when it is proved."""

    def __init__(self) -> None:
        self.in_force = 0
        self.newest = 0
        self.newest_at = NEVER
        self.certain_at = NEVER

    def note(self, revision: int, at: float) -> None:
        """Take in that a configuration was the newest at a time.

        One that is known and not in force yet proves nothing of the one that is.
        """
        if revision <= self.in_force:
            self.certain_at = max(self.certain_at, at)
        if revision > self.newest:
            self.newest, self.newest_at = revision, at
        elif revision == self.newest:
            self.newest_at = max(self.newest_at, at)
        self._settle()

    def note_complete(self, asked_at: float) -> None:
        """Take in that the store, asked at a time, has told everything."""
        self.note(self.newest, asked_at)

    def note_in_force(self, revision: int) -> None:
        """Take in that a configuration has come into force here."""
        self.in_force = max(self.in_force, revision)
        self._settle()

    def take(self, proof: Proof, asked_at: float) -> None:
        """Take in a peer's proof, which was asked for at a time of this host."""
        self.note(proof.revision, asked_at - proof.age)

    def proof(self, now: float) -> Proof | None:
        """Return what this host can prove to a peer, None while it is sure of nothing.

        It is of the configuration in force here.
        """
        if self.certain_at == NEVER:
            return None
        return Proof(self.in_force, max(0.0, now - self.certain_at))

    def age(self, now: float) -> float:
        """Return for how many seconds the configuration in force is unproved."""
        return now - self.certain_at

    def holds(self, now: float, seconds_max: float) -> bool:
        """Tell whether no key of the one in force was taken away longer ago."""
        return self.age(now) <= seconds_max - CLOCK_DRIFT_SECONDS

    def _settle(self) -> None:
        """Count what is known of the newest for the one in force where they agree."""
        if self.in_force >= self.newest:
            self.certain_at = max(self.certain_at, self.newest_at)
