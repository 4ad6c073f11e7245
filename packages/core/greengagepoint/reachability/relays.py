"""Choose the hosts to which a host without links passes its callers' requests."""

from collections.abc import Collection, Iterable
from enum import StrEnum
from typing import Final, NamedTuple

from greengagepoint.rendezvous import rank

# Each host that does not answer costs the caller a connection timeout.
SILENT_RELAYS_MAX: Final = 3
# Hosts that are cut off together hear of each other within a heartbeat. Until then,
# each that is asked answers at once that it is unable.
RELAYS_MAX: Final = 8
# Relayed requests that a host works on at once. Each holds two connections, and memory
# for a body; the rest is left to the host's own callers.
RELAYED_IN_FLIGHT_MAX: Final = 512


class RelayOrigin(StrEnum):
    """Whose response a host returns to a request that another host has passed on.

    ``SERVER`` is a backend server's, which has run. The others are the host's own:
    ``REJECTED`` if the request has not run, ``FAILED`` if it may have.
    """

    SERVER = "server"
    REJECTED = "rejected"
    FAILED = "failed"


class RelayCandidate(NamedTuple):
    """A live host that receives callers; ``address`` is host:port for peers.

    A host that is ``cut_off`` and ``recovering`` is answered by servers again, but its
    links may fail once more.
    """

    name: str
    region: str
    address: str
    cut_off: bool
    recovering: bool = False


class RelayRequest(NamedTuple):
    """What a request requires of the host that it is passed to.

    ``home_regions`` are the regions in which the request must stay, empty if it may go
    anywhere.
    """

    request_id: str
    region: str
    home_regions: frozenset[str] = frozenset()


def relay_obstacle(
    *,
    cut_off: bool,
    leaving: bool,
    in_flight: int,
    version: int | None,
    required_version: int,
) -> str | None:
    """Return why this host can't take a relayed request, or None if it can.

    ``in_flight`` is the number of those that it works on. ``version`` is that of its
    configuration, None before the first one. With an older configuration than the
    sender's, the caller would see a change taken back.
    """
    if leaving:
        return "leaving"
    if cut_off:
        return "cut off"
    if in_flight >= RELAYED_IN_FLIGHT_MAX:
        return "too many relayed requests"
    if version is None:
        return "no configuration"
    if version < required_version:
        return "older configuration"
    return None


def is_usable(candidate: RelayCandidate) -> bool:
    """Return True if servers answer a host."""
    return candidate.recovering or not candidate.cut_off


def choose_relay(
    request: RelayRequest,
    candidates: Iterable[RelayCandidate],
    tried: Collection[str] = (),
    silent: int = 0,
) -> RelayCandidate | None:
    """Return the host to try next, one of the own region first, or None.

    Hosts whose links are recovering come after all that reach servers steadily.
    ``tried`` are the names of those that were tried, ``silent`` the number of them that
    did not answer. Ranked by request id, the requests of a cut off zone spread evenly
    over the hosts that still reach servers.
    """
    if silent >= SILENT_RELAYS_MAX or len(tried) >= RELAYS_MAX:
        return None
    usable = [
        row
        for row in candidates
        if is_usable(row)
        and row.name not in tried
        and (not request.home_regions or row.region in request.home_regions)
    ]
    ranked = rank(request.request_id, usable, lambda row: row.name)
    return min(
        ranked,
        key=lambda row: (row.cut_off, row.region != request.region),
        default=None,
    )
