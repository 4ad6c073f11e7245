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
class ShiftRow:
    """One movement of traffic away from a site.

    ``service`` None means all services, ``to_site`` None the other permitted sites.
    ``fraction`` is what is moved now and ``target`` what it goes to, both 0 to 1;
    ``identity`` changes when the record that asks for it is replaced.
    ``baseline_seconds`` is the median service time that the receiving site is held
    to, ``best_seconds`` the lowest since the hold began.
    """

    name: str
    cause: ShiftCause
    service: str | None
    from_site: str
    to_site: str | None
    identity: str
    target: float
    ramp_seconds: float
    start_wall_ms: int
    first_seen: float
    last_run: float
    fraction: float = 0.0
    resumed: bool = False
    started: bool = False
    held: bool = False
    held_since: float = 0.0
    baseline_seconds: float | None = None
    first_baseline_seconds: float | None = None
    best_seconds: float | None = None
    peer_fractions: dict[str, tuple[float, float]] = field(default_factory=dict)


SitePlan = tuple[tuple[str, ...], ...]


@dataclass(slots=True)
class SteeringTable:
    """All shifts known to one host and the orders of sites derived from them.

    ``away`` maps a site to the shifts that move traffic off it; ``plans`` keeps
    the tiers of sites by (service, region, zone) for ``planned``.
    """

    shifts: dict[str, ShiftRow] = field(default_factory=dict)
    away: dict[str, tuple[ShiftRow, ...]] = field(default_factory=dict)
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
