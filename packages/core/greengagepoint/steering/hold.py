"""Hold a shift back while the receiving site answers slower than before."""

from collections.abc import Callable
from typing import Final

from greengagepoint.configuration import Configuration
from greengagepoint.steering.tables import Hold, ShiftRow

HOLD_RATIO: Final = 1.5
RESUME_RATIO: Final = 1.25
IMPROVED_RATIO: Final = 0.95
RISEN_RATIO: Final = 1.1
CREEP_PACE: Final = 0.25
SETTLED_SECONDS: Final = 30.0
SETTLED_MAX_RATIO: Final = 4.0

# Median service time in seconds of a service (None: all) at a site, as seen here.
ServiceTime = Callable[[str | None, str], float | None]


def receiving_seconds(
    row: ShiftRow, configuration: Configuration, service_time: ServiceTime
) -> float | None:
    """Return the service time where the moved traffic lands.

    On the way back that is the site it left; where a shift names no destination,
    the slowest of the sites that it may land on.
    """
    if row.target < row.fraction:
        return service_time(row.service, row.from_site)
    if row.to_site is not None:
        return service_time(row.service, row.to_site)
    times = [
        service_time(row.service, site)
        for site in _other_sites(configuration, row.from_site)
    ]
    return max((time for time in times if time is not None), default=None)


def begin(hold: Hold, receiving: float | None, other: float | None) -> None:
    """Take the baseline before traffic moves.

    A site that has served nothing yet is held to the service time of the site
    that the traffic leaves.
    """
    hold.held = False
    hold.baseline = receiving if receiving is not None else other
    hold.first_baseline = hold.baseline


def pace(hold: Hold, receiving: float | None, now: float) -> float:
    """Return the part of its rate at which a shift may go on, and update its hold.

    A shift onto cold caches raises the service time until they are warm; going on
    at the full rate would add load to a site that has the least room for it. Caches
    warm only by requests, so a held shift creeps as long as the time doesn't rise
    above its lowest since the hold began, and stands still while it does: then
    requests queue. Where the time settles somewhat higher (a longer way, a slower
    machine) that becomes the baseline; far higher it never does, for that is
    overload.
    """
    if receiving is None:
        return 1.0
    if hold.baseline is None:
        hold.baseline = hold.first_baseline = receiving
    if not hold.held:
        if receiving <= hold.baseline * HOLD_RATIO:
            return 1.0
        hold.held = True
        hold.since = now
        hold.best = receiving
    elif receiving < hold.baseline * RESUME_RATIO:
        hold.held = False
        return 1.0
    elif receiving < hold.best * IMPROVED_RATIO:
        hold.best = receiving
        hold.since = now
    elif now - hold.since >= SETTLED_SECONDS:
        _settle(hold, receiving, now)
    return CREEP_PACE if receiving <= hold.best * RISEN_RATIO else 0.0


def _settle(hold: Hold, receiving: float, now: float) -> None:
    """Accept a service time that no longer falls, if it is not far too high."""
    hold.since = now
    first = hold.first_baseline or receiving
    if receiving > first * SETTLED_MAX_RATIO:
        return
    if receiving <= hold.best * RISEN_RATIO:
        hold.baseline = receiving
        hold.held = False
    hold.best = receiving


def _other_sites(configuration: Configuration, from_site: str) -> list[str]:
    """Return the sites that traffic of one site lands on, the nearest ones."""
    leaving = configuration.sites.get(from_site)
    if leaving is None:
        return []
    beside = [
        site.name
        for site in configuration.sites.values()
        if site.region == leaving.region and site.name != from_site
    ]
    return beside or [name for name in configuration.sites if name != from_site]
