"""Read a deployment's records and put the stand-ins' addresses into them."""

import re
import tomllib
from pathlib import Path
from typing import Any, Final, NamedTuple

ADDRESS: Final = re.compile(r'(address = )"[^"]*"')
LIMIT: Final = re.compile(r'(site = "([^"]*)"\n)limit = (\d+)')


class Server(NamedTuple):
    """A backend server as the records name it."""

    name: str
    service: str
    site: str
    region: str
    slots: int


class Places(NamedTuple):
    """Regions with their zones, sites with their caps, and backend servers."""

    zones: dict[str, tuple[str, ...]]
    capacities: dict[str, int]
    site_regions: dict[str, str]
    limits: dict[str, int]
    servers: tuple[Server, ...]


def read_places(directory: Path) -> Places:
    """Read regions, sites and caps of a directory of records."""
    regions = _load(directory / "regions.toml", "region")
    sites = _load(directory / "sites.toml", "site")
    caps = _load(directory / "caps.toml", "cap")
    limits = {site["name"]: site["capacity"] for site in sites}
    for cap in caps:
        limits[cap["site"]] = min(limits[cap["site"]], cap["limit"])
    return Places(
        zones={region["name"]: tuple(region["zones"]) for region in regions},
        capacities={region["name"]: region["capacity"] for region in regions},
        site_regions={site["name"]: site["region"] for site in sites},
        limits=limits,
        servers=tuple(
            Server(
                server["name"],
                server["service"],
                site["name"],
                site["region"],
                server["slots"],
            )
            for site in sites
            for server in site["backend_servers"]
        ),
    )


def write_records(
    directory: Path, target: Path, addresses: list[str], capped: dict[str, int]
) -> None:
    """Copy the records with the servers' addresses, in order, and tighter caps."""
    target.mkdir(parents=True, exist_ok=True)
    left = iter(addresses)
    for source in sorted(directory.glob("*.toml")):
        text = source.read_text()
        if source.name == "sites.toml":
            text = ADDRESS.sub(lambda match: f'{match[1]}"{next(left)}"', text)
        if source.name == "caps.toml":
            text = LIMIT.sub(lambda match: _capped(match, capped), text)
        (target / source.name).write_text(text)


def _capped(match: re.Match[str], capped: dict[str, int]) -> str:
    """Return a cap's lines with the demo's own limit, if it has one."""
    limit = capped.get(match[2], int(match[3]))
    return f"{match[1]}limit = {limit}"


def _load(path: Path, kind: str) -> list[dict[str, Any]]:
    """Return the records of one kind in a file."""
    return tomllib.loads(path.read_text())[kind]
