"""What daemons and the client tell each other over the operators' interface.

The client needs the members of an answer that are required here. The others are
``NotRequired``, since a host of another version may not give them; whatever else an
answer holds is kept.
"""

from typing import Any, NotRequired, TypedDict

import msgspec

from greengagepoint.timeline.wire import TimelineLine
from greengagepoint.usage.counters import UsageLine


class WantedChange(msgspec.Struct, forbid_unknown_fields=True):
    """One change that an operator asks for; ``document`` None deletes."""

    kind: str
    name: str
    expected_generation: int | None = None
    document: dict[str, Any] | None = None


class WantedChanges(msgspec.Struct, forbid_unknown_fields=True):
    """The body of ``POST /v1/records/apply``."""

    author: str
    changes: list[WantedChange]
    write_id: str | None = None


class ApplyAnswer(TypedDict):
    """The generation that holds the changes."""

    generation: int
    write_id: NotRequired[str]


class DocumentRow(TypedDict):
    """One record in force."""

    kind: str
    name: str
    schema_version: int
    fields: dict[str, Any]
    generation: int
    author: NotRequired[str]


class RecordsAnswer(TypedDict):
    """All records in force."""

    generation: int
    documents: list[DocumentRow]


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
    digest: NotRequired[str]
    changes: list[HistoryChange]


class HistoryAnswer(TypedDict):
    """The newest generations."""

    generation: NotRequired[int]
    entries: list[HistoryEntry]


class KnownHost(TypedDict):
    """A host that the answering one knows; ``address`` is host:port."""

    name: str
    address: str
    region: NotRequired[str]
    zone: NotRequired[str]
    incarnation: NotRequired[int]
    serving: NotRequired[bool]


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
    cause: NotRequired[str]
    service: NotRequired[str]
    from_site: NotRequired[str]
    to_site: NotRequired[str]
    target: NotRequired[float]


class DrainPart(TypedDict):
    """What one host has in flight to a leaving backend server."""

    site: str
    backend_server: str
    service: str
    in_flight: int
    sources: NotRequired[list[str]]
    remaining_seconds: NotRequired[float | None]


class StopPart(TypedDict):
    """What a stopping host waits for."""

    reasons: list[str]
    remaining_seconds: float


class StatusAnswer(TypedDict):
    """The state of one host."""

    host: str
    region: str
    zone: str
    incarnation: NotRequired[int]
    state: str
    in_flight: int
    generation: int
    digest: str
    store_reverted: NotRequired[bool]
    store_available: NotRequired[bool]
    hosts: list[KnownHost]
    unreachable_regions: NotRequired[list[str]]
    caps: NotRequired[CapsPart]
    shifts: list[ShiftRow]
    drains: list[DrainPart]
    stop: NotRequired[StopPart | None]


class TimelineAnswer(TypedDict):
    """The events of one host."""

    host: str
    events: list[TimelineLine]


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
