"""What the demo asks of each deployment; its records are in ``deployments/``."""

from pathlib import Path
from typing import Final, NamedTuple

REPOSITORY: Final = Path(__file__).resolve().parents[4]
RECORDS_DIRECTORY: Final = REPOSITORY / "deployments"


class Ask(NamedTuple):
    """One kind of request: how often it is sent and what it must be.

    ``share`` is its part of the load; ``download_bytes`` is set for large answers
    and ``once`` for requests with an idempotency key.
    """

    name: str
    service: str
    method: str
    path: str
    team: str
    share: float
    deadline_ms: int
    once: bool = False
    download_bytes: int = 0


class Deployment(NamedTuple):
    """One user's demo: its load in requests a second and what is done to it."""

    name: str
    asks: tuple[Ask, ...]
    requests_per_second: float
    hosts_a_zone: int
    drained_backend_server: str
    shift_service: str
    shift_cap: int
    lost_region: str

    @property
    def records(self) -> Path:
        """Return the directory of the steering records."""
        return RECORDS_DIRECTORY / self.name


ERMIS: Final = Deployment(
    name="ermis",
    asks=(
        Ask("bay look-up", "booking", "GET", "/bays", "drivers", 0.72, 1500),
        Ask(
            "reservation",
            "booking",
            "POST",
            "/reservations",
            "drivers",
            0.2,
            4000,
            once=True,
        ),
        Ask("permit", "records", "GET", "/permits", "fleet-clients", 0.06, 1500),
        Ask(
            "archive",
            "records",
            "GET",
            "/archive/monthly",
            "municipal-partners",
            0.02,
            30_000,
            download_bytes=2_000_000,
        ),
    ),
    requests_per_second=240.0,
    hosts_a_zone=2,
    drained_backend_server="booking-attiki-1-1",
    shift_service="booking",
    shift_cap=6,
    lost_region="dytiki-ellada",
)

RAYONNAGE: Final = Deployment(
    name="rayonnage",
    asks=(
        Ask("report", "inspection-desk", "GET", "/reports", "inspectors", 0.66, 2000),
        Ask(
            "red tag",
            "inspection-desk",
            "POST",
            "/red-tags",
            "inspectors",
            0.3,
            4000,
            once=True,
        ),
        Ask(
            "drawing pack",
            "drawing-vault",
            "GET",
            "/pack/rack",
            "inspectors",
            0.04,
            30_000,
            download_bytes=6_000_000,
        ),
    ),
    requests_per_second=140.0,
    hosts_a_zone=2,
    drained_backend_server="drawing-vault-tunis-1-1",
    shift_service="inspection-desk",
    shift_cap=5,
    lost_region="gabes",
)

DEPLOYMENTS: Final[dict[str, Deployment]] = {
    ERMIS.name: ERMIS,
    RAYONNAGE.name: RAYONNAGE,
}
