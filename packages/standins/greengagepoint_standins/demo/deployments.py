"""The two deployments of the first users, in the brief's sizes."""

from typing import Final, NamedTuple


class ServiceShape(NamedTuple):
    """One service: its backend servers and the demo's requests to it."""

    name: str
    backend_servers: int
    slots: int
    record: str
    reads: tuple[str, ...]
    once_path: str | None
    download_path: str | None
    download_bytes: int


class Deployment(NamedTuple):
    """Places, services and teams of one user; delays are not reproduced."""

    name: str
    regions: tuple[str, ...]
    zones_a_region: int
    hosts_a_zone: int
    services: tuple[ServiceShape, ...]
    teams: tuple[str, ...]

    def zones(self, region: str) -> tuple[str, ...]:
        """Return the availability zones of a region."""
        letters = "ab"[: self.zones_a_region]
        return tuple(f"{region}-{letter}" for letter in letters)

    def all_zones(self) -> tuple[str, ...]:
        """Return the availability zones of all regions."""
        return tuple(zone for region in self.regions for zone in self.zones(region))


BOOKING_RECORD: Final = """
[[service]]
schema_version = 2
name = "booking"
sites = [{sites}]
max_deadline_ms = 5000
store_outage = "refuse"
lookup_ttl_seconds = 2

[[service.routes]]
path = "/bays"
methods = ["GET"]
request_class = "lookup"
repeatable = true
deadline_ms = 1500

[[service.routes]]
path = "/reservations"
methods = ["POST"]
request_class = "payment"
needs_key = true
deadline_ms = 4000
"""

RECORDS_RECORD: Final = """
[[service]]
schema_version = 1
name = "records"
sites = [{sites}]
request_class = "archive"
repeatable = true
deadline_ms = 20000
max_deadline_ms = 20000
lookup_ttl_seconds = 2
"""

INSPECTION_DESK_RECORD: Final = """
[[service]]
schema_version = 2
name = "inspection-desk"
sites = [{sites}]
max_deadline_ms = 5000
store_outage = "refuse"
lookup_ttl_seconds = 2

[[service.routes]]
path = "/reports"
methods = ["GET"]
request_class = "lookup"
repeatable = true
deadline_ms = 2000

[[service.routes]]
path = "/red-tags"
methods = ["POST"]
request_class = "payment"
needs_key = true
deadline_ms = 4000
"""

DRAWING_VAULT_RECORD: Final = """
[[service]]
schema_version = 1
name = "drawing-vault"
sites = [{sites}]
request_class = "archive"
repeatable = true
deadline_ms = 30000
max_deadline_ms = 30000
lookup_ttl_seconds = 2
"""

ERMIS: Final = Deployment(
    name="ermis",
    regions=("attiki", "kentriki-makedonia", "dytiki-ellada"),
    zones_a_region=2,
    hosts_a_zone=2,
    services=(
        ServiceShape(
            "booking", 35, 10, BOOKING_RECORD, ("/bays",), "/reservations", None, 0
        ),
        ServiceShape(
            "records", 12, 3, RECORDS_RECORD, ("/permit",), None, "/archive", 2_000_000
        ),
    ),
    teams=("drivers", "municipal-partners", "fleet-clients"),
)

RAYONNAGE: Final = Deployment(
    name="rayonnage",
    regions=("tunis", "sfax", "gabes"),
    zones_a_region=2,
    hosts_a_zone=2,
    services=(
        ServiceShape(
            "inspection-desk",
            30,
            4,
            INSPECTION_DESK_RECORD,
            ("/reports",),
            "/red-tags",
            None,
            0,
        ),
        ServiceShape(
            "drawing-vault",
            12,
            3,
            DRAWING_VAULT_RECORD,
            ("/index",),
            None,
            "/pack",
            6_000_000,
        ),
    ),
    teams=("inspectors", "franchise"),
)

DEPLOYMENTS: Final[dict[str, Deployment]] = {
    ERMIS.name: ERMIS,
    RAYONNAGE.name: RAYONNAGE,
}
