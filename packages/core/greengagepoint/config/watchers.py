"""Choose the hosts of a region that watch the store, and know when others must too.

Load answered: each change wakes every waiting watch, so a fleet in which all hosts
watch makes calls by the product of hosts and changes.
"""

from collections.abc import Iterable
from typing import Final, Protocol

from greengagepoint.rendezvous import rank

WATCHERS_A_REGION: Final = 2
# Where watchers also tell once a second that nothing has changed, a host that has heard
# nothing for longer watches by itself, whatever the reason: its watcher may be dead,
# cut off, slow, or turned away by the store. With 0.1 s until it looks again and an
# answer of the store, a change is in force 1.6 s after it at the latest; users allow
# 2.0 s.
STALE_SECONDS: Final = 1.4


class Located(Protocol):
    """A host and its region."""

    @property
    def name(self) -> str:
        """Return the host's name."""

    @property
    def region(self) -> str:
        """Return the host's region."""


def watchers_of(
    region: str, live: Iterable[Located], count: int = WATCHERS_A_REGION
) -> tuple[str, ...]:
    """Return the watchers of a region by rendezvous hashing.

    Hosts with different views may disagree; as watching only reads, more
    watchers cost calls and fewer are covered by the other regions' hosts.
    """
    names = (host.name for host in live if host.region == region)
    return tuple(rank(region, names)[:count])


def must_watch(*, watcher: bool, confirmed_at: float, now: float) -> bool:
    """Tell whether a host has to ask the store itself.

    ``confirmed_at`` is when peers last told that nothing is missing here; monotonic
    seconds, as ``now``.
    """
    return watcher or now - confirmed_at > STALE_SECONDS
