"""Decide which version of the configuration is decoded next and which is in force.

Versions arrive late, twice and in any order, from the store and from peers, and large
ones are decoded in steps. The order of their arrival says nothing about their age.

Within an era of the store, the version at the later position is the newer one. A store
that was restored from a copy returns older versions at later positions, so across eras
the higher version number decides.
"""

from dataclasses import dataclass, field
from typing import Generic, NamedTuple, TypeVar

from greengagepoint.config.eras import era_of

T = TypeVar("T")


class ActiveVersion(NamedTuple):
    """The version in force and the position at which the store last held it."""

    position: int = 0
    version: int = -1


class DecodedVersion(NamedTuple):
    """The result of decoding a version.

    ``superseded`` are the positions of versions that are dropped.
    """

    is_activated: bool
    superseded: tuple[int, ...]


@dataclass(slots=True)
class VersionOrder(Generic[T]):
    """Order the known versions; ``waiting`` maps those to decode, oldest first.

    ``valid`` is the latest position in each era that held a valid version. ``rejected``
    are positions of invalid versions, ``evicted`` those that were dropped because too
    many were waiting; both hold no superseded ones.
    """

    waiting_max: int
    waiting: dict[int, T] = field(default_factory=dict)
    active: ActiveVersion = ActiveVersion()
    valid: dict[int, int] = field(default_factory=dict)
    rejected: set[int] = field(default_factory=set)
    evicted: set[int] = field(default_factory=set)

    def is_superseded(self, position: int) -> bool:
        """Return True if a version at a later position of the era is valid."""
        return position < self.valid.get(era_of(position), 0)

    def is_undecided(self, position: int) -> bool:
        """Return True if a version may become active and is not waiting."""
        is_decided = (
            position == self.valid.get(era_of(position))
            or position in self.rejected
            or position in self.waiting
        )
        return not is_decided and not self.is_superseded(position)

    def add(self, position: int, row: T) -> tuple[int, ...]:
        """Add a version to decode; return the positions that are dropped.

        These are the added one if it is superseded, or the oldest if too many wait.
        """
        if self.is_superseded(position):
            return (position,)
        if not self.is_undecided(position):
            return ()
        self._forget(position)
        self.waiting = dict(sorted({**self.waiting, position: row}.items()))
        if len(self.waiting) <= self.waiting_max:
            return ()
        oldest = next(iter(self.waiting))
        del self.waiting[oldest]
        self.evicted.add(oldest)
        return (oldest,)

    def next_waiting(self) -> T:
        """Return the newest version to decode."""
        return self.waiting[next(reversed(self.waiting))]

    def record_valid(self, position: int, version: int) -> DecodedVersion:
        """Record a decoded version; activate it if it is the newest one."""
        self._forget(position)
        if self.is_superseded(position):
            return DecodedVersion(is_activated=False, superseded=(position,))
        self.valid[era_of(position)] = position
        superseded = tuple(row for row in self.waiting if self.is_superseded(row))
        for row in superseded:
            del self.waiting[row]
        self.rejected = {row for row in self.rejected if not self.is_superseded(row)}
        self.evicted = {row for row in self.evicted if not self.is_superseded(row)}
        is_activated = version > self.active.version
        if is_activated:
            self.active = ActiveVersion(position, version)
        elif version == self.active.version:
            # The store holds the active version again after a restore.
            latest = max(position, self.active.position)
            self.active = ActiveVersion(latest, version)
        return DecodedVersion(is_activated, superseded)

    def record_rejected(self, position: int) -> None:
        """Record that a version is invalid; older ones remain to be decoded."""
        self._forget(position)
        if not self.is_superseded(position):
            self.rejected.add(position)

    def confirmed_position(self) -> int:
        """Return the position up to which the active version is the newest valid one.

        Positions of invalid versions count once nothing else may be newer.
        """
        position = self.active.position
        newest = max((*self.evicted, *self.valid.values()), default=0)
        if self.waiting or position < newest:
            return position
        return max(position, *self.rejected, 0)

    def _forget(self, position: int) -> None:
        """Forget that a version was waiting or evicted."""
        self.waiting.pop(position, None)
        self.evicted.discard(position)
