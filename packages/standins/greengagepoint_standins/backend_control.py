"""What a stand-in backend server carries, and what it does wrong."""

from typing import Final

import msgspec

from greengagepoint_standins.server import Down

DEFAULT_SERVICE_MS: Final = {"/": 20.0}
DEFAULT_PACK_BYTES: Final = 1024 * 1024
PACK_PREFIXES: Final = ("/archive/", "/pack/")


class BackendControl(msgspec.Struct, kw_only=True):
    """Settings and faults of one backend server; all may change while it runs.

    ``service_ms`` maps a path prefix to the mean time of a run; the longest prefix
    wins. ``service_sigma`` is the shape of the log-normal distribution (0: constant).
    A pack's bytes are sent at ``pack_bytes_per_second`` (0: as fast as they go).
    A run that its caller gave up goes on for ``cancel_lag_ms``.
    The first ``cold_requests`` runs take up to ``cold_factor`` times longer. Fields
    that start with ``next_`` count down, one for each request.
    """

    slots: int = 10
    queue_limit: int = 20
    connections: int = 400
    connection_ms: float = 1.0
    service_ms: dict[str, float] = msgspec.field(
        default_factory=lambda: dict(DEFAULT_SERVICE_MS)
    )
    service_sigma: float = 0.3
    slow_factor: float = 1.0
    pack_bytes: int = DEFAULT_PACK_BYTES
    pack_bytes_per_second: float = 0.0
    accept_ranges: bool = True
    cancel_lag_ms: float = 0.0
    cold_requests: int = 0
    cold_factor: float = 1.0
    leaving: bool = False
    load_factor: float = 1.0
    load_lag_seconds: float = 0.0
    load_garbage: bool = False
    down: Down = Down.NO
    next_shed: int = 0
    next_reset_before_run: int = 0
    next_reset_after_run: int = 0
    next_truncate: int = 0
    next_hang: int = 0
    next_garbage: int = 0

    def take(self, field: str) -> bool:
        """Tell whether the next request gets a fault, and count it down."""
        left = getattr(self, field)
        if left <= 0:
            return False
        setattr(self, field, left - 1)
        return True

    def mean_seconds(self, path: str) -> float:
        """Return the mean time of a run when warm."""
        fitting = [prefix for prefix in self.service_ms if path.startswith(prefix)]
        if not fitting:
            return 0.0
        return self.service_ms[max(fitting, key=len)] * self.slow_factor / 1000
