"""What the operators' API answers; members that are not named here are kept."""

from typing import Any, NotRequired, TypedDict

from greengagepoint.usage.counters import UsageLine


class DocumentRow(TypedDict):
    """One record in force."""

    kind: str
    name: str
    schema_version: int
    fields: dict[str, Any]
    generation: int


class RecordsAnswer(TypedDict):
    """All records in force."""

    generation: int
    documents: list[DocumentRow]


class ApplyAnswer(TypedDict):
    """The generation that holds the changes."""

    generation: int


class HistoryChange(TypedDict):
    """One changed record; without a document it was deleted."""

    kind: str
    name: str
    document: NotRequired[dict[str, Any] | None]


class HistoryEntry(TypedDict):
    """One generation."""

    generation: int
    author: str
    at_ms: int
    write_id: str
    changes: list[HistoryChange]


class HistoryAnswer(TypedDict):
    """The newest generations."""

    entries: list[HistoryEntry]


class KnownHost(TypedDict):
    """A host that the answering one knows; ``address`` is host:port."""

    name: str
    address: str
    incarnation: NotRequired[int]


class SitePart(TypedDict):
    """One host's part of a site's cap, in concurrent requests."""

    site: str
    region: str
    limit: int
    owned: int
    in_flight: int
    headroom: int


class RegionPart(TypedDict):
    """One host's part of its region's budget, in concurrent requests."""

    region: str
    capacity: int
    owned: int
    used: int
    headroom: int


class CapsPart(TypedDict):
    """One host's parts of all caps."""

    region: RegionPart
    sites: list[SitePart]


class ShiftRow(TypedDict):
    """How far one shift has come on a host."""

    name: str
    fraction: float


class DrainPart(TypedDict):
    """What one host has in flight to a leaving backend server."""

    site: str
    backend_server: str
    service: str
    in_flight: int
    remaining_seconds: NotRequired[float | None]


class StatusAnswer(TypedDict):
    """The state of one host."""

    host: str
    region: str
    zone: str
    state: str
    generation: int
    digest: str
    in_flight: int
    hosts: list[KnownHost]
    caps: NotRequired[CapsPart]
    shifts: list[ShiftRow]
    drains: list[DrainPart]


class TimelineEvent(TypedDict):
    """One event; ``clock`` is its hybrid logical time."""

    clock: tuple[int, int]
    host: str
    number: int
    name: str
    fields: dict[str, Any]


class TimelineAnswer(TypedDict):
    """The events of one host."""

    host: str
    events: list[TimelineEvent]


class UsageAnswer(TypedDict):
    """Usage of all teams."""

    rows: list[UsageLine]


class PruneAnswer(TypedDict):
    """How many counters were deleted."""

    deleted: int


class LookupHost(TypedDict):
    """One entry host as callers are told."""

    name: str
    address: str
    region: str
    zone: str
    priority: int
    weight: int


class LookupAnswer(TypedDict):
    """The entry hosts for one caller."""

    hosts: list[LookupHost]
