"""Settings of the request path by host and path prefix."""

from collections.abc import Mapping
from typing import Final, NamedTuple, TypedDict

from greengagepoint.accounts.bounds import LimitBounds
from greengagepoint.errors import SettingError
from greengagepoint_node.gateway.names import HeaderNames

METRICS_VARIABLE: Final = "GREENGAGEPOINT_METRICS_ADDRESS"
ADMISSION_VARIABLE: Final = "GREENGAGEPOINT_ADMISSION"
SWITCH_VALUES: Final = {"": False, "off": False, "on": True}
HEARTBEAT_SECONDS: Final = 1.5
DRAIN_SECONDS: Final = 2.0
REVOKE_SECONDS: Final = 5.0


class GatewaySettings(NamedTuple):
    """Settings of one host.

    Addresses are host:port; ``zones`` maps each zone to its region.

    ``retry_ratio`` and ``retry_slack`` bound the retries of all hosts together in any
    ``retry_window_seconds``. ``stop_seconds`` is the time limit of a graceful stop.
    Metrics are served if ``metrics_address`` is set. ``link_mbps`` is the capacity of
    the host's link, 0 if unknown. Backend servers renew their entries every
    ``heartbeat_seconds``; a draining server may get requests for another
    ``drain_seconds``. A revoked account key may work for another ``revoke_seconds``,
    also on a host that gets no updates; if that is None, such a host keeps serving all
    keys that it has. ``limit_bounds`` are the bounds on how far accounts may exceed
    their limits. ``memory_mb`` is the memory of the host in MiB, 0 if unknown.
    With ``admission``, hosts reject the least urgent requests early where
    callers of different urgency compete for servers.
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
    memory_mb: float = 0.0
    retry_window_seconds: float = 10.0
    heartbeat_seconds: float = HEARTBEAT_SECONDS
    drain_seconds: float = DRAIN_SECONDS
    revoke_seconds: float | None = None
    limit_bounds: LimitBounds = LimitBounds()
    admission: bool = False


class EnvironmentSettings(TypedDict):
    """The settings of a host that come from environment variables."""

    metrics_address: str
    admission: bool


def read_environment(environ: Mapping[str, str]) -> EnvironmentSettings:
    """Return the settings in environment variables; raise SettingError."""
    text = environ.get(ADMISSION_VARIABLE, "")
    if text not in SWITCH_VALUES:
        raise SettingError(
            f"{ADMISSION_VARIABLE}: expected 'on' or 'off', found {text[:40]!r}"
        )
    return EnvironmentSettings(
        metrics_address=environ.get(METRICS_VARIABLE, ""),
        admission=SWITCH_VALUES[text],
    )
