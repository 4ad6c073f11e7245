"""Messages in which hosts share the load of backend servers."""

from typing import Final

import msgspec


class PoolName(msgspec.Struct, frozen=True, array_like=True):
    """The backend servers of one service at one site."""

    service: str
    site: str


class ServerLoad(msgspec.Struct, frozen=True, array_like=True):
    """One load report as its server made it ``age_ms`` ago."""

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
    """The sender sends requests to these pools and wants their load."""

    pools: tuple[PoolName, ...]


class LoadReports(
    msgspec.Struct, frozen=True, array_like=True, tag="balancing.load_reports"
):
    """Load reports that the sender has from the servers themselves."""

    pools: tuple[PoolLoad, ...]


class ListedLeaving(
    msgspec.Struct, frozen=True, array_like=True, tag="balancing.listed_leaving"
):
    """Names that the host list, as the sender has just read it, calls leaving."""

    names: tuple[str, ...]


MESSAGES: Final = (LoadWanted, LoadReports, ListedLeaving)
