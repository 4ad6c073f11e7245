"""Tables of the steering decisions of one host."""

from dataclasses import dataclass, field
from enum import StrEnum

from greengagepoint.configuration import EMPTY, Configuration


class ShiftCause(StrEnum):
    """Why traffic is moved away from a site."""

    SCHEDULED = "scheduled"
    SITE_DRAINED = "site_drained"
    REGION_FAILED = "region_failed"


@dataclass(slots=True)
class Hold:
    """Whether a shift waits for the receiving site, in seconds of service time.

    ``baseline`` is the median that the site is held to, ``first_baseline`` the one
    before anything was moved, ``best`` the lowest since the hold began at
    ``since``.
    """

    held: bool = False
    since: float = 0.0
    baseline: float | None = None
    first_baseline: float | None = None
    best: float = 0.0


@dataclass(slots=True)
class ShiftRow:
    """One movement of traffic away from a site.

    ``service`` None means all services, ``to_site`` None the other permitted sites.
    ``fraction`` is what is moved now and ``target`` what it goes to, both 0 to 1;
    ``rate`` is their change a second. ``identity`` tells one version of the record
    from the next and is empty once nothing asks for the shift. ``resuming`` is set
    from a restart of this host until it knows how far the shift has come.
    ``peer_fractions`` maps a host to (fraction, when heard).
    """

    name: str
    cause: ShiftCause
    service: str | None
    from_site: str
    to_site: str | None
    identity: str
    target: float
    rate: float
    ramp_seconds: float
    start_wall_ms: int
    first_seen: float
    last_run: float
    fraction: float = 0.0
    resuming: bool = False
    moving: bool = False
    hold: Hold = field(default_factory=Hold)
    peer_fractions: dict[str, tuple[float, float]] = field(default_factory=dict)


SitePlan = tuple[tuple[str, ...], ...]


@dataclass(slots=True)
class SteeringTable:
    """All shifts known to one host and the orders of sites derived from them.

    ``away`` maps a site to the shifts that move traffic off it; ``plans`` keeps
    the tiers of sites by (service, region, zone) for ``planned``. ``primed`` is
    set once the first configuration has been seen.
    """

    shifts: dict[str, ShiftRow] = field(default_factory=dict)
    away: dict[str, tuple[ShiftRow, ...]] = field(default_factory=dict)
    primed: bool = False
    planned: Configuration = EMPTY
    plans: dict[tuple[str, str, str], SitePlan] = field(default_factory=dict)


def index_shifts(table: SteeringTable) -> None:
    """Rebuild the index from a site to the shifts that move traffic off it."""
    away: dict[str, list[ShiftRow]] = {}
    for name in sorted(table.shifts):
        row = table.shifts[name]
        if row.fraction > 0:
            away.setdefault(row.from_site, []).append(row)
    table.away = {site: tuple(rows) for site, rows in away.items()}
