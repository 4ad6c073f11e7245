"""Order events of many hosts by a hybrid logical clock."""

from typing import Final, NamedTuple

# A peer's stamp further ahead than this is refused: one host with a wrong clock would
# otherwise drag every host's stamps into the future, where they stay.
DRIFT_MAX_MILLISECONDS: Final = 60_000


class Stamp(NamedTuple):
    """A hybrid logical time: wall milliseconds and a counter within them."""

    milliseconds: int
    counter: int


class HybridClock:
    """Issue stamps that grow strictly and follow each stamp accepted before."""

    def __init__(self, drift_max_milliseconds: int = DRIFT_MAX_MILLISECONDS) -> None:
        self.drift_max_milliseconds = drift_max_milliseconds
        self.last = Stamp(0, 0)

    def issue(self, wall_milliseconds: int) -> Stamp:
        """Return the next stamp; a wall clock that went back only moves the counter."""
        if wall_milliseconds > self.last.milliseconds:
            self.last = Stamp(wall_milliseconds, 0)
        else:
            self.last = Stamp(self.last.milliseconds, self.last.counter + 1)
        return self.last

    def observe(self, stamp: Stamp, wall_milliseconds: int) -> bool:
        """Follow a peer's stamp; return False when it is too far in the future."""
        if stamp.milliseconds > wall_milliseconds + self.drift_max_milliseconds:
            return False
        if stamp > self.last:
            self.last = Stamp(*stamp)
        return True
