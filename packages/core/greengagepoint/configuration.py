"""The configuration in force on a host, by record kind and name."""

from typing import NamedTuple

from greengagepoint.records.schemas import (
    Callers,
    Cap,
    Drain,
    Region,
    Service,
    Shift,
    Site,
    Team,
)


class Configuration(NamedTuple):
    """All steering records of one generation; ``digest`` identifies its history."""

    generation: int
    digest: str
    regions: dict[str, Region]
    sites: dict[str, Site]
    services: dict[str, Service]
    teams: dict[str, Team]
    caps: dict[str, Cap]
    shifts: dict[str, Shift]
    drains: dict[str, Drain]
    callers: dict[str, Callers]


EMPTY = Configuration(0, "", {}, {}, {}, {}, {}, {}, {}, {})
