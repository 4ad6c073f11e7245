"""Choose the hosts of a region that watch the store, and know when others must too.

Load answered: each change wakes every waiting watch, so a fleet in which all hosts
watch makes calls by the product of hosts and changes.
"""

import math
from collections.abc import Iterable
from typing import Final, Protocol, TypeVar

from greengagepoint.rendezvous import rank

WATCHERS_A_REGION: Final = 2
# Where watchers also tell once a second that nothing has changed, a host that has heard
# nothing for longer watches by itself, whatever the reason: its watcher may be dead,
# cut off, slow, or turned away by the store. With 0.1 s until it looks again and an
# answer of the store, a change is in force 1.6 s after it at the latest; users allow
# 2.0 s.
STALE_SECONDS: Final = 1.4


# A host that has heard nothing for longer may lack a configuration that users expect to
# be in force everywhere after 2.0 s.
CURRENT_SECONDS: Final = 1.8


class Located(Protocol):
    """A host and its region."""

    @property
    def name(self) -> str:
        """Return the host's name."""

    @property
    def region(self) -> str:
        """Return the host's region."""


class Linked(Located, Protocol):
    """A host and what its link carries; Mbit/s, 0 where it is not known."""

    @property
    def link_mbps(self) -> float:
        """Return what the host's link carries."""


LinkedHost = TypeVar("LinkedHost", bound=Linked)

# Hosts of one kind have equal links; half of the largest is told apart from the next
# smaller kind, which has a twentieth on the deployments known.
LINK_SHARE_MIN: Final = 0.5


def well_linked(hosts: Iterable[LinkedHost]) -> list[LinkedHost]:
    """Return the hosts whose links are about as large as the largest.

    A watcher sends each change to all hosts of its region. One with a link of 5 Mbit/s
    among others with 100 sent whole configurations for seconds, while its own callers
    and the hosts that waited for its news got nothing.
    """
    known = list(hosts)
    largest = max((host.link_mbps for host in known), default=0.0)
    return [host for host in known if host.link_mbps >= LINK_SHARE_MIN * largest]


def watchers_of(
    region: str, live: Iterable[Located], count: int = WATCHERS_A_REGION
) -> tuple[str, ...]:
    """Return the watchers of a region by rendezvous hashing.

    Hosts with different views may disagree; as watching only reads, more
    watchers cost calls and fewer are covered by the other regions' hosts.
    """
    names = (host.name for host in live if host.region == region)
    return tuple(rank(region, names)[:count])


# A watcher tells so many hosts itself. In larger regions some of them pass its news on,
# or it would send each change as often as the region has hosts.
TOLD_DIRECTLY_MAX: Final = 32


def relays_of(region: str, hosts: Iterable[LinkedHost]) -> dict[str, list[str]]:
    """Return which hosts a watcher tells, and to which others each passes that on.

    The most that one host tells grows with the root of their number.
    """
    known = list(hosts)
    if len(known) <= TOLD_DIRECTLY_MAX:
        return {host.name: [] for host in known}
    count = math.isqrt(len(known))
    linked = rank(region, well_linked(known), lambda host: host.name)
    relays = [host.name for host in linked[:count]]
    others = sorted({host.name for host in known} - set(relays))
    return {name: others[place :: len(relays)] for place, name in enumerate(relays)}


def must_watch(*, watcher: bool, confirmed_at: float, now: float) -> bool:
    """Tell whether a host has to ask the store itself.

    ``confirmed_at`` is when peers last told that nothing is missing here; monotonic
    seconds, as ``now``.
    """
    return watcher or now - confirmed_at > STALE_SECONDS


# Peers bring a configuration packed, also over a full link. Where none has for so long,
# it is read from the store, whatever that costs the link; users expect it in force
# after 2 to 4 s.
WHOLE_NEWS_SECONDS: Final = 3.0


def must_read_all(
    *, watcher: bool, full_link: bool, confirmed_at: float, now: float
) -> bool:
    """Tell whether a host that asks the store asks for everything.

    On a full link the answer may begin with a configuration, and hold up word of the
    servers that leave for seconds; without it, servers' entries come at once.
    ``confirmed_at`` is when the host last knew that it missed nothing.
    """
    return watcher or not full_link or now - confirmed_at > WHOLE_NEWS_SECONDS


# An entry lasts for three heartbeats without a renewal. The last one came about one
# before an outage at most, so the entry lasts for most of two more.
HEARTBEATS_OUTLIVED: Final = 1.5


def may_have_lapsed(
    *, confirmed_at: float, heartbeat_seconds: float, now: float
) -> bool:
    """Tell whether the store may have dropped entries of servers that live on.

    ``confirmed_at`` is when the store last answered this host or one that told it so;
    monotonic seconds. A host that was turned away alone, or for a moment, would else
    take what leaves just then for a lapse, and others would send there for two
    more seconds.
    """
    return now - confirmed_at > HEARTBEATS_OUTLIVED * heartbeat_seconds


# The pause after a first failed call; a store that turns away one call in many is asked
# again at once.
PAUSE_SECONDS: Final = 0.25
# A store that comes back is seen by the watchers of all regions within this, and they
# tell the other hosts.
PAUSE_MAX_WATCHER_SECONDS: Final = 0.5
# All other hosts ask too while they hear nothing, and pay for each call in vain.
PAUSE_MAX_SECONDS: Final = 1.0
# An entry that is renewed late is missed by nobody while hosts hear of each other.
PAUSE_MAX_ENTRY_SECONDS: Final = 2.0


def pause_seconds(failures: int, most: float) -> float:
    """Return how long to wait after so many failed calls in a row."""
    doublings = min(max(0, failures - 1), 16)
    return min(most, PAUSE_SECONDS * 2**doublings)
