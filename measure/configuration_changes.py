"""Make changes of records, as operators of a large deployment write them."""

import random
from typing import Any, Final

from greengagepoint.config.entries import Change
from greengagepoint.records.loading import RecordDocument

SITES: Final = 130
SERVERS_A_SITE: Final = 30
CALLERS: Final = 20
BLOCKS_A_RECORD: Final = 1000
SEED: Final = 7


def record_change(kind: str, name: str, fields: dict[str, Any]) -> Change:
    """Return a change of one record."""
    document = RecordDocument(kind=kind, name=name, schema_version=1, fields=fields)
    return Change(kind=kind, name=name, document=document)


def team_change(number: int) -> Change:
    """Return a change of one team."""
    return record_change(
        "team",
        f"team-{number % 7}",
        {"requests_per_second": 100.0, "burst": number + 1, "weight": 1.0},
    )


def region_change() -> Change:
    """Return the region of all sites."""
    return record_change("region", "region", {"zones": ["zone"], "capacity": 100_000})


def service_change() -> Change:
    """Return the service of all sites."""
    return record_change(
        "service", "booking", {"sites": [f"site-{i}" for i in range(SITES)]}
    )


def caller_changes() -> list[Change]:
    """Return records of random caller blocks."""
    numbers = random.Random(SEED).sample(range(1 << 24), CALLERS * BLOCKS_A_RECORD)
    blocks = [f"{n >> 16}.{n >> 8 & 255}.{n & 255}.0/24" for n in numbers]
    return [
        record_change(
            "callers",
            f"callers-{index}",
            {"blocks": blocks[index::CALLERS], "regions": ["region"]},
        )
        for index in range(CALLERS)
    ]


def site_change(index: int) -> Change:
    """Return one site with its backend servers."""
    servers = [
        {
            "name": f"booking-{index}-{number}",
            "service": "booking",
            "address": f"10.{index // 256}.{index % 256}.{number + 1}:8080",
            "slots": 10,
        }
        for number in range(SERVERS_A_SITE)
    ]
    fields = {
        "region": "region",
        "zone": "zone",
        "capacity": 300,
        "backend_servers": servers,
    }
    return record_change("site", f"site-{index}", fields)
