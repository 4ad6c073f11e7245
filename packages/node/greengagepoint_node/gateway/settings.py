"""What the request path by host and path prefix is told at start."""

from typing import Final, NamedTuple

from greengagepoint.accounts.bounds import LimitBounds
from greengagepoint_node.gateway.names import HeaderNames

HEARTBEAT_SECONDS: Final = 1.5
DRAIN_SECONDS: Final = 2.0
REVOKE_SECONDS: Final = 5.0


class GatewaySettings(NamedTuple):
    """Addresses are host:port; ``zones`` maps each zone to its region.

    ``retry_ratio`` and ``retry_slack`` bound the retries of all hosts together in any
    ``retry_window_seconds``.
    ``stop_seconds`` is what a graceful stop may take. Metrics are served where
    ``metrics_address`` names an address. ``link_mbps`` is what the host's link carries,
    0 where that is not known. Backend servers renew their entries each
    ``heartbeat_seconds``; one that has said that it leaves may get requests for
    ``drain_seconds`` more. An account's key that was taken away may work for
    ``revoke_seconds`` more, also on a host that hears of nothing; where that is None,
    such a host goes on serving all keys that it knows. ``limit_bounds`` tell how
    closely accounts have to keep their limits.
    """

    host: str
    zone: str
    region: str
    zones: dict[str, str]
    front_address: str
    ready_address: str
    directory_address: str
    peer_address: str
    seeds: tuple[str, ...]
    names: HeaderNames
    stop_seconds: float
    retry_ratio: float
    retry_slack: float
    metrics_address: str = ""
    link_mbps: float = 0.0
    retry_window_seconds: float = 10.0
    heartbeat_seconds: float = HEARTBEAT_SECONDS
    drain_seconds: float = DRAIN_SECONDS
    revoke_seconds: float | None = None
    limit_bounds: LimitBounds = LimitBounds()
