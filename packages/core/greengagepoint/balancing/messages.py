"""Messages that share the load of backend servers between hosts."""

from typing import Final

import msgspec


class PoolName(msgspec.Struct, frozen=True, array_like=True):
    """Name of a pool: the backend servers of one service at one site."""

    service: str
    site: str


class ServerLoad(msgspec.Struct, frozen=True, array_like=True):
    """Load report that its server made ``age_ms`` ago."""

    name: str
    age_ms: int
    in_flight: int
    slots: int
    queued: int
    leaving: bool


class PoolLoad(msgspec.Struct, frozen=True, array_like=True):
    """Load reports of one pool."""

    service: str
    site: str
    servers: tuple[ServerLoad, ...]


class LoadWanted(
    msgspec.Struct, frozen=True, array_like=True, tag="balancing.load_wanted"
):
    """Subscription to the load reports of pools that the sender uses."""

    pools: tuple[PoolName, ...]


class LoadReports(
    msgspec.Struct, frozen=True, array_like=True, tag="balancing.load_reports"
):
    """Load reports that the sender received directly from backend servers."""

    pools: tuple[PoolLoad, ...]


class ListedLeaving(
    msgspec.Struct, frozen=True, array_like=True, tag="balancing.listed_leaving"
):
    """Names marked as leaving in the host list that the sender has just read."""

    names: tuple[str, ...]


MESSAGES: Final = (LoadWanted, LoadReports, ListedLeaving)
