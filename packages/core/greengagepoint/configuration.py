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


def longest_deadline_seconds(configuration: Configuration) -> float:
    """Return the longest time that any service gives a request."""
    longest = max(
        (service.max_deadline_ms for service in configuration.services.values()),
        default=0,
    )
    return longest / 1000
