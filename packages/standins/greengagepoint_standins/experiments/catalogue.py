"""The experiments by name."""

from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple

from greengagepoint_standins.experiments.world import World

Run = Callable[[World], Awaitable[None]]


class Experiment(NamedTuple):
    """One experiment; ``relayed`` puts relays before the hosts' peer addresses."""

    name: str
    run: Run
    relayed: bool

    @property
    def tells(self) -> str:
        """Return what callers see, in what order, and why."""
        return " ".join((self.run.__doc__ or "").split())


EXPERIMENTS: Final[dict[str, Experiment]] = {}


def experiment(name: str, *, relayed: bool = False) -> Callable[[Run], Run]:
    """Enter a function into the catalogue."""

    def enter(run: Run) -> Run:
        EXPERIMENTS[name] = Experiment(name, run, relayed)
        return run

    return enter
