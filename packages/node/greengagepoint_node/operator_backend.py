"""What the daemon tells operators and takes from them."""

import re
from collections.abc import Callable
from typing import Final

from greengagepoint.config.entries import Change
from greengagepoint.config.plain import change_from_plain, entry_to_plain
from greengagepoint.errors import RecordError, RequestError
from greengagepoint.events import Event
from greengagepoint.operator_api import (
    ApplyAnswer,
    DocumentRow,
    HistoryAnswer,
    PruneAnswer,
    RecordsAnswer,
    StatusAnswer,
    TimelineAnswer,
    UsageAnswer,
    WantedChange,
    WantedChanges,
)
from greengagepoint.records.schemas import RecordKind
from greengagepoint.timeline.ring import EventFilter, EventRecorder
from greengagepoint.timeline.wire import line, parse_kind
from greengagepoint_node.coordinators.config import ConfigCoordinator
from greengagepoint_node.coordinators.usage import UsageCoordinator

KIND_MAX_LENGTH: Final = 50
SINCE: Final = re.compile(r"([0-9]{1,15})(?:\.([0-9]{1,9}))?")


class DaemonOperatorBackend:
    """Answer the operators' interface from the daemon's parts."""

    def __init__(
        self,
        config: ConfigCoordinator,
        recorder: EventRecorder,
        status: Callable[[], StatusAnswer],
        usage: UsageCoordinator,
    ) -> None:
        self.config = config
        self.recorder = recorder
        self.status = status
        self.usage = usage

    def records(self) -> RecordsAnswer:
        """Return the generation and all documents."""
        rows = [
            DocumentRow(
                kind=row.document.kind,
                name=row.document.name,
                schema_version=row.document.schema_version,
                fields=row.document.fields,
                generation=row.generation,
                author=row.author,
            )
            for row in self.config.documents()
        ]
        generation = self.config.configuration.generation
        return RecordsAnswer(generation=generation, documents=rows)

    async def async_apply(self, wanted: WantedChanges) -> ApplyAnswer:
        """Apply changes; return the generation that holds them."""
        try:
            changes = [_to_change(change) for change in wanted.changes]
        except RecordError as error:
            self.config.reports.refused(error, wanted.author)
            raise
        entry = await self.config.async_apply(changes, wanted.author, wanted.write_id)
        return ApplyAnswer(generation=entry.generation, write_id=entry.write_id)

    async def async_history(self, limit: int) -> HistoryAnswer:
        """Return the newest entries of the change log."""
        entries = self.config.history(limit)
        return HistoryAnswer(
            generation=self.config.configuration.generation,
            entries=[entry_to_plain(entry) for entry in entries],
        )

    def timeline(self, filters: dict[str, str]) -> TimelineAnswer:
        """Return this host's events that match the filters."""
        wanted = _parse_filters(filters)
        events = [line(event) for event in self.recorder.ring.select(wanted)]
        return TimelineAnswer(host=self.recorder.host, events=events)

    async def async_usage(self, since: str | None, until: str | None) -> UsageAnswer:
        """Return usage by team from day to day, both included."""
        return UsageAnswer(rows=await self.usage.async_report(since, until))

    async def async_prune_usage(self, before: str) -> PruneAnswer:
        """Delete usage of days before a day; return how many counters went."""
        return PruneAnswer(deleted=await self.usage.async_prune(before))


def _to_change(wanted: WantedChange) -> Change:
    """Return the change of the log for one that an operator asks for."""
    if wanted.kind not in set(RecordKind):
        raise RecordError(
            f"{wanted.kind!r} is not a kind of record",
            field="kind",
            accepted=", ".join(RecordKind),
        )
    return change_from_plain(
        wanted.kind, wanted.name, wanted.document, wanted.expected_generation
    )


def _parse_filters(filters: dict[str, str]) -> EventFilter:
    """Return which events are asked for."""
    return EventFilter(
        request_id=filters.get("request_id"),
        team=filters.get("team"),
        site=filters.get("site"),
        kind=_parse_kind(filters.get("kind")),
        since=_parse_since(filters.get("since")),
    )


def _parse_kind(text: str | None) -> Event | None:
    """Return an event by number or name."""
    if text is None:
        return None
    try:
        return parse_kind(text[:KIND_MAX_LENGTH])
    except ValueError as error:
        raise RequestError(str(error)) from None


def _parse_since(text: str | None) -> tuple[int, int] | None:
    """Return a stamp written as milliseconds or milliseconds.counter."""
    if text is None:
        return None
    match = SINCE.fullmatch(text)
    if match is None:
        raise RequestError("since must be milliseconds or milliseconds.counter")
    milliseconds, counter = match.groups()
    return int(milliseconds), int(counter or 0)
